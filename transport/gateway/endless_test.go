package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// respondEndlessly responds with a text, followed by bytes without end until the connection is closed.
func respondEndlessly(status int, text string) http.HandlerFunc {
	endless := bytes.Repeat([]byte("x"), 64<<10)
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, err := io.WriteString(w, text)
		for err == nil {
			_, err = w.Write(endless)
		}
	}
}

// An event that never ends must neither be held by the node nor keep the stream from another group until its deadline.
func TestStreamWithEndlessEventResumesElsewhere(t *testing.T) {
	const maxBytes = 16 << 20
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("bad", "lm", respondEndlessly(http.StatusOK, "id: 1\ndata: x1\n\nid: 2\ndata: "))
	h.addInstance("good", "lm", func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		writeEvents(w, last+1, 4)
	})
	startedAtBad := 0
	for i := range 40 {
		id := "r" + strconv.Itoa(i)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		began := time.Now()
		a := h.call(http.MethodPost, "/stream/", "", map[string]string{"Id": id})
		runtime.ReadMemStats(&after)
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.body).To(Equal("id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n"))
		g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxBytes))
		for _, r := range h.runLog.all() {
			if r.id == id && r.instance == "bad" {
				startedAtBad++
			}
		}
	}
	g.Expect(startedAtBad).To(BeNumerically(">", 0))
}

// The status of a failure is all that a caller needs, so that a body that never ends must not hold it. A part of the body
// with the status and the seal of the instance would look like the complete response.
func TestFailureWithEndlessBodyEndsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name, path string
		handler    http.HandlerFunc
		status     int
	}{
		{"not repeatable", "/unsafe/", respondEndlessly(http.StatusInternalServerError, ""), http.StatusBadGateway},
		{"repeatable", "/safe/", respondEndlessly(http.StatusInternalServerError, ""), http.StatusBadGateway},
		{"longer than what is buffered", "/unsafe/", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, strings.Repeat("x", 3<<20))
		}, http.StatusBadGateway},
		{"short", "/unsafe/", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", c.handler)
			h.addInstance("b", "plain", c.handler)
			began := time.Now()
			a := h.call(http.MethodPost, c.path, "", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(c.status))
			g.Expect(a.header.Get("Seal") != "").To(Equal(c.status == http.StatusInternalServerError))
			g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		})
	}
}

// An instance that turns a request away has not run it, whatever follows the head of its response. The body must not hold
// the request, which another instance can still serve.
func TestRefusalWithEndlessBodyIsRetriedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"at full speed", respondEndlessly(http.StatusServiceUnavailable, "")},
		{"slowly", func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			full := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Not-Run", "1")
				c.handler(w, r)
			}
			h.addInstance("a", "plain", full)
			h.addInstance("b", "plain", full)
			h.addInstance("c", "plain", respondWith("ok"))
			for range 10 {
				began := time.Now()
				a := h.call(http.MethodPost, "/unsafe/", "", nil)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.body).To(Equal("ok"))
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			}
		})
	}
}

// A large body of a success is forwarded as it arrives, and ends for the caller as it ended for the node.
func TestEndlessBodyOfASuccessNeverLooksComplete(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "plain", respondEndlessly(http.StatusOK, ""))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/unsafe/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	for name, value := range map[string]string{"Id": "r1", "Key": "k", "Patience": "500"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	_, err = io.Copy(io.Discard, resp.Body)
	runtime.ReadMemStats(&after)
	g.Expect(err).To(HaveOccurred())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(after.HeapAlloc).To(BeNumerically("<", before.HeapAlloc+(16<<20)))
}

// endlessReader is a request body that never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// A caller may send a body without a length that never ends. A configuration without a limit must not let it fill the memory.
func TestEndlessBodyOfACallerIsRefused(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.catalogs.current.Limits.BodyBytes = 0
	h.addInstance("a", "plain", respondWith("x"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/unsafe/", endlessReader{})
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		g.Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(resp.Body.Close()).To(Succeed())
	}
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the body was read until its deadline")
	g.Expect(h.runLog.all()).To(BeEmpty())
}
