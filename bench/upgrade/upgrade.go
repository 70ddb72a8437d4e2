// Command upgrade replaces the nodes of one build by those of another, as processes before
// stand-ins of the platform, for a number of seeds, and says what broke. The modes take turns.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/troutmast/troutmast/internal/upgrade"
)

// options are the command line.
type options struct {
	from, to, out                                        string
	seeds, first, nodes, jobs, memory                    int
	calm, soak, pauses, abandons, restarts, models, keep bool
}

// errBroken means that a rule was broken in some run.
var errBroken = errors.New("a rule was broken")

func main() {
	o := options{to: upgrade.WorkTree, out: filepath.Join(os.TempDir(), "troutmast-upgrade"), seeds: 10, first: 1, nodes: 4, jobs: 2}
	flaggy.SetName("upgrade")
	flaggy.SetDescription("replaces the nodes of one build by those of another, one at a time, and back")
	flaggy.String(&o.from, "", "from", "commit that runs first; without it, the one in production")
	flaggy.String(&o.to, "", "to", "commit that comes after it, or work for the working tree")
	flaggy.String(&o.out, "", "out", "folder for the logs of runs in which a rule broke")
	flaggy.Int(&o.seeds, "", "seeds", "runs; the modes take turns")
	flaggy.Int(&o.first, "", "first-seed", "the first seed")
	flaggy.Int(&o.nodes, "", "nodes", "nodes in each run")
	flaggy.Int(&o.jobs, "", "jobs", "runs at once")
	flaggy.Bool(&o.calm, "", "calm", "replace nodes and do nothing else")
	flaggy.Bool(&o.soak, "", "soak", "reset, silence, delay and hold up connections to workers and to the store as well; odd seeds also evacuate halls and have cold workers")
	flaggy.Bool(&o.pauses, "", "pauses", "have workers pause beside each planned stop")
	flaggy.Bool(&o.abandons, "", "abandons", "have callers disconnect from frozen nodes and repeat the unread requests at other nodes")
	flaggy.Bool(&o.restarts, "", "restarts", "have workers crash and others start at their addresses, beside malformed entries and surplus answers")
	flaggy.Bool(&o.models, "", "models", "have the configuration replace a model again and again")
	flaggy.Int(&o.memory, "", "memory", "megabytes of a node, which then bounds what it holds for its callers; 0 for no bound")
	flaggy.Bool(&o.keep, "", "keep", "print what was done and keep the logs also where no rule broke")
	flaggy.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "upgrade:", err)
		os.Exit(1)
	}
}

// run builds both versions and plays all runs.
func run(o options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	dir, err := os.MkdirTemp("", "troutmast-upgrade-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if o.from == "" {
		if o.from, err = upgrade.Production("."); err != nil {
			return err
		}
	}
	from, err := upgrade.NewBuild(ctx, ".", dir, o.from)
	if err != nil {
		return err
	}
	to, err := upgrade.NewBuild(ctx, ".", dir, o.to)
	if err != nil {
		return err
	}
	return playAll(ctx, o, dir, from, to)
}

// playAll plays all seeds in all modes, some at a time.
func playAll(ctx context.Context, o options, dir string, from, to upgrade.Build) error {
	slots := make(chan bool, o.jobs)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs error
	for seed := o.first; seed < o.first+o.seeds; seed++ {
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			mode := upgrade.Modes[seed%len(upgrade.Modes)]
			err := play(ctx, o, dir, upgrade.Options{From: from, To: to, Seed: uint64(seed), Mode: mode, Nodes: o.nodes, Calm: o.calm, Soak: o.soak, Pauses: o.pauses, Abandons: o.abandons, Restarts: o.restarts, Models: o.models, MemoryMB: o.memory})
			mu.Lock()
			defer mu.Unlock()
			errs = errors.Join(errs, err)
		})
	}
	wg.Wait()
	return errs
}

// play plays one run and prints what it showed.
func play(ctx context.Context, o options, dir string, opts upgrade.Options) error {
	name := fmt.Sprintf("%s-%s-%d", opts.From.Commit[:min(7, len(opts.From.Commit))], opts.Mode, opts.Seed)
	opts.Dir = filepath.Join(dir, name)
	if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
		return err
	}
	report, err := upgrade.Play(ctx, opts)
	if err != nil {
		return errors.Join(err, upgrade.KeepLogs(opts.Dir, filepath.Join(o.out, name)))
	}
	fmt.Printf("%s: %d calls, served %.3f before, %.3f during, %.3f after, %.3f in all; nodes disagreed for %s; %d evacuations, enforced for %s by all nodes together, at most %d requests a second at a cold worker; %d requests abandoned, %d reset unread, %d ran where they had been turned away; workers saw %v\n",
		name, report.Calls, report.Before, report.During, report.Calm, report.Served, report.Disagreed, report.Evacuations, report.Watched, report.Cold, report.Abandoned, report.Unread, report.Resent, report.Seen)
	if len(report.Violations) == 0 && !o.keep {
		return nil
	}
	for _, c := range report.Changes {
		fmt.Println("   ", c)
	}
	for _, v := range report.Violations {
		fmt.Println("  broken:", v)
	}
	if len(report.Violations) > 0 {
		err = fmt.Errorf("%w: %s", errBroken, name)
	}
	return errors.Join(err, upgrade.KeepLogs(opts.Dir, filepath.Join(o.out, name)))
}
