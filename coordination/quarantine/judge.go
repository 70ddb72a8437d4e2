package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Ending is one instance that ended, with the requests that it had under way.
type Ending struct {
	Instance fleet.Incarnation
	// Episode numbers the endings of one life: it ends once, but may seem to have ended
	// before, while it was cut off, and a process may start again without telling its lives apart.
	Episode int
	// At is when the first of the requests broke off, as far as is known.
	At       time.Time
	Requests []Fingerprint
	// Apart are those of the requests that had broken off elsewhere just before they were
	// sent to this instance, so that the two endings have no cause in common but the request.
	Apart []Fingerprint
	// Back tells that the instance answered later on.
	Back bool
}

// void reports whether the instance had not ended but was cut off: it is back in the same
// life. One that does not tell its lives apart is taken to have started again.
func (e *Ending) void() bool { return e.Back && e.Instance.Life != "" }

// episode is the key of an ending.
type episode struct {
	instance fleet.Incarnation
	number   int
}

// key returns the key of the ending.
func (e *Ending) key() episode { return episode{e.Instance, e.Episode} }

// Verdict is what a ledger concludes about one request.
type Verdict struct {
	// Endings is how many times in a row instances ended under the request that no other
	// request accounts for; those that came together count once.
	Endings int
	// Until is when the request is no longer held back; zero if it is not.
	Until time.Time
	// Under are these endings, without what else was under way.
	Under []Ending
}

// Instances returns the ids of the instances that ended under the request.
func (v Verdict) Instances() []state.InstanceID {
	ids := make([]state.InstanceID, len(v.Under))
	for i, e := range v.Under {
		ids[i] = e.Instance.ID
	}
	return ids
}

// Held reports whether the request is to be held back.
func (v Verdict) Held(now time.Time) bool { return now.Before(v.Until) }

// judge returns the verdicts on the requests that one more ending, or less, would have
// held back. cleared tells when a request last got a whole answer.
//
// Each ending has many requests under way and one cause. The request under which
// most instances ended accounts for these endings, so that they no longer count
// against the others, which were only beside it; then the next one is looked for.
// Requests that never got a whole answer come first: a popular sound request is under way
// on every instance that ends, and must not account for the endings of a deadly one.
func judge(endings []Ending, cleared map[Fingerprint]time.Time, policy *Policy) map[Fingerprint]Verdict {
	order := slices.DeleteFunc(slices.Clone(endings), func(e Ending) bool { return e.void() })
	slices.SortFunc(order, compareEndings)
	open := make(map[int]bool, len(order))
	for i := range order {
		open[i] = true
	}
	under := suspects(order, cleared, max(policy.Endings-1, 1))
	never, once := map[Fingerprint][]int{}, map[Fingerprint][]int{}
	for f, list := range under {
		if _, answered := cleared[f]; answered {
			once[f] = list
		} else {
			never[f] = list
		}
	}
	verdicts := make(map[Fingerprint]Verdict, len(under))
	holdWorst(order, never, open, verdicts, policy)
	holdWorst(order, once, open, verdicts, policy)
	for f, list := range under {
		if _, judged := verdicts[f]; !judged {
			verdicts[f] = Verdict{Endings: blameOf(f, order, list, open, policy.Spacing).moments, Under: openEndings(f, order, list, open)}
		}
	}
	return verdicts
}

// holdWorst adds the verdicts on those of some requests that are to be held back, and closes
// the endings that they account for.
func holdWorst(order []Ending, under map[Fingerprint][]int, open map[int]bool, verdicts map[Fingerprint]Verdict, policy *Policy) {
	for {
		worst, most := worstRequests(order, under, open, verdicts, policy)
		if most < policy.Endings {
			return
		}
		for _, f := range worst {
			verdicts[f] = heldBack(f, order, under[f], open, most, policy)
		}
		for _, f := range worst {
			for _, i := range under[f] {
				delete(open, i)
			}
		}
	}
}

// suspects returns the requests with a number of endings at least since they were last
// cleared, with these endings by their place in the order. Most requests have one ending
// alone: leaving them out takes a judgement of 256 endings of 30 requests from 4.7 to
// 1.4 ms (BenchmarkJudge).
func suspects(order []Ending, cleared map[Fingerprint]time.Time, least int) map[Fingerprint][]int {
	counts := map[Fingerprint]int{}
	for _, e := range order {
		for _, f := range e.Requests {
			counts[f]++
		}
	}
	under := map[Fingerprint][]int{}
	for i, e := range order {
		for _, f := range e.Requests {
			if counts[f] >= least && e.At.After(cleared[f]) {
				under[f] = append(under[f], i)
			}
		}
	}
	return under
}

// compareEndings orders endings by time, alike on all nodes.
func compareEndings(a, b Ending) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Instance.ID, b.Instance.ID),
		cmp.Compare(a.Instance.Life, b.Instance.Life),
	)
}

// blame is how much speaks against a request.
type blame struct {
	// moments are its open endings, those that came together and not apart counted once.
	moments int
	// endings are all of its open endings.
	endings int
}

// compare orders by moments first.
func (b blame) compare(other blame) int {
	return cmp.Or(cmp.Compare(b.moments, other.moments), cmp.Compare(b.endings, other.endings))
}

// worstRequests returns the requests not yet judged that most speaks against, and how many
// moments these are. Of requests with as many moments, the one with more endings was under
// those that the others were not.
func worstRequests(order []Ending, under map[Fingerprint][]int, open map[int]bool, judged map[Fingerprint]Verdict, policy *Policy) ([]Fingerprint, int) {
	var worst []Fingerprint
	var most blame
	for f, list := range under {
		if _, done := judged[f]; done || len(list) < policy.Endings {
			continue
		}
		switch b := blameOf(f, order, list, open, policy.Spacing); b.compare(most) {
		case 1:
			worst, most = []Fingerprint{f}, b
		case 0:
			worst = append(worst, f)
		}
	}
	return worst, most.moments
}

// heldBack returns the verdict on a request that accounts for its open endings.
func heldBack(f Fingerprint, order []Ending, list []int, open map[int]bool, count int, policy *Policy) Verdict {
	v := Verdict{Endings: count, Under: openEndings(f, order, list, open)}
	hold := policy.Hold
	for range count - policy.Endings {
		hold = min(2*hold, policy.Memory)
	}
	v.Until = v.Under[len(v.Under)-1].At.Add(hold)
	return v
}

// blameOf counts the open endings under a request, and those within a spacing as one
// moment unless they came apart. Without the latter, a request that ends instances within
// milliseconds ended 7 engines, not 3 to 5, before it was held back (three engines, two nodes).
func blameOf(f Fingerprint, order []Ending, list []int, open map[int]bool, spacing time.Duration) blame {
	var b blame
	var m moment
	for _, i := range list {
		if !open[i] {
			continue
		}
		at, apart := order[i].At, slices.Contains(order[i].Apart, f)
		if m.first.IsZero() || at.Sub(m.last) >= spacing {
			m = moment{first: at, last: at, beside: crowdAt(f, order, at, spacing), together: !apart}
			if !m.beside.mass() {
				b.moments++
			}
		} else if m.countsAlso(at, apart) {
			b.moments++
		}
		if !m.beside.mass() {
			b.endings++
		}
	}
	return b
}

// orderError is how far the times of two endings, each told by a message with its own way,
// may be off from each other: closer ones have no known order.
const orderError = 50 * time.Millisecond

// moment is a series of endings under one request with less than a spacing between them.
type moment struct {
	// first is the time of the first ending, last that of the last one that counts.
	first, last time.Time
	beside      crowd
	// together tells that those which came together have been counted, once.
	together bool
}

// countsAlso reports whether a further ending of the moment counts beside those before it.
// One that did not come apart counts if it may be the earliest: the request was then sent on
// from it, and nodes that were told of the endings in another order must conclude the same.
func (m *moment) countsAlso(at time.Time, apart bool) bool {
	if m.beside.without > 0 {
		return false
	}
	if apart {
		m.last = at
		return true
	}
	counts := !m.together && at.Sub(m.first) < orderError
	m.together = m.together || counts
	return counts
}

// massEndings is how many instances must end without a request, together with one that
// ends under it, for that ending to say nothing of the request: a rack, a hall or a link was
// lost, and all that was under way there broke off at once. A cut of a hall by resets made
// 24 sound requests look deadly, whose instances all refused connections at one moment.
// They must be massRatio times as many as those with the request, so that two requests
// which both end instances do not hide each other.
const (
	massEndings = 3
	massRatio   = 4
)

// crowd counts the endings about one moment, with a request under way and without it.
type crowd struct{ with, without int }

// mass reports whether the instances ended for a cause that is not the request.
func (c crowd) mass() bool { return c.without >= massEndings && c.without >= massRatio*c.with }

// crowdAt counts the endings within a spacing of a time.
func crowdAt(f Fingerprint, order []Ending, at time.Time, spacing time.Duration) crowd {
	first, _ := slices.BinarySearchFunc(order, at.Add(-spacing), func(e Ending, t time.Time) int { return e.At.Compare(t) })
	var c crowd
	for _, e := range order[first:] {
		if e.At.Sub(at) >= spacing {
			break
		}
		if slices.Contains(e.Requests, f) {
			c.with++
		} else {
			c.without++
		}
	}
	return c
}

// openEndings returns the open endings under a request, without the other requests.
func openEndings(f Fingerprint, order []Ending, list []int, open map[int]bool) []Ending {
	var out []Ending
	for _, i := range list {
		if open[i] {
			e := Ending{Instance: order[i].Instance, At: order[i].At, Requests: []Fingerprint{f}}
			if slices.Contains(order[i].Apart, f) {
				e.Apart = e.Requests
			}
			out = append(out, e)
		}
	}
	return out
}
