package entry

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Limits on the numbers in messages between nodes. Another build, or a value that another node has taken in wrongly, must
// not reach the decisions of this one.
const (
	// maxMessageAgeMS is the maximum age in milliseconds. It is far from the largest duration, so that no sum overflows.
	maxMessageAgeMS = 1 << 40
	// maxMessageCount is the maximum number of requests, grants or nodes.
	maxMessageCount = 1 << 20
	// maxMessageRate is the maximum rate of requests or tokens, per second.
	maxMessageRate = 1e12
	// maxEra is the maximum era of the store, as in its answers.
	maxEra = math.MaxInt32
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 64 << 20
)

// errMessageRange means that numbers of a message were out of range. They have been replaced by the nearest ones in it.
var errMessageRange = errors.New("entry: message has numbers out of range")

// rangeCheck brings the numbers of a message into their ranges and collects the names of those that were not.
type rangeCheck struct{ fields []string }

// replaced records that the number of a field was replaced.
func (c *rangeCheck) replaced(field string) {
	if !slices.Contains(c.fields, field) {
		c.fields = append(c.fields, field)
	}
}

// err returns an error that names the fields, or nil if all were in range.
func (c *rangeCheck) err() error {
	if len(c.fields) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", errMessageRange, strings.Join(c.fields, ", "))
}

// clamp brings a number into a range.
func clamp[T int | int64 | float64](c *rangeCheck, field string, v *T, lowest, highest T) {
	if *v >= lowest && *v <= highest {
		return
	}
	*v = min(max(*v, lowest), highest)
	c.replaced(field)
}

// ageSlackMS is by how much an age may be below 0, in milliseconds: an event may be recorded while the message that tells
// its age is made up.
const ageSlackMS = 1000

// age brings an age in milliseconds into its range. An age below 0 would make data look newer than the message.
func (c *rangeCheck) age(field string, ms *int64) {
	clamp(c, field, ms, -ageSlackMS, maxMessageAgeMS)
	*ms = max(*ms, 0)
}

// count brings a number of requests, grants or nodes into its range.
func (c *rangeCheck) count(field string, n *int) { clamp(c, field, n, 0, maxMessageCount) }

// era brings an era into its range. Nodes never go back to an earlier era, so one out of range counts as none.
func (c *rangeCheck) era(era *int64) {
	if *era < 0 || *era > maxEra {
		*era = 0
		c.replaced("era")
	}
}

// counts brings the numbers of a map into their range.
func counts[K ~string](c *rangeCheck, field string, m map[K]int) {
	for key, n := range m {
		if c.count(field, &n); n != m[key] {
			m[key] = n
		}
	}
}

// flows brings rates of requests and tokens into their range.
func (c *rangeCheck) flows(list []demand.Flow) {
	for i := range list {
		f := &list[i]
		clamp(c, "demand", &f.Requests, 0, maxMessageRate)
		clamp(c, "demand", &f.PromptTokens, 0, maxMessageRate)
		clamp(c, "demand", &f.OutputTokens, 0, maxMessageRate)
	}
}

// limits brings rate limits and the ages of their announcements into their ranges.
func (c *rangeCheck) limits(list []LimitReport) {
	for i := range list {
		l := &list[i]
		clamp(c, "limits", &l.PerSecond, 0, math.MaxFloat64)
		c.age("limits", &l.RequestAgeMS)
		c.age("limits", &l.AnswerAgeMS)
	}
}

// ledger brings the ages of a ledger's changes into their range.
func (c *rangeCheck) ledger(r *LedgerReport) {
	if r == nil {
		return
	}
	for i := range r.Endings {
		c.age("ledger", &r.Endings[i].AgeMS)
		c.count("ledger", &r.Endings[i].Episode)
	}
	for _, list := range [][]ClearedReport{r.Cleared, r.ClearedParts} {
		for i := range list {
			c.age("ledger", &list[i].AgeMS)
		}
	}
}

// retryUse brings what a process has used of its retry budgets into its range.
func (c *rangeCheck) retryUse(m map[state.ServiceName]RetryUse) {
	for _, service := range slices.Collect(maps.Keys(m)) {
		u := m[service]
		c.count("retry_use", &u.Attempts)
		c.count("retry_use", &u.Retries)
		m[service] = u
	}
}

// breakers shortens a list of open breakers to the longest that nodes send.
func (c *rangeCheck) breakers(list *[]fleet.Incarnation) {
	if len(*list) > maxRelayedBreakers {
		*list = (*list)[:maxRelayedBreakers]
		c.replaced("breakers")
	}
}

// normalize brings the numbers of the report into their ranges. The error names those that were not; the report can be
// used all the same.
func (w *StatusReport) normalize() error {
	var c rangeCheck
	c.era(&w.Era)
	c.node(&w.From)
	counts(&c, "held", w.InProgress)
	c.flows(w.Demand)
	for i := range w.Suspects {
		c.age("suspects", &w.Suspects[i].AgeMS)
	}
	c.age("age", &w.ConfigAgeMS)
	c.age("store", &w.StoreAgeMS)
	c.count("nodes", &w.NodeCount)
	c.ledger(w.Ledger)
	c.limits(w.Limits)
	for _, id := range slices.Collect(maps.Keys(w.Usage)) {
		u := w.Usage[id]
		c.count("usage", &u.Sent)
		c.count("usage", &u.Unused)
		clamp(&c, "usage", &u.Expired, 0, math.MaxInt)
		w.Usage[id] = u
	}
	c.retryUse(w.RetryUse)
	c.age("counts_for_ms", &w.CountsForMS)
	counts(&c, "want_retries", w.WantedRetries)
	c.breakers(&w.OpenBreakers)
	return c.err()
}

// maxCapacity is the maximum capacity of a node, in cores.
const maxCapacity = 1 << 20

// node brings the capacity in a node's entry into its range.
func (c *rangeCheck) node(e *NodeEntry) { clamp(c, "capacity", &e.Capacity, 0, maxCapacity) }

// normalize brings the numbers of the answer, whose packed parts are unpacked, into their ranges. The error names those
// that were not; the answer can be used all the same. Its changes of instances are checked one by one as they are applied.
func (a *StatusAnswer) normalize() error {
	var c rangeCheck
	c.era(&a.Era)
	for i := range a.Nodes {
		c.node(&a.Nodes[i])
	}
	c.age("interval", &a.IntervalMS)
	counts(&c, "held", a.InProgress)
	c.age("age", &a.ConfigAgeMS)
	c.age("evac_age", &a.EvacuationsAgeMS)
	c.age("list_age", &a.ListAgeMS)
	c.flows(a.Demand)
	for i := range a.HallDemand {
		for hall, rate := range a.HallDemand[i].Requests {
			clamp(&c, "hall_demand", &rate, 0, maxMessageRate)
			a.HallDemand[i].Requests[hall] = rate
		}
	}
	for i := range a.Staging {
		c.age("staging", &a.Staging[i].AgeMS)
	}
	c.breakers(&a.OpenBreakers)
	c.ledger(a.Ledger)
	c.limits(a.Limits)
	for i := range a.Grants {
		c.count("grants", &a.Grants[i].Requests)
	}
	c.count("possible", &a.PossibleNodes)
	counts(&c, "retries", a.GrantedRetries)
	if p := a.Predecessor; p != nil {
		c.retryUse(p.RetryUse)
		c.age("predecessor", &p.AgeMS)
		c.age("predecessor", &p.CountsForMS)
	}
	return c.err()
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
