package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/source"
)

// A process that has just started cannot tell from the store's era alone whether the store was restored a moment ago and still contains
// revoked keys. The leader therefore records the era once it has settled. After a restoration the store is in a later era than its record
// names, and a new process trusts no keys until the era has settled, unless the leader confirms them.

// settledEraKey is the key of the only record of source.Eras.
const settledEraKey = "settled"

// recordEraInterval is the time between two checks whether the era has settled, and between two attempts to record it.
const recordEraInterval = time.Second

// recordSettledEra writes the current era to the store if this node leads and the era has settled. Only strict keys need it.
func (n *Node) recordSettledEra(ctx context.Context) {
	now, era := n.clock.Now(), n.eras.current()
	leading, _ := n.peers.leadership()
	if !n.settings.StrictKeys || !leading || era == n.recordedEra || n.eras.settlingTime(now) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, n.policy.StoreTimeout)
	defer cancel()
	place, err := n.ports.Store.Append(ctx, source.Eras, settledEraKey, []byte(strconv.FormatInt(era, 10)))
	if err != nil {
		n.Count("store.eras.not-written")
		return
	}
	n.recordEra(place.Era, "store")
	if place.Era == era {
		n.recordedEra = era
	}
}

// verifyEra reads which era has settled, until it is known that the first era of this process has.
func (n *Node) verifyEra(ctx context.Context) {
	if n.eras.isVerified(n.clock.Now()) {
		return
	}
	tail, err := n.readTail(ctx, source.Eras, -1, 0)
	if err != nil {
		return // keys are trusted once the era has settled
	}
	for _, item := range tail.Items {
		if item.Key == settledEraKey && string(item.Value) == strconv.FormatInt(tail.Era, 10) {
			n.eras.verify(tail.Era)
			return
		}
	}
	n.log.WithFields(log.Fields{"era": tail.Era, "ms": n.eras.settlingTime(n.clock.Now()).Milliseconds()}).Info("era of the store may not have settled")
}
