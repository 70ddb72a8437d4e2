package ratelimit

import (
	"sync"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Node is one of the nodes that a Dealer deals to.
type Node struct {
	Name string
	// Usage is what the node made of each instance's rate, by its last status report.
	Usage map[state.InstanceID]Usage
}

// Round is what a Dealer deals by.
type Round struct {
	// Limits are the limits in force.
	Limits []Limit
	// Nodes are those that are dealt to, Part which part they are of all nodes that may send,
	// also unheard.
	Nodes []Node
	Part  float64
	// Weight is what a node can use of an instance's rate, against the other nodes.
	Weight func(node string, l *Limit) float64
}

// Dealer divides the rates of limited instances over nodes, one request at a time: shares of
// a rate would leave a node of 85 one request in 38 s, and all of them that one at once. Each
// request is dealt to a node drawn by what it can use, and dealt again if the node did not
// use it in time. Safe for concurrent use.
type Dealer struct {
	policy Policy
	draw   func() float64

	mu     sync.Mutex
	stocks map[state.InstanceID]*stock
}

// stock is what is dealt of one instance's rate.
type stock struct {
	// level is the number of requests that may be dealt now, as of at.
	level float64
	at    time.Time
	// perSecond is the limit that was last dealt by.
	perSecond float64
	hands     map[string]*hand
}

// hand is what one node was dealt of an instance's rate.
type hand struct {
	// waiting is when each request was dealt that the node has not picked up yet.
	waiting []time.Time
	// pickedUp is the number of those picked up at pickedUpAt, which its status reports do not show yet.
	pickedUp   int
	pickedUpAt time.Time
	// lapsed is how many grants the node has let lapse, as it last reported; counted tells that it did.
	lapsed  int
	counted bool
}

// NewDealer returns a Dealer that draws nodes by numbers from 0 to below 1.
func NewDealer(policy Policy, draw func() float64) *Dealer {
	return &Dealer{policy: policy, draw: draw, stocks: map[state.InstanceID]*stock{}}
}

// Deal deals what has become free of each instance's rate since the last round.
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

// usage adds up what nodes report of each instance's rate: what they sent within the window,
// and what they may still send. What lapsed at a node may be dealt again. d.mu is held.
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

// takeBack adds what a node has let lapse since its last report to the level.
func (s *stock) takeBack(h *hand, lapsed int) {
	if h.counted && lapsed > h.lapsed {
		s.level += float64(lapsed - h.lapsed)
	}
	h.lapsed, h.counted = lapsed, true
}

// inHand returns how many requests were dealt that no report of a node shows yet, and takes
// back those that were not picked up in time.
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

// rate returns the part of a limit that may be dealt, in requests a second.
func (p *Policy) rate(perSecond, part float64) float64 { return min(perSecond, p.MaxRate) * part }

// refill brings the level up to date. It begins empty, also after a pause: another node may
// have dealt meanwhile.
func (s *stock) refill(perSecond, part float64, now time.Time, p *Policy) {
	rate := p.rate(perSecond, part)
	past := now.Sub(s.at)
	if perSecond < s.perSecond || past > p.GrantFor {
		clear(s.hands) // dealt by a rate that no longer holds, or not to be used any more
	}
	s.at, s.perSecond = now, perSecond
	if past > p.GrantFor {
		s.level = 0
		return
	}
	s.level = min(s.level+rate*past.Seconds(), max(rate*p.Burst.Seconds(), 1))
}

// hand returns what a node was dealt.
func (s *stock) hand(node string) *hand {
	h := s.hands[node]
	if h == nil {
		h = &hand{}
		s.hands[node] = h
	}
	return h
}

// deal deals the whole requests of a stock. No more are open than the instance takes while a
// grant holds, and two, since all nodes may use theirs in one moment; no more are open and sent
// than it takes in that time and the window, and two.
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

// drawNode draws one of the nodes by their weights.
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

// PickUp returns the grants that wait for a node whose status report has come just now.
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
