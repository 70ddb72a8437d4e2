package quarantine

import "slices"

// bursts are series of observations that were made together, close one after the other.
type bursts struct {
	// number is the burst of each observation.
	number []int
	// of are the bursts in which each ending was observed, size is the number of endings in each burst.
	of   map[int][]int
	size map[int]int
}

// newBursts returns the bursts with the given numbers, cause being the ending of each observation.
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

// shared returns, for each burst, in how many of its endings a request was under way, whichever node
// sent it, given the request's observations.
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

// massEndings is how many instances must end without a request, in one burst with one that ends
// under it, for that ending to say nothing of the request: a rack, a hall or a link was lost, and
// all that was under way there broke off at once. They must be massRatio times as many as those with
// the request, so that two requests which both end instances do not hide each other.
const (
	massEndings = 3
	massRatio   = 4
)

// isMass reports whether an observation is one of many that were made together, for a cause that
// is not the request. What the nodes on one side of a cut observe together says nothing of what
// others do: the endings behind a cut must not account for those elsewhere.
func (b *bursts) isMass(i int, with map[int]int) bool {
	n := b.number[i]
	if n == noSeries {
		return false
	}
	without := b.size[n] - with[n]
	return without >= massEndings && without >= massRatio*with[n]
}
