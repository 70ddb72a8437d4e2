package exchange_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/protocol/exchange"
)

// post sends a body and returns whether a byte of it may have left, and the error.
func post(ctx context.Context, x *exchange.Client, url string) (sent bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, 100)))
	if err != nil {
		return true, err
	}
	resp, sent, err := x.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	return sent, err
}

// listener accepts connections and hands them on; it never speaks HTTP.
func listener(t *testing.T, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return "http://" + l.Addr().String()
}

func TestSentTellsWhetherABytesLeft(t *testing.T) {
	refused := httptest.NewServer(nil)
	refused.Close()
	cutAtOnce := listener(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	})
	silent := listener(t, func(net.Conn) {})
	cases := []struct {
		name string
		url  string
		sent bool
	}{
		{"connection refused", refused.URL, false},
		{"cut after the first byte", cutAtOnce, true},
		{"never answered", silent, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			sent, err := post(ctx, exchange.New(exchange.Options{DialTimeout: time.Second}), c.url)
			g.Expect(err).To(HaveOccurred())
			g.Expect(sent).To(Equal(c.sent))
		})
	}
}

// Guards against a head that ends early and is taken for that of a complete response.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n"},
		{"no body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"end of the connection", "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 0\n\n"},
	} {
		for _, keepAlive := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, keep-alive %t", c.name, keepAlive), func(t *testing.T) {
				g := NewWithT(t)
				cut := 0
				url := listener(t, func(conn net.Conn) {
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, c.head[:cut])
					_ = conn.Close()
				})
				x := exchange.New(exchange.Options{DialTimeout: time.Second, KeepAlive: keepAlive, IdleConns: 2})
				for cut = range len(c.head) {
					sent, err := post(context.Background(), x, url)
					g.Expect(err).To(HaveOccurred(), "cut after %q", c.head[:cut])
					g.Expect(sent).To(BeTrue())
				}
			})
		}
	}
}

func TestExpiredRequestIsNotSent(t *testing.T) {
	g := NewWithT(t)
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sent, err := post(ctx, exchange.New(exchange.Options{DialTimeout: time.Second}), s.URL)
	g.Expect(err).To(HaveOccurred())
	g.Expect(sent).To(BeFalse())
	g.Expect(got.Load()).To(BeZero())
}

// TestNothingIsSentTwice cuts every connection after the request has been read,
// on connections that were used before and so might be taken for stale.
func TestNothingIsSentTwice(t *testing.T) {
	for _, keepAlive := range []bool{false, true} {
		g := NewWithT(t)
		var got atomic.Int32
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if got.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		x := exchange.New(exchange.Options{DialTimeout: time.Second, KeepAlive: keepAlive, IdleConns: 2})
		_, err := post(context.Background(), x, s.URL)
		g.Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequest(http.MethodPost, s.URL, bytes.NewReader([]byte("x")))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", "k")
		resp, sent, err := x.Do(req)
		if resp != nil {
			_ = resp.Body.Close()
		}
		g.Expect(err).To(HaveOccurred())
		g.Expect(sent).To(BeTrue())
		g.Expect(got.Load()).To(Equal(int32(2)))
		s.Close()
	}
}

// Guards against a status that HTTP does not have and that reaches callers as that of an answer, or makes the writer of the answer
// panic. The request may have run.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		statusLine string
		isAnswer   bool
	}{
		{"000 ", false}, {"099 Odd", false}, {"101 Switching Protocols", false}, {"600 Odd", false}, {"999 Odd", false},
		{"200 OK", true}, {"299 Odd", true}, {"599 Odd", true},
	} {
		for _, keepsOpen := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, left open %t", c.statusLine, keepsOpen), func(t *testing.T) {
				g := NewWithT(t)
				url := listener(t, func(conn net.Conn) {
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, "HTTP/1.1 "+c.statusLine+"\r\nContent-Length: 0\r\n\r\n")
					if keepsOpen {
						_, _ = io.Copy(io.Discard, conn)
					}
					_ = conn.Close()
				})
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				sent, err := post(ctx, exchange.New(exchange.Options{DialTimeout: time.Second, KeepAlive: true, IdleConns: 1}), url)
				g.Expect(ctx.Err()).NotTo(HaveOccurred())
				g.Expect(sent).To(BeTrue())
				if c.isAnswer {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(direct.ErrInvalidResponse))
				}
			})
		}
	}
}
