// Command check runs go test and passes over the failures that KNOWN-RED.txt lists:
//
//	check [arguments of go test]
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"

	"github.com/troutmast/troutmast/internal/knownred"
)

// listFile is the list of known failures, at the root of the repository.
const listFile = "KNOWN-RED.txt"

func main() {
	good, err := check(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !good {
		os.Exit(1)
	}
}

// check runs go test with some arguments and reports whether the run counts as passed.
func check(args []string) (bool, error) {
	known, err := readList()
	if err != nil {
		return false, err
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	run := knownred.NewRun(known, os.Stdout)
	readErr := run.Read(out)
	exit := cmd.Wait()
	if readErr != nil {
		return false, readErr
	}
	// The exit code is 1 for failed tests, which the run judges one by one.
	var failed *exec.ExitError
	if exit != nil && (!errors.As(exit, &failed) || failed.ExitCode() != 1) {
		return false, fmt.Errorf("go test: %w", exit)
	}
	return run.Close(exit != nil), nil
}

// readList reads the list of known failures; none are known without the file.
func readList() ([]knownred.Entry, error) {
	file, err := os.Open(listFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // read only: nothing is lost
	return knownred.Parse(file)
}
