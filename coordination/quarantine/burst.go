package quarantine

import "slices"

// bursts groups observations that the same node made in close succession.
type bursts struct {
	// number holds the burst number of each observation, or noSeries.
	number []int
	// of holds the bursts in which each ending was observed, size the number of endings in each
	// burst.
	of   map[int][]int
	size map[int]int
}

// newBursts returns the bursts with the given numbers. cause holds the number of the ending that
// each observation belongs to.
func newBursts(number, cause []int) *bursts {
	b := &bursts{number: number, of: map[int][]int{}, size: map[int]int{}}
	for i, n := range number {
		if n == noSeries || slices.Contains(b.of[cause[i]], n) {
			continue
		}
		b.of[cause[i]] = append(b.of[cause[i]], n)
		b.size[n]++
	}
	return b
}

// shared returns, for each burst, in how many of its endings a request was in progress on any node.
// list holds the indexes of the observations of that request.
func (b *bursts) shared(list, cause []int) map[int]int {
	with, done := map[int]int{}, map[int]bool{}
	for _, i := range list {
		if done[cause[i]] {
			continue
		}
		done[cause[i]] = true
		for _, n := range b.of[cause[i]] {
			with[n]++
		}
	}
	return with
}

// massEndings is how many endings without a request a burst must contain for an ending with it in
// the same burst not to count as evidence against it: the loss of a rack, a hall or a link
// interrupts everything in progress there at once. They must also be massRatio times as many as the
// endings with the request, so that two requests that both crash instances do not hide each other.
const (
	massEndings = 3
	massRatio   = 4
)

// isMass reports whether an observation belongs to a burst that has another cause than the request.
// What nodes on one side of a network partition observe in a burst says nothing about instances
// elsewhere: the endings behind a partition must not account for those on the other side.
func (b *bursts) isMass(i int, with map[int]int) bool {
	n := b.number[i]
	if n == noSeries {
		return false
	}
	without := b.size[n] - with[n]
	return without >= massEndings && without >= massRatio*with[n]
}
