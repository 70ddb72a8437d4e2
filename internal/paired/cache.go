package paired

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"strings"
	"sync"
)

// Cache keeps the results of plays in a file, so that a variant that several
// experiments share is played once for each day and seed. Safe for concurrent use.
type Cache struct {
	path    string
	mu      sync.Mutex
	results map[string]Result
}

// OpenCache reads a cache's file, if there is one.
func OpenCache(path string) (*Cache, error) {
	c := &Cache{path: path, results: map[string]Result{}}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &c.results)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: cache %s: %w", ErrPlay, path, err)
	}
	return c, nil
}

// Save writes the cache's file.
func (c *Cache) Save() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(c.results)
	if err == nil {
		err = os.WriteFile(c.path, text, 0o644)
	}
	if err != nil {
		return fmt.Errorf("%w: cache %s: %w", ErrPlay, c.path, err)
	}
	return nil
}

// get returns the result of a play, if it is known.
func (c *Cache) get(key string) (Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.results[key]
	return r, ok
}

// put records the result of a play.
func (c *Cache) put(key string, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[key] = r
}

// cached is a Player that looks into a cache first.
type cached struct {
	Player
	cache *Cache
	// variant names the sources by the hash of their commit and their settings.
	variant string
}

// Play implements Player.
func (p cached) Play(ctx context.Context, dir, site, day string, seed int64) (Result, error) {
	key := fmt.Sprintf("%s %s %s %d", p.variant, siteName(site), day, seed)
	if r, ok := p.cache.get(key); ok {
		return r, nil
	}
	r, err := p.Player.Play(ctx, dir, site, day, seed)
	if err == nil {
		p.cache.put(key, r)
	}
	return r, err
}

// through returns a player that keeps the results of a variant in a cache. The
// working tree changes, so that its results are not kept.
func (v Variant) through(ctx context.Context, root string, p Player, cache *Cache) (Player, error) {
	if cache == nil || v.Commit == WorkTree {
		return p, nil
	}
	cmd := exec.CommandContext(ctx, "git", "rev-parse", "--verify", v.Commit+"^{commit}")
	cmd.Dir = root
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrVariant, v, err)
	}
	name := Variant{Commit: strings.TrimSpace(string(out)), Settings: v.Settings}
	return cached{Player: p, cache: cache, variant: name.String()}, nil
}
