package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/direct"
)

// respond reads a request, responds with a text and leaves the connection open until the caller closes it.
func respond(text string) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// An instance in trouble sent an answer with the status 000, and its caller got it as an answer; others waited for a final response
// until their deadline. A status that HTTP does not have, or that nothing asked for, is no response.
func TestStatusThatIsNoneEndsTheExchangeAtOnce(t *testing.T) {
	for _, c := range []struct{ name, statusLine string }{
		{"000", "HTTP/1.1 000 "},
		{"000 without a reason", "HTTP/1.1 000"},
		{"001", "HTTP/1.1 001 Odd"},
		{"099", "HTTP/1.1 099 Odd"},
		{"with a sign", "HTTP/1.1 +20 OK"},
		{"below zero", "HTTP/1.1 -20 OK"},
		{"two digits", "HTTP/1.1 20 OK"},
		{"four digits", "HTTP/1.1 2000 OK"},
		{"letters", "HTTP/1.1 2OO OK"},
		{"an upgrade that was not asked for", "HTTP/1.1 101 Switching Protocols"},
		{"600", "HTTP/1.1 600 Odd"},
		{"999", "HTTP/1.1 999 Odd"},
		{"another version", "HTTP/2.0 200 OK"},
		{"an older version", "HTTP/0.9 200 OK"},
	} {
		for _, headers := range []string{"Id: own\r\nContent-Length: 2\r\n\r\nok", "Id: own\r\nContent-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "Id: own\r\nConnection: close\r\n\r\nok"} {
			t.Run(c.name+", "+strings.ReplaceAll(strings.TrimSpace(headers), "\r\n", " "), func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := get(t, ctx, respond(c.statusLine+"\r\n"+headers))
				g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the exchange lasted until its deadline")
				g.Expect(err).To(MatchError(direct.ErrNoResponse))
				g.Expect(err).To(MatchError(direct.ErrInvalidResponse))
			})
		}
	}
}

// Statuses that HTTP has are passed on, also those without a name, and informational responses before them are skipped.
func TestFinalStatusIsReturned(t *testing.T) {
	const rest = "\r\nId: own\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"200", "HTTP/1.1 200 OK" + rest, 200},
		{"without a reason", "HTTP/1.1 200" + rest, 200},
		{"without a name", "HTTP/1.1 299 Odd" + rest, 299},
		{"599", "HTTP/1.1 599 Odd" + rest, 599},
		{"HTTP/1.0", "HTTP/1.0 200 OK" + rest, 200},
		{"after informational ones", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 200 OK" + rest, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			resp, err := get(t, ctx, respond(c.text))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Status).To(Equal(c.status))
			resp.Close()
		})
	}
}

// Bytes behind a response that has no body must not be read as the next response of the connection.
func TestBytesBehindBodilessResponseEndTheConnection(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"204 with a length and a body", "HTTP/1.1 204 No Content\r\nId: own\r\nContent-Length: 5\r\n\r\nabcde"},
		{"204 with a body", "HTTP/1.1 204 No Content\r\nId: own\r\n\r\nabcde"},
		{"304 with a body", "HTTP/1.1 304 Not Modified\r\nId: own\r\nContent-Length: 5\r\n\r\nabcde"},
		{"a whole response behind it", "HTTP/1.1 204 No Content\r\nId: own\r\n\r\nHTTP/1.1 200 OK\r\nId: next\r\nContent-Length: 6\r\n\r\nforged"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			pool := direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now)
			served := 0
			addr := serveConn(t, func(conn net.Conn) {
				br := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					served++
					if served == 1 {
						_, _ = io.WriteString(conn, c.text)
						continue
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+req.Header.Get("Id")+"\r\nContent-Length: 4\r\n\r\nreal")
				}
			})
			do := func(id string) *direct.Response {
				resp, err := pool.Do(ctx, addr, &direct.Request{
					Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id, ResponseID: func(h http.Header) string { return h.Get("Id") },
				})
				g.Expect(err).NotTo(HaveOccurred())
				return resp
			}
			first := do("own")
			_, err := io.Copy(io.Discard, first.Body)
			g.Expect(err).NotTo(HaveOccurred())
			first.Close()
			next := do("next")
			body, err := io.ReadAll(next.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).To(Equal("real"))
			next.Close()
		})
	}
}

// A server must not have a call go to another address by a redirect: an order or a probe is meant for one instance.
func TestHTTPClientFollowsNoRedirect(t *testing.T) {
	g := NewWithT(t)
	var followed atomic.Bool
	elsewhere := serveConn(t, func(net.Conn) { followed.Store(true) })
	addr := serveConn(t, respond("HTTP/1.1 303 See Other\r\nLocation: http://"+elsewhere.String()+"/\r\nContent-Length: 0\r\n\r\n"))
	client := direct.Dialer{Timeout: time.Second}.HTTPClient(0, time.Second)
	client.Timeout = 5 * time.Second
	resp, err := client.Post("http://"+addr.String()+"/order", "text/plain", strings.NewReader("order"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusSeeOther))
	g.Expect(followed.Load()).To(BeFalse())
}
