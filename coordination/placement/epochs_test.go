package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
)

// Two node incarnations never generate the same epoch, even if the store reused an offset
// after a restore.
func TestNodesMakeDifferentEpochs(t *testing.T) {
	type place struct{ era, offset int64 }
	for _, c := range []struct {
		name string
		a, b place
		same bool
	}{
		{"different offsets", place{1, 12}, place{1, 13}, false},
		{"the same offset in two eras", place{1, 12}, place{2, 12}, false},
		{"offset and era swapped", place{1, 2}, place{2, 1}, false},
		{"a store without eras and its first restore", place{0, 12}, place{1, 12}, false},
		{"the same offset and era", place{1, 12}, place{1, 12}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, b := placement.NewEpochs(c.a.era, c.a.offset), placement.NewEpochs(c.b.era, c.b.offset)
			made := map[state.Epoch]bool{}
			for range 1000 {
				made[a.Next(0)] = true
			}
			g.Expect(made).To(HaveLen(1000))
			for range 1000 {
				g.Expect(made[b.Next(0)]).To(Equal(c.same))
			}
		})
	}
}
