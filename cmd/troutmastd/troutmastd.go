// Command troutmastd runs an entry node of troutmast.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"

	"github.com/troutmast/troutmast/internal/steady"
	"github.com/troutmast/troutmast/platform"
	"github.com/troutmast/troutmast/transport/node"
	"github.com/troutmast/troutmast/transport/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// main reads the settings and runs the node until a signal stops it.
//
// If the environment names a settings file of the platform, the node serves the
// protocol of the platform's clients; otherwise it serves troutmast's own API.
func main() {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		exitOnError(runOnPlatform(path))
		return
	}
	p := flaggy.NewParser("troutmastd")
	p.Description = "entry node of troutmast; every flag can also be set by an environment variable"
	cfg, err := settings.FromOS(p)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	log.SetHandler(json.New(os.Stderr))
	log.SetLevelFromString(cfg.LogLevel)
	exitOnError(run(cfg))
}

// exitOnError prints an error and ends the process with its exit code. It returns if the error is
// nil or context.Canceled.
func exitOnError(err error) {
	switch {
	case errors.Is(err, settings.ErrSettings), errors.Is(err, errPlatformSettings):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	case err != nil && !errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run runs a node until SIGTERM or an interrupt.
func run(cfg *settings.Settings) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	clock := steady.NewClock()
	clock.OnWake(func(d time.Duration) {
		log.WithField("ms", d.Milliseconds()).Warn("the machine was suspended, ages include this time")
	})
	n, err := node.New(cfg, clock)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
