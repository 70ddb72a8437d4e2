package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/troutmast/troutmast/coordination/buffering"
)

// BenchmarkBuffering compares responses that a caller reads at once at a node without and with bounds on what it holds: a stream of
// 25 events and a buffered response of 100 kB. Caller, node and instance run in this process.
func BenchmarkBuffering(b *testing.B) {
	for _, c := range []struct {
		name, path string
		bounded    bool
	}{
		{"stream/off", "/stream/x", false},
		{"stream/on", "/stream/x", true},
		{"100kB/off", "/safe/x", false},
		{"100kB/on", "/safe/x", true},
	} {
		b.Run(c.name, func(b *testing.B) {
			h := newHarness(b)
			if c.bounded {
				h = newBufferingHarness(b, 184_000_000, buffering.DefaultPolicy())
			}
			h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 25) })
			body := strings.Repeat("x", 100_000)
			h.addInstance("b", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
			b.ReportAllocs()
			for b.Loop() {
				if got := h.call(http.MethodPost, c.path, "prompt", nil); got.status != http.StatusOK {
					b.Fatalf("status %d: %v", got.status, got.err)
				}
			}
		})
	}
}
