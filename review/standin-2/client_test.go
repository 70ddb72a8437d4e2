package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id, path string
	deadline time.Duration
	header   map[string]string
	body     []byte
}

// answer is what the client has got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// complete tells that the answer was whole by the protocol: to its length, to its last chunk, or to the end of the connection
	// where it has neither.
	complete, closes bool
	err              error
	took             time.Duration
}

// bytes returns a request as the client writes it.
func (q *request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n",
		q.path, host, q.id, q.deadline.Milliseconds(), clientKey, len(q.body))
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// client is a client that keeps its connection for further requests.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// call sends a request on a new connection.
func call(address string, q *request) answer {
	c := &client{address: address}
	defer c.close()
	return c.call(q)
}

// call sends a request and reads the answer until it is complete, it breaks, or the deadline is over. The connection is kept unless
// the answer was not complete or asks to close it.
func (c *client) call(q *request) answer {
	began := time.Now()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return answer{err: err, took: time.Since(began)}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(began.Add(q.deadline))
	a := c.exchange(q)
	a.took = time.Since(began)
	if !a.complete || a.closes {
		c.close()
	}
	return a
}

// exchange writes a request and reads its answer.
func (c *client) exchange(q *request) answer {
	if _, err := c.conn.Write(q.bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, closes: resp.Close}
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	return a
}

// close closes the connection.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// String returns the answer as a line of the record.
func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	end := "complete"
	if !a.complete {
		end = fmt.Sprintf("incomplete (%v)", a.err)
	}
	text := string(a.body)
	if len(text) > 400 {
		text = text[:400] + "..."
	}
	return fmt.Sprintf("%d after %d ms, seal %q, %s, %d bytes: %q", a.status, a.took.Milliseconds(), a.header.Get("X-Response-Seal"), end, len(a.body), text)
}

// streamHeader returns the headers of a request for a stream of a model.
func streamHeader(model string) map[string]string {
	return map[string]string{"X-Model": model, "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "Content-Type": "application/json"}
}

// eventIDs returns the IDs of the whole events of a stream and what follows the last of them.
func eventIDs(body string) (ids []string, rest string) {
	for {
		event, after, found := strings.Cut(body, "\n\n")
		if !found {
			return ids, body
		}
		for line := range strings.Lines(event) {
			if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
				ids = append(ids, id)
			}
		}
		body = after
	}
}

// errBroken means that the case has shown that the rule is broken.
var errBroken = errors.New("the rule is broken")
