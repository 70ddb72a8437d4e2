package direct

import (
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

// timedWrites is the state of the time-out of writes on a connection.
type timedWrites struct {
	// writeTimeout is the time without progress after which a write fails. 0 means no time-out.
	writeTimeout time.Duration
	// mu keeps a deadline of a write from replacing that of an abort.
	mu      sync.Mutex
	aborted bool
	// lingers is set once aborts no longer apply.
	lingers bool
}

// writeParts is the number of parts of the time-out. A process that was frozen meanwhile loses one of them, and writes what the server can
// take in the next.
const writeParts = 2

// timedWriter writes to a connection with the time-out of the current request.
type timedWriter struct{ c *conn }

// Write implements io.Writer.
func (w timedWriter) Write(p []byte) (int, error) {
	if w.c.writeTimeout <= 0 {
		return w.c.Write(p)
	}
	written, idleParts := 0, 0
	for written < len(p) {
		w.c.setWriteDeadline(time.Now().Add(w.c.writeTimeout / writeParts))
		n, err := w.c.Write(p[written:])
		written += n
		idleParts++
		if n > 0 {
			idleParts = 0
		}
		if err != nil && (idleParts == writeParts || !errors.Is(err, os.ErrDeadlineExceeded) || w.c.isAborted()) {
			return written, err
		}
	}
	w.c.setWriteDeadline(time.Time{})
	return written, nil
}

// requestLineWriter replaces the first line of what is written. http.Request.Write takes a target that begins with two slashes for
// one with a host and changes it.
type requestLineWriter struct {
	w       io.Writer
	line    string
	written bool
}

// Write implements io.Writer.
func (w *requestLineWriter) Write(p []byte) (int, error) {
	rest := p
	if !w.written {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			return len(p), nil
		}
		if _, err := io.WriteString(w.w, w.line); err != nil {
			return 0, err
		}
		w.written, rest = true, p[end+1:]
	}
	n, err := w.w.Write(rest)
	return len(p) - len(rest) + n, err
}

// setWriteDeadline sets the time after which a write fails, unless the connection was aborted.
func (c *conn) setWriteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.aborted {
		_ = c.SetWriteDeadline(t)
	}
}

// isAborted reports whether the connection was aborted.
func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// abort makes all current and later reads and writes on the connection fail.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingers {
		return
	}
	c.aborted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// linger lets reads go on until a time, whether or not the connection was aborted or is later on.
func (c *conn) linger(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
	_ = c.SetReadDeadline(until)
}
