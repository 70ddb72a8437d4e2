package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Ending is what one node observed of the end of an instance: the requests that it had under way there.
type Ending struct {
	Instance fleet.Incarnation
	// Episode numbers the endings of one life: it ends once, but may seem to have ended
	// before, while it was cut off, and a process may start again without telling its lives apart.
	Episode int
	// By is the node that observed it; zero where that was not told or not kept.
	By Source
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
	h := newHistory(endings, policy.Spacing)
	under := h.suspects(cleared, max(policy.Endings-1, 1))
	never, once := map[Fingerprint][]int{}, map[Fingerprint][]int{}
	for f, list := range under {
		if _, answered := cleared[f]; answered {
			once[f] = list
		} else {
			never[f] = list
		}
	}
	verdicts := make(map[Fingerprint]Verdict, len(under))
	h.holdWorst(never, verdicts, policy)
	h.holdWorst(once, verdicts, policy)
	for f, list := range under {
		if _, judged := verdicts[f]; !judged {
			b := h.blameOf(f, list)
			verdicts[f] = Verdict{Endings: b.moments, Under: h.endingsUnder(f, b.counted)}
		}
	}
	return verdicts
}

// holdWorst adds the verdicts on those of some requests that are to be held back, and closes
// the endings that they account for.
func (h *history) holdWorst(under map[Fingerprint][]int, verdicts map[Fingerprint]Verdict, policy *Policy) {
	for {
		worst := h.worstRequests(under, verdicts, policy)
		for f, b := range worst {
			verdicts[f] = h.heldBack(f, b, policy)
		}
		for f := range worst {
			for _, i := range under[f] {
				h.closed[h.cause[i]] = true
			}
		}
		if len(worst) == 0 {
			return
		}
	}
}

// worstRequests returns the requests not yet judged that are to be held back and that most speaks
// against. Of requests with as many moments, the one with more endings was under those that the
// others were not.
func (h *history) worstRequests(under map[Fingerprint][]int, judged map[Fingerprint]Verdict, policy *Policy) map[Fingerprint]blame {
	worst := map[Fingerprint]blame{}
	var most blame
	for f, list := range under {
		if _, done := judged[f]; done || len(list) < policy.Endings {
			continue
		}
		b := h.blameOf(f, list)
		if b.moments < policy.Endings || b.compare(most) < 0 {
			continue
		}
		if b.compare(most) > 0 {
			clear(worst)
			most = b
		}
		worst[f] = b
	}
	return worst
}

// heldBack returns the verdict on a request that accounts for its open endings.
func (h *history) heldBack(f Fingerprint, b blame, policy *Policy) Verdict {
	v := Verdict{Endings: b.moments, Under: h.endingsUnder(f, b.counted)}
	hold := policy.Hold
	for range b.moments - policy.Endings {
		hold = min(2*hold, policy.Memory)
	}
	v.Until = v.Under[len(v.Under)-1].At.Add(hold)
	return v
}

// blame is how much speaks against a request.
type blame struct {
	// moments are its open endings, those that came together and not apart counted once.
	moments int
	// counted are the observations of all of its open endings, one of each.
	counted []int
}

// compare orders by moments first.
func (b blame) compare(other blame) int {
	return cmp.Or(cmp.Compare(b.moments, other.moments), cmp.Compare(len(b.counted), len(other.counted)))
}

// blameOf counts the open endings under a request, and those within a spacing as one
// moment unless they came apart: a request that ends instances within milliseconds is sent on from
// one to the next.
func (h *history) blameOf(f Fingerprint, list []int) blame {
	var b blame
	var m moment
	with := h.bursts.shared(list, h.cause)
	episodes, causes := map[episode]bool{}, map[int]bool{}
	for _, i := range list {
		e := h.order[i]
		if h.closed[h.cause[i]] || episodes[e.key()] || causes[h.cause[i]] || h.bursts.isMass(i, with) {
			continue
		}
		episodes[e.key()], causes[h.cause[i]] = true, true
		b.counted = append(b.counted, i)
		apart := slices.Contains(e.Apart, f)
		if m.first.IsZero() || e.At.Sub(m.last) >= h.spacing {
			m = moment{first: e.At, last: e.At, together: !apart}
			b.moments++
		} else if m.countsAlso(e.At, apart) {
			b.moments++
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
	// together tells that those which came together have been counted, once.
	together bool
}

// countsAlso reports whether a further ending of the moment counts beside those before it.
// One that did not come apart counts if it may be the earliest: the request was then sent on
// from it, and nodes that were told of the endings in another order must conclude the same.
func (m *moment) countsAlso(at time.Time, apart bool) bool {
	if apart {
		m.last = at
		return true
	}
	counts := !m.together && at.Sub(m.first) < orderError
	m.together = m.together || counts
	return counts
}
