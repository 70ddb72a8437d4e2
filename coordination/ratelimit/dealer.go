package ratelimit

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Node is a node to which a Dealer issues grants.
type Node struct {
	Name string
	// Usage is the node's use of each instance's rate, from its last status report.
	Usage map[state.InstanceID]Usage
}

// Round is the input of one round of issuing grants.
type Round struct {
	// Limits are the limits in force.
	Limits []Limit
	// Nodes are the nodes that get grants. Part is their fraction of all nodes that may send
	// requests, including those that this node cannot reach.
	Nodes []Node
	Part  float64
	// Weight returns how much of an instance's rate a node can use, relative to the other nodes.
	Weight func(node string, l *Limit) float64
}

// Dealer divides the rates of limited instances among nodes by grants of single requests.
// Fixed shares would not do: with 85 nodes, a node's share may be one request in 38 s, and all
// nodes may send theirs at the same time. Each grant goes to a node chosen at random by
// weight, and is issued again if the node does not use it in time. A Dealer is safe for
// concurrent use.
type Dealer struct {
	policy Policy
	draw   func() float64

	mu     sync.Mutex
	stocks map[state.InstanceID]*stock
}

// stock is a token bucket for the rate of one instance, and the grants issued from it.
type stock struct {
	// level is the number of tokens as of at. Each grant takes one.
	level float64
	at    time.Time
	// perSecond is the limit at the last refill.
	perSecond float64
	hands     map[string]*hand
}

// hand holds the grants issued to one node from an instance's rate.
type hand struct {
	// waiting holds the issue time of each grant that the node has not collected yet.
	waiting []time.Time
	// pickedUp is the number of grants collected at pickedUpAt, which the node's status reports
	// do not include yet.
	pickedUp   int
	pickedUpAt time.Time
	// lapsed is the node's last reported number of expired grants. counted reports whether it
	// has reported one.
	lapsed  int
	counted bool
}

// NewDealer returns a Dealer that chooses nodes by draw, which returns random numbers in [0, 1).
func NewDealer(policy Policy, draw func() float64) *Dealer {
	return &Dealer{policy: policy, draw: draw, stocks: map[state.InstanceID]*stock{}}
}

// Deal issues grants for the part of each instance's rate that became available since the last round.
func (d *Dealer) Deal(r Round, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stocks := make(map[state.InstanceID]*stock, len(r.Limits))
	for i := range r.Limits {
		l := &r.Limits[i]
		s := d.stocks[l.Instance.ID]
		if s == nil {
			s = &stock{at: now, hands: map[string]*hand{}, perSecond: l.PerSecond}
		}
		s.refill(l.PerSecond, r.Part, now, &d.policy)
		stocks[l.Instance.ID] = s
	}
	d.stocks = stocks
	sent, open := d.usage(r.Nodes)
	for i := range r.Limits {
		l := &r.Limits[i]
		s := stocks[l.Instance.ID]
		d.deal(s, l, &r, sent[l.Instance.ID], open[l.Instance.ID]+s.inHand(now, &d.policy), now)
	}
}

// usage sums the usage that nodes report for each instance: the calls sent within the window
// and the unused grants. Tokens of grants that expired at a node are returned to the bucket.
// d.mu is held.
func (d *Dealer) usage(nodes []Node) (sent, open map[state.InstanceID]int) {
	sent, open = map[state.InstanceID]int{}, map[state.InstanceID]int{}
	for i := range nodes {
		for id, u := range nodes[i].Usage {
			sent[id] += u.Sent
			open[id] += u.Waiting
			if s := d.stocks[id]; s != nil {
				s.takeBack(s.hand(nodes[i].Name), u.Lapsed)
			}
		}
	}
	return sent, open
}

// takeBack returns the tokens of grants that expired at a node since its last report.
func (s *stock) takeBack(h *hand, lapsed int) {
	if h.counted && lapsed > h.lapsed {
		s.level += float64(lapsed - h.lapsed)
	}
	h.lapsed, h.counted = lapsed, true
}

// inHand returns the number of issued grants that no status report includes yet. It takes
// back the grants that were not collected within Policy.PickUpWithin.
func (s *stock) inHand(now time.Time, p *Policy) int {
	n := 0
	for _, h := range s.hands {
		for len(h.waiting) > 0 && now.Sub(h.waiting[0]) > p.PickUpWithin {
			h.waiting = h.waiting[1:]
			s.level++
		}
		n += len(h.waiting)
		if now.Sub(h.pickedUpAt) < p.GrantFor {
			n += h.pickedUp
		}
	}
	return n
}

// rate returns the rate at which grants may be issued for a limit, in requests a second.
func (p *Policy) rate(perSecond, part float64) float64 { return min(perSecond, p.MaxRate) * part }

// refill adds the tokens for the time since the last refill. The bucket starts empty, and
// again after a pause, since another node may have issued grants in the meantime.
func (s *stock) refill(perSecond, part float64, now time.Time, p *Policy) {
	rate := p.rate(perSecond, part)
	past := now.Sub(s.at)
	if perSecond < s.perSecond || past > p.GrantFor {
		clear(s.hands) // issued for a rate that no longer applies, or expired
	}
	s.at, s.perSecond = now, perSecond
	if past > p.GrantFor {
		s.level = 0
		return
	}
	s.level = min(s.level+rate*past.Seconds(), max(rate*p.Burst.Seconds(), 1))
}

// hand returns the grants issued to a node.
func (s *stock) hand(node string) *hand {
	h := s.hands[node]
	if h == nil {
		h = &hand{}
		s.hands[node] = h
	}
	return h
}

// deal issues one grant per whole token. It bounds the outstanding grants to the requests that
// the instance accepts in Policy.GrantFor, plus two, since all nodes may use theirs at the same
// moment. It bounds outstanding grants and calls sent within the window together to the
// requests accepted in GrantFor plus the window, plus two.
func (d *Dealer) deal(s *stock, l *Limit, r *Round, sent, open int, now time.Time) {
	rate := d.policy.rate(l.PerSecond, r.Part)
	mostOpen := rate*d.policy.GrantFor.Seconds() + 1
	most := mostOpen + rate*d.policy.Window.Seconds()
	for ; s.level >= 1 && float64(open) <= mostOpen && float64(open+sent) <= most && len(r.Nodes) > 0; open++ {
		h := s.hand(d.drawNode(r, l))
		h.waiting = append(h.waiting, now)
		s.level--
	}
}

// drawNode returns a random node, with probability proportional to its weight.
func (d *Dealer) drawNode(r *Round, l *Limit) string {
	total := 0.0
	for i := range r.Nodes {
		total += r.Weight(r.Nodes[i].Name, l)
	}
	at := d.draw() * total
	for i := range r.Nodes {
		if at -= r.Weight(r.Nodes[i].Name, l); at < 0 {
			return r.Nodes[i].Name
		}
	}
	return r.Nodes[len(r.Nodes)-1].Name
}

// PickUp returns and clears the uncollected grants of a node whose status report has just arrived.
func (d *Dealer) PickUp(node string, now time.Time) []Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Grant
	for id, s := range d.stocks {
		h := s.hands[node]
		if h == nil {
			continue
		}
		h.pickedUp, h.pickedUpAt = len(h.waiting), now
		if h.pickedUp > 0 {
			list = append(list, Grant{Instance: id, Requests: h.pickedUp})
		}
		h.waiting = nil
	}
	return list
}
