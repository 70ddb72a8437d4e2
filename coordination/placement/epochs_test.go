package placement_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Two node incarnations never generate the same epoch, even if the store reused an offset
// after a restore.
func TestNodesGenerateDistinctEpochs(t *testing.T) {
	type origin struct{ era, offset int64 }
	for _, c := range []struct {
		name string
		a, b origin
		same bool
	}{
		{"different offsets", origin{1, 12}, origin{1, 13}, false},
		{"the same offset in two eras", origin{1, 12}, origin{2, 12}, false},
		{"offset and era swapped", origin{1, 2}, origin{2, 1}, false},
		{"a store without eras and its first restore", origin{0, 12}, origin{1, 12}, false},
		{"the same offset and era", origin{1, 12}, origin{1, 12}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, b := placement.NewEpochGenerator(c.a.era, c.a.offset), placement.NewEpochGenerator(c.b.era, c.b.offset)
			generated := map[state.Epoch]bool{}
			for range 1000 {
				generated[a.Next(0)] = true
			}
			g.Expect(generated).To(HaveLen(1000))
			for range 1000 {
				g.Expect(generated[b.Next(0)]).To(Equal(c.same))
			}
		})
	}
}

// An entry of another writer with the largest epoch made the epochs start again at 0. Instances refuse an epoch below one
// that they have seen, so that no group could form anywhere.
func TestEpochsRiseWhateverEpochsOthersState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := placement.NewEpochGenerator(3, 77)
		seen := rapid.SampledFrom([]state.Epoch{0, 1, 5 << 20, 1 << 62, 1<<62 + 1, fleet.MaxEpoch, math.MaxUint64 - 1<<20, math.MaxUint64})
		var last state.Epoch
		for range 20 {
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				e.Observe(seen.Draw(t, "observed"))
			case 1:
				e.SkipAhead()
			}
			next := e.Next(seen.Draw(t, "seen"))
			if next <= last || next > fleet.MaxEpoch {
				t.Fatalf("epoch %d follows %d, want a higher one up to %d", next, last, uint64(fleet.MaxEpoch))
			}
			last = next
		}
	})
}
