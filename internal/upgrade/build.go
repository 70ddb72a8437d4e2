// Package upgrade runs two builds of the project side by side, as separate processes before
// stand-ins of the users' platform, and replaces nodes of one by nodes of the other while
// callers, workers and the store misbehave. It judges what callers and workers see.
package upgrade

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/troutmast/troutmast/internal/paired"
)

// The errors of a run.
var (
	// ErrBuild means that a commit can't be built.
	ErrBuild = errors.New("upgrade: build")
	// ErrRun means that a run could not be played.
	ErrRun = errors.New("upgrade: run")
)

// Build is a version of the daemon that can be started.
type Build struct {
	// Commit is what was built, Program where it is.
	Commit  string
	Program string
	// Eras tells that it outlasts a store that comes back from an older copy, Limits that it
	// keeps to rate limits, Halls that it reads evacuations and limits cold workers.
	Eras   bool
	Limits bool
	Halls  bool
}

// WorkTree names the working tree as a commit.
const WorkTree = paired.WorkTree

// NewBuild builds the daemon of a commit of the project in root into a folder below dir.
func NewBuild(ctx context.Context, root, dir, commit string) (Build, error) {
	if commit != WorkTree {
		out, err := exec.CommandContext(ctx, "git", "-C", root, "rev-parse", "--verify", "--quiet", commit+"^{commit}").Output()
		if err != nil {
			return Build{}, fmt.Errorf("%w: %q is no commit of this history", ErrBuild, commit)
		}
		commit = strings.TrimSpace(string(out))
	}
	tree := filepath.Join(dir, "tree-"+commit)
	b := Build{Commit: commit, Program: filepath.Join(dir, "troutmastd-"+commit)}
	if err := os.MkdirAll(tree, 0o755); err != nil {
		return Build{}, fmt.Errorf("%w: %w", ErrBuild, err)
	}
	if err := (paired.Variant{Commit: commit}).Tree(ctx, root, tree); err != nil {
		return Build{}, fmt.Errorf("%w: %w", ErrBuild, err)
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", b.Program, "./cmd/troutmastd")
	cmd.Dir = tree
	if out, err := cmd.CombinedOutput(); err != nil {
		return Build{}, fmt.Errorf("%w: %s: %w: %s", ErrBuild, commit, err, out)
	}
	b.Eras = exists(filepath.Join(tree, "coordination", "source", "era.go"))
	b.Limits = exists(filepath.Join(tree, "coordination", "ratelimit", "dealer.go"))
	b.Halls = exists(filepath.Join(tree, "coordination", "evacuation", "evacuation.go")) && exists(filepath.Join(tree, "coordination", "ratelimit", "cold.go"))
	return b, nil
}

// exists reports whether a file can be found.
func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// production begins the line of the deploy file that names the version in production.
const production = "production = "

// Production returns the commit that runs in production, by the deploy file.
func Production(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrBuild, err)
	}
	for line := range strings.Lines(string(text)) {
		if commit, ok := strings.CutPrefix(line, production); ok {
			return strings.Trim(strings.TrimSpace(commit), `"`), nil
		}
	}
	return "", fmt.Errorf("%w: the deploy file names no version in production", ErrBuild)
}
