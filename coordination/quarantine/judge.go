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
	// At is when the first of the requests broke off.
	At       time.Time
	Requests []Fingerprint
}

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

// judge returns the verdicts on all requests that instances ended under. cleared
// tells when a request last got a whole answer.
//
// Each ending has many requests under way and one cause. The request under which
// most instances ended accounts for these endings, so that they no longer count
// against the others, which were only beside it; then the next one is looked for.
func judge(endings []Ending, cleared map[Fingerprint]time.Time, policy *Policy) map[Fingerprint]Verdict {
	open := make(map[int]bool, len(endings))
	under := map[Fingerprint][]int{}
	order := slices.Clone(endings)
	slices.SortFunc(order, compareEndings)
	for i, e := range order {
		open[i] = true
		for _, f := range e.Requests {
			if e.At.After(cleared[f]) {
				under[f] = append(under[f], i)
			}
		}
	}
	verdicts := make(map[Fingerprint]Verdict, len(under))
	for {
		worst, most := worstRequests(order, under, open, verdicts, policy)
		if most < policy.Endings {
			break
		}
		for _, f := range worst {
			verdicts[f] = heldBack(order, under[f], open, most, policy)
		}
		for _, f := range worst {
			for _, i := range under[f] {
				delete(open, i)
			}
		}
	}
	for f, list := range under {
		if _, judged := verdicts[f]; !judged {
			verdicts[f] = Verdict{Endings: moments(order, list, open, policy.Spacing), Under: openEndings(order, list, open)}
		}
	}
	return verdicts
}

// compareEndings orders endings by time, alike on all nodes.
func compareEndings(a, b Ending) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Instance.ID, b.Instance.ID),
		a.Instance.Born.Compare(b.Instance.Born),
	)
}

// worstRequests returns the requests not yet judged with the most open endings, and how many these are.
func worstRequests(order []Ending, under map[Fingerprint][]int, open map[int]bool, judged map[Fingerprint]Verdict, policy *Policy) ([]Fingerprint, int) {
	var worst []Fingerprint
	most := 1
	for f, list := range under {
		if _, done := judged[f]; done || len(list) < policy.Endings {
			continue
		}
		switch n := moments(order, list, open, policy.Spacing); {
		case n > most:
			worst, most = []Fingerprint{f}, n
		case n == most:
			worst = append(worst, f)
		}
	}
	return worst, most
}

// heldBack returns the verdict on a request that accounts for its open endings.
func heldBack(order []Ending, list []int, open map[int]bool, count int, policy *Policy) Verdict {
	v := Verdict{Endings: count, Under: openEndings(order, list, open)}
	hold := policy.Hold
	for range count - policy.Endings {
		hold = min(2*hold, policy.Memory)
	}
	v.Until = v.Under[len(v.Under)-1].At.Add(hold)
	return v
}

// moments counts the open endings of a list, those within a spacing as one.
func moments(order []Ending, list []int, open map[int]bool, spacing time.Duration) int {
	n := 0
	var began time.Time
	for _, i := range list {
		if !open[i] || n > 0 && order[i].At.Sub(began) < spacing {
			continue
		}
		n++
		began = order[i].At
	}
	return n
}

// openEndings returns the open endings of a list, without the requests.
func openEndings(order []Ending, list []int, open map[int]bool) []Ending {
	var out []Ending
	for _, i := range list {
		if open[i] {
			out = append(out, Ending{Instance: order[i].Instance, At: order[i].At})
		}
	}
	return out
}
