package quarantine_test

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
)

// randomText returns text without repetitions.
func randomText(rng *rand.Rand, size int) []byte {
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(' ' + rng.IntN(90))
	}
	return text
}

// common returns the fingerprints that two lists share.
func common(a, b []quarantine.Fingerprint) []quarantine.Fingerprint {
	return slices.DeleteFunc(slices.Clone(a), func(f quarantine.Fingerprint) bool { return !slices.Contains(b, f) })
}

func TestTextsWithCommonPassageShareChunks(t *testing.T) {
	for _, c := range []struct {
		name string
		// sizes in bytes of the passage, and of what is before and after it.
		passage, before, after int
	}{
		{"in the middle of short texts", 2048, 700, 300},
		{"at the start", 2048, 0, 500},
		{"in the middle of long texts", 8192, 5000, 3000},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 2))
			sharing := 0
			for range 200 {
				passage := randomText(rng, c.passage)
				text := func() []byte {
					before := randomText(rng, c.before+rng.IntN(100))
					if c.before == 0 {
						before = nil
					}
					return slices.Concat(before, passage, randomText(rng, c.after))
				}
				a, b := quarantine.NewChunkFingerprints(text()), quarantine.NewChunkFingerprints(text())
				if len(common(a, b)) > 0 {
					sharing++
				}
				g.Expect(common(a, quarantine.NewChunkFingerprints(randomText(rng, 4096)))).To(BeEmpty())
				for _, f := range a {
					g.Expect(f.IsPart()).To(BeTrue())
				}
			}
			g.Expect(sharing).To(BeNumerically(">=", 190), "few of them may take no chunk of the passage")
		})
	}
}

func TestChunksOfOneTextAreBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, c := range []struct {
		name      string
		text      []byte
		atMost    int
		wantEmpty bool
	}{
		{"no text", nil, 0, true},
		{"a text of one chunk", randomText(rng, 100), 0, true},
		{"a long text", randomText(rng, 1<<20), 8, false},
		{"a repetitive text", bytes.Repeat([]byte("x"), 1<<16), 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			list := quarantine.NewChunkFingerprints(c.text)
			g.Expect(len(list)).To(BeNumerically("<=", c.atMost))
			g.Expect(len(list) == 0).To(Equal(c.wantEmpty))
		})
	}
}

func BenchmarkChunks(b *testing.B) {
	text := randomText(rand.New(rand.NewPCG(5, 6)), 16<<10)
	b.ReportAllocs()
	for b.Loop() {
		quarantine.NewChunkFingerprints(text)
	}
}
