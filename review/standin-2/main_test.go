// Package main plays the cases of the second review: it starts the node of the deploy file and stand-ins of the platform, its
// workers and its clients, and judges by a rule what clients, workers and the platform have seen.
//
// It is built as a test binary, since only test code outside platform/ may use the platform's words.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// cases are the cases by name.
var cases = map[string]func(*lab) error{
	"model-replaced": modelReplaced,
	"stream-cut":     streamCut,
	"memory":         memory,
	"worker-crash":   workerCrash,
}

// TestMain plays a case in the place of tests.
func TestMain(*testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		workerMain(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	l, err := newLab(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		l.note("result: stopped from outside")
		l.close()
		os.Exit(2)
	}()
	err = cases[os.Args[1]](l)
	switch {
	case err == nil:
		l.note("result: the rule held")
	default:
		l.note("result: %v", err)
	}
	keepLogs(l)
	l.close()
	fmt.Println(map[bool]string{true: "held", false: fmt.Sprint(err)}[err == nil])
	switch {
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		os.Exit(2)
	}
}

// keepLogs copies the logs of the nodes to the folder that LOGS names, if any.
func keepLogs(l *lab) {
	to := os.Getenv("LOGS")
	if to == "" {
		return
	}
	for _, n := range l.nodes {
		if raw, err := os.ReadFile(n.file + ".log"); err == nil {
			_ = os.WriteFile(to+"/"+n.name+".log", raw, 0o600)
		}
	}
}
