package entry

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// eraStore is a store without records that answers each read and write in its current era.
type eraStore struct {
	Store
	era    int64
	next   int64
	writes int
}

func (s *eraStore) Newest(context.Context, source.Topic) (source.ReadResult, error) {
	return source.ReadResult{Era: s.era, NextOffset: s.next}, nil
}

func (s *eraStore) Read(_ context.Context, _ source.Topic, from int64, _ time.Duration) (source.ReadResult, error) {
	return source.ReadResult{Era: s.era, NextOffset: from, AtEnd: true}, nil
}

func (s *eraStore) Append(context.Context, source.Topic, string, []byte) (source.RecordPosition, error) {
	s.writes++
	s.next++
	return source.RecordPosition{Era: s.era, Offset: s.next - 1}, nil
}

// The number of a node is the era and the offset of its entry: after a restoration the store
// may assign one offset to two incarnations.
func TestNodeNumbersDifferAcrossRestorations(t *testing.T) {
	g := NewWithT(t)
	store := &eraStore{era: 1, next: 12}
	before, after := newTestNode(), newTestNode()
	before.ports.Store, after.ports.Store = store, store
	before.register(t.Context())
	store.era, store.next = 2, 12
	after.register(t.Context())
	g.Expect(after.incarnationNumber.Load()).NotTo(Equal(before.incarnationNumber.Load()))
	g.Expect(before.placement.nextEpoch(0)).NotTo(Equal(after.placement.nextEpoch(0)))
}

// A read from a backup does not confirm keys: the backup may still hold a revoked key.
func TestBackupDoesNotConfirmKeysUntilSettled(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	store := &eraStore{era: 1, next: 5}
	n.ports.Store = store
	cursor := n.newCursor()
	confirmed := func() bool {
		tail, reading, err := n.readNew(t.Context(), source.Configuration, cursor, 0)
		g.Expect(err).NotTo(HaveOccurred())
		return tail.AtEnd && reading != source.ReadRestored && n.eras.isCurrent(n.clock.Now())
	}
	confirmed()
	g.Expect(confirmed()).To(BeTrue())
	for range 2 { // a second restoration, before the first has settled
		store.era++
		go func() { _ = n.clock.BlockUntilContext(t.Context(), 1); n.clock.Advance(staleRetry) }()
		g.Expect(confirmed()).To(BeFalse(), "the read began in the previous era")
		g.Expect(confirmed()).To(BeFalse(), "the read returns only the backup")
		g.Expect(confirmed()).To(BeFalse(), "the records that the backup lacks may not be written again yet")
		n.clock.Advance(n.policy.RestoreSettle / 2)
		g.Expect(confirmed()).To(BeFalse())
	}
	n.clock.Advance(n.policy.RestoreSettle)
	confirmed()
	g.Expect(confirmed()).To(BeTrue())
	g.Expect(n.logged("store came back from an older copy")).To(Equal(2))
}

// A node that does not read the store itself learns of a restoration from the other nodes.
func TestNodesReportRestorationToEachOther(t *testing.T) {
	g := NewWithT(t)
	leader, other := numbered(g, "leader", 1), numbered(g, "other", 2)
	for _, n := range []*Node{leader, other} {
		n.recordEra(1, "store")
	}
	leader.recordEra(2, "store")
	g.Expect(other.eras.isCurrent(other.clock.Now())).To(BeTrue())
	resp, err := leader.peers.handleStatusReport(context.Background(), connect.NewRequest(other.peers.statusReport()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Msg.unpack()).To(Succeed())
	other.recordEra(resp.Msg.Era, "leader")
	g.Expect(other.eras.isCurrent(other.clock.Now())).To(BeFalse())
	g.Expect(other.rewriteRequested).To(HaveLen(1))

	// A status report with an earlier era changes nothing.
	third := numbered(g, "third", 3)
	third.recordEra(1, "store")
	_, err = leader.peers.handleStatusReport(context.Background(), connect.NewRequest(third.peers.statusReport()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(leader.eras.current()).To(BeEquivalentTo(2))
}
