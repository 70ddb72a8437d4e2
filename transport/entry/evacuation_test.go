package entry_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/entry"
)

// evacuateTimeout is the bound of evacuations in the tests.
const evacuateTimeout = 5 * time.Second

// hallDeployment is a set of nodes and one plain instance in each hall. Callers send requests to all nodes all the time.
type hallDeployment struct {
	t     *testing.T
	g     *WithT
	s     *store
	nodes []*running

	mu sync.Mutex
	// arrivals holds the times of the requests at the instance of each hall, by the node that sent them.
	arrivals map[state.HallName]map[string][]time.Time
	// cutNode is the node whose calls of other nodes fail, or nil.
	cutNode atomic.Pointer[string]
}

// newHallDeployment starts a deployment with the given halls and nodes and waits until each node uses all halls.
func newHallDeployment(t *testing.T, nodes int, halls ...state.HallName) *hallDeployment {
	d := &hallDeployment{t: t, g: NewWithT(t), s: &store{topics: map[source.Topic][]source.Item{}, era: 1}, arrivals: map[state.HallName]map[string][]time.Time{}}
	d.s.add(source.Configuration, "config", 1)
	for _, hall := range halls {
		d.startInstance(hall)
	}
	for range nodes {
		d.startNode()
	}
	for _, hall := range halls {
		d.waitForArrivals(hall, d.nodes...)
	}
	return d
}

// startInstance starts the instance of a hall and lists it.
func (d *hallDeployment) startInstance(hall state.HallName) {
	d.arrivals[hall] = map[string][]time.Time{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.arrivals[hall][r.Header.Get("Node")] = append(d.arrivals[hall][r.Header.Get("Node")], time.Now())
		d.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	d.t.Cleanup(srv.Close)
	id := "i-" + string(hall)
	d.s.add(source.Instances, id, fleet.Instance{
		ID: state.InstanceID(id), Service: "plain", Slots: 4, Hall: hall, Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
	})
}

// startNode starts a node whose seeds are all nodes before it, and callers of it. Nodes lead in the order of their start.
func (d *hallDeployment) startNode() *running {
	return d.startNodeWith(func(*entry.Settings) {})
}

// startNodeWith starts a node as startNode does, after tune has changed its settings.
func (d *hallDeployment) startNodeWith(tune func(*entry.Settings)) *running {
	ports := entry.Ports{Decoder: decoder{}, Target: dialTargets{}, HeaderCodec: codec{}}
	var seeds []netip.AddrPort
	for _, n := range d.nodes {
		seeds = append(seeds, n.set.PeerAddress)
	}
	name := "n" + string(rune('0'+len(d.nodes)))
	n := startPrepared(d.t, d.s, ports, name, func(set *entry.Settings) {
		set.EvacuateTimeout, set.MaxKeyAge, set.Capacity = evacuateTimeout, time.Minute, 10-float64(len(d.nodes))
		tune(set)
	}, func(node *entry.Node) {
		node.PartitionFromPeers(func() bool { cut := d.cutNode.Load(); return cut != nil && *cut == name })
	}, seeds...)
	d.nodes = append(d.nodes, n)
	d.call(n)
	return n
}

// call sends requests to a node until the test ends.
func (d *hallDeployment) call(n *running) {
	stop, done := make(chan struct{}), make(chan struct{})
	d.t.Cleanup(func() {
		close(stop)
		<-done
	})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				d.request(n)
			}
		}
	}()
}

// request sends a request to a node and returns the code of its refusal, "" if there is none.
func (d *hallDeployment) request(n *running) string {
	req, _ := http.NewRequest(http.MethodGet, "http://"+n.set.CallerAddress.String()+"/x", nil)
	req.Host = "h"
	req.Header = http.Header{"Id": {"r1"}, "Key": {"k"}, "Node": {n.set.Name}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body := make([]byte, 64)
	length, _ := resp.Body.Read(body)
	return strings.TrimSpace(string(body[:length]))
}

// evacuate writes the record that evacuates a hall, and returns when it was acknowledged.
func (d *hallDeployment) evacuate(hall state.HallName) time.Time {
	d.s.add(source.Configuration, evacuation.Key(hall), struct{}{})
	return time.Now()
}

// readmit deletes the record that evacuates a hall.
func (d *hallDeployment) readmit(hall state.HallName) {
	d.s.drop(source.Configuration, evacuation.Key(hall))
}

// arrivalsSince returns the number of requests of a node that arrived in a hall after a time.
func (d *hallDeployment) arrivalsSince(hall state.HallName, n *running, since time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, at := range d.arrivals[hall][n.set.Name] {
		if at.After(since) {
			count++
		}
	}
	return count
}

// lastArrival returns when the last request arrived in a hall.
func (d *hallDeployment) lastArrival(hall state.HallName) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last time.Time
	for _, arrivals := range d.arrivals[hall] {
		if at := arrivals[len(arrivals)-1]; at.After(last) {
			last = at
		}
	}
	return last
}

// waitForArrivals waits until requests of each of the nodes arrive in a hall.
func (d *hallDeployment) waitForArrivals(hall state.HallName, nodes ...*running) {
	since := time.Now()
	for _, n := range nodes {
		d.g.Eventually(func() int { return d.arrivalsSince(hall, n, since) }, 10*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0), "%s sends nothing to %s", n.set.Name, hall)
	}
}

// evacuatedHall is the hall that the tests evacuate.
const evacuatedHall = "h2"

// expectNoArrivals expects that no request of the nodes arrives in the evacuated hall from a time on until the given
// duration has passed after it.
func (d *hallDeployment) expectNoArrivals(from time.Time, duration time.Duration, nodes ...*running) {
	time.Sleep(time.Until(from.Add(duration)))
	for _, n := range nodes {
		d.g.Expect(d.arrivalsSince(evacuatedHall, n, from)).To(BeZero(), "requests of %s arrived", n.set.Name)
	}
}

// Guards against nodes that keep sending requests into an evacuated hall, and against nodes that do not return.
func TestEvacuatedHallGetsNoRequests(t *testing.T) {
	d := newHallDeployment(t, 3, "h1", evacuatedHall)
	time.Sleep(3 * time.Second) // until the nodes leave the store to the leader
	acknowledged := d.evacuate(evacuatedHall)
	d.waitForArrivals("h1", d.nodes...)
	// The bound is 5 s; with the leader and the store in reach, nodes know within a second.
	d.expectNoArrivals(acknowledged.Add(2*time.Second), 3*time.Second, d.nodes...)
	for _, n := range d.nodes {
		d.g.Expect(status(n.set.CallerAddress, "k")).To(Equal(http.StatusOK))
	}
	t.Logf("the last request arrived %v after the record", d.lastArrival(evacuatedHall).Sub(acknowledged).Round(time.Millisecond))
	d.readmit(evacuatedHall)
	readmitted := time.Now()
	d.waitForArrivals(evacuatedHall, d.nodes...)
	t.Logf("all nodes used the hall %v after it was readmitted", time.Since(readmitted).Round(time.Millisecond))
}

// Guards against requests that wait for their deadline, or are refused without a reason, while all halls are evacuated.
func TestRequestsAreRefusedWhileAllHallsAreEvacuated(t *testing.T) {
	d := newHallDeployment(t, 2, "h1", evacuatedHall)
	d.evacuate("h1")
	d.evacuate(evacuatedHall)
	for _, n := range d.nodes {
		d.g.Eventually(func() string { return d.request(n) }, 5*time.Second).Should(Equal("evacuated"))
		d.g.Expect(status(n.set.CallerAddress, "k")).To(Equal(http.StatusServiceUnavailable))
	}
	d.readmit("h1")
	d.waitForArrivals("h1", d.nodes...)
}

// stopNode stops a node.
func (d *hallDeployment) stopNode(n *running) {
	n.stop()
	d.g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.done <- nil
}

// Guards against requests into an evacuated hall when the way fails by which a node learns of the evacuation. Nodes lead in
// the order of their start.
func TestEvacuationIsEnforcedDespiteFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is called before the evacuation. after is called when all nodes enforce it, and returns the nodes that
		// must go on doing so.
		before func(d *hallDeployment)
		after  func(d *hallDeployment) []*running
	}{
		{"the leader is lost as the evacuation begins", func(d *hallDeployment) {
			d.nodes[0].stop()
		}, nil},
		{"the leader does not reach the store", func(d *hallDeployment) { d.nodes[0].view.setCut(true) }, nil},
		{"a node does not reach the store", func(d *hallDeployment) { d.nodes[2].view.setCut(true) }, nil},
		{"a node does not reach other nodes", func(d *hallDeployment) { d.cutNode.Store(&d.nodes[2].set.Name) }, nil},
		{"the store is silent for all nodes afterwards", nil, func(d *hallDeployment) []*running {
			for _, n := range d.nodes {
				n.view.setCut(true)
			}
			return d.nodes
		}},
		{"a node reaches neither the store nor other nodes afterwards", nil, func(d *hallDeployment) []*running {
			d.cutNode.Store(&d.nodes[2].set.Name)
			d.nodes[2].view.setCut(true)
			return d.nodes
		}},
		{"all nodes are replaced during the evacuation", nil, func(d *hallDeployment) []*running {
			var replaced []*running
			for _, n := range d.nodes {
				d.stopNode(n)
			}
			for range d.nodes {
				replaced = append(replaced, d.startNode())
			}
			d.waitForArrivals("h1", replaced...)
			return replaced
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newHallDeployment(t, 3, "h1", evacuatedHall)
			if c.before != nil {
				c.before(d)
			}
			acknowledged := d.evacuate(evacuatedHall)
			d.expectNoArrivals(acknowledged.Add(evacuateTimeout), time.Second, d.nodes...)
			if c.after == nil {
				return
			}
			from := time.Now()
			nodes := c.after(d)
			d.waitForArrivals("h1", nodes...)
			d.expectNoArrivals(from, 3*time.Second, nodes...)
		})
	}
}

// Guards against nodes of this build that rely on a leader of an earlier build, which relays no evacuations. A leader that
// has no evacuations names no set either.
func TestNodesReadEvacuationsThemselvesIfLeaderRelaysNone(t *testing.T) {
	d := newHallDeployment(t, 0, "h1", evacuatedHall)
	startNode := func(timeout time.Duration) *running {
		return d.startNodeWith(func(set *entry.Settings) {
			set.EvacuateTimeout = timeout
			set.Policy.Node.Standbys = 0 // a standby reads the store in any case
		})
	}
	startNode(0)
	current := []*running{startNode(evacuateTimeout), startNode(evacuateTimeout)}
	d.waitForArrivals(evacuatedHall, d.nodes...)
	time.Sleep(3 * time.Second) // until nodes would leave the store to a leader that relays evacuations
	acknowledged := d.evacuate(evacuatedHall)
	d.expectNoArrivals(acknowledged.Add(evacuateTimeout), 2*time.Second, current...)
	current = append(current, startNode(evacuateTimeout))
	d.waitForArrivals("h1", current...)
	d.expectNoArrivals(acknowledged.Add(evacuateTimeout), 4*time.Second, current...)
	d.readmit(evacuatedHall)
	d.waitForArrivals(evacuatedHall, current...)
}

// Guards against nodes that readmit a hall because the store lost the record in a restore and the operator's side is
// about to write it again, and against nodes that never readmit it.
func TestRestoredStoreReadmitsHallOnlyWhenSettled(t *testing.T) {
	for _, c := range []struct {
		name      string
		rewritten bool
	}{
		{"the record is written again", true},
		{"the record stays lost", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newHallDeployment(t, 3, "h1", evacuatedHall)
			backup := d.s.copy()
			acknowledged := d.evacuate(evacuatedHall)
			d.expectNoArrivals(acknowledged.Add(3*time.Second), time.Second, d.nodes...)
			d.s.restore(backup)
			time.Sleep(time.Second)
			if c.rewritten {
				d.evacuate(evacuatedHall)
				d.expectNoArrivals(acknowledged.Add(3*time.Second), 8*time.Second, d.nodes...)
				d.readmit(evacuatedHall)
			}
			d.waitForArrivals(evacuatedHall, d.nodes...)
		})
	}
}

// Guards against a record that names no hall and still takes effect.
func TestEvacuationOfUnknownHallHasNoEffect(t *testing.T) {
	d := newHallDeployment(t, 1, "h1")
	d.evacuate("h9")
	time.Sleep(time.Second)
	d.waitForArrivals("h1", d.nodes...)
	d.g.Expect(d.request(d.nodes[0])).To(BeEmpty())
}
