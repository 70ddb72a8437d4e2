package paired

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// Player plays a day of a site with the sources in a folder.
type Player interface {
	Play(ctx context.Context, dir, site, day string, seed int64) (Result, error)
}

// Experiment is a comparison of two variants.
type Experiment struct {
	// Root is the project's folder, Site the path of the site's file.
	Root string
	Site string
	Days []string
	// Seeds are the seeds that each day is played with.
	Seeds []int64
	A, B  Variant
	// Jobs is how many days are played at once.
	Jobs int
	// Cache keeps results between experiments; nil is none.
	Cache *Cache
}

// trees are the copies of the two variants' sources.
type trees struct{ a, b string }

// Run plays all days and returns the pairs that were played by both variants;
// the error joins all plays that failed.
func (e *Experiment) Run(ctx context.Context, p Player) ([]Pair, error) {
	dir, err := os.MkdirTemp("", "paired-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrVariant, err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder that stays does no harm
	t := trees{a: filepath.Join(dir, "a"), b: filepath.Join(dir, "b")}
	if err := e.makeTrees(ctx, t); err != nil {
		return nil, err
	}
	a, errA := e.A.through(ctx, e.Root, p, e.Cache)
	b, errB := e.B.through(ctx, e.Root, p, e.Cache)
	if err := errors.Join(errA, errB); err != nil {
		return nil, err
	}
	pairs, err := e.playAll(ctx, a, b, t)
	for _, tree := range []string{t.a, t.b} {
		err = errors.Join(err, CollectJournal(tree, e.Root))
	}
	return pairs, err
}

// makeTrees copies the sources of both variants.
func (e *Experiment) makeTrees(ctx context.Context, t trees) error {
	for _, v := range []struct {
		variant Variant
		dir     string
	}{{e.A, t.a}, {e.B, t.b}} {
		if err := os.MkdirAll(filepath.Join(v.dir, "journal"), 0o755); err != nil {
			return fmt.Errorf("%w: %w", ErrVariant, err)
		}
		if err := v.variant.Tree(ctx, e.Root, v.dir); err != nil {
			return err
		}
	}
	return nil
}

// playAll plays every day and seed with both variants, Jobs at a time.
func (e *Experiment) playAll(ctx context.Context, a, b Player, t trees) ([]Pair, error) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(e.Jobs, 1))
	var pairs []Pair
	for _, day := range e.Days {
		for _, seed := range e.Seeds {
			pairs = append(pairs, Pair{Site: siteName(e.Site), Day: day, Seed: seed})
		}
	}
	errs := make([][2]error, len(pairs))
	play := func(p Player, dir string, pair *Pair, res *Result, err *error) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			*res, *err = p.Play(ctx, dir, e.Site, pair.Day, pair.Seed)
		})
	}
	for i := range pairs {
		play(a, t.a, &pairs[i], &pairs[i].A, &errs[i][0])
		play(b, t.b, &pairs[i], &pairs[i].B, &errs[i][1])
	}
	wg.Wait()
	return wholePairs(pairs, errs)
}

// wholePairs returns the pairs that both variants played, and the errors of the others.
func wholePairs(pairs []Pair, errs [][2]error) ([]Pair, error) {
	var whole []Pair
	var failed error
	for i, pair := range pairs {
		if err := errors.Join(errs[i][0], errs[i][1]); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		whole = append(whole, pair)
	}
	return whole, failed
}

// siteName returns the name of a site by its file.
func siteName(path string) string {
	base := filepath.Base(path)
	return base[:len(base)-len(filepath.Ext(base))]
}
