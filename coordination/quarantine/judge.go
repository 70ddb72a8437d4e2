package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Ending is the observation of an ending by one node: the requests that this node had in progress
// on the instance.
type Ending struct {
	Instance fleet.Incarnation
	// Episode numbers the endings of one incarnation. It ends once, but may have seemed to end
	// before, during a network partition, and a process may restart without a new incarnation.
	Episode int
	// By is the node that made the observation; zero if it was not reported or not stored.
	By Source
	// At is the earliest known time at which one of the requests was interrupted.
	At       time.Time
	Requests []Fingerprint
	// Apart are those of the requests that were interrupted elsewhere just before they were sent to
	// this instance, so that the two endings have no common cause but the request.
	Apart []Fingerprint
	// Back is set if the instance answered later.
	Back bool
}

// void reports whether the instance had not ended but was unreachable: it answered again in the
// same incarnation. An instance that does not report its incarnation is assumed to have restarted.
func (e *Ending) void() bool { return e.Back && e.Instance.Life != "" }

// episode identifies an ending.
type episode struct {
	instance fleet.Incarnation
	number   int
}

func (e *Ending) key() episode { return episode{e.Instance, e.Episode} }

// Verdict is the conclusion about one request.
type Verdict struct {
	// Endings counts the consecutive endings during the request that no other request accounts for.
	// Endings that coincide count once.
	Endings int
	// Until is when the quarantine of the request ends; zero if it is not quarantined.
	Until time.Time
	// Under holds these endings, without the other requests in progress.
	Under []Ending
}

// Instances returns the ids of the instances that ended during the request.
func (v Verdict) Instances() []state.InstanceID {
	ids := make([]state.InstanceID, len(v.Under))
	for i, e := range v.Under {
		ids[i] = e.Instance.ID
	}
	return ids
}

// Held reports whether the request is quarantined at now.
func (v Verdict) Held(now time.Time) bool { return now.Before(v.Until) }

// judge returns the verdicts on the requests that are to be quarantined, or would be after one more
// ending. cleared holds the time of the last complete response to each request.
//
// Many requests are in progress at each ending, but only one causes it. The request with the most
// endings accounts for them, so that they no longer count against the requests that merely ran
// beside it; then the next one is determined. Requests that never got a complete response come
// first: a popular sound request is in progress on every instance that ends, and must not account
// for the endings of a deadly one.
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

// holdWorst adds the verdicts on those of the given requests that are to be quarantined, and closes
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

// worstRequests returns the requests without a verdict that are to be quarantined and have the most
// evidence against them. Of requests with the same number of moments, the one with more endings was
// also in progress at endings where the others were not.
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

// heldBack returns the verdict on a request that accounts for its open endings. The quarantine
// doubles with each ending beyond the required number, up to the retention period.
func (h *history) heldBack(f Fingerprint, b blame, policy *Policy) Verdict {
	v := Verdict{Endings: b.moments, Under: h.endingsUnder(f, b.counted)}
	hold := policy.Hold
	for range b.moments - policy.Endings {
		hold = min(2*hold, policy.Memory)
	}
	v.Until = v.Under[len(v.Under)-1].At.Add(hold)
	return v
}

// blame is the evidence against a request.
type blame struct {
	// moments counts its open endings. Those that coincide and are not apart count once.
	moments int
	// counted holds the index of one observation of each of its open endings.
	counted []int
}

// compare orders by moments, then by the number of endings.
func (b blame) compare(other blame) int {
	return cmp.Or(cmp.Compare(b.moments, other.moments), cmp.Compare(len(b.counted), len(other.counted)))
}

// blameOf counts the open endings of a request. Those within the spacing count as one moment unless
// they are apart: a request that crashes instances within milliseconds is retried from one to the
// next.
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

// orderError is the largest error between the times of two endings. Each is reported in a message
// with its own delay, so that the order of closer endings is unknown.
const orderError = 50 * time.Millisecond

// moment is a series of endings of one request with less than the spacing between consecutive ones.
type moment struct {
	// first is the time of the first ending, last that of the last one that counts.
	first, last time.Time
	// together is set once the endings that coincide have been counted.
	together bool
}

// countsAlso reports whether a further ending of the moment counts separately, and updates the
// moment. An ending that is not apart counts if it may be the earliest: the request was then
// retried from it, and nodes that received the endings in another order must reach the same
// conclusion.
func (m *moment) countsAlso(at time.Time, apart bool) bool {
	if apart {
		m.last = at
		return true
	}
	counts := !m.together && at.Sub(m.first) < orderError
	m.together = m.together || counts
	return counts
}
