package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// framings are the ways in which a response tells where it ends.
var framings = []struct {
	name  string
	write func(w io.Writer, body string)
}{
	{"chunks", func(w io.Writer, body string) {
		_, _ = fmt.Fprintf(w, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}},
	{"length", func(w io.Writer, body string) { _, _ = fmt.Fprintf(w, "Content-Length: %d\r\n\r\n%s", len(body), body) }},
}

// respondWithBody responds with the head and the body of a stream in a framing.
func respondWithBody(write func(w io.Writer, body string), contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn := hijack(w)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: %s\r\nConnection: close\r\n", r.Header.Get("Id"), contentType)
		write(conn, body)
		_ = conn.Close()
	}
}

// Guards against a stream that looks complete although its instance stopped inside an event: the response ended as its length or its chunks
// said, with the seal and half an event.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for _, f := range framings {
		for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=utf-8"} {
			for _, rest := range []string{"id: 3\nda", "id: 3\ndata: x3", "id: 3\ndata: x3\n", ":", "d"} {
				for _, isForwarded := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, %q, forwarded %t", f.name, contentType, rest, isForwarded), func(t *testing.T) {
						t.Parallel()
						g := NewWithT(t)
						h := newHarness(t)
						serving := h
						if isForwarded {
							h, serving = newForwardingPair(t)
						}
						cut := respondWithBody(f.write, contentType, "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"+rest)
						serving.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
							last, _ := strconv.Atoi(r.Header.Get("Last"))
							if last == 0 {
								cut(w, r)
								return
							}
							writeEvents(w, last+1, 4)
						})
						a := h.call(http.MethodPost, "/once/x", "", nil)
						g.Expect(a.status).To(Equal(http.StatusOK))
						g.Expect(a.err).To(HaveOccurred(), "a stream that cannot be resumed must not look complete")
						g.Expect(a.body).NotTo(ContainSubstring("id: 3"))
						serving.addInstance("b", "lm", func(w http.ResponseWriter, r *http.Request) {
							last, _ := strconv.Atoi(r.Header.Get("Last"))
							if last == 0 {
								cut(w, r)
								return
							}
							writeEvents(w, last+1, 4)
						})
						a = h.call(http.MethodPost, "/stream/x", "", nil)
						g.Expect(a.err).NotTo(HaveOccurred())
						g.Expect(a.body).To(Equal("id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n"))
					})
				}
			}
		}
	}
}

// Line ends behind the last event are no event, and a response of another type has none.
func TestCompleteResponsesOfStreamRoutesArriveWhole(t *testing.T) {
	const events = "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n"
	for _, f := range framings {
		for _, c := range []struct{ contentType, body string }{
			{"text/event-stream", events}, {"text/event-stream", events + "\n"}, {"text/event-stream", events + "\r\n\n"},
			{"text/event-stream", strings.ReplaceAll(events, "\n", "\r\n")}, {"application/json", `{"choices":[]}`}, {"text/plain", "no events"},
		} {
			t.Run(fmt.Sprintf("%s, %s, %q", f.name, c.contentType, c.body), func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t)
				h.addInstance("a", "lm", respondWithBody(f.write, c.contentType, c.body))
				a := h.call(http.MethodPost, "/once/x", "", nil)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(http.StatusOK))
				g.Expect(a.body).To(Equal(c.body))
			})
		}
	}
}
