package logsink_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/logsink"
)

// clock is a clock that a test moves.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func TestAReaderThatStopsReadingHoldsNobodyUp(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe() // nobody reads r
	defer func() { _ = r.Close() }()
	s := logsink.New(w, logsink.Options{Lines: 10, BytesPerSecond: 1 << 30, Burst: 1 << 30, Now: time.Now})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			_, _ = io.WriteString(s, "a line\n")
		}
	}()
	g.Eventually(done, 10*time.Second).Should(BeClosed())
	g.Expect(s.Dropped()).To(BeNumerically(">=", 1000-12))
}

func TestTheBudgetIsKeptAndWhatIsDroppedIsSaid(t *testing.T) {
	g := NewWithT(t)
	c := &clock{now: time.Unix(1000, 0)}
	var out bytes.Buffer
	s := logsink.New(&out, logsink.Options{Lines: 100, BytesPerSecond: 10, Burst: 20, Now: c.Now})
	for range 5 {
		_, _ = io.WriteString(s, "0123456789")
	}
	g.Expect(s.Dropped()).To(Equal(int64(3)))
	c.advance(time.Second)
	_, _ = io.WriteString(s, "0123456789")
	s.Close(10 * time.Second)
	g.Expect(out.String()).To(ContainSubstring(`"lines":3`))
	g.Expect(strings.Count(out.String(), "0123456789")).To(Equal(3))
}
