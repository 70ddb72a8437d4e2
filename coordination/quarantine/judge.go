package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
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

// isFalse reports whether the instance had not ended but was unreachable: it answered again in the
// same incarnation. An instance that does not report its incarnation is assumed to have restarted.
func (e *Ending) isFalse() bool { return e.Back && e.Instance.Life != "" }

// endingKey identifies an ending.
type endingKey struct {
	instance fleet.Incarnation
	episode  int
}

func (e *Ending) key() endingKey { return endingKey{e.Instance, e.Episode} }

// Verdict is the conclusion about one request.
type Verdict struct {
	// IndependentEndings counts the consecutive endings during the request that no other request accounts for.
	// Endings that coincide count once.
	IndependentEndings int
	// Until is when the quarantine of the request ends; zero if it is not quarantined. From is when it begins.
	From, Until time.Time
	// Joint holds the other parts of prompts with the same evidence. It shows only that one of them ends instances, so
	// that requests with some of them are not held back.
	Joint []Fingerprint
	// Evidence holds all these endings, including those that coincide, without the other requests in
	// progress.
	Evidence []Ending
}

// Instances returns the ids of the instances that ended during the request.
func (v Verdict) Instances() []state.InstanceID {
	ids := make([]state.InstanceID, len(v.Evidence))
	for i, e := range v.Evidence {
		ids[i] = e.Instance.ID
	}
	return ids
}

// Quarantined reports whether the request is quarantined at now.
func (v Verdict) Quarantined(now time.Time) bool { return !now.Before(v.From) && now.Before(v.Until) }

// evaluate returns the verdicts on the requests that are to be quarantined, or may be after one
// more ending. cleared holds the time of the last complete response to each request.
//
// Many requests are in progress at each ending, but only one causes it. The request with the most
// endings accounts for them, so that they no longer count against the requests that merely ran
// beside it; then the next one is determined. Requests that never got a complete response come
// first: a popular sound request is in progress on every instance that ends, and must not account
// for the endings of a deadly one. Parts of prompts compete with requests that never got one: a part that ends
// instances has more endings than each of the requests with it.
func evaluate(endings []Ending, cleared map[Fingerprint]time.Time, policy *Policy) map[Fingerprint]Verdict {
	h := newHistory(endings, policy.Spacing)
	byRequest := h.suspects(cleared, max(policy.Endings-1, 1))
	neverAnswered, onceAnswered := map[Fingerprint][]int{}, map[Fingerprint][]int{}
	for f, list := range byRequest {
		if _, answered := cleared[f]; answered {
			onceAnswered[f] = list
		} else {
			neverAnswered[f] = list
		}
	}
	verdicts := make(map[Fingerprint]Verdict, len(byRequest))
	h.quarantineWorst(neverAnswered, verdicts, policy)
	h.quarantineWorst(onceAnswered, verdicts, policy)
	for f, list := range byRequest {
		if _, decided := verdicts[f]; !decided {
			b := h.evidenceAgainst(f, list)
			verdicts[f] = Verdict{IndependentEndings: b.independent, Evidence: h.endingsOf(f, b.counted)}
		}
	}
	return verdicts
}

// quarantineWorst adds the verdicts on those of the given requests that are to be quarantined, and
// marks the endings that they account for as explained.
func (h *history) quarantineWorst(byRequest map[Fingerprint][]int, verdicts map[Fingerprint]Verdict, policy *Policy) {
	for {
		worst := h.worstRequests(byRequest, verdicts, policy)
		for _, group := range h.groupByEndings(worst) {
			h.addGroupVerdicts(group, worst, verdicts, policy)
		}
		for f := range worst {
			for _, i := range byRequest[f] {
				h.explained[h.endingOf[i]] = true
			}
		}
		if len(worst) == 0 {
			return
		}
	}
}

// groupByEndings groups the worst requests and parts by the endings that count against them.
func (h *history) groupByEndings(worst map[Fingerprint]evidence) [][]Fingerprint {
	groups := map[string][]Fingerprint{}
	for f, b := range worst {
		var key []byte
		for _, i := range b.counted {
			key = strconv.AppendInt(append(key, ' '), int64(h.endingOf[i]), 10)
		}
		groups[string(key)] = append(groups[string(key)], f)
	}
	return slices.Collect(maps.Values(groups))
}

// addGroupVerdicts adds the verdicts on requests and parts with the same endings. A request is held back rather than
// the parts of its prompt, which other requests may share.
func (h *history) addGroupVerdicts(group []Fingerprint, worst map[Fingerprint]evidence, verdicts map[Fingerprint]Verdict, policy *Policy) {
	hasRequest := slices.ContainsFunc(group, func(f Fingerprint) bool { return !f.IsPart() })
	for _, f := range group {
		if hasRequest && f.IsPart() {
			verdicts[f] = Verdict{IndependentEndings: worst[f].independent, Evidence: h.endingsOf(f, worst[f].counted)}
			continue
		}
		v := h.quarantineVerdict(f, worst[f], policy)
		if f.IsPart() {
			v.Joint = slices.DeleteFunc(slices.Clone(group), func(other Fingerprint) bool { return other == f })
		}
		verdicts[f] = v
	}
}

// worstRequests returns the requests without a verdict that are to be quarantined and have the most
// evidence against them. Of requests with the same number of independent endings, the one with more
// endings in total was also in progress at endings where the others were not.
func (h *history) worstRequests(byRequest map[Fingerprint][]int, verdicts map[Fingerprint]Verdict, policy *Policy) map[Fingerprint]evidence {
	worst := map[Fingerprint]evidence{}
	var most evidence
	for f, list := range byRequest {
		if _, done := verdicts[f]; done || len(list) < policy.endingsToHold(f) {
			continue
		}
		b := h.evidenceAgainst(f, list)
		if b.independent < policy.endingsToHold(f) || b.compare(most) < 0 {
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

// quarantineVerdict returns the verdict on a request that accounts for its unexplained endings. The
// quarantine doubles with each ending beyond the required number, up to the retention period.
func (h *history) quarantineVerdict(f Fingerprint, b evidence, policy *Policy) Verdict {
	v := Verdict{IndependentEndings: b.independent, Evidence: h.endingsOf(f, b.counted)}
	hold := policy.Hold
	for range b.independent - policy.endingsToHold(f) {
		hold = min(2*hold, policy.Retention)
	}
	v.Until = v.lastEnding().Add(hold)
	return v
}

// evidence is what counts against a request.
type evidence struct {
	// independent counts its unexplained endings. Those that coincide count once, unless the
	// request was retried between them.
	independent int
	// counted holds the index of one observation of each of its unexplained endings.
	counted []int
}

// compare orders by independent endings, then by all endings.
func (b evidence) compare(other evidence) int {
	return cmp.Or(cmp.Compare(b.independent, other.independent), cmp.Compare(len(b.counted), len(other.counted)))
}

// evidenceAgainst counts the unexplained endings of a request. Those within the spacing count as
// one unless the request was retried between them: a request that crashes instances within
// milliseconds is retried from one to the next.
func (h *history) evidenceAgainst(f Fingerprint, indexes []int) evidence {
	var b evidence
	var m cluster
	endingsWith := h.bursts.endingsWith(indexes, h.endingOf)
	countedKeys, countedEndings := map[endingKey]bool{}, map[int]bool{}
	for _, i := range indexes {
		e := h.observations[i]
		if h.explained[h.endingOf[i]] || countedKeys[e.key()] || countedEndings[h.endingOf[i]] || h.bursts.isMassFailure(i, endingsWith) {
			continue
		}
		countedKeys[e.key()], countedEndings[h.endingOf[i]] = true, true
		b.counted = append(b.counted, i)
		retried := slices.Contains(e.Apart, f)
		if m.first.IsZero() || e.At.Sub(m.last) >= h.spacing {
			m = cluster{first: e.At, last: e.At, coincidingCounted: !retried}
			b.independent++
		} else if m.add(e.At, retried) {
			b.independent++
		}
	}
	return b
}

// maxTimeError is the largest error between the times of two endings. Each is reported in a message
// with its own delay, so that the order of closer endings is unknown.
const maxTimeError = 50 * time.Millisecond

// cluster is a series of endings of one request with less than the spacing between consecutive
// ones.
type cluster struct {
	// first is the time of the first ending, last that of the last one that counts.
	first, last time.Time
	// coincidingCounted is set once the endings that coincide have been counted.
	coincidingCounted bool
}

// add reports whether a further ending of the cluster counts separately, and updates the cluster.
// An ending without a retry counts if it may be the earliest: the request was then retried from it,
// and nodes that received the endings in another order must reach the same conclusion.
func (m *cluster) add(at time.Time, retried bool) bool {
	if retried {
		m.last = at
		return true
	}
	counts := !m.coincidingCounted && at.Sub(m.first) < maxTimeError
	m.coincidingCounted = m.coincidingCounted || counts
	return counts
}
