package upgrade

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/troutmast/troutmast/internal/relay"
	"github.com/troutmast/troutmast/platform/standin"
)

// links are the relays of a run, before workers by their ids and before the store by its
// callers' places among the nodes; safe for concurrent use.
type links struct {
	mu     sync.Mutex
	worker map[string]*relay.Relay
	store  []*relay.Relay
}

// newLinks returns links without relays.
func newLinks() *links { return &links{worker: map[string]*relay.Relay{}} }

// close ends all relays.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.worker {
		_ = r.Close() // closed already if its worker ended
	}
	for _, r := range l.store {
		_ = r.Close()
	}
}

// toWorker returns the relay before a worker, or nil.
func (l *links) toWorker(id string) *relay.Relay {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worker[id]
}

// inherit registers the relay of a worker, if it has one, for the worker that is started at its address.
func (l *links) inherit(from, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if link := l.worker[from]; link != nil {
		l.worker[id] = link
	}
}

// linkWorker puts a relay before a worker if connections are to be harmed.
func (r *run) linkWorker(w *standin.Worker, ln net.Listener) error {
	if !r.Soak {
		return nil
	}
	link, err := relay.New(r.ip(), netip.MustParseAddrPort(ln.Addr().String()))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRun, err)
	}
	w.Front = link
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	r.links.worker[w.ID] = link
	return nil
}

// linkStore returns where the next node reaches the store that listens.
func (r *run) linkStore(ln net.Listener) (netip.AddrPort, error) {
	addr := netip.MustParseAddrPort(ln.Addr().String())
	if !r.Soak {
		return addr, nil
	}
	link, err := relay.New(r.ip(), addr)
	if err != nil {
		return addr, fmt.Errorf("%w: %w", ErrRun, err)
	}
	r.links.mu.Lock()
	defer r.links.mu.Unlock()
	r.links.store = append(r.links.store, link)
	return link.Addr(), nil
}

// Times of harmed connections.
const (
	slowTime   = 3 * time.Second
	slowBy     = 150 * time.Millisecond
	oneWayTime = 1500 * time.Millisecond
)

// harmWorkerLink harms the connections to a worker.
func (r *run) harmWorkerLink(what trouble) {
	w := r.draw([]string{standin.EngineName, standin.PlainName}[r.rng.IntN(2)])
	way := relay.Way(r.rng.IntN(2))
	r.note(change{until: time.Now().Add(troubleTime), what: w.ID, trouble: what})
	harm(r.links.toWorker(w.ID), what, way)
}

// harmStoreLink harms the connections of a node to the store.
func (r *run) harmStoreLink(what trouble) {
	i, way := r.rng.IntN(len(r.nodes)), relay.Way(r.rng.IntN(2))
	r.note(change{until: time.Now().Add(troubleTime), what: "store", node: r.nodes[i], trouble: what})
	harm(r.links.store[i], what, way)
}

// harm has one trouble happen at a relay.
func harm(link *relay.Relay, what trouble, way relay.Way) {
	switch what {
	case resetLink, resetStore:
		link.Reset()
	case silentLink, silentStore:
		link.Silence()
	case slowLink:
		link.Delay(slowBy)
		time.AfterFunc(slowTime, func() { link.Delay(0) })
	case oneWayLink, oneWayStore:
		link.Hold(way, true)
		time.AfterFunc(oneWayTime, func() { link.Hold(way, false) })
	}
}

// harmed reports whether the connections to a worker were harmed between two times.
func (j *judge) harmed(worker string, from, to time.Time) bool {
	return slices.ContainsFunc(j.changes, func(c change) bool {
		return c.what == worker && slices.Contains(workerLinks, c.trouble) && !c.until.Before(from) && !c.at.After(to)
	})
}
