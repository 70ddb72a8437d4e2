package probe_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/control"
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/probe"
	"github.com/troutmast/troutmast/state"
)

var errTimeout = errors.New("no answer")

// instances are the instances of a hall, each with the error that a probe of it returns.
type instances struct {
	mu     sync.Mutex
	errs   map[state.InstanceID]error
	probes int
}

// set changes the error of all instances.
func (in *instances) set(err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for id := range in.errs {
		in.errs[id] = err
	}
}

// Probe implements probe.InstanceClient. The port of the address is the number of the instance.
func (in *instances) Probe(_ context.Context, addr netip.AddrPort) (evidence.Report, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.probes++
	id := instanceID(int(addr.Port()))
	return evidence.Report{Instance: id, Phase: evidence.PhaseReady}, in.errs[id]
}

func (*instances) Order(context.Context, netip.AddrPort, control.Order) error { return nil }

// addresses returns the address of each instance.
func (in *instances) addresses() map[state.InstanceID]netip.AddrPort {
	in.mu.Lock()
	defer in.mu.Unlock()
	m := map[state.InstanceID]netip.AddrPort{}
	for n := 1; n <= len(in.errs); n++ {
		m[instanceID(n)] = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n))
	}
	return m
}

// count returns the number of probes so far.
func (in *instances) count() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.probes
}

// instanceID returns the ID of the nth instance.
func instanceID(n int) state.InstanceID { return state.InstanceID(rune('a' + n - 1)) }

// hall is a prober of a node that owns all instances of its hall.
type hall struct {
	*probe.Prober
	instances *instances
	table     *evidence.Table
	clock     *clockwork.FakeClock
}

// newHall returns a hall whose instances answer with the given errors.
func newHall(errs ...error) *hall {
	h := &hall{instances: &instances{errs: map[state.InstanceID]error{}}, table: evidence.NewTable(), clock: clockwork.NewFakeClock()}
	for i, err := range errs {
		h.instances.errs[instanceID(i+1)] = err
	}
	hooks := probe.Hooks{
		Instances: h.instances.addresses, Owns: func(state.InstanceID) bool { return true }, MayOrder: func() bool { return false },
		OnReport: func(evidence.Report) {}, IncrementCounter: func(string) {},
	}
	cfg := probe.Config{Interval: 350 * time.Millisecond, EvidenceWindow: 1500 * time.Millisecond}
	h.Prober = probe.New(cfg, h.instances, hooks, h.table, evidence.NewFeed(), h.clock)
	return h
}

// down returns the instances that are recorded as ended.
func (h *hall) down() []state.InstanceID {
	var list []state.InstanceID
	for id := range h.instances.addresses() {
		if r, ok := h.table.Get(id); ok && r.Phase == evidence.PhaseDown {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// A partitioned node whose connections are refused must not tell the nodes of its hall that the instances have ended.
func TestRefusedConnectionsOfPartitionedNodeAreNoEndings(t *testing.T) {
	refused := probe.ErrNotListening
	for _, c := range []struct {
		name        string
		errs        []error
		down        []state.InstanceID
		partitioned bool
	}{
		{"all instances refuse", []error{refused, refused, refused, refused}, nil, true},
		{"all instances refuse or hang", []error{refused, errTimeout, errTimeout, errTimeout, refused}, nil, true},
		{"no instance answers", []error{errTimeout, errTimeout, errTimeout}, nil, true},
		{"one instance has ended", []error{refused, nil, nil, nil}, []state.InstanceID{"a"}, false},
		{"one instance answers", []error{refused, refused, refused, refused, nil}, []state.InstanceID{"a", "b", "c", "d"}, false},
		{"a hall too small to tell", []error{refused, refused}, []state.InstanceID{"a", "b"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHall(c.errs...)
			h.ProbeDue(context.Background())
			g.Eventually(h.down, 5*time.Second).Should(Equal(c.down))
			g.Eventually(h.IsPartitioned, 5*time.Second).Should(Equal(c.partitioned))
			g.Consistently(h.down, 100*time.Millisecond).Should(Equal(c.down))
			g.Expect(h.IsPartitioned()).To(Equal(c.partitioned))
		})
	}
}

func TestAnswerEndsPartition(t *testing.T) {
	g := NewWithT(t)
	h := newHall(errTimeout, errTimeout, errTimeout, errTimeout)
	h.ProbeDue(context.Background())
	g.Eventually(h.IsPartitioned, 5*time.Second).Should(BeTrue())
	h.instances.set(nil)
	h.clock.Advance(350 * time.Millisecond)
	h.ProbeDue(context.Background())
	g.Eventually(h.IsPartitioned, 5*time.Second).Should(BeFalse())
}

// A partition that lasts must not have a sample probed for each instance that refuses, at each interval.
func TestKnownPartitionCausesOneSampleAnInterval(t *testing.T) {
	const instances, sample = 6, 4
	g := NewWithT(t)
	var errs []error
	for range instances {
		errs = append(errs, probe.ErrNotListening)
	}
	h := newHall(errs...)
	h.ProbeDue(context.Background())
	g.Eventually(h.IsPartitioned, 5*time.Second).Should(BeTrue())
	g.Eventually(func() int { // until the probes of the first interval have ended
		n := h.instances.count()
		time.Sleep(100 * time.Millisecond)
		return h.instances.count() - n
	}, 5*time.Second).Should(BeZero())
	before := h.instances.count()
	h.clock.Advance(350 * time.Millisecond)
	h.ProbeDue(context.Background())
	g.Eventually(h.instances.count, 5*time.Second).Should(Equal(before + instances + sample))
	g.Consistently(h.instances.count, 100*time.Millisecond).Should(Equal(before + instances + sample))
}

// An instance that stays down must not have others probed more often than it is itself.
func TestEndedInstanceCausesOneSample(t *testing.T) {
	g := NewWithT(t)
	h := newHall(probe.ErrNotListening, nil, nil, nil, nil, nil)
	h.ProbeDue(context.Background())
	g.Eventually(h.down, 5*time.Second).Should(Equal([]state.InstanceID{"a"}))
	for range 10 {
		g.Eventually(h.InFlight, 5*time.Second).Should(BeZero(), "an instance is probed by one probe at a time")
		before := h.instances.count()
		h.clock.Advance(350 * time.Millisecond)
		h.ProbeDue(context.Background())
		g.Eventually(h.instances.count, 5*time.Second).Should(Equal(before + 6))
	}
	g.Consistently(h.instances.count, 100*time.Millisecond).Should(BeNumerically("<=", 10*6+6+4))
}
