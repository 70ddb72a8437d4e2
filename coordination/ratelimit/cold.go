package ratelimit

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// ColdBound bounds the requests that all nodes together may send to a cold instance in any one second: Excess times the
// requests that the instance can handle, plus Slack. If Excess is 0, cold instances have no limit.
type ColdBound struct {
	Excess float64
	Slack  float64
}

// Enabled reports whether cold instances have a limit.
func (c ColdBound) Enabled() bool { return c.Excess > 0 }

// Limit returns the limit of an instance that can handle perSecond requests a second until a time.
func (c ColdBound) Limit(in fleet.Incarnation, perSecond float64, until time.Time) ColdLimit {
	return ColdLimit{Instance: in, PerSecond: perSecond, MaxInSecond: c.Excess*perSecond + c.Slack, Until: until}
}

// ColdLimit is the limit of an instance that is cold until a time.
type ColdLimit struct {
	Instance fleet.Incarnation
	// PerSecond is the number of requests a second that the instance can handle, MaxInSecond the number that all
	// nodes together may send to it in any one second.
	PerSecond   float64
	MaxInSecond float64
	Until       time.Time
}

// Cause is the reason for a rate limit.
type Cause string

// The causes of rate limits.
const (
	// CauseAnnounced is a limit that the instance announced.
	CauseAnnounced Cause = "announced"
	// CauseCold is the limit of an instance that is cold.
	CauseCold Cause = "cold"
)

// cold is the part of an entry that holds the limit of a cold instance.
type cold struct {
	perSecond   float64
	maxInSecond float64
	since       time.Time
	until       time.Time
}

// isCold reports whether the instance is cold.
func (e *entry) isCold(now time.Time) bool { return now.Before(e.cold.until) }

// isLimited reports whether the instance has a limit in force.
func (e *entry) isLimited(now time.Time) bool { return !e.Ended || e.isCold(now) }

// inForce returns the limit in force: the lower one of what the instance announced and of what it can handle while it
// is cold.
func (e *entry) inForce(now time.Time) Limit {
	l := e.Limit
	l.Cause = CauseAnnounced
	if !e.isCold(now) {
		return l
	}
	l.MaxInSecond, l.ColdUntil = e.cold.maxInSecond, e.cold.until
	if l.Ended || e.cold.perSecond < l.PerSecond {
		l.Ended, l.PerSecond, l.Cause, l.KnownSince = false, e.cold.perSecond, CauseCold, e.cold.since
	}
	return l
}

// SetCold sets the limits of the instances that are cold, and removes that of all others. It returns the instances
// that have become cold, and those that have not been cold since the last call.
func (b *Tracker) SetCold(limits []ColdLimit, now time.Time) (began, ended []fleet.Incarnation) {
	if len(limits) == 0 && b.coldCount.Load() == 0 {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	set := make(map[state.InstanceID]bool, len(limits))
	for i := range limits {
		l := &limits[i]
		if !now.Before(l.Until) || l.PerSecond <= 0 {
			continue
		}
		set[l.Instance.ID] = true
		if b.setCold(l, now) {
			began = append(began, l.Instance)
		}
	}
	for id, e := range b.entries {
		if !e.cold.until.IsZero() && !set[id] {
			e.cold = cold{}
			b.coldCount.Add(-1)
			ended = append(ended, e.Instance)
		}
	}
	for _, list := range [][]fleet.Incarnation{began, ended} {
		slices.SortFunc(list, func(a, c fleet.Incarnation) int { return strings.Compare(string(a.ID), string(c.ID)) })
	}
	return began, ended
}

// setCold sets the limit of a cold instance and reports whether it was warm before. b.mu is held.
func (b *Tracker) setCold(l *ColdLimit, now time.Time) bool {
	e := b.entries[l.Instance.ID]
	if e == nil || l.Instance.StartedAfter(e.Instance) {
		b.insert(Limit{Instance: l.Instance, Ended: true}, now)
		e = b.entries[l.Instance.ID]
		e.version = 0 // other nodes learn it from the instance's entry
	}
	began := e.cold.until.IsZero()
	if began {
		b.coldCount.Add(1)
		e.cold.since = now
		e.grants = nil
	}
	e.cold.perSecond, e.cold.maxInSecond, e.cold.until = l.PerSecond, l.MaxInSecond, l.Until
	return began
}

// InForce returns the limits in force, announced or of cold instances, sorted by instance ID.
func (b *Tracker) InForce(now time.Time) []Limit {
	if !b.HasActive() {
		return nil
	}
	var list []Limit
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.isLimited(now) {
			list = append(list, e.inForce(now))
		}
	}
	slices.SortFunc(list, func(a, c Limit) int { return strings.Compare(string(a.Instance.ID), string(c.Instance.ID)) })
	return list
}

// LimitOf returns the limit in force of an incarnation of an instance, and whether there is one.
func (b *Tracker) LimitOf(in fleet.Incarnation, now time.Time) (Limit, bool) {
	if !b.HasActive() {
		return Limit{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.find(in)
	if e == nil || !e.isLimited(now) {
		return Limit{}, false
	}
	return e.inForce(now), true
}

// ColdCount returns the number of cold instances.
func (b *Tracker) ColdCount() int { return int(b.coldCount.Load()) }

// ReceiveGrants records the grants in the answer to a status report sent at sentAt.
func (b *Tracker) ReceiveGrants(grants []Grant, sentAt, now time.Time) {
	if len(grants) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range grants {
		e := b.entries[g.Instance]
		if e == nil || !e.isLimited(now) {
			continue
		}
		until := sentAt.Add(b.policy.GrantTTL)
		if e.isCold(now) {
			until = sentAt.Add(b.policy.ColdGrantTTL)
		}
		for range g.Requests {
			e.grants = append(e.grants, until)
		}
		slices.SortFunc(e.grants, time.Time.Compare)
	}
}

// maxCredit returns the largest number of unused grants and of tokens for a cold instance, together: what remains of the
// bound on one second after the requests that become available within it. All of the credit may be used at the start of a
// second, and the rate adds to it until the end of that second.
func (p *Policy) maxCredit(l *Limit) float64 {
	return max(p.ColdUse*l.MaxInSecond-p.coldRate(l), 0)
}

// coldRate returns the rate at which grants may be issued for a cold instance, in requests a second.
func (p *Policy) coldRate(l *Limit) float64 {
	return min(l.PerSecond, p.MaxRate, p.ColdUse*l.MaxInSecond*maxColdRateShare)
}

// CanIssue reports whether an Allocator with a share of the limit of a cold instance ever issues a grant for it.
func (p *Policy) CanIssue(l *Limit, share float64) bool {
	return l.MaxInSecond > 0 && p.maxCredit(l)*share >= 1
}

// maxColdRateShare is the largest fraction of the bound on one second that the rate of grants takes up. The rest
// is for the grants that are not used yet, of which there are always some.
const maxColdRateShare = 2.0 / 3

// issueBounded issues grants for a cold instance. In any one second the nodes send at most what was available at its
// start, as tokens or as unused grants, and what becomes available within it: credit and rate together are below the
// bound. reported is the number of unused grants that nodes reported. Both are proportional to ColdShare, whatever its size, so this holds for the sum over all Allocators. One
// whose credit is less than one request issues none.
func (d *Allocator) issueBounded(b *bucket, l *Limit, r *AllocationInput, reported int, now time.Time) {
	rate, credit := d.policy.coldRate(l)*r.ColdShare, d.policy.maxCredit(l)*r.ColdShare
	elapsed := now.Sub(b.refilledAt)
	b.refilledAt, b.perSecond = now, l.PerSecond
	if elapsed > d.policy.ColdGrantTTL {
		b.tokens, elapsed = 0, 0 // another node may have issued grants in the meantime
	}
	outstanding := reported + b.unconfirmed(d.round.echoes, now, &d.policy)
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), max(credit-float64(outstanding), 0))
	if b.tokens < 1 {
		return
	}
	pool := d.poolOf(r, l)
	for b.tokens >= 1 {
		i := pool.choose(d.random())
		if i < 0 {
			return
		}
		a := b.allotment(r.Nodes[i].Name)
		a.uncollected = append(a.uncollected, now)
		pool.add(i, d.policy.ColdGrantTTL)
		b.tokens--
	}
}

// unconfirmed returns the number of grants that no status report includes yet. It takes back those that were not collected
// in time. echoes holds the stamp of the last answer that each node had received when it reported.
func (b *bucket) unconfirmed(echoes map[string]int64, now time.Time, p *Policy) int {
	n := 0
	for name, a := range b.allotments {
		if len(a.inTransit) > 0 {
			a.confirm(echoes[name], now, p)
		}
		for len(a.uncollected) > 0 && now.Sub(a.uncollected[0]) > p.CollectTimeout {
			a.uncollected = a.uncollected[1:]
			b.tokens++
		}
		n += a.unreported()
	}
	return n
}

// coldRound is the state of one round of issuing grants for cold instances.
type coldRound struct {
	echoes map[string]int64
	pools  map[string]*pool
}

// pool holds the nodes that get grants for the cold instances that can run the same requests. A node uses a grant for any of
// them with its next request, so that many grants for different instances would lie unused at one node while others
// have none.
type pool struct {
	// demands are the requests a second of each node, held its unused grants, weights how likely it gets the next one.
	demands []float64
	held    []int
	weights []float64
}

// startRound prepares a round of issuing grants for cold instances. d.mu is held.
func (d *Allocator) startRound(r *AllocationInput) {
	d.round = coldRound{}
	if !slices.ContainsFunc(r.Limits, func(l Limit) bool { return l.MaxInSecond > 0 }) {
		return
	}
	d.round.echoes, d.round.pools = make(map[string]int64, len(r.Nodes)), map[string]*pool{}
	index := make(map[string]int, len(r.Nodes))
	for i := range r.Nodes {
		d.round.echoes[r.Nodes[i].Name] = r.Nodes[i].Echo
		index[r.Nodes[i].Name] = i
	}
	names := map[state.InstanceID]string{}
	for i := range r.Limits {
		if l := &r.Limits[i]; l.MaxInSecond > 0 {
			names[l.Instance.ID] = r.Pool(l)
			d.poolOf(r, l).countUnreported(d.buckets[l.Instance.ID], index)
		}
	}
	for i := range r.Nodes {
		for id, u := range r.Nodes[i].Usage {
			if p := d.round.pools[names[id]]; p != nil {
				p.held[i] += u.Unused
			}
		}
	}
	for _, p := range d.round.pools {
		for i := range p.weights {
			p.weigh(i, d.policy.ColdGrantTTL)
		}
	}
}

// poolOf returns the pool of a cold instance in the current round. d.mu is held.
func (d *Allocator) poolOf(r *AllocationInput, l *Limit) *pool {
	name := r.Pool(l)
	p := d.round.pools[name]
	if p != nil {
		return p
	}
	p = &pool{demands: make([]float64, len(r.Nodes)), held: make([]int, len(r.Nodes)), weights: make([]float64, len(r.Nodes))}
	for i := range r.Nodes {
		if r.Nodes[i].UsesCold {
			p.demands[i] = r.Weight(r.Nodes[i].Name, l)
		}
	}
	d.round.pools[name] = p
	return p
}

// countUnreported adds the grants from a bucket that the nodes have not reported yet. index holds the position of each node.
func (p *pool) countUnreported(b *bucket, index map[string]int) {
	for name, a := range b.allotments {
		if i, known := index[name]; known {
			p.held[i] += a.unreported()
		}
	}
}

// weigh updates the weight of a node.
func (p *pool) weigh(i int, ttl time.Duration) {
	p.weights[i] = p.demands[i]
	if p.held[i] > 0 {
		p.weights[i] *= useLikelihood(p.demands[i]*ttl.Seconds(), p.held[i])
	}
}

// add records that a node gets one more grant.
func (p *pool) add(i int, ttl time.Duration) {
	p.held[i]++
	p.weigh(i, ttl)
}

// choose returns a node for a random number in [0, 1), with probability proportional to its weight, or -1 if none can
// be expected to use a grant.
func (p *pool) choose(random float64) int {
	total := 0.0
	for _, w := range p.weights {
		total += w
	}
	remaining := random * total
	for i, w := range p.weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return -1
}

// collection is a number of grants collected by a node with one answer.
type collection struct {
	stamp    int64
	at       time.Time
	requests int
}

// confirm removes the collections that the node's last status report includes, since it had received the answer with the
// stamp echo, and those that have expired.
func (a *allotment) confirm(echo int64, now time.Time, p *Policy) {
	a.inTransit = slices.DeleteFunc(a.inTransit, func(c collection) bool {
		return c.stamp <= echo || now.Sub(c.at) >= p.ColdGrantTTL
	})
}

// EchoOwn is the echo of a node's own usage, which includes all of its grants.
const EchoOwn = math.MaxInt64
