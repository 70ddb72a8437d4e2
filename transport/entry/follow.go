package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// followConfig reads the operator's configuration from the store, unless the leader relays it in time.
func (n *Node) followConfig(ctx context.Context) {
	cursor, retryDelay := n.newCursor(), n.policy.StoreRetry
	for {
		if n.leavesConfigToLeader(n.clock.Now()) {
			cursor.Reset()
			if !n.sleep(ctx, n.feedPause()) {
				return
			}
			continue
		}
		startedAt := n.clock.Now()
		tail, reading, err := n.readConfig(ctx, cursor)
		if errors.Is(err, errReadAgain) {
			continue
		}
		if err != nil {
			if errors.Is(err, source.ErrTrimmed) {
				cursor.Reset()
			}
			if !n.awaitRetry(ctx, retryDelay) {
				return
			}
			retryDelay = min(2*retryDelay, n.storeRetryMax())
			continue
		}
		retryDelay = n.policy.StoreRetry
		n.applyConfigRecords(ctx, cursor, tail, reading, startedAt)
		n.verifyEra(ctx)
		if tail.AtEnd && reading != source.ReadRestored && n.eras.confirmsKeys(startedAt) {
			n.configState.RecordConfirmation(startedAt)
		}
		n.recordStoreRead(startedAt)
	}
}

// leavesConfigToLeader reports whether the node leaves reading the configuration to the leader: because it is relayed
// in time, or because the first answer of a leader is about to come.
func (n *Node) leavesConfigToLeader(now time.Time) bool {
	if leading, _ := n.peers.leadership(); leading || n.feed.isKnown() && !n.evacuations.areRelayed(now) {
		return false
	}
	_, hasConfig := n.configState.Age()
	return n.feed.configAge(now) < n.feedTimeout() && n.reliesOnLeader() || n.awaitsFirstFeed(now) || n.awaitsFirstAnswer(now) ||
		hasConfig && n.awaitsRelay(now)
}

// relayReturnTime is the time in which the leader relays a store again that is back after an outage.
const relayReturnTime = 500 * time.Millisecond

// awaitsRelay reports whether the store has just answered this node again after an outage, so that the leader is about
// to relay it. Without this pause each of hundreds of nodes reads all topics when the store is back.
func (n *Node) awaitsRelay(now time.Time) bool {
	at := n.storeBackAt.Load()
	return at != 0 && now.Sub(n.started)-time.Duration(at) < relayReturnTime && !n.mayLead()
}

// firstAnswerTime is the time after its start by which a node has read the other nodes' entries and has got an answer
// from the leader, if there is one.
const firstAnswerTime = 150 * time.Millisecond

// awaitsFirstAnswer reports whether a node that has just started in a running system waits for the answer to its
// first status report. The answer brings the configuration and the list, which it need not read then.
func (n *Node) awaitsFirstAnswer(now time.Time) bool {
	return !n.settings.IsFirstStart && now.Sub(n.started) < firstAnswerTime && !n.feed.isKnown()
}

// reliesOnLeader reports whether the node leaves reading the store to the leader. A standby still reads
// it at every StandbyRead, to know that it can. Another node that cannot read it tries again only at every
// StoreRetryRelayed, so that hundreds of nodes do not call a store that turns them away several times a second.
func (n *Node) reliesOnLeader() bool {
	if leading, _ := n.peers.leadership(); leading {
		return false
	}
	if !n.peers.isStandby() {
		return !n.storeFailed.Load() || n.clock.Since(n.started)-time.Duration(n.storeTriedAt.Load()) < n.policy.StoreRetryRelayed
	}
	return !n.storeFailed.Load() && n.ownStoreAge() < n.policy.StandbyRead
}

// mayLead reports whether the node is the leader or one of its standbys, which read the store most often.
func (n *Node) mayLead() bool {
	leading, _ := n.peers.leadership()
	return leading || n.peers.isStandby()
}

// storeRetryMax returns the maximum delay between two attempts to read the store.
func (n *Node) storeRetryMax() time.Duration {
	if n.mayLead() {
		return n.policy.StoreRetryMax
	}
	return n.policy.StoreRetryRelayed
}

// configWait returns how long a read of the configuration waits for a newer one. The age of the
// configuration counts from the start of the last read. Where keys are trusted only for a limited
// time, reads must therefore start several times within it. The leader reads often, since the
// configuration that it relays is as old as its own last read.
func (n *Node) configWait() time.Duration {
	now := n.clock.Now()
	wait := n.policy.ConfigWait
	age, isConfirmed := n.configState.Age()
	maxAge := unknownAge
	if leading, _ := n.peers.leadership(); leading {
		wait = n.policy.ConfigWaitLeading
		maxAge = 2 * wait // a new leader ended its pending read, which would have confirmed the configuration that it relays
	} else if n.settings.StrictKeys {
		wait = min(n.policy.ConfigWait, n.settings.MaxKeyAge/4)
	}
	if unsettled := n.eras.settlingTime(now); unsettled > 0 {
		return min(wait, unsettled) // until then no read confirms anything, however soon it returns
	}
	if isConfirmed && age > maxAge {
		return 0
	}
	// Keys that could not be confirmed while the store was being restored are about to expire: do not wait.
	if n.settings.StrictKeys && isConfirmed && age > n.settings.MaxKeyAge/2 {
		return 0
	}
	return wait
}

// applyConfig applies a configuration. One that cannot be decoded leaves the previous one in force.
func (n *Node) applyConfig(raw []byte, from string) {
	if len(raw) == 0 {
		return
	}
	before := n.configState.Catalog()
	newer, err := n.configState.Apply(raw)
	if err != nil {
		n.Count("config.unreadable")
		n.log.WithError(err).WithField("from", from).Error("configuration cannot be decoded")
		return
	}
	if newer {
		_, version := n.configState.Encoded()
		n.log.WithFields(log.Fields{"version": version, "from": from}).Info("configuration in force")
		n.logModelChanges(before, version)
		n.requestRebuild()
	}
}

// logModelChanges logs the models that a configuration has added, removed or resized; before is nil for the first one.
func (n *Node) logModelChanges(before *catalog.Catalog, version int64) {
	after := n.configState.Catalog()
	if before == nil || after == nil {
		return
	}
	for _, c := range catalog.ModelChanges(before, after) {
		n.log.WithFields(log.Fields{"version": version, "service": c.Service, "added": c.Added, "removed": c.Removed, "resized": c.Resized}).Info("models changed")
	}
}

// recordStoreRead records that the store answered a read that began at startedAt. A read that waited long for
// its answer does not replace one that began later.
func (n *Node) recordStoreRead(startedAt time.Time) {
	at := int64(startedAt.Sub(n.started)) + 1
	for {
		old := n.storeReadAt.Load()
		if at <= old || n.storeReadAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// storeAge returns the time since the start of the last successful read of the store, by this
// node or by the leader. The leader's reads do not count if this node's last read failed.
func (n *Node) storeAge() time.Duration {
	own := n.ownStoreAge()
	if n.storeFailed.Load() {
		return own
	}
	return min(own, n.feed.configAge(n.clock.Now()))
}

// ownStoreAge returns the time since the start of this node's last successful read of the store.
func (n *Node) ownStoreAge() time.Duration {
	at := n.storeReadAt.Load()
	if at == 0 {
		return time.Hour
	}
	return n.clock.Since(n.started) - time.Duration(at)
}

// readTail reads the records of a topic from an offset on, or the newest record of each key if the
// offset is negative. It logs only the first failure in a row.
func (n *Node) readTail(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.ReadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, n.policy.StoreTimeout+wait)
	defer cancel()
	n.Count("store." + string(topic))
	startedAt := n.clock.Now()
	n.storeTriedAt.Store(int64(startedAt.Sub(n.started)))
	tail, err := n.readTopic(ctx, topic, from, wait)
	if err == nil {
		n.recordStoreAnswer()
		n.recordEra(tail.Era, "store")
		return tail, nil
	}
	if errors.Is(context.Cause(ctx), errReadAgain) {
		return tail, errReadAgain
	}
	n.Count("store." + string(topic) + ".failed")
	if n.ownStoreAge() < n.clock.Since(startedAt) {
		return tail, err // a read that began later succeeded: this one says nothing of the store now
	}
	if !n.storeFailed.Swap(true) {
		n.log.WithError(err).WithFields(log.Fields{
			"topic": topic, "from": from, "ms": n.clock.Since(startedAt).Milliseconds(),
		}).Info("read of the store failed")
	}
	return tail, err
}

// recordStoreAnswer records that the store answered a read. After an outage the list is read at once, so that the leader
// relays it together with the configuration.
func (n *Node) recordStoreAnswer() {
	if n.storeFailed.Swap(false) {
		n.storeBackAt.Store(int64(n.clock.Since(n.started)))
		n.requestListRead()
	}
}

// readTopic is readTail without a timeout, counters and logs.
func (n *Node) readTopic(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.ReadResult, error) {
	if from >= 0 {
		return n.ports.Store.Read(ctx, topic, from, wait)
	}
	tail, err := n.ports.Store.Newest(ctx, topic)
	tail.AtEnd = err == nil
	return tail, err
}

// followInstances reads the platform's instance list from the store, unless the leader relays it in time.
func (n *Node) followInstances(ctx context.Context) {
	cursor := n.newCursor()
	var lastStartedAt time.Time
	pause := n.policy.ListInterval
	for {
		startedAt := n.clock.Now()
		if n.leavesListToLeader(startedAt) {
			cursor.Reset()
			if !n.waitForList(ctx, n.feedPause()) {
				return
			}
			continue
		}
		tail, reading, err := n.readNew(ctx, source.Instances, cursor, 0)
		if errors.Is(err, source.ErrTrimmed) {
			cursor.Reset()
		}
		if err == nil {
			n.applyListRecords(tail, reading, startedAt.Sub(lastStartedAt) < n.policy.RecentRead)
			lastStartedAt = startedAt
			if tail.AtEnd {
				n.roster.RecordListRead(startedAt)
			}
			n.recordStoreRead(startedAt)
		}
		pause = n.listPause(pause, tail, err)
		if !n.waitForList(ctx, pause) {
			return
		}
	}
}

// leavesListToLeader reports whether the node leaves reading the list to the leader: because it is relayed in time, or
// because the system has just started, so that a leader will relay it before the first request arrives. It does not read
// it either while the store fails or has just come back.
func (n *Node) leavesListToLeader(now time.Time) bool {
	if leading, _ := n.peers.leadership(); leading || n.cold.leaderHidesCold.Load() {
		return false
	}
	hasList := n.roster.ListAge(now) < unknownAge
	return n.feed.listAge(now) < n.feedTimeout() || n.awaitsFirstFeed(now) || n.awaitsFirstAnswer(now) || n.awaitsStore() ||
		hasList && n.awaitsRelay(now)
}

// awaitsStore reports whether the node reads nothing but the configuration until the store answers that: of hundreds of
// nodes, only those that may lead try a failing store for each topic.
func (n *Node) awaitsStore() bool { return n.storeFailed.Load() && !n.mayLead() }

// awaitsFirstFeed reports whether the node waits for the first list that a leader relays. Only the nodes that may
// lead read the list when a system starts: otherwise each of hundreds of nodes reads all instances several times.
// Before it has read the other nodes' entries, a node does not know whether it is one of them.
func (n *Node) awaitsFirstFeed(now time.Time) bool {
	age := now.Sub(n.started)
	if !n.settings.IsFirstStart || age >= n.policy.FirstFeedWait || n.peers.anyRequests() {
		return false
	}
	return !n.peers.hasAllNodes() || !n.peers.isStandby()
}

// feedPause returns the time until the next check of the age of the relayed data. A node that waits for its first answer
// checks often, so that it is ready soon if there is no leader.
func (n *Node) feedPause() time.Duration {
	if n.clock.Since(n.started) < firstAnswerTime {
		return min(n.policy.FeedPause, firstAnswerTime/5)
	}
	return n.policy.FeedPause
}

// listPause returns the pause before the next read of the list, given the pause before the last
// read and its result.
func (n *Node) listPause(previous time.Duration, tail source.ReadResult, err error) time.Duration {
	leading, _ := n.peers.leadership()
	switch {
	case err != nil:
		return min(2*previous, n.storeRetryMax())
	case !tail.AtEnd:
		return 0
	case leading && n.fastListPolling.Load():
		return n.policy.ListIntervalBusy
	case !n.mayLead():
		return n.policy.ListIntervalRelayed
	}
	return n.policy.ListInterval
}

// waitForList waits until the next read of the list is due and reports whether the node is still running.
func (n *Node) waitForList(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(pause):
	case <-n.listRequested:
		return n.sleep(ctx, min(pause, n.policy.ListIntervalBusy))
	}
	return true
}

// setFrequentListReads turns frequent reads of the list on or off.
func (n *Node) setFrequentListReads(enabled bool) {
	if n.fastListPolling.Swap(enabled) || !enabled {
		return
	}
	n.requestListRead()
}

// requestListRead requests a read of the list at once.
func (n *Node) requestListRead() { signal(n.listRequested) }

// applyListRecords applies records of the instance list to the roster. If recent is set, records that
// follow the last read count as just written: that read was within RecentRead.
func (n *Node) applyListRecords(tail source.ReadResult, reading source.ReadKind, recent bool) {
	isSnapshot := reading == source.ReadFull || reading == source.ReadRestored
	now := n.clock.Now()
	oldVersion := n.roster.Version()
	var entries []fleet.Instance
	for _, item := range tail.Items {
		id := state.InstanceID(item.Key)
		position := source.Position(tail.Era, item.Offset)
		if len(item.Value) == 0 {
			n.roster.MarkUnlisted(id, position, now)
			continue
		}
		in, err := n.ports.Decoder.Instance(item.Key, item.Value)
		if err != nil {
			// Without a readable entry the instance cannot be used, even if an earlier entry was readable.
			n.Count("instances.unreadable")
			n.log.WithError(err).WithField("position", item.Offset).Warn("instance entry cannot be decoded")
			n.roster.MarkUnlisted(id, position, now)
			entries = slices.DeleteFunc(entries, func(in fleet.Instance) bool { return in.ID == id })
			continue
		}
		in.Position = position
		n.placement.observeEpoch(in.Membership.Epoch, false)
		switch {
		case isSnapshot:
			entries = append(entries, in)
		case recent:
			n.roster.ApplyFreshEntry(in, now)
		default:
			n.roster.ApplyOldEntry(in, now)
		}
	}
	switch {
	case isSnapshot && (reading == source.ReadRestored || !n.eras.isCurrent(now)):
		n.roster.ApplyBackup(entries, now)
		n.log.WithFields(log.Fields{"era": tail.Era, "entries": len(entries)}).Info("instance list read from a backup of the store")
	case isSnapshot:
		n.roster.ApplySnapshot(entries, source.Position(tail.Era, tail.NextOffset), now)
	}
	if n.roster.Version() != oldVersion {
		n.requestRebuild()
		n.placement.wakePlanner()
	}
}

// newCursor returns the cursor of a reader that has not read anything yet.
func (n *Node) newCursor() *source.Cursor { return &source.Cursor{SettleTime: n.policy.RestoreSettle} }

// writeNodeEntry appends the node's entry to the store and returns its position there, and whether it was written.
func (n *Node) writeNodeEntry(ctx context.Context) (source.RecordPosition, bool) {
	value, err := json.Marshal(n.peers.self())
	if err != nil {
		n.log.WithError(err).Error("node entry cannot be encoded")
		return source.RecordPosition{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, n.policy.StoreTimeout)
	defer cancel()
	place, err := n.ports.Store.Append(ctx, source.Nodes, n.settings.Name, value)
	if err != nil {
		n.Count("store.nodes.not-written")
		return source.RecordPosition{}, false
	}
	n.recordEra(place.Era, "store")
	return place, true
}

// register writes the node's entry into the store and derives the node's number from its position
// there. The store reuses an offset only in a later era, so no two incarnations have the same number.
func (n *Node) register(ctx context.Context) {
	for {
		if place, ok := n.writeNodeEntry(ctx); ok {
			number := source.Position(place.Era, place.Offset) + 1
			n.incarnationNumber.Store(number)
			n.log.WithFields(log.Fields{"number": number, "era": place.Era, "offset": place.Offset}).Info("registered")
			return
		}
		if !n.sleep(ctx, 2*n.policy.StoreRetry) {
			return
		}
	}
}
