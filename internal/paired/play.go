package paired

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
)

// Bench plays days with the users' bench.
type Bench struct {
	// Program is the absolute path of the bench.
	Program string
	// Why goes into the bench's journal with every play.
	Why string
}

// report is the part of the bench's report of a day that is used here.
type report struct {
	Worth  float64                    `json:"G"`
	Served float64                    `json:"served"`
	Fault  *string                    `json:"fault"`
	Breaks map[string]json.RawMessage `json:"breaks"`
}

// Play plays one day of a site with the sources in dir. Processor time is charged:
// plays without it repeat better, but hide all that an overloaded node does. On a
// site of 85 nodes the same day earned 0.80 of a class without and 0.52 with it.
func (b *Bench) Play(ctx context.Context, dir, site, day string, seed int64) (Result, error) {
	file, err := os.CreateTemp("", "report-*.json")
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrPlay, err)
	}
	defer func() { _ = os.Remove(file.Name()) }() // a temporary file that stays does no harm
	if err := file.Close(); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrPlay, err)
	}
	cmd := exec.CommandContext(ctx, b.Program, "run", site, day,
		"--seed", strconv.FormatInt(seed, 10), "--report", file.Name(), "--why", b.Why)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	// The bench's exit code tells how the day ended, the report alone whether it was played.
	r, readErr := readReport(file.Name())
	if readErr != nil {
		return Result{}, fmt.Errorf("%w: %s seed %d: %w: %s", ErrPlay, day, seed, errors.Join(readErr, err), tail(out))
	}
	return r, nil
}

// tailSize is how much of the bench's output an error shows, in bytes.
const tailSize = 400

// tail returns the end of an output.
func tail(out []byte) []byte { return out[max(0, len(out)-tailSize):] }

// readReport reads the bench's report of a day.
func readReport(path string) (Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return Result{}, err
	}
	res := Result{Worth: r.Worth, Served: r.Served}
	for rule := range r.Breaks {
		res.Broken = append(res.Broken, rule)
	}
	slices.Sort(res.Broken)
	if r.Fault != nil {
		res.Broken = append(res.Broken, "fault: "+*r.Fault)
	}
	return res, nil
}

// CollectJournal moves the journal entries of the plays in dir to the project's journal.
func CollectJournal(dir, root string) error {
	entries, err := filepath.Glob(filepath.Join(dir, "journal", "*.json"))
	if err != nil {
		return fmt.Errorf("%w: journal: %w", ErrPlay, err)
	}
	for _, path := range entries {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("%w: journal: %w", ErrPlay, err)
		}
		if err := os.WriteFile(filepath.Join(root, "journal", filepath.Base(path)), text, 0o644); err != nil {
			return fmt.Errorf("%w: journal: %w", ErrPlay, err)
		}
	}
	return nil
}
