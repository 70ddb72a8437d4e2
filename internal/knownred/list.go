// Package knownred lets a test run pass although it holds failures that are listed
// with what was seen, and fails it for any other failure and for a listed test that
// passes or did not run.
package knownred

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Most is the number of tests that may be listed at a time.
const Most = 3

// separator stands between the fields of an entry.
const separator = " | "

// ErrList means that the list of known failures cannot be used.
var ErrList = errors.New("known failures")

// Entry is a test that is known to fail.
type Entry struct {
	// Test is the name of a top-level test; its subtests belong to it.
	Test string
	// Command is how to have it fail, with the seed where there is one; Seen is what was seen then.
	Command string
	Seen    string
	// Issue is where its repair is tracked.
	Issue string
}

// Parse reads a list with one entry a line: test, command, what was seen and issue, separated by
// " | ". Empty lines and lines that begin with # are passed over. An error names the line.
func Parse(r io.Reader) ([]Entry, error) {
	var list []Entry
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		e, err := parseEntry(text)
		if err != nil {
			return nil, fmt.Errorf("%w: line %d: %w", ErrList, n, err)
		}
		list = append(list, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrList, err)
	}
	if len(list) > Most {
		return nil, fmt.Errorf("%w: %d tests are listed, %d at most", ErrList, len(list), Most)
	}
	return list, nil
}

// parseEntry reads one line of the list.
func parseEntry(text string) (Entry, error) {
	fields := strings.Split(text, separator)
	if len(fields) != 4 {
		return Entry{}, fmt.Errorf("%q: want test%[2]scommand%[2]swhat was seen%[2]sissue", text, separator)
	}
	for i, f := range fields {
		fields[i] = strings.TrimSpace(f)
		if fields[i] == "" {
			return Entry{}, fmt.Errorf("%q: a field is empty", text)
		}
	}
	if !strings.HasPrefix(fields[0], "Test") || strings.Contains(fields[0], "/") {
		return Entry{}, fmt.Errorf("%q is no top-level test", fields[0])
	}
	return Entry{Test: fields[0], Command: fields[1], Seen: fields[2], Issue: fields[3]}, nil
}
