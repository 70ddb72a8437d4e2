package entry

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// recordedStore is a store whose topics all hold the same records.
type recordedStore struct {
	Store
	era   int64
	items []source.Item
	err   error
}

func (s *recordedStore) Newest(context.Context, source.Topic) (source.ReadResult, error) {
	return source.ReadResult{Era: s.era, Items: s.items}, s.err
}

func (s *recordedStore) Append(_ context.Context, _ source.Topic, key string, value []byte) (source.RecordPosition, error) {
	if s.err == nil {
		s.items = append(s.items, source.Item{Key: key, Value: value})
	}
	return source.RecordPosition{Era: s.era}, s.err
}

// Guards against keys that are trusted on the word of a store that was restored right before the process started.
func TestFirstEraConfirmsKeysOnceItHasSettled(t *testing.T) {
	const era = 3
	record := func(value string) []source.Item {
		return []source.Item{{Key: settledEraKey, Value: []byte(value)}}
	}
	for _, c := range []struct {
		name     string
		verifies bool
		items    []source.Item
		err      error
		confirms bool
	}{
		{"settled", true, record("3"), nil, true},
		{"no record", true, nil, nil, false},
		{"an earlier era has settled", true, record("2"), nil, false},
		{"a later era has settled", true, record("4"), nil, false},
		{"unreadable", true, record("x"), nil, false},
		{"deleted", true, record(""), nil, false},
		{"another key", true, []source.Item{{Key: "other", Value: []byte("3")}}, nil, false},
		{"the store fails", true, record("3"), source.ErrUnavailable, false},
		{"first start of the system, or no strict keys", false, nil, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := observe(&noticing{})
			n.eras.verifiesFirst = c.verifies
			n.ports.Store = &recordedStore{era: era, items: c.items, err: c.err}
			n.recordEra(era, "store")
			n.verifyEra(t.Context())
			g.Expect(n.eras.confirmsKeys(n.clock.Now())).To(Equal(c.confirms))
			g.Expect(n.eras.settlingTime(n.clock.Now()) > 0).To(Equal(!c.confirms))
			n.clock.Advance(n.policy.RestoreSettle)
			g.Expect(n.eras.confirmsKeys(n.clock.Now())).To(BeTrue(), "the era has settled")
		})
	}
}

// Guards against a record that a new process takes for proof before the era has settled, and against writes that no setting calls for.
func TestLeaderRecordsSettledEraOnce(t *testing.T) {
	for _, c := range []struct {
		name          string
		strict, leads bool
		settles       bool
		writes        int
	}{
		{"leader", true, true, true, 1},
		{"another node", true, false, true, 0},
		{"no strict keys", false, true, true, 0},
		{"not settled yet", true, true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := observe(&noticing{})
			store := &recordedStore{era: 2}
			n.ports.Store = store
			n.settings.StrictKeys = c.strict
			n.peers.isLeader = c.leads
			n.recordEra(1, "store")
			n.recordEra(2, "store")
			if c.settles {
				n.clock.Advance(n.policy.RestoreSettle)
			}
			for range 3 {
				n.recordSettledEra(t.Context())
			}
			g.Expect(store.items).To(HaveLen(c.writes))
			for _, item := range store.items {
				g.Expect(string(item.Value)).To(Equal(strconv.Itoa(2)))
			}
		})
	}
}

// A record that could not be written is written later.
func TestSettledEraIsRecordedAfterFailures(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	store := &recordedStore{era: 2, err: source.ErrUnavailable}
	n.ports.Store, n.settings.StrictKeys, n.peers.isLeader = store, true, true
	n.recordEra(2, "store")
	n.clock.Advance(time.Minute)
	n.recordSettledEra(t.Context())
	g.Expect(store.items).To(BeEmpty())
	store.err = nil
	n.recordSettledEra(t.Context())
	g.Expect(store.items).To(HaveLen(1))
}
