package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
)

// NodeUsage is a node to which an Allocator issues grants, and its usage.
type NodeUsage struct {
	Name string
	// Usage is the node's use of each instance's rate, from its last status report.
	Usage map[state.InstanceID]Usage
	// Echo is the stamp of the last answer that the node had received when it reported Usage. Process identifies its
	// process. UsesCold is set if it sends requests to cold instances by grants only.
	Echo     int64
	Process  int64
	UsesCold bool
}

// AllocationInput is the input of one round of issuing grants.
type AllocationInput struct {
	// Limits are the limits in force.
	Limits []Limit
	// Nodes are the nodes that get grants. Share is their fraction of all nodes that may send
	// requests, including those that this node cannot reach.
	Nodes []NodeUsage
	Share float64
	// ColdShare is the same for the limits of cold instances: only nodes that no other Allocator may count.
	ColdShare float64
	// Weight returns how many requests a second a node could send to an instance. It is above 0.
	Weight func(node string, l *Limit) float64
	// Pool returns what the instances that can run the same requests have in common. It is needed for cold instances.
	Pool func(l *Limit) string
}

// Allocator divides the rates of limited instances among nodes by grants of single requests.
// Fixed shares would not do: with 85 nodes, a node's share may be one request in 38 s, and all
// nodes may send theirs at the same time. Each grant goes to a node chosen at random by
// weight and by the grants that it holds, and is issued again if the node does not use it in
// time. An Allocator is safe for concurrent use.
type Allocator struct {
	policy Policy
	random func() float64

	mu      sync.Mutex
	buckets map[state.InstanceID]*bucket
	// weights is scratch space of chooseNode.
	weights []float64
	// round is the state of the current round for cold instances.
	round coldRound
}

// bucket is a token bucket for the rate of one instance, and the grants issued from it.
type bucket struct {
	// tokens is the number of tokens as of refilledAt. Each grant takes one.
	tokens     float64
	refilledAt time.Time
	// perSecond is the limit at the last refill.
	perSecond float64
	// isCold is set if the grants are for a cold instance.
	isCold     bool
	allotments map[string]*allotment
}

// allotment holds the grants issued to one node from an instance's rate.
type allotment struct {
	// uncollected holds the issue time of each grant that the node has not collected yet.
	uncollected []time.Time
	// collected is the number of grants collected at collectedAt, which the node's status
	// reports do not include yet.
	collected   int
	collectedAt time.Time
	// inTransit are the grants for a cold instance that the node has collected with each answer and that its reports do
	// not include yet.
	inTransit []collection
	// process is the node's process that reported expired.
	process int64
	// expired is the node's last reported number of expired grants. hasReported reports whether
	// it has reported one.
	expired     int
	hasReported bool
}

// NewAllocator returns an Allocator that chooses nodes by random, which returns random numbers in [0, 1).
func NewAllocator(policy Policy, random func() float64) *Allocator {
	return &Allocator{policy: policy, random: random, buckets: map[state.InstanceID]*bucket{}}
}

// Allocate issues grants for the part of each instance's rate that became available since the last round.
func (d *Allocator) Allocate(r AllocationInput, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	buckets := make(map[state.InstanceID]*bucket, len(r.Limits))
	for i := range r.Limits {
		l := &r.Limits[i]
		b := d.buckets[l.Instance.ID]
		if b == nil {
			b = &bucket{refilledAt: now, allotments: map[string]*allotment{}, perSecond: l.PerSecond}
		}
		b.isCold = l.MaxInSecond > 0
		if !b.isCold {
			b.refill(l.PerSecond, r.Share, now, &d.policy)
		}
		buckets[l.Instance.ID] = b
	}
	d.buckets = buckets
	sent, outstanding := d.usage(r.Nodes)
	d.startRound(&r)
	for i := range r.Limits {
		l := &r.Limits[i]
		b := buckets[l.Instance.ID]
		if b.isCold {
			d.issueBounded(b, l, &r, outstanding[l.Instance.ID], now)
			continue
		}
		d.issue(b, l, &r, sent[l.Instance.ID], outstanding[l.Instance.ID]+b.unreported(now, &d.policy), now)
	}
}

// usage sums the usage that nodes report for each instance: the calls sent within the window
// and the unused grants. Tokens of grants that expired at a node are returned to the bucket.
// d.mu is held.
func (d *Allocator) usage(nodes []NodeUsage) (sent, outstanding map[state.InstanceID]int) {
	sent, outstanding = map[state.InstanceID]int{}, map[state.InstanceID]int{}
	for i := range nodes {
		for id, u := range nodes[i].Usage {
			sent[id] += u.Sent
			outstanding[id] += u.Unused
			if b := d.buckets[id]; b != nil {
				b.reclaim(b.allotment(nodes[i].Name), nodes[i].Process, u.Expired)
			}
		}
	}
	return sent, outstanding
}

// reclaim returns the tokens of grants that expired at a node since its last report.
func (b *bucket) reclaim(a *allotment, process int64, expired int) {
	isSame := a.hasReported && process == a.process
	if isSame && expired > a.expired {
		b.tokens += float64(expired - a.expired)
	}
	if isSame && process != 0 {
		expired = max(expired, a.expired) // a report that arrives late has a lower number
	}
	a.expired, a.process, a.hasReported = expired, process, true
}

// unreported returns the number of issued grants that no status report includes yet. It takes
// back the grants that were not collected within Policy.CollectTimeout.
func (b *bucket) unreported(now time.Time, p *Policy) int {
	n := 0
	for _, a := range b.allotments {
		for len(a.uncollected) > 0 && now.Sub(a.uncollected[0]) > p.CollectTimeout {
			a.uncollected = a.uncollected[1:]
			b.tokens++
		}
		n += len(a.uncollected)
		if now.Sub(a.collectedAt) < p.GrantTTL {
			n += a.collected
		}
	}
	return n
}

// rate returns the rate at which grants may be issued for a limit, in requests a second.
func (p *Policy) rate(perSecond, share float64) float64 { return min(perSecond, p.MaxRate) * share }

// refill adds the tokens for the time since the last refill. The bucket starts empty, and
// again after a pause, since another node may have issued grants in the meantime.
func (b *bucket) refill(perSecond, share float64, now time.Time, p *Policy) {
	rate := p.rate(perSecond, share)
	elapsed := now.Sub(b.refilledAt)
	if perSecond < b.perSecond || elapsed > p.GrantTTL {
		clear(b.allotments) // issued for a rate that no longer applies, or expired
	}
	b.refilledAt, b.perSecond = now, perSecond
	if elapsed > p.GrantTTL {
		b.tokens = 0
		return
	}
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), max(rate*p.Burst.Seconds(), 1))
}

// allotment returns the grants issued to a node.
func (b *bucket) allotment(node string) *allotment {
	a := b.allotments[node]
	if a == nil {
		a = &allotment{}
		b.allotments[node] = a
	}
	return a
}

// issue issues one grant per whole token. It bounds the outstanding grants to the requests that
// the instance accepts in Policy.GrantTTL, plus two, since all nodes may use theirs at the same
// moment. It bounds outstanding grants and calls sent within the window together to the
// requests accepted in GrantTTL plus the window, plus two.
func (d *Allocator) issue(b *bucket, l *Limit, r *AllocationInput, sent, outstanding int, now time.Time) {
	rate := d.policy.rate(l.PerSecond, r.Share)
	maxOutstanding := rate*d.policy.GrantTTL.Seconds() + 1
	maxTotal := maxOutstanding + rate*d.policy.Window.Seconds()
	for ; b.tokens >= 1 && float64(outstanding) <= maxOutstanding && float64(outstanding+sent) <= maxTotal && len(r.Nodes) > 0; outstanding++ {
		a := b.allotment(d.chooseNode(b, r, l))
		a.uncollected = append(a.uncollected, now)
		b.tokens--
	}
}

// chooseNode returns a random node, with probability proportional to its weight and to the
// likelihood that it uses one more grant. Without the latter, nodes got second grants while
// others had none: nine nodes whose callers sent 10 requests a second used 0.87 of a limit of 4.
func (d *Allocator) chooseNode(b *bucket, r *AllocationInput, l *Limit) string {
	total := 0.0
	d.weights = d.weights[:0]
	for i := range r.Nodes {
		n := &r.Nodes[i]
		w := r.Weight(n.Name, l)
		if held := n.Usage[l.Instance.ID].Unused + b.allotments[n.Name].unreported(); held > 0 {
			w *= useLikelihood(w*d.policy.GrantTTL.Seconds(), held)
		}
		d.weights = append(d.weights, w)
		total += w
	}
	remaining := d.random() * total
	for i, w := range d.weights {
		if remaining -= w; remaining < 0 {
			return r.Nodes[i].Name
		}
	}
	return r.Nodes[len(r.Nodes)-1].Name
}

// unreported returns the number of grants issued to a node that its status reports do not
// include yet. a may be nil.
func (a *allotment) unreported() int {
	if a == nil {
		return 0
	}
	n := len(a.uncollected) + a.collected
	for _, c := range a.inTransit {
		n += c.requests
	}
	return n
}

// useLikelihood returns the probability that a node which gets requests gets more than held of
// them while a grant is valid. expected is the mean number of its requests in that time, whose
// number is assumed to have a Poisson distribution.
func useLikelihood(expected float64, held int) float64 {
	p := math.Exp(-expected) // the probability of exactly k requests
	none, atMostHeld := p, p
	for k := 1; k <= held; k++ {
		p *= expected / float64(k)
		atMostHeld += p
	}
	if none >= 1 {
		return 0
	}
	return max(1-atMostHeld, 0) / (1 - none)
}

// Collect returns and clears the uncollected grants of a node whose status report has just arrived.
// stamp identifies the answer; it is higher than that of each earlier answer to the node.
func (d *Allocator) Collect(node string, stamp int64, now time.Time) []Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Grant
	for id, b := range d.buckets {
		a := b.allotments[node]
		if a == nil {
			continue
		}
		n := len(a.uncollected)
		a.uncollected, a.collected = nil, 0
		switch {
		case n == 0:
			continue
		case b.isCold:
			a.inTransit = append(a.inTransit, collection{stamp, now, n})
		default:
			a.collected, a.collectedAt = n, now
		}
		list = append(list, Grant{Instance: id, Requests: n})
	}
	return list
}
