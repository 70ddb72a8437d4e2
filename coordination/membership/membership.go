// Package membership tracks the other entry nodes: their addresses, their latest
// status reports, and which of them owns a piece of shared work.
package membership

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/troutmast/troutmast/state"
)

// Node is the latest status report of an entry node.
type Node struct {
	Name        string
	Hall        state.HallName
	Address     netip.AddrPort
	Incarnation string
	Applied     state.Offset
	Ready       bool
	Stopping    bool
	// LogLag is how long before RequestedAt the node was last up to date with the log.
	LogLag time.Duration
	// InFlight is the number of requests in flight.
	InFlight int
	// RequestRate is the smoothed rate of incoming requests per second.
	RequestRate int
	// Models are the models and services that the node can serve in its own hall.
	Models []string
	// RequestedAt is when the request for this report was sent, by the receiver's clock.
	RequestedAt time.Time
}

// Directory holds the known nodes. Use NewDirectory to create one.
type Directory struct {
	self            Node
	livenessTimeout time.Duration
	mu              sync.RWMutex
	nodes           map[string]Node
	inFlight        map[string]inFlightReport
	suspectedAt     map[string]time.Time
}

// inFlightReport is a node's own count of its requests in flight by group, with the status report
// that came with it.
type inFlightReport struct {
	node     Node
	inFlight map[state.GroupName]int
}

// NewDirectory returns a Directory for a node. A peer in the same hall that is silent for longer
// than livenessTimeout does not count as live.
func NewDirectory(self Node, livenessTimeout time.Duration) *Directory {
	return &Directory{
		self:            self,
		livenessTimeout: livenessTimeout,
		nodes:           map[string]Node{},
		inFlight:        map[string]inFlightReport{},
		suspectedAt:     map[string]time.Time{},
	}
}

// Self returns the node's own name, hall, address and incarnation.
func (d *Directory) Self() Node { return d.self }

// Update records a status report unless a newer one of the same node is known.
func (d *Directory) Update(n Node) {
	if n.Name == "" || n.Name == d.self.Name {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.nodes[n.Name]; ok && !n.RequestedAt.After(old.RequestedAt) {
		return
	}
	d.nodes[n.Name] = n
}

// AddCaller adds a node that called this one, so that its status can be requested.
//
// The caller's data has no request time by this node's clock, so it neither
// refreshes a known node nor makes a new one count as live.
func (d *Directory) AddCaller(n Node) {
	n.RequestedAt = time.Time{}
	n.Applied, n.Ready, n.Models = 0, false, nil
	d.Update(n)
}

// UpdateInFlight records a status report that came from the node itself, with its requests in flight by group.
func (d *Directory) UpdateInFlight(n Node, inFlight map[state.GroupName]int) {
	d.Update(n)
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.inFlight[n.Name]; !ok || n.RequestedAt.After(old.node.RequestedAt) {
		d.inFlight[n.Name] = inFlightReport{node: n, inFlight: inFlight}
	}
}

// Peers returns all known nodes except the node itself, sorted by name.
func (d *Directory) Peers() []Node {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]Node, 0, len(d.nodes))
	for _, n := range d.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// remoteLivenessFactor is the factor by which the liveness timeout is longer for a node of
// another hall: its status reports arrive less often, relayed by one node of this hall.
const remoteLivenessFactor = 3

// LivePeers returns the live peers of a hall, or of all halls if hall is empty.
func (d *Directory) LivePeers(hall state.HallName, now time.Time) []Node {
	return slices.DeleteFunc(d.Peers(), func(n Node) bool {
		limit := d.livenessTimeout
		if n.Hall != d.self.Hall {
			limit *= remoteLivenessFactor
		}
		return (hall != "" && n.Hall != hall) || now.Sub(n.RequestedAt) > limit || d.suspected(n)
	})
}

// MarkSuspected records that a node could not be reached. It does not count as live until a newer status report.
func (d *Directory) MarkSuspected(name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectedAt[name] = now
}

// suspected reports whether a node could not be reached since its latest status report.
func (d *Directory) suspected(n Node) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !n.RequestedAt.After(d.suspectedAt[n.Name])
}

// LiveHallNodes returns the names of the node itself and its live peers in its own hall.
func (d *Directory) LiveHallNodes(now time.Time) []string {
	names := []string{d.self.Name}
	for _, n := range d.LivePeers(d.self.Hall, now) {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	return names
}

// Owns reports whether this node owns a piece of the hall's work.
func (d *Directory) Owns(key string, now time.Time) bool {
	return Owner(key, d.LiveHallNodes(now)) == d.self.Name
}

// IsDrained reports whether every other node of the group's hall has applied the group's drain
// and has no request of the group in flight.
//
// Only a report from the node itself counts, with the offset that it had applied at
// that time: a relayed report may be newer than the count of its requests. A silent
// node blocks for as long as goneAfter, since it may still be working on a request. After
// that its connections count as closed.
func (d *Directory) IsDrained(g *state.Group, now time.Time, goneAfter time.Duration) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name, n := range d.nodes {
		if n.Hall != g.Hall || now.Sub(n.RequestedAt) > goneAfter {
			continue
		}
		last := d.inFlight[name]
		if last.node.Applied < g.Drained || now.Sub(last.node.RequestedAt) > d.livenessTimeout || last.inFlight[g.Name] > 0 {
			return false
		}
	}
	return true
}

// Owner returns the node that owns a key, chosen by rendezvous hashing.
func Owner(key string, names []string) string {
	var best string
	var bestScore uint64
	for _, name := range names {
		var h xxhash.Digest
		h.Reset()
		_, _ = h.WriteString(name)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(key)
		if score := h.Sum64(); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// ShareOf divides places among nodes by their demand and returns the share of one node.
//
// Every node computes the same division from the same demands, and the shares add up
// to places exactly. If there are enough places, every node gets at least one, and at
// least about half of an equal share: the load balancer may send the next burst to a
// node that had no demand before.
func ShareOf(places int, demand map[string]int, name string) int {
	names := make([]string, 0, len(demand))
	total := 0
	for n, d := range demand {
		names = append(names, n)
		total += d + 1
	}
	slices.Sort(names)
	// A node's weight is its demand plus the mean demand, both times the number of nodes.
	weight := func(n string) int { return len(names)*(demand[n]+1) + total }
	minimum := 0
	if places >= len(names) {
		minimum = 1
	}
	distributable := places - minimum*len(names)
	remainder := distributable
	share := 0
	for _, n := range names {
		portion := distributable * weight(n) / (2 * len(names) * total)
		remainder -= portion
		if n == name {
			share = minimum + portion
		}
	}
	if slices.Index(names, name) < remainder {
		share++
	}
	return share
}
