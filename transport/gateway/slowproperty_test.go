package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/buffering"
)

// sizedEvents returns events with the IDs first to last, each with that many bytes of data.
func sizedEvents(first, last, size int) string {
	var text strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", size))
	}
	return text.String()
}

// For any stream, any places at which instances break it off and any pace of its caller, the caller gets the events once and in
// order, all of them if the response ends without an error, and nothing of the response is held afterwards.
func TestSlowCallersGetWholeEventsInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := bufferingPolicy()
		p.StreamWait = time.Duration(rapid.IntRange(1, 100).Draw(rt, "wait in ms")) * time.Millisecond
		h := newBufferingHarness(t, int64(rapid.IntRange(20_000, 4_000_000).Draw(rt, "memory")), p)
		defer h.server.Close()
		total := rapid.IntRange(1, 150).Draw(rt, "events")
		size := rapid.SampledFrom([]int{1, 80, 480, 5000}).Draw(rt, "bytes of an event")
		breaks := rapid.SliceOfN(rapid.IntRange(1, 200), 0, 2).Draw(rt, "breaks after")
		tail := rapid.SampledFrom([]string{"", "id: 9", "id: 9999\ndata: x\n"}).Draw(rt, "part of an event")
		var attempts atomic.Int32
		answer := func(w http.ResponseWriter, r *http.Request) {
			last, _ := strconv.Atoi(r.Header.Get("Last"))
			attempt := int(attempts.Add(1)) - 1
			until, broken := total, attempt < len(breaks)
			if broken {
				until = min(total, last+breaks[attempt])
			}
			_, _ = w.Write([]byte(sizedEvents(last+1, until, size)))
			if broken {
				_, _ = w.Write([]byte(tail))
				_ = http.NewResponseController(w).Flush()
				closeConnection(w)
			}
		}
		h.addInstance("a", "lm", answer)
		h.addInstance("b", "lm", answer)
		caller := h.startSlowCaller("/stream/", "prompt", nil)
		defer func() { _ = caller.Close() }()
		time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(rt, "late by ms")) * time.Millisecond)
		got := caller.response(time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause in us")) * time.Microsecond)
		want := sizedEvents(1, total, size)
		switch {
		case got.err != nil && !strings.HasPrefix(want, got.body):
			rt.Fatalf("what the caller got before %v is not the start of the stream", got.err)
		case got.err == nil && got.status == http.StatusOK && got.body != want:
			rt.Fatalf("the caller got %d of %d bytes and no error", len(got.body), len(want))
		}
		_ = caller.Close()
		for end := time.Now().Add(time.Second); h.gateway.Buffers.Bytes() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				rt.Fatalf("%d bytes are held after the end", h.gateway.Buffers.Bytes())
			}
		}
	})
}

// A reader is cut off for the bound of its stream only if it stays there: a caller that reads at a fair pace gets a response of any size.
func TestSteadyCallerIsNotCutOff(t *testing.T) {
	p := buffering.DefaultPolicy()
	p.StreamBytes = 1_100_000
	h := newBufferingHarness(t, smallNode, p)
	h.catalogs.current.Route("h", "/safe/").Timeout = time.Minute
	want := largeBody[:4_000_000]
	h.addInstance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(want)) })
	caller := h.startSlowCaller("/safe/x", "", map[string]string{"Patience": "30000"})
	text, err := caller.read(50 * time.Microsecond)
	if err != nil || text != want {
		t.Fatalf("the caller got %d of %d bytes: %v", len(text), len(want), err)
	}
	if h.recorder.count("buffer.cut.stream") > 0 {
		t.Fatal("a caller that reads was cut off")
	}
}
