package quarantine_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
)

func TestOnlySharedPartsHaveFingerprints(t *testing.T) {
	many := make([]string, 100)
	for i := range many {
		many[i] = strconv.Itoa(i)
	}
	for _, c := range []struct {
		name string
		ids  []string
		want int
	}{
		{"no parts", nil, 0},
		{"only the request's own part", []string{"a"}, 0},
		{"all but the last part", []string{"a", "b", "c"}, 2},
		{"no more than the limit", many, quarantine.MaxParts},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			list := quarantine.NewPartFingerprints(c.ids)
			g.Expect(list).To(HaveLen(c.want))
			distinct := map[quarantine.Fingerprint]bool{}
			for _, f := range list {
				g.Expect(f.IsPart()).To(BeTrue())
				distinct[f] = true
			}
			g.Expect(distinct).To(HaveLen(c.want))
		})
	}
}

func TestPartHasOneFingerprintInAllPrompts(t *testing.T) {
	g := NewWithT(t)
	a, b := quarantine.NewPartFingerprints([]string{"x", "y", "own"}), quarantine.NewPartFingerprints([]string{"y", "other"})
	g.Expect(a[1]).To(Equal(b[0]))
	g.Expect(quarantine.NewFingerprint(quarantine.Content{Body: []byte("y")}).IsPart()).To(BeFalse())
}
