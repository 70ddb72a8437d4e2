// Package standin plays the platform's store, its workers, its operator and clients for the cases of the review, and starts the
// nodes as separate processes. It is built as a test binary, since it is test code that speaks the platform's words.
package standin

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

var (
	recMu   sync.Mutex
	recFile *os.File
	began   = time.Now()
)

// rec writes a line to the record.
func rec(format string, args ...any) {
	recMu.Lock()
	defer recMu.Unlock()
	_, _ = fmt.Fprintf(recFile, "%8.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
}

// env is what a case needs.
type env struct {
	dir, binary string
	trouble     bool
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(e env) (broken bool, err error){}

// TestMain runs one case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func TestMain(*testing.M) {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD FOLDER NODE-PROGRAM")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	f, err := os.Create(os.Args[2])
	if err != nil || run == nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
	recFile = f
	broken, err := run(env{dir: os.Args[3], binary: os.Args[4], trouble: os.Getenv("TROUBLE") != "0"})
	code := 0
	switch {
	case err != nil:
		rec("the case could not run: %v", err)
		code = 2
	case broken:
		rec("result: the rule was broken")
		code = 1
	default:
		rec("result: the rule held")
	}
	_ = f.Close()
	os.Exit(code)
}
