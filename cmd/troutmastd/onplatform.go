package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/internal/logsink"
	"github.com/troutmast/troutmast/platform"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/transport/entry"
)

// Bounds of the connections to the platform.
const (
	dialTimeout = 400 * time.Millisecond
	silence     = 2 * time.Second
	restTime    = 4 * time.Second
	// logTime bounds the writing of the last log lines.
	logTime = 200 * time.Millisecond
)

// errSettings means that the platform's settings cannot be used.
var errSettings = errors.New("settings")

// runOnPlatform runs the node by the platform's settings file until a signal ends it.
func runOnPlatform(path string) error {
	set, err := platform.ReadSettings(path)
	if err != nil {
		return errors.Join(errSettings, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	sink := logsink.New(os.Stdout, logsink.DefaultOptions())
	defer sink.Close(logTime)
	logger := &log.Logger{Handler: json.New(sink), Level: log.InfoLevel}
	ports := entry.Ports{
		Store:   &platform.Store{Client: newHTTPClient(4), Address: set.Store},
		Decoder: platform.Decoder{},
		Targets: &platform.Targets{Client: newHTTPClient(2)},
		Dialect: platform.Dialect{},
	}
	return entry.New(set, ports, clockwork.NewRealClock(), logger).Run(ctx)
}

// newHTTPClient returns a client that keeps a number of connections to each address.
func newHTTPClient(idle int) *http.Client {
	dialer := direct.Dialer{Timeout: dialTimeout, Silence: silence}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     restTime,
	}}
}
