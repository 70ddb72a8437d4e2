package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
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
