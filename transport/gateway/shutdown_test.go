package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/gateway"
)

// At the end of a planned stop, connections just broke under requests that instances still ran or queued. Their callers must get an answer,
// which says that the result is unknown.
func TestCallersGetAnAnswerWhenTheNodeEnds(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/once/x"} {
		for _, ending := range []string{"own", "origin", "peer"} {
			t.Run(fmt.Sprintf("%s, %s node ends", path, ending), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				h := newHarness(t)
				serving, stopping := h, h
				if ending != "own" {
					h, serving = newForwardingPair(t)
					stopping = h
				}
				if ending == "peer" {
					stopping = serving
				}
				arrived := make(chan struct{}, 4)
				waits := func(_ http.ResponseWriter, r *http.Request) {
					arrived <- struct{}{}
					<-r.Context().Done()
				}
				serving.addInstance("a", "plain", waits)
				serving.addInstance("b", "lm", waits)
				answers := make(chan callResponse, 1)
				go func() { answers <- h.call(http.MethodPost, path, "body", nil) }()
				<-arrived
				stopping.gateway.BeginStop(time.Now(), time.Now().Add(time.Minute))
				stopping.gateway.RefuseNew()
				select {
				case a := <-answers:
					t.Fatalf("ended with %d before the node did", a.status)
				case <-time.After(100 * time.Millisecond):
				}
				began := time.Now()
				stopping.gateway.EndRequests()
				a := <-answers
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(http.StatusBadGateway))
				g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			})
		}
	}
}

// A response that has begun must not look complete when the node ends.
func TestBegunResponseOfANodeThatEndsIsIncomplete(t *testing.T) {
	for _, c := range []struct {
		name, path string
		handler    http.HandlerFunc
	}{
		{"a stream", "/once/x", func(w http.ResponseWriter, r *http.Request) {
			writeEvents(w, 1, 2)
			<-r.Context().Done()
		}},
		{"a large body", "/unsafe/x", func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write(make([]byte, 3<<20))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", c.handler)
			h.addInstance("b", "lm", c.handler)
			time.AfterFunc(300*time.Millisecond, h.gateway.EndRequests)
			a := h.call(http.MethodPost, c.path, "body", nil)
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.err).To(HaveOccurred())
		})
	}
}

// From the begin of a planned stop on, a request that must not run twice and whose caller waits longer than the node lives is refused
// as not run: it could end with an unknown result. Any other one is served.
func TestRequestThatOutlivesTheNodeIsRefused(t *testing.T) {
	const left = 2 * time.Second
	for _, c := range []struct {
		path    string
		timeout time.Duration
		refused bool
	}{
		{"/unsafe/x", 2900 * time.Millisecond, true},
		{"/once/x", 2900 * time.Millisecond, true},
		{"/unsafe/x", time.Second, false},
		{"/once/x", time.Second, false},
		{"/safe/x", 2900 * time.Millisecond, false},
		{"/stream/x", 2900 * time.Millisecond, false},
	} {
		for _, isForwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, %v, forwarded %t", c.path, c.timeout, isForwarded), func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t)
				stopping := h
				if isForwarded {
					h, stopping = newForwardingPair(t)
				}
				stopping.addInstance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
				stopping.addInstance("b", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 2) })
				now := time.Now()
				stopping.gateway.BeginStop(now.Add(time.Second), now.Add(left))
				a := h.call(http.MethodPost, c.path, "body", map[string]string{"Patience": strconv.FormatInt(c.timeout.Milliseconds(), 10)})
				g.Expect(a.err).NotTo(HaveOccurred())
				if !c.refused {
					g.Expect(a.status).To(Equal(http.StatusOK))
					return
				}
				g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(a.body).To(Equal(string(gateway.CodeStopping) + "\n"))
				after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(after).To(And(BeNumerically(">", 0.9), BeNumerically("<", 1.6)), "seconds until new connections go to other nodes")
				g.Expect(stopping.runLog.all()).To(BeEmpty())
			})
		}
	}
}
