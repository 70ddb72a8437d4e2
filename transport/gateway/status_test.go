package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// oddStatusLines are status lines that begin no final response.
var oddStatusLines = []string{"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 +20 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/2.0 200 OK"}

// respondOddly responds with a status line, the ID of the request and a seal, and closes the connection or leaves it open.
func respondOddly(statusLine string, closes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn := hijack(w)
		_, _ = fmt.Fprintf(conn, "%s\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 2\r\n\r\nok", statusLine, r.Header.Get("Id"))
		if !closes {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
	}
}

// Guards against a status that is none and reaches the caller as that of an answer, or holds the caller until its deadline: an instance in
// trouble sent one. What must not run twice ends with an unknown result at once, anything else is served elsewhere.
func TestOddStatusOfAnInstanceIsNoResponse(t *testing.T) {
	for _, statusLine := range oddStatusLines {
		for _, closes := range []bool{false, true} {
			for _, isForwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, closes %t, forwarded %t", statusLine, closes, isForwarded), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					h := newHarness(t)
					serving := h
					if isForwarded {
						h, serving = newForwardingPair(t)
					}
					serving.addInstance("odd", "plain", respondOddly(statusLine, closes))
					serving.addInstance("odd-stream", "lm", respondOddly(statusLine, closes))
					began := time.Now()
					for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/once/x"} {
						a := h.call(http.MethodPost, path, "body", nil)
						g.Expect(a.err).NotTo(HaveOccurred(), path)
						g.Expect(a.status).To(Equal(http.StatusBadGateway), path)
						g.Expect(a.header.Get("Seal")).To(BeEmpty(), path)
					}
					serving.addInstance("good", "plain", respondWith("x"))
					serving.addInstance("good-stream", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
					for _, path := range []string{"/safe/x", "/stream/x"} {
						a := h.call(http.MethodPost, path, "body", nil)
						g.Expect(a.status).To(Equal(http.StatusOK), path)
					}
					g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second), "a request waited for its deadline of 3 s")
					g.Expect(serving.recorder.count("attempt.invalid")).To(BeNumerically(">=", 4))
				})
			}
		}
	}
}

// A stream that broke off resumes past an instance that responds with an odd status.
func TestStreamResumesPastOddStatus(t *testing.T) {
	for _, statusLine := range oddStatusLines {
		t.Run(statusLine, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last") == "" {
					writeEvents(w, 1, 2)
					closeConnection(w)
					return
				}
				respondOddly(statusLine, false)(w, r)
			})
			h.addInstance("b", "lm", respondOddly(statusLine, false))
			began := time.Now()
			for range 10 {
				a := h.call(http.MethodPost, "/stream/x", "", nil)
				g.Expect(a.status == http.StatusOK || a.status == http.StatusBadGateway).To(BeTrue(), "status %d", a.status)
				if a.status == http.StatusOK {
					g.Expect(a.err).To(HaveOccurred(), "a stream that could not be resumed must not look complete")
				}
			}
			g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
		})
	}
}
