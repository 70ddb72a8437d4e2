package gateway_test

import (
	"net/http"
	"testing"

	"github.com/troutmast/troutmast/coordination/forwarding"
)

// BenchmarkForwardedStream compares a stream of 27 events that a node gets from an instance itself with one that it
// gets by way of another node. Caller, nodes and instance run in this process.
func BenchmarkForwardedStream(b *testing.B) {
	for _, forwarded := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "forwarded"}[forwarded]
		b.Run(name, func(b *testing.B) {
			origin, peer := newHarness(b), newHarness(b)
			answer := func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 27) }
			origin.addInstance("a", "lm", answer)
			peer.addInstance("b", "lm", answer)
			origin.peers.partitioned = forwarded
			origin.peers.peers = []forwarding.Peer{servePeer(peer)}
			b.ReportAllocs()
			for b.Loop() {
				if got := origin.call(http.MethodPost, "/stream/x", "prompt", nil); got.status != http.StatusOK {
					b.Fatalf("status %d: %v", got.status, got.err)
				}
			}
		})
	}
}
