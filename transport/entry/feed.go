package entry

import (
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/coordination/pacing"
	"github.com/troutmast/troutmast/internal/steady"
)

// feed tracks how recent the configuration and the instance list are that the leader relays. A
// node that gets them in time need not read the store itself. Both times are the starts of the
// leader's own reads, so that a pause anywhere makes the data look older, never younger.
type feed struct {
	configAsOf atomic.Int64
	listAsOf   atomic.Int64
}

// followerPatience is how much longer than a standby another node waits for relayed data. The standbys read the
// store in the meantime and one of them relays it, so that a change of leader does not send all nodes to the store.
const followerPatience = 1.5

// feedTimeout returns the age of the data relayed by the leader up to which the node does not read the store itself.
func (n *Node) feedTimeout() time.Duration {
	minimum := n.policy.FeedAge
	if !n.peers.isStandby() {
		minimum = time.Duration(followerPatience * float64(minimum))
	}
	return pacing.FeedTimeout(n.peers.statusInterval(), minimum)
}

// unknownAge is the age of data that the leader has not relayed.
const unknownAge = time.Hour

// record records the times as of which the leader relayed the configuration and the instance list.
func (f *feed) record(configAsOf, listAsOf time.Time) {
	f.configAsOf.Store(steady.Nanos(configAsOf))
	f.listAsOf.Store(steady.Nanos(listAsOf))
}

// isKnown reports whether a leader has relayed anything yet.
func (f *feed) isKnown() bool { return f.configAsOf.Load() != 0 }

// configAge returns the maximum age of the relayed configuration.
func (f *feed) configAge(now time.Time) time.Duration { return ageSince(f.configAsOf.Load(), now) }

// listAge returns the maximum age of the relayed instance list.
func (f *feed) listAge(now time.Time) time.Duration { return ageSince(f.listAsOf.Load(), now) }

// ageSince returns the age of a time in nanoseconds of the steady clock, or unknownAge for 0.
func ageSince(at int64, now time.Time) time.Duration {
	if at == 0 {
		return unknownAge
	}
	return time.Duration(steady.Nanos(now) - at)
}
