package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/troutmast/troutmast/coordination/buffering"
)

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkBuffering compares responses that a caller reads at once at a node without and with bounds on what it holds: a stream of
// 25 events, a buffered response and a large one. Caller, node and instance run in this process, and cpu-us/op is the processor time
// of all three.
func BenchmarkBuffering(b *testing.B) {
	for _, c := range []struct {
		name, path string
		body       string
	}{
		{"stream", "/stream/x", ""},
		{"1kB", "/safe/x", strings.Repeat("x", 1000)},
		{"100kB", "/safe/x", strings.Repeat("x", 100_000)},
		{"10MB", "/safe/x", largeBody},
	} {
		for _, bounded := range []bool{false, true} {
			b.Run(c.name+map[bool]string{false: "/off", true: "/on"}[bounded], func(b *testing.B) {
				h := newHarness(b)
				if bounded {
					h = newBufferingHarness(b, smallNode, buffering.DefaultPolicy())
				}
				h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 25) })
				h.addInstance("b", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.body) })
				b.ReportAllocs()
				began := processorTime(b)
				for b.Loop() {
					if got := h.call(http.MethodPost, c.path, "prompt", nil); got.status != http.StatusOK || got.err != nil {
						b.Fatalf("status %d: %v", got.status, got.err)
					}
				}
				b.ReportMetric(float64((processorTime(b)-began).Microseconds())/float64(b.N), "cpu-us/op")
			})
		}
	}
}

// BenchmarkCallerWrite compares one write of an event on a caller's connection without and with buffering, while the caller reads at once.
// cpu-ns/op includes the caller's reads.
func BenchmarkCallerWrite(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		b.Run(map[bool]string{false: "off", true: "on"}[bounded], func(b *testing.B) {
			h := newHarness(b)
			if bounded {
				h = newBufferingHarness(b, smallNode, buffering.DefaultPolicy())
			}
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			ln := h.gateway.WrapListener(inner)
			defer func() { _ = ln.Close() }()
			go func() {
				caller, err := net.Dial("tcp4", ln.Addr().String())
				if err == nil {
					_, _ = io.Copy(io.Discard, caller)
				}
			}()
			conn, err := ln.Accept()
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			event := []byte(largeEvents(1, 1))
			b.ReportAllocs()
			began := processorTime(b)
			for b.Loop() {
				if _, err := conn.Write(event); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}
