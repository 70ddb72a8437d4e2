package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
)

// respondUnframed responds with a body that has neither a length nor chunks, and ends it by closing the connection.
func respondUnframed(w http.ResponseWriter, contentType, body string) {
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: " + contentType + "\r\nId: " + w.Header().Get("Id") + "\r\nSeal: " + w.Header().Get("Seal") + "\r\n\r\n"
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buf.WriteString(head + body)
	_ = buf.Flush()
	_ = conn.Close()
}

// events returns the events of a stream from one ID to another.
func events(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x%d\n\n", i, i)
	}
	return text
}

// The end of the connection ends such a stream; it has been broken off if that is inside an event or before the first one.
func TestStreamWithoutLengthEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		first string
		runs  int
	}{
		{"after an event", events(1, 6), 1},
		{"before the first event", "", 2},
		{"inside an event", events(1, 3) + "id: 4\nda", 2},
		{"after the first line of an event", events(1, 5) + "id: 6\n", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			for _, id := range []string{"a", "b"} {
				h.addInstance(id, "lm", func(w http.ResponseWriter, r *http.Request) {
					if len(h.runLog.all()) > 1 {
						last, _ := strconv.Atoi(r.Header.Get("Last"))
						respondUnframed(w, "text/event-stream", events(last+1, 6))
						return
					}
					respondUnframed(w, "text/event-stream", c.first)
				})
			}
			a := h.call(http.MethodPost, "/stream/", "x", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(events(1, 6)))
			g.Expect(h.runLog.all()).To(HaveLen(c.runs))
		})
	}
}

// Guards against an empty success: an instance that ends after the head of its response has sent no stream.
func TestStreamWithoutEventsIsNoResponse(t *testing.T) {
	for _, isForwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %t", isForwarded), func(t *testing.T) {
			g := NewWithT(t)
			h, serving := newHarnesses(t, isForwarded)
			serving.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) { respondUnframed(w, "text/event-stream", "") })
			got := h.call(http.MethodPost, "/once/x", "x", nil)
			g.Expect(got.err).NotTo(HaveOccurred())
			g.Expect(got.status).To(Equal(http.StatusBadGateway))
			g.Expect(got.header.Get("Seal")).To(BeEmpty())
			g.Expect(serving.runLog.all()).To(HaveLen(1))
		})
	}
}

// Guards against a stream that lacks events and looks complete: the instance that resumes it ends after the head of its response.
func TestResumedStreamWithoutFurtherEventsIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	for _, id := range []string{"a", "b"} {
		h.addInstance(id, "lm", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last") == "" {
				respondUnframed(w, "text/event-stream", events(1, 3)+"id: 4\nda")
				return
			}
			respondUnframed(w, "text/event-stream", "")
		})
	}
	got := h.call(http.MethodPost, "/stream/", "x", nil)
	g.Expect(got.err).To(HaveOccurred())
	g.Expect(got.body).To(Equal(events(1, 3)))
	g.Expect(h.runLog.all()).To(HaveLen(2))
}

// A caller that has all events resumes a stream at its end.
func TestResumedStreamMayHaveNoFurtherEvents(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) { respondUnframed(w, "text/event-stream", "") })
	got := h.call(http.MethodPost, "/stream/", "x", map[string]string{"Last": "6"})
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(got.body).To(BeEmpty())
	g.Expect(h.runLog.all()).To(HaveLen(1))
}

func TestResponseWithoutLengthIsForwardedWhole(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { respondUnframed(w, "text/plain", "whole") })
	a := h.call(http.MethodGet, "/safe/x", "", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.status).To(Equal(http.StatusOK))
	g.Expect(a.body).To(Equal("whole"))
}

// It may also have been cut off by the end of its instance, which only a later response of the instance rules out.
func TestResponseWithoutLengthIsUnconfirmed(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			for _, service := range []state.ServiceName{"plain", "lm"} {
				h.addInstance(string(service), service, func(w http.ResponseWriter, _ *http.Request) { respondUnframed(w, "text/event-stream", events(1, 2)) })
			}
			g.Expect(h.call(http.MethodPost, path, "x", nil).status).To(Equal(http.StatusOK))
			h.quarantine.mu.Lock()
			defer h.quarantine.mu.Unlock()
			g.Expect(h.quarantine.unconfirmed).To(HaveLen(1))
			g.Expect(h.quarantine.answered).To(BeEmpty())
			g.Expect(h.quarantine.alive).To(HaveLen(1))
		})
	}
}
