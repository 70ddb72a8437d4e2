package entry

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/buffering"
)

// maxHeapFraction is the fraction of a node's memory that its heap may take before garbage is collected more often. The rest is left
// for stacks, code and the buffers of the system. Without a limit, the garbage grows as large as all that is in use.
const maxHeapFraction = 0.75

// HeapLimit returns the limit of the heap in bytes, for debug.SetMemoryLimit, or 0 if there is none.
func (s *Settings) HeapLimit() int64 {
	if !s.BoundsBuffers {
		return 0
	}
	return int64(float64(s.MemoryBytes) * maxHeapFraction)
}

// newBuffers returns the accounts of the bytes that the node holds for its callers, or nil if these have no bound.
func (n *Node) newBuffers() *buffering.Accounts {
	if !n.settings.BoundsBuffers || n.settings.MemoryBytes <= 0 {
		return nil
	}
	buffers := buffering.NewAccounts(n.settings.MemoryBytes, n.settings.Policy.Buffering)
	n.metrics.GetOrRegister("buffer.bytes", func() metrics.Gauge { return metrics.NewFunctionalGauge(buffers.Bytes) })
	return buffers
}
