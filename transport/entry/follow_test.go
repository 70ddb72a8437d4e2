package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// When a system of 295 nodes started, each node read the whole list several times before a leader relayed it.
func TestOnlyStandbysReadTheListOfAStartingSystem(t *testing.T) {
	policy := DefaultPolicy().Node
	for _, c := range []struct {
		name        string
		firstStart  bool
		larger      int
		after       time.Duration
		hasRequests bool
		leading     bool
		waits       bool
	}{
		{"before the other nodes are known", true, unknownNodes, time.Second, false, false, true},
		{"a standby", true, policy.Standbys, time.Second, false, false, false},
		{"another node", true, policy.Standbys + 1, time.Second, false, false, true},
		{"the leader", true, policy.Standbys + 1, time.Second, false, true, false},
		{"another node without a leader for long", true, policy.Standbys + 1, policy.FirstFeedWait, false, false, false},
		{"another node with requests", true, policy.Standbys + 1, time.Second, true, false, false},
		{"a restarted node", false, policy.Standbys + 1, firstAnswerTime, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := standing(c.larger)
			n.settings.IsFirstStart = c.firstStart
			n.peers.hasRequests = c.hasRequests
			n.peers.setLeader(c.leading)
			NewWithT(t).Expect(n.leavesListToLeader(n.started.Add(c.after))).To(Equal(c.waits))
		})
	}
}

// unknownNodes stands for nodes that are not known yet.
const unknownNodes = -1

// standing returns a node that knows the given number of larger nodes, or does not know the other nodes yet.
func standing(larger int) *Node {
	n := newTestNode()
	if larger == unknownNodes {
		return n
	}
	for i := range larger {
		n.peers.recordNode(NodeEntry{Name: string(rune('a' + i)), Address: testAddress(2 + i).String(), Capacity: 2})
	}
	n.peers.setNodesKnown()
	return n
}

// The store may turn a part of the nodes away for long. Nodes that cannot become leader soon leave it in peace while a
// leader relays the store, and try it seldom otherwise.
func TestOnlyStandbysKeepTryingAStoreThatFails(t *testing.T) {
	policy := DefaultPolicy().Node
	for _, c := range []struct {
		name     string
		larger   int
		leading  bool
		failed   bool
		triedAgo time.Duration
		relies   bool
		retryMax time.Duration
		pause    time.Duration
	}{
		{"the leader", 0, true, true, 0, false, policy.StoreRetryMax, policy.ListInterval},
		{"a standby", policy.Standbys, false, true, 0, false, policy.StoreRetryMax, policy.ListInterval},
		{"a standby that can read", policy.Standbys, false, false, 0, true, policy.StoreRetryMax, policy.ListInterval},
		{"another node", policy.Standbys + 1, false, true, policy.StoreRetryMax, true, policy.StoreRetryRelayed, policy.ListIntervalRelayed},
		{"another node after a while", policy.Standbys + 1, false, true, policy.StoreRetryRelayed, false, policy.StoreRetryRelayed, policy.ListIntervalRelayed},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := standing(c.larger)
			n.peers.setLeader(c.leading)
			clock := n.clock.(*clockwork.FakeClock)
			n.storeFailed.Store(c.failed)
			clock.Advance(c.triedAgo) // the last attempt was at the start
			n.recordStoreRead(clock.Now())
			g.Expect(n.reliesOnLeader()).To(Equal(c.relies))
			g.Expect(n.listPause(time.Hour, source.ReadResult{}, source.ErrUnavailable)).To(Equal(c.retryMax))
			g.Expect(n.listPause(0, source.ReadResult{AtEnd: true}, nil)).To(Equal(c.pause))
		})
	}
}

func TestStandbysReadTheStoreBeforeOtherNodesDo(t *testing.T) {
	g := NewWithT(t)
	policy := DefaultPolicy().Node
	g.Expect(standing(policy.Standbys).feedTimeout()).To(Equal(policy.FeedAge))
	g.Expect(standing(policy.Standbys + 1).feedTimeout()).To(Equal(policy.FeedAge * 3 / 2))
}

// A node that starts in a running system gets the configuration and the list from the leader within milliseconds, or
// reads them itself soon.
func TestRestartedNodeWaitsShortlyForTheLeadersAnswer(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstStart bool
		answered   bool
		after      time.Duration
		waits      bool
	}{
		{"just started", false, false, firstAnswerTime / 2, true},
		{"without an answer", false, false, firstAnswerTime, false},
		{"with an old answer", false, true, firstAnswerTime / 2, false},
		{"a system that starts", true, false, firstAnswerTime / 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := standing(0)
			n.settings.IsFirstStart = c.firstStart
			now := n.started.Add(c.after)
			if c.answered {
				n.feed.record(now.Add(-time.Minute), now.Add(-time.Minute))
			}
			g.Expect(n.leavesConfigToLeader(now)).To(Equal(c.waits))
			g.Expect(n.leavesListToLeader(now)).To(Equal(c.waits))
		})
	}
}

// slowStore is a store whose reads last until their context ends, except the first one, which finds no record.
type slowStore struct {
	Store
	waits chan time.Duration
}

func (s *slowStore) Newest(context.Context, source.Topic) (source.ReadResult, error) {
	return source.ReadResult{AtEnd: true}, nil
}

func (s *slowStore) Read(ctx context.Context, _ source.Topic, _ int64, wait time.Duration) (source.ReadResult, error) {
	s.waits <- wait
	<-ctx.Done()
	return source.ReadResult{}, ctx.Err()
}

// followSlowStore returns a node that reads the configuration from a slowStore until the test ends.
func followSlowStore(t *testing.T) (*Node, *slowStore) {
	store := &slowStore{waits: make(chan time.Duration, 1)}
	n := newTestNode()
	n.ports.Store = store
	n.clock.(*clockwork.FakeClock).Advance(time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.followConfig(ctx)
	return n, store
}

// A new leader waited for the end of a read that had begun before. All nodes then read the store themselves, since the
// configuration that it relayed was as old as that read.
func TestNewLeaderReadsConfigurationAtOnce(t *testing.T) {
	g := NewWithT(t)
	n, store := followSlowStore(t)
	g.Eventually(store.waits, 5*time.Second).Should(Receive(Equal(n.policy.ConfigWait)))
	n.peers.setLeader(true)
	g.Eventually(store.waits, 5*time.Second).Should(Receive(Equal(n.policy.ConfigWaitLeading)), "the clock stands still: it waits for nothing")
	g.Expect(n.storeFailed.Load()).To(BeFalse())
	n.peers.setLeader(false)
	n.peers.setLeader(true)
	g.Consistently(store.waits, 100*time.Millisecond).ShouldNot(Receive(), "a leader's own read goes on")
}

// A node that has just become leader ended its pending read, and with it the confirmation of its keys, and waited in the next
// one. Cut off from the store meanwhile, it rejected requests before another node relayed the configuration.
func TestNewLeaderConfirmsOldKeysWithoutWaiting(t *testing.T) {
	g := NewWithT(t)
	n, store := followSlowStore(t)
	g.Eventually(store.waits, 5*time.Second).Should(Receive(Equal(n.policy.ConfigWait)))
	n.clock.(*clockwork.FakeClock).Advance(2*n.policy.ConfigWaitLeading + time.Millisecond)
	n.peers.setLeader(true)
	g.Eventually(store.waits, 5*time.Second).Should(Receive(BeZero()))
}

// After a restoration no read confirms the configuration for a while. A leader that reads without waiting until one does
// sends the store one read after the other.
func TestLeaderWaitsInReadsOfRestoredStore(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	clock := n.clock.(*clockwork.FakeClock)
	n.recordEra(1, "store")
	n.configState.RecordConfirmation(clock.Now())
	n.peers.setLeader(true)
	clock.Advance(n.policy.RestoreSettle / 2)
	g.Expect(n.configWait()).To(BeZero())
	n.recordEra(2, "store")
	g.Expect(n.configWait()).To(BeNumerically(">", 0))
	clock.Advance(n.policy.RestoreSettle)
	g.Expect(n.configWait()).To(BeZero())
}

// After an outage the node whose retry came first had read the store before the leader, which then yielded. Leadership passed
// through three nodes in 1.2 s, and all others read the store meanwhile.
func TestLeaderReadsStoreAgainBeforeItYields(t *testing.T) {
	for _, c := range []struct {
		name    string
		reads   bool
		canLead bool
	}{
		{"the store answers the leader, too", true, true},
		{"the store answers only others", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := ableNode(g)
			clock := n.clock.(*clockwork.FakeClock)
			canLead := func() bool {
				recordReport(n, 2, "hall", func(*receivedReport) {}) // it has just read the store
				n.peers.mu.Lock()
				defer n.peers.mu.Unlock()
				return n.peers.canLead(clock.Now())
			}
			clock.Advance(time.Minute)
			g.Expect(canLead()).To(BeTrue())
			g.Expect(n.storeAnswers).To(Receive())
			clock.Advance(behindGrace / 2)
			g.Expect(canLead()).To(BeTrue())
			g.Expect(n.storeAnswers).NotTo(Receive(), "each further report would end the read that has just begun")
			if c.reads {
				n.recordStoreRead(clock.Now())
			}
			clock.Advance(behindGrace / 2)
			g.Expect(canLead()).To(Equal(c.canLead))
		})
	}
}

// A read of a store that is silent lasts until its timeout, and the next one begins after a pause. Both must end when the store
// answers other nodes.
func TestStoreIsReadAtOnceWhenItAnswersOthers(t *testing.T) {
	g := NewWithT(t)
	n, store := followSlowStore(t)
	before := (n.policy.StoreTimeout + n.policy.ConfigWait) / 2 // a read ends by itself after twice that
	for range 3 {
		g.Eventually(store.waits, before).Should(Receive())
		signal(n.storeAnswers)
	}

	paused := newTestNode() // which reads nothing that could take the signal
	retried := make(chan bool, 1)
	go func() { retried <- paused.awaitRetry(context.Background(), time.Hour) }()
	signal(paused.storeAnswers)
	g.Eventually(retried, 5*time.Second).Should(Receive(BeTrue()))
}

// When a store that did not answer for seconds is back, the reads that began before its return time out one after the
// other. Each node then took the store for lost and read it again.
func TestReadThatFailsAfterALaterOneSucceededIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		name      string
		succeeded time.Duration // the begin of the last successful read, after that of the one that fails
		failed    bool
	}{
		{"a later read succeeded", time.Second, false},
		{"an earlier read succeeded", -time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			store := &slowStore{waits: make(chan time.Duration, 1)}
			n := newTestNode()
			n.ports.Store = store
			clock := n.clock.(*clockwork.FakeClock)
			clock.Advance(time.Minute)
			n.recordStoreRead(clock.Now().Add(c.succeeded))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				_, err := n.readTail(ctx, source.Nodes, 1, n.policy.NodesWait)
				done <- err
			}()
			g.Eventually(store.waits, 5*time.Second).Should(Receive())
			clock.Advance(2 * time.Second)
			cancel()
			g.Eventually(done, 5*time.Second).Should(Receive(HaveOccurred()))
			g.Expect(n.storeFailed.Load()).To(Equal(c.failed))
		})
	}
}

// While the store fails, hundreds of nodes must not try it for each topic.
func TestOnlyNodesThatMayLeadReadTheListFromAFailingStore(t *testing.T) {
	policy := DefaultPolicy().Node
	for _, c := range []struct {
		name    string
		larger  int
		leading bool
		failed  bool
		waits   bool
	}{
		{"the leader", policy.Standbys + 1, true, true, false},
		{"a standby", policy.Standbys, false, true, false},
		{"another node", policy.Standbys + 1, false, true, true},
		{"another node whose last read succeeded", policy.Standbys + 1, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := standing(c.larger)
			n.peers.setLeader(c.leading)
			n.storeFailed.Store(c.failed)
			n.clock.(*clockwork.FakeClock).Advance(time.Minute)
			NewWithT(t).Expect(n.leavesListToLeader(n.clock.Now())).To(Equal(c.waits))
		})
	}
}

// returningStore counts its reads. It answers the newest records once it is back, and has no later ones.
type returningStore struct {
	Store
	reads atomic.Int32
	back  chan struct{}
}

func (s *returningStore) Newest(context.Context, source.Topic) (source.ReadResult, error) {
	s.reads.Add(1)
	<-s.back
	return source.ReadResult{AtEnd: true}, nil
}

func (s *returningStore) Read(ctx context.Context, _ source.Topic, _ int64, _ time.Duration) (source.ReadResult, error) {
	s.reads.Add(1)
	<-ctx.Done()
	return source.ReadResult{}, ctx.Err()
}

// In the second in which a silent store was back, each of 89 nodes read it five times, although a leader relayed it
// within 0.3 s.
func TestOnlyStandbysReadAllTopicsWhenTheStoreIsBack(t *testing.T) {
	policy := DefaultPolicy().Node
	for _, c := range []struct {
		name   string
		larger int
		waits  bool
	}{
		{"a standby", policy.Standbys, false},
		{"another node", policy.Standbys + 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			store := &returningStore{back: make(chan struct{})}
			n := standing(c.larger)
			n.ports.Store = store
			n.storeFailed.Store(true)
			clock := n.clock.(*clockwork.FakeClock)
			clock.Advance(time.Minute)
			n.roster.RecordListRead(n.started)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go n.followConfig(ctx)
			g.Eventually(store.reads.Load, 5*time.Second).Should(BeEquivalentTo(1))
			close(store.back)
			g.Eventually(n.storeFailed.Load, 5*time.Second).Should(BeFalse())
			g.Eventually(n.listRequested, 5*time.Second).Should(Receive(), "a leader relays the list soon")
			go n.followInstances(ctx)
			if c.waits {
				g.Consistently(func() int32 {
					clock.Advance(relayReturnTime / 20)
					return store.reads.Load()
				}, 100*time.Millisecond, 10*time.Millisecond).Should(BeEquivalentTo(1))
			}
			g.Eventually(func() int32 {
				if c.waits {
					clock.Advance(relayReturnTime / 5)
				}
				return store.reads.Load()
			}, 5*time.Second).Should(BeNumerically(">=", 3), "no leader relays the store: the list and later configurations are read")
		})
	}
}

// A node that started during an outage has neither a configuration nor a list to serve with.
func TestNodeWithoutDataDoesNotAwaitLeaderWhenTheStoreIsBack(t *testing.T) {
	g := NewWithT(t)
	store := &returningStore{back: make(chan struct{})}
	close(store.back)
	n := standing(DefaultPolicy().Node.Standbys + 1)
	n.ports.Store = store
	n.clock.(*clockwork.FakeClock).Advance(firstAnswerTime)
	n.storeFailed.Store(true)
	n.recordStoreAnswer() // to the read of the nodes' entries
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.followConfig(ctx)
	go n.followInstances(ctx)
	g.Eventually(store.reads.Load, 5*time.Second).Should(BeEquivalentTo(2))
}

// Of 295 nodes that started together, half read all topics: they had read the nodes' entries before the others had
// written theirs, and took themselves for standbys.
func TestNodesOfAStartingSystemReadTheEntriesOnceTheyAreWritten(t *testing.T) {
	for _, c := range []struct {
		name       string
		firstStart bool
		reads      int32 // until nodesWriteTime has passed
	}{
		{"a system that starts", true, 0},
		{"a restarted node", false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			store := &returningStore{back: make(chan struct{})}
			n := newTestNode()
			n.ports.Store = store
			n.settings.IsFirstStart = c.firstStart
			clock := n.clock.(*clockwork.FakeClock)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			t.Cleanup(func() { close(store.back) })
			go n.peers.followNodes(ctx)
			g.Eventually(store.reads.Load, 5*time.Second).Should(Equal(c.reads))
			g.Consistently(func() int32 {
				clock.Advance(nodesWriteTime / 20)
				return store.reads.Load()
			}, 100*time.Millisecond, 10*time.Millisecond).Should(Equal(c.reads))
			g.Eventually(func() int32 {
				clock.Advance(nodesWriteTime)
				return store.reads.Load()
			}, 5*time.Second).Should(BeEquivalentTo(1))
		})
	}
}

// A node that starts takes the quarantine from the leader's first answer. In a system that starts for the first time
// only standbys read it from the store, since otherwise each of hundreds of nodes does so at once.
func TestStartingNodeTakesTheQuarantineFromTheLeader(t *testing.T) {
	const never = time.Duration(-1)
	policy := DefaultPolicy().Node
	for _, c := range []struct {
		name       string
		firstStart bool
		larger     int
		answerAt   time.Duration // after the start; 0: never
		readsAt    time.Duration // after the start; never: not at all
	}{
		{"a restarted node", false, policy.Standbys + 1, firstAnswerTime / 2, never},
		{"a restarted node without a leader", false, policy.Standbys + 1, 0, firstAnswerTime},
		{"a standby of a system that starts", true, policy.Standbys, 0, 0},
		{"a node of a system that starts before it knows the others", true, unknownNodes, 0, policy.FirstFeedWait},
		{"another node of a system that starts", true, policy.Standbys + 1, 2 * time.Second, never},
		{"another node of a system without a leader", true, policy.Standbys + 1, 0, policy.FirstFeedWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := standing(c.larger)
			n.settings.IsFirstStart = c.firstStart
			const step = 5 * time.Millisecond
			readAt := never
			for at := time.Duration(0); at <= policy.FirstFeedWait; at += step {
				if c.answerAt > 0 && at == c.answerAt {
					now := n.started.Add(at)
					n.feed.record(now, now)
				}
				if !n.awaitsLeader(n.started.Add(at)) {
					if !n.feed.isKnown() {
						readAt = at
					}
					break
				}
			}
			g.Expect(readAt).To(Equal(c.readsAt))
		})
	}
}
