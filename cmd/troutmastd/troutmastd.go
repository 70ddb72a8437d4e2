// Command troutmastd is one entry node of troutmast.
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

// main reads the settings and runs the node until it is told to stop.
//
// Where the platform's settings file is named in the environment, the node
// serves callers as the platform's clients speak; else it has its own interface.
func main() {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		exit(runOnPlatform(path))
		return
	}
	p := flaggy.NewParser("troutmastd")
	p.Description = "entry node of troutmast; every flag can also be given as an environment variable"
	set, err := settings.FromOS(p)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	log.SetHandler(json.New(os.Stderr))
	log.SetLevelFromString(set.LogLevel)
	exit(run(set))
}

// exit ends the process with the code of an error, unless there is none.
func exit(err error) {
	switch {
	case errors.Is(err, settings.ErrSettings), errors.Is(err, errSettings):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	case err != nil && !errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run runs a node until a signal ends it.
func run(set *settings.Settings) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	clock := steady.NewClock()
	clock.OnWake(func(d time.Duration) {
		log.WithField("ms", d.Milliseconds()).Warn("the machine was suspended: what was known is older by that")
	})
	n, err := node.New(set, clock)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
