package succession_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/succession"
	_ "github.com/troutmast/troutmast/internal/fixedseed"
)

// names returns n candidates in the order of succession.
func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("n", i)
	}
	return list
}

func TestRounds(t *testing.T) {
	for _, c := range []struct {
		name       string
		candidates []string
		leader     string
		rounds     [][]string
	}{
		{"no candidates", nil, "n0", nil},
		{"the leader is the first", names(4), "n0", [][]string{{"n0"}, {"n1"}, {"n2", "n3"}}},
		{"the leader is unknown", names(4), "", [][]string{{"n0"}, {"n1", "n2"}, {"n3"}}},
		{"the leader cannot be asked", names(2), "n7", [][]string{{"n0"}, {"n1"}}},
		{"the first ones may have returned", names(4), "n2", [][]string{{"n0", "n1", "n2"}, {"n3"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(succession.Rounds(c.candidates, c.leader)).To(Equal(c.rounds))
		})
	}
}

// In a hall that is cut off, twelve of the fifteen largest nodes are silent. Asked one after another they took
// twelve timeouts.
func TestSilentCandidatesCostFewTimeouts(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ silent, timeouts int }{{1, 1}, {12, 3}, {100, 11}} {
		rounds := succession.Rounds(names(c.silent+1), "")
		reachable := fmt.Sprint("n", c.silent)
		round := slices.IndexFunc(rounds, func(r []string) bool { return slices.Contains(r, reachable) })
		g.Expect(round).To(BeNumerically("<=", c.timeouts), "%d silent candidates", c.silent)
	}
}

func TestRoundsHoldEachCandidateOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		candidates := names(rapid.IntRange(0, 300).Draw(t, "candidates"))
		leader := fmt.Sprint("n", rapid.IntRange(0, 320).Draw(t, "leader"))
		rounds := succession.Rounds(slices.Clone(candidates), leader)
		g.Expect(slices.Concat(rounds...)).To(ConsistOf(candidates))
		for i, r := range rounds {
			g.Expect(len(r)).To(BeNumerically("<=", 16))
			g.Expect(slices.IsSortedFunc(r, func(a, b string) int { return slices.Index(candidates, a) - slices.Index(candidates, b) })).To(BeTrue())
			g.Expect(i == 0 || !slices.Contains(r, leader)).To(BeTrue())
		}
	})
}
