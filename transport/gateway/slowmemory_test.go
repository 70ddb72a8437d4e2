package gateway_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/buffering"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/entry"
)

// slowCallers is the number of callers that are slow at the same time.
const slowCallers = 200

// Errors of readWanted.
var (
	// errOtherText means that a response that ended without an error is not the expected one.
	errOtherText = errors.New("the response is not the expected one")
	// errRefused means that the request was refused.
	errRefused = errors.New("the request was refused")
)

// readWanted reads a response and compares it with the expected text, without keeping it.
func (s *slowCaller) readWanted(want string) error {
	resp, err := http.ReadResponse(s.r, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return errRefused
	}
	buf := make([]byte, smallSocket)
	for {
		n, err := resp.Body.Read(buf)
		if n > len(want) || want[:n] != string(buf[:n]) {
			return errOtherText
		}
		want = want[n:]
		switch {
		case err == io.EOF && want != "":
			return errOtherText
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// limitMemory limits the heap as a node with that memory does, and returns a function that returns the most bytes that the process has
// held since.
func limitMemory(t *testing.T, memory int64) func() uint64 {
	set := entry.Settings{BoundsBuffers: true, MemoryBytes: memory}
	previous := debug.SetMemoryLimit(set.HeapLimit())
	debug.FreeOSMemory()
	var most atomic.Uint64
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most.Store(max(most.Load(), m.Sys-m.HeapReleased))
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	t.Cleanup(func() {
		close(stop)
		sampler.Wait()
		debug.SetMemoryLimit(previous)
	})
	return most.Load
}

// addInstances adds instances that share one handler, enough for all slow callers.
func (h *harness) addInstances(service state.ServiceName, handler http.HandlerFunc) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "seal")
		handler(w, r)
	}))
	h.t.Cleanup(srv.Close)
	for i := range slowCallers {
		h.addInstanceAt(fmt.Sprint(service, i), service, netip.MustParseAddrPort(srv.Listener.Addr().String()))
	}
}

// A node that holds more than its memory is killed, with all requests on it. Many slow callers at once must not bring it there; the
// callers that the node does not cut off get their whole responses.
func TestManySlowCallersStayWithinTheMemory(t *testing.T) {
	body := strings.Repeat("0123456789", 90_000)
	for _, c := range []struct {
		name, path string
		service    state.ServiceName
		handler    http.HandlerFunc
		want       string
		// mayCut reports whether the responses exceed the bound together, so that callers are cut off.
		mayCut bool
	}{
		{"streams", "/stream/x", "lm", func(w http.ResponseWriter, _ *http.Request) { writeLargeEvents(w, 1, 75) }, largeEvents(1, 75), false},
		{"buffered responses", "/safe/x", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }, body, true},
		{"large responses", "/safe/x", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeBody) }, largeBody, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			mostMemory := limitMemory(t, smallNode)
			h := newBufferingHarness(t, smallNode, buffering.DefaultPolicy())
			h.addInstances(c.service, c.handler)
			h.catalogs.current.Route("h", c.path).Timeout = time.Minute
			var callers sync.WaitGroup
			var whole, cut, refused atomic.Int64
			for i := range slowCallers {
				caller := h.startSlowCaller(c.path, "prompt", map[string]string{"Id": fmt.Sprint("r", i), "Patience": "30000"})
				callers.Go(func() {
					time.Sleep(1500 * time.Millisecond)
					switch err := caller.readWanted(c.want); {
					case err == nil:
						whole.Add(1)
					case errors.Is(err, errRefused):
						refused.Add(1)
					case !errors.Is(err, errOtherText):
						cut.Add(1)
					}
					_ = caller.Close()
				})
			}
			callers.Wait()
			t.Logf("%d whole, %d refused, %d cut off (%d stream, %d node), at most %d MB", whole.Load(), refused.Load(), cut.Load(), h.recorder.count("buffer.cut.stream"), h.recorder.count("buffer.cut.node"), mostMemory()/1_000_000)
			g.Expect(whole.Load()+refused.Load()+cut.Load()).To(BeEquivalentTo(slowCallers), "a response that ends without an error is whole")
			g.Expect(cut.Load() > 0).To(Equal(c.mayCut))
			g.Expect(mostMemory()).To(BeNumerically("<", smallNode))
			g.Expect(h.health.failed).To(BeEmpty(), "the instances are not at fault")
			g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
		})
	}
}

// The bodies that a node receives from many callers at once must not take more than its memory either: what does not fit is refused
// and does not run.
func TestManyRequestBodiesStayWithinTheMemory(t *testing.T) {
	g := NewWithT(t)
	mostMemory := limitMemory(t, smallNode)
	h := newBufferingHarness(t, smallNode, buffering.DefaultPolicy())
	large := *h.catalogs.current
	large.Limits.BodyBytes = 2_000_000
	h.catalogs.current = &large
	release := make(chan struct{})
	var ran atomic.Int64
	h.addInstances("plain", func(http.ResponseWriter, *http.Request) {
		ran.Add(1)
		<-release
	})
	body := strings.Repeat("0123456789", 90_000)
	var callers sync.WaitGroup
	var served, refused atomic.Int64
	for i := range slowCallers {
		callers.Go(func() {
			got := h.call(http.MethodPost, "/unsafe/x", body, map[string]string{"Id": fmt.Sprint("r", i), "Patience": "20000"})
			switch {
			case got.status == http.StatusOK:
				served.Add(1)
			case got.body == "memory\n":
				refused.Add(1)
			}
		})
	}
	g.Eventually(func() int64 { return ran.Load() + refused.Load() }, 10*time.Second).Should(BeEquivalentTo(slowCallers))
	close(release)
	callers.Wait()
	t.Logf("%d served, %d refused, at most %d MB", served.Load(), refused.Load(), mostMemory()/1_000_000)
	g.Expect(served.Load()).To(Equal(ran.Load()), "what was refused has not run")
	g.Expect(refused.Load()).To(BeNumerically(">", 0))
	g.Expect(mostMemory()).To(BeNumerically("<", smallNode))
	g.Eventually(h.gateway.Buffers.Bytes, time.Second).Should(BeZero())
}
