package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// deadlyRequest is the fingerprint of a request that ends the instances that run it.
var deadlyRequest = quarantine.NewFingerprint(quarantine.Content{Method: "POST", Target: "/deadly"})

// recordEndings has a node record that three instances ended while they ran a request.
func recordEndings(n *Node, f quarantine.Fingerprint) {
	for i := range 3 {
		in := fleet.Incarnation{ID: state.InstanceID(fmt.Sprintf("%s-i%d", n.settings.Name, i)), Life: "1"}
		at := n.clock.Now().Add(time.Duration(i-5) * time.Second)
		n.ledger.RecordInterruption(quarantine.Request{Fingerprint: f}, []fleet.Incarnation{in}, at.Add(-time.Second), at)
		n.ledger.RecordEnding(in, at)
	}
}

// isQuarantined reports whether a request is quarantined on a node.
func isQuarantined(n *Node, f quarantine.Fingerprint) bool {
	_, held := n.QuarantinedUntil(quarantine.Request{Fingerprint: f})
	return held
}

// exchangeReport sends a status report of a node to the leader and applies the answer.
func exchangeReport(g *WithT, from, leader *Node) {
	w := from.peers.statusReport()
	sent := from.peers.addLedger(w, from.clock.Now())
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(w))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Msg.unpack()).To(Succeed())
	g.Expect(resp.Msg.CanLead).To(BeTrue())
	from.peers.mergeLedger(resp.Msg, sent)
	from.peers.applyAnswer(resp.Msg, from.clock.Now())
}

// numbered returns a node that can lead, with the given name and node number.
func numbered(g *WithT, name string, number int64) *Node {
	n := ableNode(g)
	n.settings.Name = name
	n.incarnationNumber.Store(number)
	return n
}

func TestQuarantineOfOneNodeReachesAllNodes(t *testing.T) {
	g := NewWithT(t)
	leader, a, b := numbered(g, "leader", 1), numbered(g, "a", 2), numbered(g, "b", 3)
	recordEndings(a, deadlyRequest)
	exchangeReport(g, a, leader)
	exchangeReport(g, b, leader)
	for _, n := range []*Node{leader, a, b} {
		g.Expect(isQuarantined(n, deadlyRequest)).To(BeTrue(), n.settings.Name)
	}
	// Ledger changes that were exchanged are not sent again.
	exchangeReport(g, a, leader)
	exchangeReport(g, b, leader)
	for _, n := range []*Node{a, b} {
		w := n.peers.statusReport()
		n.peers.addLedger(w, n.clock.Now())
		g.Expect(w.Ledger).To(BeNil(), n.settings.Name)
		resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(w))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Msg.unpack()).To(Succeed())
		g.Expect(resp.Msg.Ledger).To(BeNil(), n.settings.Name)
	}
	// A new leader with an empty ledger receives all of it from any node.
	next := numbered(g, "next", 4)
	exchangeReport(g, b, next)
	exchangeReport(g, b, next)
	g.Expect(isQuarantined(next, deadlyRequest)).To(BeTrue())
}

func TestEndingsRecordedByDifferentNodesAddUp(t *testing.T) {
	g := NewWithT(t)
	leader, nodes := numbered(g, "leader", 1), []*Node{numbered(g, "a", 2), numbered(g, "b", 3), numbered(g, "c", 4)}
	for i, n := range nodes {
		in := fleet.Incarnation{ID: state.InstanceID(fmt.Sprintf("i%d", i))}
		at := n.clock.Now().Add(time.Duration(i-5) * time.Second)
		n.ledger.RecordInterruption(quarantine.Request{Fingerprint: deadlyRequest}, []fleet.Incarnation{in}, at.Add(-time.Second), at)
		n.ledger.RecordEnding(in, at)
	}
	for range 2 {
		for _, n := range nodes {
			exchangeReport(g, n, leader)
		}
	}
	for _, n := range nodes {
		g.Expect(isQuarantined(n, deadlyRequest)).To(BeTrue(), n.settings.Name)
	}
}

// After all nodes lose power at once, only the store still holds the quarantine.
func TestQuarantineSurvivesLossOfAllNodes(t *testing.T) {
	g := NewWithT(t)
	before := numbered(g, "a", 1)
	recordEndings(before, deadlyRequest)
	store := &recordStore{}
	before.ports.Store = store
	now := before.clock.Now()
	for f, v := range before.ledger.Verdicts(now) {
		g.Expect(before.persistVerdict(t.Context(), f, v, now)).To(BeTrue())
	}
	after := numbered(g, "b", 2)
	after.ports.Store = store
	after.restoreQuarantine(t.Context())
	g.Expect(isQuarantined(after, deadlyRequest)).To(BeTrue())
}

// A node that starts in a running system gets the ledger with the leader's first answer. The store's records would tell it
// nothing new, and each start of hundreds of nodes would read them.
func TestStartingNodeReadsQuarantineOnlyWithoutLeader(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		restored bool
	}{
		{"a leader has answered", true, false},
		{"no leader has answered", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			store := &recordStore{}
			last := newTestNode()
			last.ports.Store = store
			recordEndings(last, deadlyRequest)
			now := last.clock.Now()
			g.Expect(last.persistVerdict(context.Background(), deadlyRequest, last.ledger.Verdict(deadlyRequest, now), now)).To(BeTrue())

			n := newTestNode()
			n.ports.Store = store
			clock := n.clock.(*clockwork.FakeClock)
			clock.Advance(firstAnswerTime)
			if c.answered {
				n.feed.record(n.clock.Now(), n.clock.Now())
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go n.persistQuarantine(ctx)
			restored := func() bool {
				clock.Advance(time.Second) // verdicts are recomputed at intervals
				return isQuarantined(n, deadlyRequest)
			}
			if c.restored {
				g.Eventually(restored, 5*time.Second).Should(BeTrue())
				return
			}
			g.Consistently(restored, 100*time.Millisecond).Should(BeFalse())
		})
	}
}

func TestUnreadableQuarantineRecordsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	n := numbered(g, "a", 1)
	now := n.clock.Now()
	good := fmt.Sprintf(`[{"instance":{"i":"x"},"unix_ms":%d},{"instance":{"i":"y"},"unix_ms":%d},{"instance":{"i":"z"},"unix_ms":%d}]`,
		now.UnixMilli()-3000, now.UnixMilli()-2000, now.UnixMilli()-1000)
	n.mergePersisted([]source.Item{
		{Key: "no fingerprint", Value: []byte(good)},
		{Key: deadlyRequest.String(), Value: []byte("{")},
		{Key: deadlyRequest.String()},
		{Key: deadlyRequest.String(), Value: []byte(good)},
	})
	g.Expect(isQuarantined(n, deadlyRequest)).To(BeTrue())
}

// recordStore is a store that returns all records appended to it.
type recordStore struct {
	Store
	items []source.Item
}

func (s *recordStore) Append(_ context.Context, _ source.Topic, key string, value []byte) (source.RecordPosition, error) {
	s.items = append(s.items, source.Item{Key: key, Value: value})
	return source.RecordPosition{Offset: int64(len(s.items) - 1)}, nil
}

func (s *recordStore) Newest(context.Context, source.Topic) (source.ReadResult, error) {
	return source.ReadResult{Items: s.items}, nil
}

// proofs answers every probe with the same report and error.
type proofs struct {
	rep fleet.Report
	err error
}

func (p proofs) Report(context.Context, netip.AddrPort, state.InstanceID, ConnectionReuse) (fleet.Report, error) {
	return p.rep, p.err
}

func (proofs) Order(context.Context, placement.Order) (OrderResult, error) {
	return OrderResult{Reply: placement.Unanswered}, nil
}

func TestProofsThatInstanceEnded(t *testing.T) {
	born := time.UnixMilli(5000).UTC()
	for _, c := range []struct {
		name  string
		rep   fleet.Report
		err   error
		ended bool
	}{
		{"address refuses connections", fleet.Report{}, os.NewSyscallError("connect", syscall.ECONNREFUSED), true},
		{"another process answers", fleet.Report{}, placement.ErrAddressReused, true},
		{"instance has restarted", fleet.Report{Born: born.Add(time.Second)}, nil, true},
		{"instance answers", fleet.Report{Born: born}, nil, false},
		{"report has no start time", fleet.Report{}, nil, false},
		{"report cannot be read", fleet.Report{}, placement.ErrInvalidReport, false},
		{"no answer within the timeout", fleet.Report{}, context.DeadlineExceeded, false},
		{"connection is reset", fleet.Report{}, os.NewSyscallError("read", syscall.ECONNRESET), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			set := &Settings{Name: "own", PeerAddress: testAddress(1), HeartbeatInterval: time.Second, Policy: DefaultPolicy()}
			n := New(set, Ports{Decoder: anyConfiguration{}, Target: proofs{c.rep, c.err}}, clock, &log.Logger{Handler: discard.New()})
			in := fleet.Instance{ID: "i", Born: born, Service: "lm", Address: testAddress(9)}
			n.roster.ApplyFreshEntry(in, clock.Now())
			n.ledger.RecordInterruption(quarantine.Request{Fingerprint: deadlyRequest}, []fleet.Incarnation{in.Incarnation()}, clock.Now().Add(-time.Second), clock.Now())
			clock.Advance(time.Millisecond)
			n.probeAndRecord(t.Context(), in, clock.Now())
			d, _ := n.ledger.ChangesSince(0, 0)
			g.Expect(d.Endings).To(HaveLen(map[bool]int{true: 1}[c.ended]))
		})
	}
}

// halls answers the probes of some instances and refuses the connections to all others.
type halls struct {
	proofs
	answering []state.InstanceID
}

func (h halls) Report(_ context.Context, _ netip.AddrPort, id state.InstanceID, _ ConnectionReuse) (fleet.Report, error) {
	if slices.Contains(h.answering, id) {
		return h.rep, nil
	}
	return fleet.Report{}, os.NewSyscallError("connect", syscall.ECONNREFUSED)
}

// A network partition that cuts off a hall by resets makes the connections to all of its instances
// be refused. If that proved that the instances ended, the requests interrupted there would count
// as run on instances that ended, and harmless ones would be quarantined.
func TestRefusedConnectionProvesEndingOnlyWhileHallAnswers(t *testing.T) {
	near := []string{"a1", "a2", "b1"}
	for _, c := range []struct {
		name      string
		answering []state.InstanceID
		ended     bool
	}{
		{"other instances of the hall answer", []state.InstanceID{"a1", "a2", "b1"}, true},
		{"only its domain of the hall is lost", []state.InstanceID{"b1"}, true},
		{"hall is cut off, another hall answers", []state.InstanceID{"far"}, false},
		{"no instance answers", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewFakeClock()
			set := &Settings{Name: "own", PeerAddress: testAddress(1), HeartbeatInterval: time.Second, Policy: DefaultPolicy()}
			n := New(set, Ports{Decoder: anyConfiguration{}, Target: halls{answering: c.answering}}, clock, &log.Logger{Handler: discard.New()})
			in := fleet.Instance{ID: "a0", Service: "lm", Address: testAddress(9), Hall: "near", Domain: "a"}
			n.roster.ApplyFreshEntry(in, clock.Now())
			for i, id := range near {
				n.roster.ApplyFreshEntry(fleet.Instance{ID: state.InstanceID(id), Service: "lm", Address: testAddress(10 + i), Hall: "near", Domain: id[:1]}, clock.Now())
			}
			n.roster.ApplyFreshEntry(fleet.Instance{ID: "far", Service: "lm", Address: testAddress(20), Hall: "far", Domain: "c"}, clock.Now())
			n.ledger.RecordInterruption(quarantine.Request{Fingerprint: deadlyRequest}, []fleet.Incarnation{in.Incarnation()}, clock.Now().Add(-time.Second), clock.Now())
			clock.Advance(time.Millisecond)
			n.probeAndRecord(t.Context(), in, clock.Now())
			d, _ := n.ledger.ChangesSince(0, 0)
			g.Expect(d.Endings).To(HaveLen(map[bool]int{true: 1}[c.ended]))
		})
	}
}

// silentKeepAlive fails every probe over a kept-alive connection with a timeout, as if the
// connection had gone silent for good.
type silentKeepAlive struct{ proofs }

func (s silentKeepAlive) Report(ctx context.Context, at netip.AddrPort, id state.InstanceID, by ConnectionReuse) (fleet.Report, error) {
	if by == AnyConnection {
		return fleet.Report{}, context.DeadlineExceeded
	}
	return s.proofs.Report(ctx, at, id, by)
}

// All kept-alive connections to instances may go silent at once, while new ones work. No instance
// counts as unreachable before a probe over a new connection has failed as well.
func TestSilentKeepAliveConnectionAloneDoesNotMakeInstanceUnreachable(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	set := &Settings{Name: "own", PeerAddress: testAddress(1), HeartbeatInterval: time.Second, Policy: DefaultPolicy()}
	n := New(set, Ports{Decoder: anyConfiguration{}, Target: silentKeepAlive{}}, clock, &log.Logger{Handler: discard.New()})
	in := fleet.Instance{ID: "i", Service: "lm", Address: testAddress(9)}
	n.roster.ApplyFreshEntry(in, clock.Now())
	for range 2 { // twice in a row
		clock.Advance(time.Second)
		g.Expect(n.probeWithRetry(t.Context(), in)).To(BeTrue())
		v, known := n.roster.Get(in.ID, clock.Now())
		g.Expect(known).To(BeTrue())
		g.Expect(v.Unreachable).To(BeFalse())
	}
}

func TestOperatorListsAndReleasesQuarantinedRequest(t *testing.T) {
	g := NewWithT(t)
	n := numbered(g, "a", 1)
	recordEndings(n, deadlyRequest)
	mux := http.NewServeMux()
	n.registerOperatorHandlers(mux)
	request := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	g.Expect(request(http.MethodGet, "/quarantine").Body.String()).To(And(ContainSubstring(deadlyRequest.String()), ContainSubstring("a-i2")))
	g.Expect(request(http.MethodDelete, "/quarantine/nonsense").Code).To(Equal(http.StatusBadRequest))
	g.Expect(isQuarantined(n, deadlyRequest)).To(BeTrue())
	g.Expect(request(http.MethodDelete, "/quarantine/"+deadlyRequest.String()).Code).To(Equal(http.StatusNoContent))
	n.clock.(*clockwork.FakeClock).Advance(time.Second)
	g.Expect(isQuarantined(n, deadlyRequest)).To(BeFalse())
	g.Expect(request(http.MethodGet, "/quarantine").Body.String()).To(Equal("[]\n"))
}

// One ending may be chance. A second one makes a request suspected, a third one quarantines it.
func TestRequestIsSuspectedOneEndingBeforeQuarantine(t *testing.T) {
	g := NewWithT(t)
	n := numbered(g, "a", 1)
	for endings := range 3 {
		g.Expect(n.IsSuspected(quarantine.Request{Fingerprint: deadlyRequest})).To(Equal(endings == 2))
		g.Expect(isQuarantined(n, deadlyRequest)).To(BeFalse())
		in := fleet.Incarnation{ID: state.InstanceID(fmt.Sprint("i", endings)), Life: "1"}
		at := n.clock.Now().Add(time.Duration(endings-5) * time.Second)
		n.ledger.RecordInterruption(quarantine.Request{Fingerprint: deadlyRequest}, []fleet.Incarnation{in}, at.Add(-time.Second), at)
		n.ledger.RecordEnding(in, at)
		n.clock.(*clockwork.FakeClock).Advance(100 * time.Millisecond)
	}
	g.Expect(isQuarantined(n, deadlyRequest)).To(BeTrue())
}

// deadlyPart is the fingerprint of a part of prompts.
var deadlyPart = quarantine.NewPartFingerprints([]string{"deadly", "own"})[0]

// recordPartEndings has a node record that instances ended while they ran different requests with a part.
func recordPartEndings(n *Node) {
	for i := range n.settings.Policy.Quarantine.PartEndings {
		in := fleet.Incarnation{ID: state.InstanceID(fmt.Sprintf("%s-p%d", n.settings.Name, i)), Life: "1"}
		at := n.clock.Now().Add(time.Duration(i-8) * time.Second)
		r := quarantine.Request{Fingerprint: quarantine.NewFingerprint(quarantine.Content{Target: fmt.Sprint(i)}), Parts: []quarantine.Fingerprint{deadlyPart}}
		n.ledger.RecordInterruption(r, []fleet.Incarnation{in}, at.Add(-time.Second), at)
		n.ledger.RecordEnding(in, at)
	}
}

// holdsPart reports whether a node holds a new request with the part back.
func holdsPart(n *Node) bool {
	_, held := n.QuarantinedUntil(quarantine.Request{Fingerprint: deadlyRequest, Parts: []quarantine.Fingerprint{deadlyPart}})
	return held
}

// Each node would let requests with a deadly part through otherwise.
func TestOnlyLeaderTriesHeldPart(t *testing.T) {
	for _, isLeader := range []bool{false, true} {
		g := NewWithT(t)
		n := numbered(g, "n", 1)
		n.peers.setLeader(isLeader)
		recordPartEndings(n)
		admitted := 0
		for i := range 60 {
			r := quarantine.Request{Fingerprint: quarantine.NewFingerprint(quarantine.Content{Target: fmt.Sprint("new ", i)}), Parts: []quarantine.Fingerprint{deadlyPart}}
			if _, held := n.Admit(r); !held {
				admitted++
			}
		}
		g.Expect(admitted == 1).To(Equal(isLeader), "%d admitted", admitted)
		g.Expect(metrics.GetOrRegisterCounter("quarantine.trial", n.metrics).Count()).To(BeEquivalentTo(admitted))
	}
}

func TestQuarantineOfPartReachesAllNodesAndSurvivesTheirLoss(t *testing.T) {
	g := NewWithT(t)
	leader, a, b := numbered(g, "leader", 1), numbered(g, "a", 2), numbered(g, "b", 3)
	recordPartEndings(a)
	exchangeReport(g, a, leader)
	exchangeReport(g, b, leader)
	for _, n := range []*Node{leader, a, b} {
		g.Expect(holdsPart(n)).To(BeTrue(), n.settings.Name)
	}
	store := &recordStore{}
	leader.ports.Store = store
	now := leader.clock.Now()
	g.Expect(leader.persistVerdict(t.Context(), deadlyPart, leader.ledger.Verdict(deadlyPart, now), now)).To(BeTrue())
	after := numbered(g, "after", 4)
	after.ports.Store = store
	after.restoreQuarantine(t.Context())
	g.Expect(holdsPart(after)).To(BeTrue())
}

// An earlier build takes each fingerprint under "r" for that of a request.
func TestEarlierBuildsGetNoPartsAsRequests(t *testing.T) {
	g := NewWithT(t)
	n := numbered(g, "a", 1)
	recordPartEndings(n)
	n.ledger.Clear(deadlyPart, n.clock.Now())
	d, _ := n.ledger.ChangesSince(0, 0)
	now := n.clock.Now()
	r := newLedgerReport(d, now)
	g.Expect(r.Endings).NotTo(BeEmpty())
	for _, e := range r.Endings {
		g.Expect(e.Requests).To(HaveLen(1))
		g.Expect(e.Requests[0].IsPart()).To(BeFalse())
		g.Expect(e.Parts).To(Equal([]quarantine.Fingerprint{deadlyPart}))
	}
	g.Expect(r.Cleared).To(BeEmpty())
	g.Expect(r.ClearedParts).To(HaveLen(1))
	back := r.delta(now)
	g.Expect(back.Cleared).To(HaveLen(1))
	g.Expect(back.Endings[0].Requests).To(ContainElement(deadlyPart))
}

// A request that was released must not be held back again after all nodes were lost.
func TestReleasedRequestIsRemovedFromTheStore(t *testing.T) {
	g := NewWithT(t)
	n := numbered(g, "a", 1)
	recordPartEndings(n)
	store := &recordStore{}
	n.ports.Store = store
	stored := map[quarantine.Fingerprint]int{}
	n.persistVerdicts(t.Context(), stored)
	g.Expect(stored).To(HaveKey(deadlyPart))
	g.Expect(store.items).To(HaveLen(1))
	n.ledger.Clear(deadlyPart, n.clock.Now())
	n.clock.(*clockwork.FakeClock).Advance(time.Second)
	n.persistVerdicts(t.Context(), stored)
	g.Expect(store.items).To(HaveLen(2))
	g.Expect(store.items[1].Key).To(Equal(deadlyPart.String()))
	g.Expect(store.items[1].Value).To(BeEmpty())
	g.Expect(stored).To(BeEmpty())
}
