// Package logsink writes log lines without ever holding up those who log: lines
// that the output does not take in time, or that exceed a budget of bytes, are
// dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Options bound a Sink.
type Options struct {
	// Lines is the number of lines that wait for the output at the most.
	Lines int
	// BytesPerSecond is the budget of the output, Burst what may be spent at once.
	BytesPerSecond float64
	Burst          float64
	Now            func() time.Time
}

// DefaultOptions returns the bounds of a daemon.
func DefaultOptions() Options {
	return Options{Lines: 2048, BytesPerSecond: 64 << 10, Burst: 512 << 10, Now: time.Now}
}

// Sink is a writer of log lines; safe for concurrent use.
type Sink struct {
	opts  Options
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	credit  float64
	at      time.Time
	dropped int64
	unsaid  int64
	closed  bool
}

// New returns a Sink that writes to an output.
func New(out io.Writer, opts Options) *Sink {
	s := &Sink{opts: opts, out: out, lines: make(chan []byte, opts.Lines), done: make(chan struct{}), credit: opts.Burst, at: opts.Now()}
	go s.drain()
	return s
}

// drain writes lines until the sink is closed.
func (s *Sink) drain() {
	defer close(s.done)
	for line := range s.lines {
		_, _ = s.out.Write(line)
	}
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.afford(len(line)) {
		s.dropped++
		s.unsaid++
		return len(line), nil
	}
	if s.unsaid > 0 {
		note := fmt.Appendf(nil, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"lines\":%d}}\n", s.unsaid)
		if s.offer(note) {
			s.unsaid = 0
		}
	}
	if !s.offer(append([]byte(nil), line...)) {
		s.dropped++
		s.unsaid++
	}
	return len(line), nil
}

// afford takes bytes out of the budget, if it holds them.
func (s *Sink) afford(n int) bool {
	now := s.opts.Now()
	s.credit = min(s.opts.Burst, s.credit+now.Sub(s.at).Seconds()*s.opts.BytesPerSecond)
	s.at = now
	if s.credit < float64(n) {
		return false
	}
	s.credit -= float64(n)
	return true
}

// offer puts a line before the output, if there is room.
func (s *Sink) offer(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the lines that wait, for a time at the most.
func (s *Sink) Close(within time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(within):
	}
}
