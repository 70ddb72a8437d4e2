package entry

import (
	"maps"
	"math"
	"slices"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/internal/bounds"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Limits on messages between nodes. Another build, or a value that another node has taken in wrongly, must not reach the
// decisions of this one.
const (
	// maxEra is the maximum era of the store, as in its answers.
	maxEra = math.MaxInt32
	// maxCapacity is the maximum capacity of a node, in cores.
	maxCapacity = 1 << 20
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 64 << 20
)

// rangeCheck brings the values of a message into their ranges.
type rangeCheck struct{ bounds.Check }

// era brings an era into its range. Nodes never go back to an earlier era, so one out of range counts as none.
func (c *rangeCheck) era(era *int64) {
	if *era < 0 || *era > maxEra {
		*era = 0
		c.Replaced("era")
	}
}

// node brings the capacity in a node's entry into its range.
func (c *rangeCheck) node(e *NodeEntry) {
	bounds.Clamp(&c.Check, "capacity", &e.Capacity, 0, maxCapacity)
}

// flows brings rates of requests and tokens into their range.
func (c *rangeCheck) flows(list []demand.Flow) {
	for i := range list {
		f := &list[i]
		c.Rate("demand", &f.Requests)
		c.Rate("demand", &f.PromptTokens)
		c.Rate("demand", &f.OutputTokens)
	}
}

// limits brings rate limits and the ages of their announcements into their ranges.
func (c *rangeCheck) limits(list []LimitReport) {
	for i := range list {
		l := &list[i]
		bounds.Clamp(&c.Check, "limits", &l.PerSecond, 0, math.MaxFloat64)
		c.Age("limits", &l.RequestAgeMS)
		c.Age("limits", &l.AnswerAgeMS)
	}
}

// ledger brings the ages of a ledger's changes into their range.
func (c *rangeCheck) ledger(r *LedgerReport) {
	if r == nil {
		return
	}
	for i := range r.Endings {
		c.Age("ledger", &r.Endings[i].AgeMS)
		c.Count("ledger", &r.Endings[i].Episode)
	}
	for _, list := range [][]ClearedReport{r.Cleared, r.ClearedParts} {
		for i := range list {
			c.Age("ledger", &list[i].AgeMS)
		}
	}
}

// retryUse brings what a process has used of its retry budgets into its range.
func (c *rangeCheck) retryUse(m map[state.ServiceName]RetryUse) {
	for _, service := range slices.Collect(maps.Keys(m)) {
		u := m[service]
		c.Count("retry_use", &u.Attempts)
		c.Count("retry_use", &u.Retries)
		m[service] = u
	}
}

// breakers shortens a list of open breakers to the longest that nodes send.
func (c *rangeCheck) breakers(list *[]fleet.Incarnation) {
	if len(*list) > maxRelayedBreakers {
		*list = (*list)[:maxRelayedBreakers]
		c.Replaced("breakers")
	}
}

// normalize brings the numbers of the report into their ranges. The error names those that were not; the report can be
// used all the same.
func (w *StatusReport) normalize() error {
	var c rangeCheck
	c.era(&w.Era)
	c.node(&w.From)
	bounds.Counts(&c.Check, "held", w.InProgress)
	c.flows(w.Demand)
	for i := range w.Suspects {
		c.Age("suspects", &w.Suspects[i].AgeMS)
	}
	c.Age("age", &w.ConfigAgeMS)
	c.Age("store", &w.StoreAgeMS)
	c.Count("nodes", &w.NodeCount)
	c.ledger(w.Ledger)
	c.limits(w.Limits)
	for _, id := range slices.Collect(maps.Keys(w.Usage)) {
		u := w.Usage[id]
		c.Count("usage", &u.Sent)
		c.Count("usage", &u.Unused)
		bounds.Clamp(&c.Check, "usage", &u.Expired, 0, math.MaxInt)
		w.Usage[id] = u
	}
	c.retryUse(w.RetryUse)
	c.Age("counts_for_ms", &w.CountsForMS)
	bounds.Counts(&c.Check, "want_retries", w.WantedRetries)
	c.breakers(&w.OpenBreakers)
	return c.Err()
}

// normalize brings the numbers of the answer, whose packed parts are unpacked, into their ranges. The error names those
// that were not; the answer can be used all the same. Its changes of instances are checked one by one as they are applied.
func (a *StatusAnswer) normalize() error {
	var c rangeCheck
	c.era(&a.Era)
	for i := range a.Nodes {
		c.node(&a.Nodes[i])
	}
	c.Age("interval", &a.IntervalMS)
	bounds.Counts(&c.Check, "held", a.InProgress)
	c.Age("age", &a.ConfigAgeMS)
	c.Age("evac_age", &a.EvacuationsAgeMS)
	c.Age("list_age", &a.ListAgeMS)
	c.flows(a.Demand)
	for i := range a.HallDemand {
		for hall, rate := range a.HallDemand[i].Requests {
			c.Rate("hall_demand", &rate)
			a.HallDemand[i].Requests[hall] = rate
		}
	}
	for i := range a.Staging {
		c.Age("staging", &a.Staging[i].AgeMS)
	}
	c.breakers(&a.OpenBreakers)
	c.ledger(a.Ledger)
	c.limits(a.Limits)
	for i := range a.Grants {
		c.Count("grants", &a.Grants[i].Requests)
	}
	c.Count("possible", &a.PossibleNodes)
	bounds.Counts(&c.Check, "retries", a.GrantedRetries)
	if p := a.Predecessor; p != nil {
		c.retryUse(p.RetryUse)
		c.Age("predecessor", &p.AgeMS)
		c.Age("predecessor", &p.CountsForMS)
	}
	return c.Err()
}

// outOfRangeKey is the key in Node.loggedOnce for a node that sent numbers out of range.
type outOfRangeKey string

// recordMessageRange counts a message of another node with numbers out of range; err is nil if there are none. The first
// message of each node is logged.
func (n *Node) recordMessageRange(err error, from string) {
	if err == nil {
		return
	}
	n.Count("messages.out-of-range")
	if _, logged := n.loggedOnce.LoadOrStore(outOfRangeKey(from), true); !logged {
		n.log.WithError(err).WithField("from", from).Warn("message of a node has numbers out of range")
	}
}
