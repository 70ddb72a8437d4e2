package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"

	"github.com/troutmast/troutmast/internal/logsink"
	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/platform"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/transport/entry"
	"github.com/troutmast/troutmast/transport/settings"
)

// Limits of the connections to the platform.
const (
	dialTimeout     = 400 * time.Millisecond
	ackTimeout      = 2 * time.Second
	idleConnTimeout = 4 * time.Second
	// logCloseTimeout is the maximum time to write the remaining log lines at exit.
	logCloseTimeout = 200 * time.Millisecond
)

// errPlatformSettings means that the platform's settings file is invalid.
var errPlatformSettings = errors.New("settings")

// runOnPlatform runs a node with the platform's settings file until SIGTERM or an interrupt.
func runOnPlatform(path string) error {
	cfg, err := readPlatformSettings(path)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signal.Ignore(syscall.SIGPIPE)
	if limit := cfg.HeapLimit(); limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
	sink := logsink.New(os.Stdout, logsink.DefaultOptions())
	defer sink.Close(logCloseTimeout)
	logger := &log.Logger{Handler: json.New(sink), Level: log.InfoLevel}
	ports := entry.Ports{
		Store:       &platform.Store{Client: newHTTPClient(4), Address: cfg.StoreAddress},
		Decoder:     platform.Decoder{},
		Target:      &platform.Targets{Client: newHTTPClient(2), Fresh: newHTTPClient(noIdleConns)},
		HeaderCodec: platform.Dialect{},
	}
	clock := steady.NewClock()
	node := entry.New(cfg, ports, clock, logger)
	clock.OnWake(node.RecordResume)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go reloadOnChange(ctx, path, hup, node, logger)
	return node.Run(ctx)
}

// readPlatformSettings reads the platform's settings file, and the policy from the
// flags and the environment. The error lists all faults of both.
func readPlatformSettings(path string) (*entry.Settings, error) {
	policy := entry.DefaultPolicy()
	p := flaggy.NewParser("troutmastd")
	p.Description = "entry node of troutmast on a platform; every flag can also be set by an environment variable"
	policyErr := settings.PolicyFromOS(p, &policy)
	cfg, err := platform.ReadSettings(path)
	if err != nil {
		err = errors.Join(errPlatformSettings, err)
	}
	if err := errors.Join(err, policyErr); err != nil {
		return nil, err
	}
	cfg.Policy = policy
	return cfg, nil
}

// reloadInterval is the time between two checks of the settings file.
const reloadInterval = 5 * time.Second

// reloadOnChange checks the settings file on SIGHUP and at every interval, and
// applies it if its text has changed. If the new settings are invalid, the
// previous ones stay in effect.
func reloadOnChange(ctx context.Context, path string, hup <-chan os.Signal, node *entry.Node, logger *log.Logger) {
	lastText, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-time.After(reloadInterval):
		}
		text, err := os.ReadFile(path)
		if err != nil || bytes.Equal(text, lastText) {
			continue
		}
		lastText = text
		cfg, err := platform.ParseSettings(string(text))
		if err == nil {
			err = node.Reload(cfg)
		}
		if err != nil {
			logger.WithError(err).Error("reload refused, keeping the previous settings")
		}
	}
}

// noIdleConns is the number of idle connections of a client that opens a new connection for each
// request.
const noIdleConns = 0

// newHTTPClient returns a client that keeps at most maxIdleConns idle connections to each address.
func newHTTPClient(maxIdleConns int) *http.Client {
	return direct.Dialer{Timeout: dialTimeout, AckTimeout: ackTimeout}.HTTPClient(maxIdleConns, idleConnTimeout)
}
