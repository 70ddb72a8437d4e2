package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/event"
	"github.com/troutmast/troutmast/transport/gateway"
)

// startSilenceReports reports all groups as silent, as probes without an answer do, until the test ends.
func (h *harness) startSilenceReports() {
	stop := make(chan struct{})
	h.t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, v := range h.instances {
				h.gateway.StallDetector.HandOverGroup(v.ID)
			}
		}
	}()
}

// pauseAfter returns a handler that sends an event, pauses, and sends the rest of six events. ended counts the runs whose
// connection was closed in the pause.
func pauseAfter(pause time.Duration, ended *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		writeEvents(w, last+1, last+1)
		select {
		case <-r.Context().Done():
			ended.Add(1)
			return
		case <-time.After(pause):
		}
		writeEvents(w, last+2, 6)
	}
}

// Guards against a node that gives up a response because its instance pauses. While the only group of a model was silent for
// a second, all its streams were cancelled, found no other group and were cut off. The instance went on to closed connections.
func TestStreamOfPausedInstanceIsNotCutOff(t *testing.T) {
	const pause = 900 * time.Millisecond
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, c := range []struct {
		name string
		// other is the handler of the other instance, or nil if there is none.
		other http.HandlerFunc
		tune  func(h *harness)
		// otherRuns reports whether the other instance receives the request.
		otherRuns bool
	}{
		{"no other group", nil, nil, false},
		{"the other group refuses the request", refuse, nil, true},
		{"the other group fails the request", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, nil, true},
		{"the connection to the other group breaks", func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, nil, true},
		{"the other group pauses, too", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, nil, true},
		{"the retry budget is spent", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 2, 6) }, func(h *harness) { h.gateway.SetNodes(100000) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			var ended atomic.Int32
			h.addInstance("a", "lm", pauseAfter(pause, &ended))
			result := make(chan callResponse, 1)
			go func() { result <- h.call(http.MethodPost, "/stream/", "x", map[string]string{"Patience": "3000"}) }()
			g.Eventually(func() int { return len(h.runLog.all()) }, time.Second).Should(Equal(1))
			if c.tune != nil {
				c.tune(h)
			}
			if c.other != nil {
				h.addInstance("b", "lm", c.other)
			}
			h.startSilenceReports()
			a := <-result
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body).To(Equal(events(1, 6)))
			g.Expect(a.header.Get("Seal")).To(Equal("seal-of-a"))
			g.Expect(ended.Load()).To(BeZero())
			g.Expect(len(h.runLog.all()) > 1).To(Equal(c.otherRuns))
		})
	}
}

// panicRecorder panics once at a counter.
type panicRecorder struct {
	*fakeRecorder
	name string
	once sync.Once
}

func (r *panicRecorder) Count(name string) {
	r.fakeRecorder.Count(name)
	if name == r.name {
		r.once.Do(func() { panic("fault of the program") })
	}
}

// Guards against a fault of the program that nobody sees: a handover that panics costs its caller nothing, but is counted.
func TestPanicInHandoverIsCounted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.gateway.Recorder = &panicRecorder{fakeRecorder: h.recorder, name: "attempt.not-run"}
	var ended atomic.Int32
	h.addInstance("a", "lm", pauseAfter(500*time.Millisecond, &ended))
	result := make(chan callResponse, 1)
	go func() { result <- h.call(http.MethodPost, "/stream/", "x", nil) }()
	g.Eventually(func() int { return len(h.runLog.all()) }, time.Second).Should(Equal(1))
	h.addInstance("b", "lm", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	h.startSilenceReports()
	a := <-result
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(Equal(events(1, 6)))
	g.Expect(h.recorder.count("handover.panicked")).To(Equal(1))
}

// Guards against a node that gives up a stream because it has been silent for longer than SilentAfter: with no group that can
// resume it, the stream was cut off although its instance went on 0.4 s later.
func TestStreamThatIsSilentForLongIsNotCutOff(t *testing.T) {
	for _, c := range []struct {
		name  string
		other http.HandlerFunc
	}{
		{"no other group", nil},
		{"the other group pauses, too", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			var ended atomic.Int32
			h.addInstance("a", "lm", pauseAfter(gateway.DefaultPolicy().SilentAfter+400*time.Millisecond, &ended))
			result := make(chan callResponse, 1)
			go func() { result <- h.call(http.MethodPost, "/stream/", "x", map[string]string{"Patience": "3000"}) }()
			g.Eventually(func() int { return len(h.runLog.all()) }, time.Second).Should(Equal(1))
			if c.other != nil {
				h.addInstance("b", "lm", c.other)
			}
			var a callResponse
			for waiting := true; waiting; {
				select {
				case a = <-result:
					waiting = false
				case <-time.After(50 * time.Millisecond):
					h.gateway.StallDetector.Check()
				}
			}
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(events(1, 6)))
			g.Expect(ended.Load()).To(BeZero())
			g.Expect(h.recorder.count("handover.begun") > 0).To(Equal(c.other != nil), "a handover without another group is needless")
		})
	}
}

// A request whose instance is silent goes on elsewhere as soon as another instance answers, and the first attempt ends.
func TestRequestOfSilentInstanceIsHandedOver(t *testing.T) {
	stream := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		writeEvents(w, last+1, 6)
	}
	none := func(http.ResponseWriter) {}
	for _, c := range []struct {
		name, path string
		service    state.ServiceName
		// first is what the silent instance sends before.
		first      func(w http.ResponseWriter)
		other      http.HandlerFunc
		want, seal string
	}{
		{"in the middle of a stream", "/stream/", "lm", func(w http.ResponseWriter) { writeEvents(w, 1, 3) }, stream, events(1, 6), "seal-of-a"},
		{"in the middle of an event", "/stream/", "lm", func(w http.ResponseWriter) {
			writeEvents(w, 1, 3)
			_, _ = fmt.Fprint(w, "id: 4\nda")
			_ = http.NewResponseController(w).Flush()
		}, stream, events(1, 6), "seal-of-a"},
		{"before the first event", "/stream/", "lm", none, stream, events(1, 6), "seal-of-b"},
		{"before a response that is no stream", "/safe/", "plain", none, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "whole") }, "whole", "seal-of-b"},
		{"a response too large to be buffered", "/safe/", "plain", none, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, strings.Repeat("x", 2<<20)) }, strings.Repeat("x", 2<<20), "seal-of-b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			firstEnded := make(chan struct{})
			h.addInstance("a", c.service, func(w http.ResponseWriter, r *http.Request) {
				c.first(w)
				<-r.Context().Done()
				close(firstEnded)
			})
			result := make(chan callResponse, 1)
			go func() { result <- h.call(http.MethodPost, c.path, "x", nil) }()
			g.Eventually(func() int { return len(h.runLog.all()) }, time.Second).Should(Equal(1))
			h.addInstance("b", c.service, c.other)
			h.startSilenceReports()
			a := <-result
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body == c.want).To(BeTrue(), "%.200s", a.body)
			g.Expect(a.header.Get("Seal")).To(Equal(c.seal))
			g.Eventually(firstEnded, time.Second).Should(BeClosed())
			g.Expect(h.runLog.all()).To(HaveLen(2))
			g.Expect(h.recorder.count("handover.taken")).To(Equal(1))
			g.Eventually(h.gateway.StallDetector.ActiveCount, time.Second).Should(BeZero())
		})
	}
}

// While groups are full, requests wait for their first event for a long time, so that a wait shows nothing. Once probes show that
// the group is silent, the requests that have just been sent there must not wait for that long.
func TestRequestWithoutFirstEventIsHandedOverAtOnce(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t)
	h.addInstance("a", "lm", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	result := make(chan callResponse, 1)
	go func() { result <- h.call(http.MethodPost, "/stream/", "x", nil) }()
	g.Eventually(func() int { return len(h.runLog.all()) }, time.Second).Should(Equal(1))
	h.addInstance("b", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 6) })
	h.gateway.StallDetector.HandOverGroup("a")
	var a callResponse
	g.Eventually(result, gateway.DefaultPolicy().FirstSilence/2).Should(Receive(&a))
	g.Expect(a.body).To(Equal(events(1, 6)))
}

// A response that breaks off after a handover must not look complete.
func TestBrokenHandoverNeverLooksComplete(t *testing.T) {
	for _, c := range []struct {
		name, path string
		service    state.ServiceName
		other      http.HandlerFunc
	}{
		{"a stream", "/stream/", "lm", func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 2)
			closeConnection(w)
		}},
		{"a large response", "/safe/", "plain", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(3<<20))
			_, _ = fmt.Fprint(w, strings.Repeat("x", 2<<20))
			closeConnection(w)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", c.service, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			result := make(chan callResponse, 1)
			go func() { result <- h.call(http.MethodPost, c.path, "x", nil) }()
			g.Eventually(func() int { return len(h.runLog.all()) }, time.Second).Should(Equal(1))
			h.addInstance("b", c.service, c.other)
			h.startSilenceReports()
			g.Expect((<-result).err).To(HaveOccurred())
			g.Expect(h.recorder.count("handover.taken")).To(Equal(1))
		})
	}
}

// A request that cannot be repeated stays at its instance, however long that is silent.
func TestRequestThatCannotBeRepeatedIsNotHandedOver(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			handler := func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(gateway.DefaultPolicy().StallWait + 200*time.Millisecond)
				writeEvents(w, 1, 2)
			}
			for _, id := range []string{"a", "b"} {
				h.addInstance(id, "lm", handler)
				h.addInstance(id+"-plain", "plain", handler)
			}
			h.startSilenceReports()
			a := h.call(http.MethodPost, path, "x", map[string]string{"Patience": "3000"})
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(Equal(events(1, 2)))
			g.Expect(h.runLog.all()).To(HaveLen(1))
		})
	}
}

// failureRecorder keeps the errors of failed attempts.
type failureRecorder struct {
	*fakeRecorder
	errs chan error
}

func (r *failureRecorder) LogDecision(d event.Decision) {
	if failed, ok := d.(*event.AttemptFailed); ok {
		r.errs <- failed.Err
	}
}

// A cancelled attempt fails like one whose connection timed out. The log must tell the two apart, and why it was cancelled.
func TestErrorOfCancelledAttemptNamesTheCause(t *testing.T) {
	for _, c := range []struct {
		name   string
		header map[string]string
		cancel func(h *harness)
		want   string
	}{
		{"a member of the group has ended", nil, func(h *harness) { h.gateway.StallDetector.CancelGroup("a") }, "replica group stalled"},
		{"the time is up", map[string]string{"Patience": "300"}, func(*harness) {}, context.DeadlineExceeded.Error()},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			failures := &failureRecorder{h.recorder, make(chan error, 10)}
			h.gateway.Recorder = failures
			h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
				writeEvents(w, 1, 1)
				<-r.Context().Done()
			})
			go func() { _ = h.call(http.MethodPost, "/stream/", "x", c.header) }()
			g.Eventually(func() int { return len(h.runLog.all()) }, time.Second).Should(Equal(1))
			time.Sleep(50 * time.Millisecond)
			c.cancel(h)
			g.Eventually(failures.errs, 2*time.Second).Should(Receive(MatchError(ContainSubstring(c.want))))
		})
	}
}

// Whatever the pauses of the two instances, a response is complete, in order and from one run after the other.
func TestHandoversWithRandomPauses(t *testing.T) {
	const callers, requests = 2, 12
	g := NewWithT(t)
	h := newHarness(t)
	handler := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for i := last + 1; i <= 6; i++ {
			if rand.IntN(3) == 0 {
				time.Sleep(time.Duration(200+rand.IntN(250)) * time.Millisecond)
			}
			writeEvents(w, i, i)
		}
	}
	h.addInstance("a", "lm", handler)
	h.addInstance("b", "lm", handler)
	h.startSilenceReports()
	var wg sync.WaitGroup
	answers := make([]callResponse, callers*requests)
	for i := range callers {
		wg.Go(func() {
			for j := range requests {
				k := i*requests + j
				answers[k] = h.call(http.MethodPost, "/stream/", "x", map[string]string{"Id": fmt.Sprint("r", k), "Patience": "10000"})
			}
		})
	}
	wg.Wait()
	for _, a := range answers {
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.status).To(Equal(http.StatusOK))
		g.Expect(a.body).To(Equal(events(1, 6)))
	}
	g.Expect(h.recorder.count("handover.taken")).To(BeNumerically(">", 0))
	g.Expect(h.recorder.count("handover.dropped")).To(BeNumerically(">", 0))
	g.Eventually(h.gateway.StallDetector.ActiveCount, time.Second).Should(BeZero())
}
