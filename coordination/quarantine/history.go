package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

// history holds the observations of all nodes, ordered by time and identically on all nodes.
type history struct {
	observations []*Ending
	spacing      time.Duration
	// endingOf holds the number of the ending that each observation belongs to. Observations of one
	// incarnation with less than the spacing between consecutive ones belong to the same ending,
	// whichever nodes made them.
	endingOf []int
	// bursts holds the bursts of observations of each node.
	bursts *bursts
	// explained holds the endings that a quarantined request accounts for.
	explained map[int]bool
}

// newHistory returns the history of observations, without those of instances that had not ended.
func newHistory(endings []Ending, spacing time.Duration) *history {
	h := &history{observations: countedObservations(endings), spacing: spacing, explained: map[int]bool{}}
	slices.SortFunc(h.observations, compareEndings)
	h.endingOf = numberSeries(h.observations, spacing, func(e *Ending) (fleet.Incarnation, bool) { return e.Instance, true })
	h.bursts = newBursts(numberSeries(h.observations, spacing, func(e *Ending) (Source, bool) { return e.By, e.By != self }), h.endingOf)
	return h
}

// countedObservations returns the observations that count. Those of instances that had not ended do
// not. An observation without a node counts only for requests that no observation with a node has:
// nodes of builds that merge observations repeat what they received, at the earliest of all times.
func countedObservations(endings []Ending) []*Ending {
	list := make([]*Ending, 0, len(endings))
	var unnamed []*Ending
	for i := range endings {
		switch e := &endings[i]; {
		case e.isFalse():
		case e.By == self:
			unnamed = append(unnamed, e)
		default:
			list = append(list, e)
		}
	}
	if len(unnamed) == 0 {
		return list
	}
	named := map[endingKey][]Fingerprint{}
	for _, e := range list {
		named[e.key()] = append(named[e.key()], e.Requests...)
	}
	for _, e := range unnamed {
		e.Requests = slices.DeleteFunc(slices.Clone(e.Requests), func(f Fingerprint) bool { return slices.Contains(named[e.key()], f) })
	}
	return append(list, unnamed...)
}

// compareEndings orders observations by time. Ties are broken identically on all nodes.
func compareEndings(a, b *Ending) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Instance.ID, b.Instance.ID),
		cmp.Compare(a.Instance.Life, b.Instance.Life),
		cmp.Compare(a.Episode, b.Episode),
		cmp.Compare(a.By, b.By),
	)
}

// noSeries is the number of an observation that belongs to no series.
const noSeries = -1

// numberSeries numbers the observations so that those with the same key and less than the spacing
// between consecutive ones share a number. Observations without a key get noSeries.
func numberSeries[K comparable](observations []*Ending, spacing time.Duration, key func(e *Ending) (K, bool)) []int {
	last := map[K]int{}
	numbers := make([]int, len(observations))
	next := 0
	for i := range observations {
		k, has := key(observations[i])
		if !has {
			numbers[i] = noSeries
			continue
		}
		previous, known := last[k]
		last[k] = i
		if known && observations[i].At.Sub(observations[previous].At) < spacing {
			numbers[i] = numbers[previous]
			continue
		}
		numbers[i] = next
		next++
	}
	return numbers
}

// suspects returns the requests with at least minObservations observations, each with the indexes
// of its observations since it was last cleared. Most requests have a single observation, and
// omitting them saves most of the time of an evaluation.
func (h *history) suspects(cleared map[Fingerprint]time.Time, minObservations int) map[Fingerprint][]int {
	counts := map[Fingerprint]int{}
	for i := range h.observations {
		for _, f := range h.observations[i].Requests {
			counts[f]++
		}
	}
	byRequest := map[Fingerprint][]int{}
	for i := range h.observations {
		for _, f := range h.observations[i].Requests {
			if counts[f] >= minObservations && h.observations[i].At.After(cleared[f]) {
				byRequest[f] = append(byRequest[f], i)
			}
		}
	}
	return byRequest
}

// endingsOf returns the endings with the given indexes, with one request only.
func (h *history) endingsOf(f Fingerprint, indexes []int) []Ending {
	var out []Ending
	for _, i := range indexes {
		e := Ending{Instance: h.observations[i].Instance, At: h.observations[i].At, Requests: []Fingerprint{f}}
		if slices.Contains(h.observations[i].Apart, f) {
			e.Apart = e.Requests
		}
		out = append(out, e)
	}
	return out
}
