package quarantine

import "slices"

// bursts groups observations that the same node made in close succession.
type bursts struct {
	// numbers holds the burst number of each observation, or noSeries.
	numbers []int
	// byEnding holds the bursts in which each ending was observed, sizes the number of endings in
	// each burst.
	byEnding map[int][]int
	sizes    map[int]int
}

// newBursts returns the bursts with the given numbers. endingOf holds the number of the ending that
// each observation belongs to.
func newBursts(numbers, endingOf []int) *bursts {
	b := &bursts{numbers: numbers, byEnding: map[int][]int{}, sizes: map[int]int{}}
	for i, n := range numbers {
		if n == noSeries || slices.Contains(b.byEnding[endingOf[i]], n) {
			continue
		}
		b.byEnding[endingOf[i]] = append(b.byEnding[endingOf[i]], n)
		b.sizes[n]++
	}
	return b
}

// endingsWith returns, for each burst, in how many of its endings a request was in progress on any
// node. indexes holds the indexes of the observations of that request.
func (b *bursts) endingsWith(indexes, endingOf []int) map[int]int {
	counts, counted := map[int]int{}, map[int]bool{}
	for _, i := range indexes {
		if counted[endingOf[i]] {
			continue
		}
		counted[endingOf[i]] = true
		for _, n := range b.byEnding[endingOf[i]] {
			counts[n]++
		}
	}
	return counts
}

// massFailureEndings is how many endings without a request a burst must contain for an ending with
// it in the same burst not to count as evidence against it: the loss of a rack, a hall or a link
// interrupts everything in progress there at once. They must also be massFailureRatio times as many
// as the endings with the request, so that two requests that both crash instances do not hide each
// other.
const (
	massFailureEndings = 3
	massFailureRatio   = 4
)

// isMassFailure reports whether an observation belongs to a burst that has another cause than the
// request. What nodes on one side of a network partition observe in a burst says nothing about
// instances elsewhere: the endings behind a partition must not account for those on the other side.
func (b *bursts) isMassFailure(i int, endingsWith map[int]int) bool {
	n := b.numbers[i]
	if n == noSeries {
		return false
	}
	without := b.sizes[n] - endingsWith[n]
	return without >= massFailureEndings && without >= massFailureRatio*endingsWith[n]
}
