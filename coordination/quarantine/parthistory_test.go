package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
)

// prompts describes the parts of the prompts in a simulation. Each prompt has a first part, which most requests share, and
// a topic; the prompt of a deadly request also has a deadly part.
type prompts struct {
	// topics is the number of topics; 0 means that prompts have no parts.
	topics int
	// deadlyParts is the number of parts that crash instances. No two of the requests with them are alike.
	deadlyParts int
	// sameTopic is set if all deadly requests have the same topic, which one sound request in topics has too.
	sameTopic bool
}

// firstParts are the numbers of requests in ten with each first part.
var firstParts = []int{7, 2, 1}

// draw returns the shared parts of a random prompt.
func (p prompts) draw(rng *rand.Rand, deadly bool) []quarantine.Fingerprint {
	if p.topics == 0 {
		return nil
	}
	first, n := 0, rng.IntN(10)
	for n >= firstParts[first] {
		n -= firstParts[first]
		first++
	}
	topic := rng.IntN(p.topics)
	if deadly && p.sameTopic {
		topic = 0
	}
	ids := []string{fmt.Sprint("first ", first), fmt.Sprint("topic ", topic)}
	if deadly {
		ids = append(ids, fmt.Sprint("deadly ", rng.IntN(p.deadlyParts)))
	}
	return quarantine.NewPartFingerprints(append(ids, "own"))
}

// newDeadlyAttempt returns the first attempt of a deadly request.
func (h *simulation) newDeadlyAttempt() attempt {
	a := attempt{request: request("deadly"), deadly: true}
	if h.prompts.deadlyParts > 0 {
		a.request = request(fmt.Sprint("deadly ", h.rng.Int64()))
		a.parts = h.prompts.draw(h.rng, true)
	}
	return a
}

// identity returns what the ledgers know the request of an attempt by.
func (a *attempt) identity() quarantine.Request {
	return quarantine.Request{Fingerprint: a.request, Parts: a.parts}
}

// deadlyPart returns the part of a deadly request that crashes instances.
func (a *attempt) deadlyPart() quarantine.Fingerprint { return a.parts[len(a.parts)-1] }

// endingsToIdentify is the number of endings under a part after which all nodes must know it.
const endingsToIdentify = 5

// countPartEndings records an ending for each deadly part among the interrupted attempts.
func (h *simulation) countPartEndings(interrupted []attempt) {
	counted := map[quarantine.Fingerprint]bool{}
	for i := range interrupted {
		a := &interrupted[i]
		if !a.deadly || len(a.parts) == 0 || counted[a.deadlyPart()] {
			continue
		}
		counted[a.deadlyPart()] = true
		h.partEndings[a.deadlyPart()] = append(h.partEndings[a.deadlyPart()], h.now)
	}
}

// isLate reports whether a deadly request is sent after all nodes must hold it back.
func (h *simulation) isLate(a attempt) bool {
	if len(a.parts) == 0 {
		return !h.thirdEnding.IsZero() && h.now.Sub(h.thirdEnding) > maxPropagation
	}
	endings := h.partEndings[a.deadlyPart()]
	return len(endings) >= endingsToIdentify && h.now.Sub(endings[endingsToIdentify-1]) > maxPropagation
}

// countRefusedSound counts an attempt of a sound request that was held back.
func (h *simulation) countRefusedSound() {
	h.out.refusedSound++
	for _, endings := range h.partEndings {
		if len(endings) >= endingsToIdentify && h.now.Sub(endings[endingsToIdentify-1]) > 2*maxPropagation {
			h.out.refusedLate++
			return
		}
	}
}

// partScenarios returns scenarios with requests that share one or two deadly parts.
func partScenarios(deadly float64, p prompts) []scenario {
	list := scenarios(deadly, true)[:2]
	for i := range list {
		list[i].prompts = p
	}
	return list
}

func TestRandomHistoriesQuarantineDeadlyPart(t *testing.T) {
	for _, deadly := range []float64{0.5, 4, 20} {
		for _, p := range []prompts{{topics: 50, deadlyParts: 1}, {topics: 50, deadlyParts: 2}, {topics: 50, deadlyParts: 1, sameTopic: true}} {
			for _, s := range partScenarios(deadly, p) {
				t.Run(fmt.Sprintf("%s/%+v", s.name(), p), func(t *testing.T) {
					g := NewWithT(t)
					seeds := uint64(4)
					if s.nodes > 9 {
						seeds = 1 // each takes as long as ten of nine nodes
					}
					for seed := range seeds {
						out := simulate(s, seed)
						t.Logf("seed %d: %+v", seed, out)
						g.Expect(out.late).To(BeNumerically("<=", 3*p.deadlyParts), "seed %d: %+v", seed, out)
						g.Expect(out.refusedLate).To(BeZero(), "seed %d: %+v", seed, out)
					}
				})
			}
		}
	}
}

// On busy nodes responses take seconds, so that all instances may end before a popular part gets any.
func TestRandomHistoriesOnBusyNodesQuarantineDeadlyPartOnly(t *testing.T) {
	for _, c := range []struct {
		slowdown      int
		sound, deadly float64
	}{
		{1, 135, 30}, {2, 50, 16}, {2, 135, 16}, {2, 135, 30}, {3, 50, 16}, {3, 135, 16}, {3, 50, 30},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			s := scenario{nodes: 3, instances: 12, sound: c.sound, deadly: c.deadly, slowdown: c.slowdown, quarantineEnabled: true, prompts: prompts{topics: 3, deadlyParts: 1}}
			for seed := range uint64(20) {
				out := simulate(s, seed)
				NewWithT(t).Expect(out.late).To(BeNumerically("<=", 3), "seed %d: %+v", seed, out)
				NewWithT(t).Expect(out.refusedLate).To(BeZero(), "seed %d: %+v", seed, out)
			}
		})
	}
}

// Popular parts are on nearly every request that an ending interrupts.
func TestRandomHistoriesWithoutDeadlyPartQuarantineNothing(t *testing.T) {
	for _, s := range partScenarios(0, prompts{topics: 50}) {
		s.randomEndings *= 10
		for seed := range uint64(3) {
			out := simulate(s, seed)
			NewWithT(t).Expect(out.refusedSound).To(BeZero(), "%s, seed %d: %+v", s.name(), seed, out)
		}
	}
}

// While a hall is cut off, nodes exchange nothing with it, and take what does not answer there for ended.
func TestPartitionsReleaseNoDeadlyPart(t *testing.T) {
	for _, s := range partitionScenarios(4, true, 2*time.Second) {
		s.prompts = prompts{topics: 50, deadlyParts: 1}
		for seed := range uint64(2) {
			out := simulate(s, seed)
			t.Logf("%s, seed %d: %+v", s.name(), seed, out)
			NewWithT(t).Expect(out.late).To(BeNumerically("<=", 3), "%s, seed %d: %+v", s.name(), seed, out)
		}
	}
}
