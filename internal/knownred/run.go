package knownred

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	// FailedBuild names the package whose build failed.
	FailedBuild string
}

// test names a top-level test of a package.
type test struct {
	pkg  string
	name string
}

// Run collects the outcomes of a test run.
type Run struct {
	known   []Entry
	out     io.Writer
	outputs map[test][]string
	passed  map[test]bool
	failed  map[test]bool
	// packages are the packages that failed, crashed those of them that did not run to their end.
	packages []string
	crashed  map[string]bool
	skipped  int
}

// NewRun returns a Run that knows some failures and prints failures to out.
func NewRun(known []Entry, out io.Writer) *Run {
	return &Run{
		known:   known,
		out:     out,
		outputs: map[test][]string{},
		passed:  map[test]bool{},
		failed:  map[test]bool{},
		crashed: map[string]bool{},
	}
}

// Read takes the output of go test -json up to its end.
func (r *Run) Read(in io.Reader) error {
	lines := json.NewDecoder(in)
	for {
		var e event
		err := lines.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("output of the test run: %w", err)
		}
		r.record(e)
	}
}

// record adds one event.
func (r *Run) record(e event) {
	name, _, sub := strings.Cut(e.Test, "/")
	t := test{e.Package, name}
	switch e.Action {
	case "output", "build-output":
		r.outputs[t] = append(r.outputs[t], e.Output)
		if crashLine(e.Output) {
			r.crashed[e.Package] = true
		}
	case "pass":
		if name != "" && !sub {
			r.passed[t] = true
			delete(r.outputs, t)
		}
	case "skip":
		if name != "" && !sub {
			r.skipped++
		}
	case "fail":
		if name != "" {
			r.failed[t] = true
			return
		}
		r.packages = append(r.packages, e.Package)
		if e.FailedBuild != "" {
			r.crashed[e.Package] = true
			r.outputs[t] = append(r.outputs[t], "the build of "+e.FailedBuild+" failed\n")
		}
	}
}

// crashLine reports whether a line of output shows that a test process ended
// early, so that the tests after it did not run.
func crashLine(line string) bool {
	for _, prefix := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE"} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}

// Close prints what failed and the counts, and reports whether the run counts as
// passed: all failures are listed, and all listed tests failed. failed tells that
// the run itself ended as failed; it must have shown the reason.
func (r *Run) Close(failed bool) bool {
	good := true
	if failed && len(r.packages) == 0 {
		good = false
		r.print("the run failed, but no package did\n")
	}
	for _, p := range r.packages {
		if r.crashed[p] || !r.anyFailed(func(t test) bool { return t.pkg == p }) {
			good = false
			r.print("package %s failed\n%s", p, strings.Join(r.outputs[test{pkg: p}], ""))
		}
	}
	known := 0
	for _, t := range r.sortedFailures() {
		if e, ok := r.entry(t.name); ok {
			known++
			r.print("known failure: %s: %s (%s; %s)\n", e.Test, e.Seen, e.Command, e.Issue)
			continue
		}
		good = false
		r.print("%s%s failed in %s\n", strings.Join(r.outputs[t], ""), t.name, t.pkg)
	}
	for _, e := range r.known {
		if !r.anyFailed(func(t test) bool { return t.name == e.Test }) {
			good = false
			r.print("%s is listed as a known failure and did not fail\n", e.Test)
		}
	}
	r.print("%d passed, %d failed, %d skipped\n", len(r.passed), len(r.failed)-known, r.skipped)
	return good && len(r.passed) > 0
}

// print writes a text to the output of the run.
func (r *Run) print(format string, args ...any) {
	// Nothing can be done where the verdict cannot be printed; it is the exit code too.
	_, _ = fmt.Fprintf(r.out, format, args...)
}

// entry returns the entry of a test in the list.
func (r *Run) entry(name string) (Entry, bool) {
	i := slices.IndexFunc(r.known, func(e Entry) bool { return e.Test == name })
	if i < 0 {
		return Entry{}, false
	}
	return r.known[i], true
}

// anyFailed reports whether a failed test matches.
func (r *Run) anyFailed(matches func(t test) bool) bool {
	for t := range r.failed {
		if matches(t) {
			return true
		}
	}
	return false
}

// sortedFailures returns the failed tests by package and name.
func (r *Run) sortedFailures() []test {
	list := make([]test, 0, len(r.failed))
	for t := range r.failed {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b test) int { return strings.Compare(a.pkg+" "+a.name, b.pkg+" "+b.name) })
	return list
}
