package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state/fleet"
)

// history holds the observations of all nodes, ordered by time and identically on all nodes.
type history struct {
	order   []*Ending
	spacing time.Duration
	// cause holds the number of the ending that each observation belongs to. Observations of one
	// incarnation with less than the spacing between consecutive ones belong to the same ending,
	// whichever nodes made them.
	cause []int
	// bursts holds the bursts of observations of each node.
	bursts *bursts
	// closed holds the endings that a quarantined request accounts for.
	closed map[int]bool
}

// newHistory returns the history of observations, without those of instances that had not ended.
func newHistory(endings []Ending, spacing time.Duration) *history {
	h := &history{order: attributed(endings), spacing: spacing, closed: map[int]bool{}}
	slices.SortFunc(h.order, compareEndings)
	h.cause = series(h.order, spacing, func(e *Ending) (fleet.Incarnation, bool) { return e.Instance, true })
	h.bursts = newBursts(series(h.order, spacing, func(e *Ending) (Source, bool) { return e.By, e.By != self }), h.cause)
	return h
}

// attributed returns the observations that count. Those of instances that had not ended do not. An
// observation without a node counts only for requests that no observation with a node has: nodes of
// builds that merge observations repeat what they received, at the earliest of all times.
func attributed(endings []Ending) []*Ending {
	list := make([]*Ending, 0, len(endings))
	var unnamed []*Ending
	for i := range endings {
		switch e := &endings[i]; {
		case e.void():
		case e.By == self:
			unnamed = append(unnamed, e)
		default:
			list = append(list, e)
		}
	}
	if len(unnamed) == 0 {
		return list
	}
	named := map[episode][]Fingerprint{}
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

// series numbers the observations so that those with the same key and less than the spacing between
// consecutive ones share a number. Observations without a key get noSeries.
func series[K comparable](order []*Ending, spacing time.Duration, key func(e *Ending) (K, bool)) []int {
	last := map[K]int{}
	numbers := make([]int, len(order))
	next := 0
	for i := range order {
		k, has := key(order[i])
		if !has {
			numbers[i] = noSeries
			continue
		}
		before, known := last[k]
		last[k] = i
		if known && order[i].At.Sub(order[before].At) < spacing {
			numbers[i] = numbers[before]
			continue
		}
		numbers[i] = next
		next++
	}
	return numbers
}

// suspects returns the requests with at least the given number of observations, each with the
// indexes of its observations since it was last cleared. Most requests have a single observation,
// and omitting them saves most of the time of an evaluation.
func (h *history) suspects(cleared map[Fingerprint]time.Time, least int) map[Fingerprint][]int {
	counts := map[Fingerprint]int{}
	for i := range h.order {
		for _, f := range h.order[i].Requests {
			counts[f]++
		}
	}
	under := map[Fingerprint][]int{}
	for i := range h.order {
		for _, f := range h.order[i].Requests {
			if counts[f] >= least && h.order[i].At.After(cleared[f]) {
				under[f] = append(under[f], i)
			}
		}
	}
	return under
}

// endingsUnder returns the endings with the given indexes, with one request only.
func (h *history) endingsUnder(f Fingerprint, list []int) []Ending {
	var out []Ending
	for _, i := range list {
		e := Ending{Instance: h.order[i].Instance, At: h.order[i].At, Requests: []Fingerprint{f}}
		if slices.Contains(h.order[i].Apart, f) {
			e.Apart = e.Requests
		}
		out = append(out, e)
	}
	return out
}
