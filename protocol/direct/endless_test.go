package direct_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/direct"
)

// respondEndlessly reads requests and responds with a text, followed by another one again and again until the connection
// is closed.
func respondEndlessly(text, more string) func(net.Conn) {
	var endless []byte // no string, which each write would copy
	if more != "" {
		endless = bytes.Repeat([]byte(more), 64<<10/len(more)+1)
	}
	return func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, err = io.WriteString(conn, text)
		for len(endless) > 0 && err == nil {
			_, err = conn.Write(endless)
		}
	}
}

// get sends a request with an ID to the server that handle implements.
func get(t *testing.T, ctx context.Context, handle func(net.Conn)) (*direct.Response, error) {
	pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
	return pool.Do(ctx, serveConn(t, handle), &direct.Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, ID: "own", ResponseID: func(h http.Header) string { return h.Get("Id") },
	})
}

// A server may send bytes that are no response until the connection is closed. The node must neither hold them nor wait
// until the deadline: one such server used up the memory of all nodes and held their callers.
func TestEndlessHeadEndsTheExchangeAtOnce(t *testing.T) {
	const maxBytes = 4 << 20
	for _, c := range []struct{ name, text, more string }{
		{"bytes that are no HTTP", "", "\x00\xffno response"},
		{"a status line", "HTTP/1.1 200 ", "O"},
		{"one head line", "HTTP/1.1 200 OK\r\nId: ", "x"},
		{"head lines", "HTTP/1.1 200 OK\r\n", "More: x\r\n"},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"informational responses with long heads", "", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 4000) + "\r\n\r\n"},
		{"a response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 900000000000\r\n\r\n", "x"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := get(t, ctx, respondEndlessly(c.text, c.more))
			runtime.ReadMemStats(&after)
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the exchange lasted until its deadline")
			g.Expect(err).To(MatchError(direct.ErrNoResponse))
			g.Expect(err).To(MatchError(direct.ErrInvalidResponse))
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxBytes))
		})
	}
}

// Faults in the framing of a body show only while it is read.
func TestEndlessFramingEndsTheBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, text, more string }{
		{"a chunk's size", chunked, "0"},
		{"a chunk's extension", chunked + "1;", "x"},
		{"no chunk", chunked, "no chunk\r\n"},
		{"trailers", chunked + "0\r\n", "More: x\r\n"},
		{"one trailer", chunked + "0\r\nMore: ", "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			resp, err := get(t, ctx, respondEndlessly(c.text, c.more))
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Close()
			n, err := io.Copy(io.Discard, resp.Body)
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the body was read until the deadline")
			g.Expect(err).To(MatchError(direct.ErrInvalidResponse))
			g.Expect(n).To(BeNumerically("<", 64<<10))
		})
	}
}

// What is within the limits must be received as before.
func TestResponsesWithinTheLimitsAreReceived(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct{ name, text string }{
		{"a long head", "HTTP/1.1 200 OK\r\nId: own\r\nMore: " + strings.Repeat("x", 32<<10) + "\r\n" + body},
		{"many head lines", "HTTP/1.1 200 OK\r\nId: own\r\n" + strings.Repeat("More: x\r\n", 1000) + body},
		{"informational responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 16) + "HTTP/1.1 200 OK\r\nId: own\r\n" + body},
		{"a late response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1_000_000) + "HTTP/1.1 200 OK\r\nId: own\r\n" + body},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := get(t, context.Background(), respondEndlessly(c.text, ""))
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Close()
			raw, err := io.ReadAll(resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(raw)).To(Equal("ok"))
		})
	}
}

// A broken connection says nothing about the server's responses: only bytes that are no response do.
func TestBrokenConnectionIsNoInvalidResponse(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"nothing", ""},
		{"a part of the status line", "HTTP/1.1 20"},
		{"a part of the head", "HTTP/1.1 200 OK\r\nId: own\r\n"},
		{"a part of the body", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 10\r\n\r\nhalf"},
		{"a part of a chunk", "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := get(t, context.Background(), func(conn net.Conn) {
				respondEndlessly(c.text, "")(conn)
				_ = conn.Close()
			})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Close()
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, direct.ErrInvalidResponse)).To(BeFalse(), fmt.Sprint(err))
		})
	}
}

// Whatever bytes a server sends, a client of the package neither panics nor holds more than the limits, and a response that
// it returns matches its request.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: own\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: -1\r\n\r\n", "\x00\xff", "HTTP/1.1 99999999999 x\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		resp, err := get(t, ctx, func(conn net.Conn) {
			respondEndlessly(string(raw), "")(conn)
			_ = conn.Close()
		})
		if err != nil {
			return
		}
		defer resp.Close()
		if resp.Header.Get("Id") != "own" || resp.Status < http.StatusOK {
			t.Fatalf("%q is a response with status %d and ID %q", raw, resp.Status, resp.Header.Get("Id"))
		}
		if n, _ := io.Copy(io.Discard, resp.Body); n > int64(len(raw)) {
			t.Fatalf("%q has a body of %d bytes", raw, n)
		}
	})
}
