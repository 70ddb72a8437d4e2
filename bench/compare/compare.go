// Command compare plays the same days with the same seeds for two variants of
// the system and prints what the second gains over the first.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/troutmast/troutmast/internal/paired"
)

// defaultDays are the days with trouble that the users' site files have.
const defaultDays = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"

// options are the command line.
type options struct {
	bench, site, days, a, b, why, out, cache string
	seeds, first, jobs                       int
}

func main() {
	o := options{days: defaultDays, a: "HEAD", b: paired.WorkTree, seeds: paired.LeastPairs, first: 1, jobs: 7}
	flaggy.SetName("compare")
	flaggy.SetDescription("plays the same days for two variants and prints the difference of worth with its standard error")
	flaggy.String(&o.bench, "", "bench", "path of the users' bench")
	flaggy.String(&o.site, "", "site", "path of a site file")
	flaggy.String(&o.days, "", "days", "days to play, separated by commas")
	flaggy.String(&o.a, "a", "from", "first variant: COMMIT[,NAME=VALUE...], or work for the working tree")
	flaggy.String(&o.b, "b", "to", "second variant")
	flaggy.Int(&o.seeds, "", "seeds", "seeds for each day")
	flaggy.Int(&o.first, "", "first-seed", "the first seed")
	flaggy.Int(&o.jobs, "", "jobs", "days to play at once")
	flaggy.String(&o.why, "", "why", "hypothesis, for the journal")
	flaggy.String(&o.out, "", "out", "file for the table; without it, standard output")
	flaggy.String(&o.cache, "", "cache", "file that keeps the results of committed variants")
	flaggy.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// run plays the experiment and writes its table; what could be played is
// written also if some plays failed.
func run(o options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	e, bench, err := prepare(o)
	if err != nil {
		return err
	}
	pairs, playErr := e.Run(ctx, bench)
	if e.Cache != nil {
		playErr = errors.Join(playErr, e.Cache.Save())
	}
	var table strings.Builder
	fmt.Fprintf(&table, "Site %s. Again: `%s`\n\n", filepath.Base(e.Site), command(o))
	paired.WriteTable(&table, e.A, e.B, pairs)
	if o.out == "" {
		fmt.Print(table.String())
		return playErr
	}
	return errors.Join(playErr, os.WriteFile(o.out, []byte(table.String()), 0o644))
}

// prepare checks the command line.
func prepare(o options) (*paired.Experiment, *paired.Bench, error) {
	if o.bench == "" || o.site == "" {
		return nil, nil, fmt.Errorf("--bench and --site are needed")
	}
	e := &paired.Experiment{Days: strings.Split(o.days, ","), Jobs: o.jobs}
	var err error
	if o.cache != "" {
		if e.Cache, err = paired.OpenCache(o.cache); err != nil {
			return nil, nil, err
		}
	}
	if e.A, err = paired.ParseVariant(o.a); err != nil {
		return nil, nil, err
	}
	if e.B, err = paired.ParseVariant(o.b); err != nil {
		return nil, nil, err
	}
	for i := range o.seeds {
		e.Seeds = append(e.Seeds, int64(o.first+i))
	}
	bench := &paired.Bench{Why: fmt.Sprintf("%s (paired trial: %s against %s)", o.why, e.B, e.A)}
	for _, p := range []struct {
		to   *string
		path string
	}{{&e.Root, "."}, {&e.Site, o.site}, {&bench.Program, o.bench}} {
		if *p.to, err = filepath.Abs(p.path); err != nil {
			return nil, nil, err
		}
	}
	return e, bench, nil
}

// command returns the command line that plays the experiment again.
func command(o options) string {
	return fmt.Sprintf("make compare BENCH=... SITE=.../%s A=%s B=%s DAYS=%s SEEDS=%d FIRST=%d",
		filepath.Base(o.site), o.a, o.b, o.days, o.seeds, o.first)
}
