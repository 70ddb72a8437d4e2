package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/buffering"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/transport/event"
	"github.com/troutmast/troutmast/transport/gateway"
)

// smallNode is the memory of the smaller nodes in bytes.
const smallNode = 184_000_000

// cutRecorder passes on the readers that were cut off.
type cutRecorder struct {
	*fakeRecorder
	cuts chan *event.ReaderCut
}

func (r *cutRecorder) LogDecision(d event.Decision) {
	if cut, ok := d.(*event.ReaderCut); ok {
		r.cuts <- cut
	}
}

// count returns the value of a counter.
func (r *fakeRecorder) count(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

// A complete response must be delivered in full, also to a caller that needs longer than its time-out to read it.
func TestSlowCallerGetsWholeResponseAfterItsDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		events int
		pause  time.Duration
	}{
		{"one kilobyte in 100 ms", 75, 100 * time.Millisecond},
		{"one kilobyte a second", 25, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			h := newBufferingHarness(t, smallNode, bufferingPolicy())
			done := make(chan struct{})
			h.addInstance("a", "lm", streamLargeEvents(c.events, done))
			caller := h.startSlowCaller("/stream/", "prompt", map[string]string{"Patience": "1000"})
			g.Eventually(done, 2*time.Second).Should(BeClosed())
			began := time.Now()
			text, err := caller.read(c.pause)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal(largeEvents(1, c.events)))
			g.Expect(time.Since(began)).To(BeNumerically(">", time.Second))
			g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
		})
	}
}

// A caller that stops reading must not hold its bytes for good, and its request at the instance must end.
func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	g := NewWithT(t)
	p := bufferingPolicy()
	p.IdleTimeout = 300 * time.Millisecond
	h := newBufferingHarness(t, smallNode, p)
	recorder := &cutRecorder{fakeRecorder: h.recorder, cuts: make(chan *event.ReaderCut, 10)}
	h.gateway.Recorder = recorder
	ended := make(chan struct{})
	h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		writeLargeEvents(w, 1, 75)
		<-r.Context().Done()
		close(ended)
	})
	caller := h.startSlowCaller("/stream/", "prompt", nil)
	g.Eventually(ended, 2*time.Second).Should(BeClosed())
	g.Eventually(func() int { return h.recorder.count("buffer.cut.idle") }, time.Second).Should(Equal(1))
	var cut *event.ReaderCut
	g.Eventually(recorder.cuts, time.Second).Should(Receive(&cut))
	g.Expect(cut.ID).To(Equal("r1"))
	g.Expect(cut.Reason).To(Equal("idle"))
	g.Expect(cut.Unread).To(And(BeNumerically(">", 10_000), Equal(cut.NodeBytes-int64(len("prompt")))))
	g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
	_, err := caller.read(0)
	g.Expect(err).To(HaveOccurred(), "a response that was cut off must not look complete")
	g.Eventually(func() int { return h.recorder.count("attempt.caller-gone") }, time.Second).Should(Equal(1))
	g.Expect(recorder.cuts).NotTo(Receive(), "one line for each reader that is cut off")
	g.Expect(h.quarantine.broken).To(BeEmpty(), "the instance is not at fault")
}

// An idle connection must not be closed for an earlier pause, and a response after a slow one must be served.
func TestConnectionIsUsedAgainAfterSlowResponse(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) { writeLargeEvents(w, 1, 40) })
	caller := h.startSlowCaller("/stream/", "prompt", nil)
	for i := range 3 {
		text, err := caller.read(time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal(largeEvents(1, 40)))
		_, err = fmt.Fprintf(caller, "POST /stream/ HTTP/1.1\r\nHost: h\r\nId: r%d\r\nKey: k\r\nModel: m\r\nContent-Length: 0\r\n\r\n", i+2)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// A caller that leaves must end its request at the instance, and free what the node holds for it.
func TestSlowCallerThatLeavesEndsItsRequest(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	written, ended := make(chan struct{}), make(chan struct{})
	h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		writeLargeEvents(w, 1, 75)
		close(written)
		<-r.Context().Done()
		close(ended)
	})
	caller := h.startSlowCaller("/stream/", "prompt", nil)
	g.Eventually(written, 2*time.Second).Should(BeClosed())
	g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeNumerically(">", 10_000))
	g.Expect(caller.Close()).To(Succeed())
	g.Eventually(ended, time.Second).Should(BeClosed())
	g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
	g.Expect(h.runLog.all()).To(HaveLen(1))
}

// A stream whose group fails while the caller is behind continues at another group, with each event once and in order.
func TestStreamResumesWhileCallerIsBehind(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	done := make(chan struct{})
	for _, id := range []string{"a", "b"} {
		h.addInstance(id, "lm", func(w http.ResponseWriter, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last"))
			if last == 0 {
				writeLargeEvents(w, 1, 40)
				_, _ = io.WriteString(w, "id: 41\nda") // incomplete event
				closeConnection(w)
				return
			}
			writeLargeEvents(w, last+1, 75)
			close(done)
		})
	}
	caller := h.startSlowCaller("/stream/", "prompt", nil)
	g.Eventually(done, 2*time.Second).Should(BeClosed())
	text, err := caller.read(5 * time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(largeEvents(1, 75)))
	runs := h.runLog.all()
	g.Expect(runs).To(HaveLen(2))
	g.Expect(runs[1].last).To(Equal("40"), "after the last event that was accepted, not the last that was read")
}

// The events before an interruption must reach a caller that is behind, and the response must not look complete.
func TestInterruptedStreamOfSlowCallerNeverLooksComplete(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) {
		writeLargeEvents(w, 1, 60)
		_, _ = io.WriteString(w, "id: 61\nda") // incomplete event
		closeConnection(w)
	})
	caller := h.startSlowCaller("/once/", "prompt", nil)
	text, err := caller.read(5 * time.Millisecond)
	g.Expect(err).To(HaveOccurred())
	g.Expect(largeEvents(1, 60)).To(HavePrefix(text))
	g.Expect(text).To(HaveLen(60*480), "all events before the interruption are delivered")
}

// An event without an end must not take memory without bound.
func TestEventWithoutEndBreaksTheStream(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	ended := make(chan struct{})
	h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		_, _ = io.WriteString(w, "id: 1\ndata: ")
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 100_000)); err != nil {
				return
			}
		}
	})
	a := h.call(http.MethodPost, "/once/", "x", nil)
	g.Expect(a.status).To(Equal(http.StatusBadGateway))
	g.Eventually(ended, time.Second).Should(BeClosed())
	g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
}

// largeBody is larger than what a response may be to be buffered as a whole.
var largeBody = strings.Repeat("0123456789", 1_000_000)

// abortUnread returns a handler of an instance that aborts a response if a write to it takes longer than after. It reports
// on aborted whether it did.
func abortUnread(body string, after time.Duration, aborted chan<- bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		rc := http.NewResponseController(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		for len(body) > 0 {
			n := min(len(body), 64<<10)
			_ = rc.SetWriteDeadline(time.Now().Add(after))
			if _, err := io.WriteString(w, body[:n]); err != nil {
				aborted <- true
				return
			}
			body = body[n:]
		}
		aborted <- rc.Flush() != nil
	}
}

// An instance that aborts responses that are left unread must be read on while the caller keeps reading, and a caller that does not
// must be cut off before, since the instance would count the abort as a failure of its own.
func TestInstanceThatAbortsUnreadResponses(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads bool
	}{
		{"the caller keeps reading", true},
		{"the caller reads nothing", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			p := buffering.DefaultPolicy()
			p.SocketBytes, p.StreamBytes, p.StreamWait = smallSocket, 1_100_000, 300*time.Millisecond
			h := newBufferingHarness(t, smallNode, p)
			aborted := make(chan bool, 1)
			h.addInstance("a", "plain", abortUnread(largeBody, time.Second, aborted))
			caller := h.startSlowCaller("/safe/x", "", map[string]string{"Patience": "20000"})
			if c.reads {
				text, err := caller.read(0)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(text == largeBody).To(BeTrue())
				g.Eventually(aborted).Should(Receive(BeFalse()))
				g.Expect(h.recorder.count("buffer.cut.stream")).To(BeZero())
				return
			}
			g.Eventually(func() int { return h.recorder.count("buffer.cut.stream") }, 3*time.Second).Should(Equal(1))
			g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
			_, err := caller.read(0)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// A planned stop waits until slow callers have read their responses.
func TestPlannedStopWaitsForSlowCallers(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	const callers = 10
	done := make(chan struct{}, callers)
	h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) {
		writeLargeEvents(w, 1, 75)
		done <- struct{}{}
	})
	var slow []*slowCaller
	for range callers {
		slow = append(slow, h.startSlowCaller("/stream/", "prompt", nil))
		g.Eventually(done, 2*time.Second).Should(Receive())
	}
	h.gateway.BeginStop(time.Now(), time.Now().Add(time.Minute))
	h.gateway.RefuseNew()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped <- h.server.Config.Shutdown(ctx)
	}()
	g.Consistently(stopped, 200*time.Millisecond).ShouldNot(Receive())
	for _, caller := range slow {
		text, err := caller.read(time.Millisecond)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal(largeEvents(1, 75)))
	}
	g.Eventually(stopped, 5*time.Second).Should(Receive(BeNil()))
}

// The bodies that a node holds count toward its bound: above it, a request is refused and does not run. A request that fits is
// served again once the bodies are no longer held.
func TestRequestAboveTheBoundIsRefused(t *testing.T) {
	for _, unsized := range []bool{false, true} {
		t.Run(fmt.Sprint("length unknown: ", unsized), func(t *testing.T) {
			g := NewWithT(t)
			p := bufferingPolicy()
			p.MemoryFraction = 0.5
			h := newBufferingHarness(t, 2000, p)
			running, release := make(chan struct{}), make(chan struct{})
			h.addInstance("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") == "first" {
					close(running)
					<-release
				}
			})
			first := make(chan callResponse, 1)
			go func() {
				first <- h.call(http.MethodPost, "/unsafe/", strings.Repeat("x", 800), map[string]string{"Id": "first"})
			}()
			g.Eventually(running, time.Second).Should(BeClosed())
			var second callResponse
			if unsized {
				second = h.call(http.MethodPost, "/unsafe/", strings.Repeat("y", 300), map[string]string{"Id": "second"})
			} else {
				second = h.startSlowCaller("/unsafe/", strings.Repeat("y", 300), nil).response(0)
			}
			g.Expect(second.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(second.body).To(Equal(string(gateway.CodeMemory) + "\n"))
			g.Expect(second.header.Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(h.recorder.count("refused.memory")).To(Equal(1))
			g.Expect(h.runLog.all()).To(HaveLen(1))
			g.Expect(h.call(http.MethodPost, "/unsafe/", strings.Repeat("y", 100), map[string]string{"Id": "small"}).status).To(Equal(http.StatusOK))
			close(release)
			g.Expect((<-first).status).To(Equal(http.StatusOK))
			g.Expect(h.call(http.MethodPost, "/unsafe/", strings.Repeat("y", 300), map[string]string{"Id": "third"}).status).To(Equal(http.StatusOK))
			g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
		})
	}
}

// A node that serves a request for another one buffers for it in the same way, and refuses it with a code that earlier builds know.
func TestForwardedRequestIsBuffered(t *testing.T) {
	g := NewWithT(t)
	origin, peer := newBufferingHarness(t, smallNode, bufferingPolicy()), newBufferingHarness(t, smallNode, bufferingPolicy())
	origin.peers.partitioned = true
	origin.peers.peers = []forwarding.Peer{{Address: netip.MustParseAddrPort(serveBuffered(peer, http.HandlerFunc(peer.gateway.ServeForwarded)).Listener.Addr().String())}}
	done := make(chan struct{})
	peer.addInstance("a", "lm", streamLargeEvents(75, done))
	caller := origin.startSlowCaller("/stream/", "prompt", nil)
	g.Eventually(done, 2*time.Second).Should(BeClosed())
	g.Eventually(origin.gateway.Buffers.Bytes, time.Second).Should(BeNumerically(">", 10_000))
	g.Eventually(peer.gateway.Buffers.Bytes, time.Second).Should(BeZero())
	text, err := caller.read(0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(largeEvents(1, 75)))
	peer.gateway.Buffers = buffering.NewAccounts(10, bufferingPolicy())
	got := origin.call(http.MethodPost, "/stream/", "prompt", nil)
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.body).To(Equal(string(gateway.CodeForwardLimit) + "\n"))
	g.Expect(peer.runLog.all()).To(HaveLen(1))
}

// A caller that closes its side of the connection counts as gone. What it still reads must not look like the whole response.
func TestInterruptedResponseToHalfClosedCallerNeverLooksComplete(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	started := make(chan struct{})
	h.addInstance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		writeLargeEvents(w, 1, 2)
		close(started)
		<-r.Context().Done()
	})
	caller := h.startSlowCaller("/stream/", "prompt", nil)
	g.Eventually(started, time.Second).Should(BeClosed())
	g.Expect(caller.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	_, err := caller.read(0)
	g.Expect(err).To(HaveOccurred())
}

// A response that was complete before its caller closed its side of the connection is delivered in full.
func TestHalfClosedCallerGetsCompleteResponse(t *testing.T) {
	g := NewWithT(t)
	h := newBufferingHarness(t, smallNode, bufferingPolicy())
	done := make(chan struct{})
	h.addInstance("a", "lm", streamLargeEvents(75, done))
	caller := h.startSlowCaller("/stream/", "prompt", nil)
	g.Eventually(done, time.Second).Should(BeClosed())
	g.Eventually(h.gateway.StallDetector.ActiveCount, time.Second).Should(BeZero())
	g.Expect(caller.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	text, err := caller.read(time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(largeEvents(1, 75)))
}
