// Package membership knows the other entry nodes: where they are, what they
// last said of themselves, and which of them a piece of shared work falls to.
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

// Node is what an entry node last said of itself.
type Node struct {
	Name        string
	Hall        state.HallName
	Address     netip.AddrPort
	Incarnation string
	Applied     state.Offset
	Ready       bool
	Stopping    bool
	// LogAge is how long before SaidAt the node last held all that the log held.
	LogAge time.Duration
	// Held is the number of requests in progress.
	Held int
	// Demand is the number of requests a second that came in, smoothed.
	Demand int
	// Models are the models and services that the node can serve in its own hall.
	Models []string
	// SaidAt is when the question that it answered was asked, by the receiver's clock.
	SaidAt time.Time
}

// Directory holds the known nodes; the zero value is not usable.
type Directory struct {
	self     Node
	liveness time.Duration
	mu       sync.RWMutex
	nodes    map[string]Node
	held     map[string]heldWord
	suspects map[string]time.Time
}

// heldWord is what a node has itself said of the requests that it holds, with what it said of itself then.
type heldWord struct {
	node Node
	held map[state.GroupName]int
}

// NewDirectory returns a Directory for a node; a peer silent for longer than liveness counts as gone.
func NewDirectory(self Node, liveness time.Duration) *Directory {
	return &Directory{
		self:     self,
		liveness: liveness,
		nodes:    map[string]Node{},
		held:     map[string]heldWord{},
		suspects: map[string]time.Time{},
	}
}

// Self returns the node's own name, hall, address and incarnation.
func (d *Directory) Self() Node { return d.self }

// Learn takes in what a node said, unless something newer is held.
func (d *Directory) Learn(n Node) {
	if n.Name == "" || n.Name == d.self.Name {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.nodes[n.Name]; ok && !n.SaidAt.After(old.SaidAt) {
		return
	}
	d.nodes[n.Name] = n
}

// Introduce takes in a node that has called, if it was not known: it may be asked from then on.
//
// What a caller says of itself is not dated by a question of ours, so it
// neither renews a node that is known nor makes the new one count as live.
func (d *Directory) Introduce(n Node) {
	n.SaidAt = time.Time{}
	n.Applied, n.Ready, n.Models = 0, false, nil
	d.Learn(n)
}

// LearnHeld takes in what a node has itself said of the requests that it holds for each group.
func (d *Directory) LearnHeld(n Node, held map[state.GroupName]int) {
	d.Learn(n)
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.held[n.Name]; !ok || n.SaidAt.After(old.node.SaidAt) {
		d.held[n.Name] = heldWord{node: n, held: held}
	}
}

// Known returns all nodes ever heard of except the node itself, by name.
func (d *Directory) Known() []Node {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]Node, 0, len(d.nodes))
	for _, n := range d.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// farLiveness is how many times longer a node of another hall may be silent: it
// is heard of only now and then, by way of one node of this hall.
const farLiveness = 3

// Live returns the peers of a hall heard of lately, or of all halls for an empty name.
func (d *Directory) Live(hall state.HallName, now time.Time) []Node {
	return slices.DeleteFunc(d.Known(), func(n Node) bool {
		limit := d.liveness
		if n.Hall != d.self.Hall {
			limit *= farLiveness
		}
		return (hall != "" && n.Hall != hall) || now.Sub(n.SaidAt) > limit || d.suspected(n)
	})
}

// Suspect notes that a node could not be reached; it does not count as live until it is heard of anew.
func (d *Directory) Suspect(name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects[name] = now
}

// suspected reports whether a node could not be reached after it was last heard of.
func (d *Directory) suspected(n Node) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !n.SaidAt.After(d.suspects[n.Name])
}

// HallNames returns the names of the node itself and its live peers in its own hall.
func (d *Directory) HallNames(now time.Time) []string {
	names := []string{d.self.Name}
	for _, n := range d.Live(d.self.Hall, now) {
		names = append(names, n.Name)
	}
	slices.Sort(names)
	return names
}

// Mine reports whether a piece of the hall's work falls to this node.
func (d *Directory) Mine(key string, now time.Time) bool {
	return Owner(key, d.HallNames(now)) == d.self.Name
}

// ClearedOf reports whether every node of the hall has applied an offset and holds no request of a group.
//
// Only the node's own word counts, with the offset that it had applied when it
// gave it: what others relay may be newer than the count of its requests. A node
// that has fallen silent blocks for as long as gone, since it may still be at
// work on a request; after that its connections count as closed.
func (d *Directory) ClearedOf(g *state.Group, now time.Time, gone time.Duration) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name, n := range d.nodes {
		if n.Hall != g.Hall || now.Sub(n.SaidAt) > gone {
			continue
		}
		word := d.held[name]
		if word.node.Applied < g.Drained || now.Sub(word.node.SaidAt) > d.liveness || word.held[g.Name] > 0 {
			return false
		}
	}
	return true
}

// Owner names the one of several nodes to which a key falls, by rendezvous hashing.
func Owner(key string, names []string) string {
	var best string
	var most uint64
	for _, name := range names {
		var h xxhash.Digest
		h.Reset()
		_, _ = h.WriteString(name)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(key)
		if score := h.Sum64(); best == "" || score > most {
			best, most = name, score
		}
	}
	return best
}

// Split divides whole places over nodes by their demand and returns the part of one of them.
//
// Every node computes the same division from the same demands; the parts add up
// to the whole exactly. Where there are enough places, every node has one, and
// about half an even part at least: the balancer may send the next burst to a
// node that had no demand until now.
func Split(whole int, demand map[string]int, name string) int {
	names := make([]string, 0, len(demand))
	total := 0
	for n, d := range demand {
		names = append(names, n)
		total += d + 1
	}
	slices.Sort(names)
	// A node's weight is its demand plus the mean demand, both times the number of nodes.
	weight := func(n string) int { return len(names)*(demand[n]+1) + total }
	least := 0
	if whole >= len(names) {
		least = 1
	}
	rest := whole - least*len(names)
	left := rest
	part := 0
	for _, n := range names {
		share := rest * weight(n) / (2 * len(names) * total)
		left -= share
		if n == name {
			part = least + share
		}
	}
	if slices.Index(names, name) < left {
		part++
	}
	return part
}
