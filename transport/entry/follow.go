package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Bounds of following the store.
const (
	configWait = 3 * time.Second
	// configWaitPlacing is how long the placing node's read of the configuration waits.
	configWaitPlacing = 250 * time.Millisecond
	listInterval      = 300 * time.Millisecond
	// recentRead is the time between two reads of the list up to which what the later one shows has just been written.
	recentRead = time.Second
	// fedAge is the age up to which a node relies on what the placing node tells of the store.
	fedAge = 800 * time.Millisecond
	// fedPause is the time between two looks at whether it still does.
	fedPause = 100 * time.Millisecond
	// standbyRead is the time between two reads of the store by a node that would place next.
	standbyRead = 2 * time.Second
	// listIntervalSoon is the time between two reads while the node has groups formed or taken apart.
	listIntervalSoon = 80 * time.Millisecond
	storeTimeout     = time.Second
	storeRetry       = 150 * time.Millisecond
	// storeRetryMost bounds the time between two tries of a store that does not answer.
	storeRetryMost = 700 * time.Millisecond
	// storeRetryOthers bounds it at nodes that neither place nor would do so next.
	storeRetryOthers = 1500 * time.Millisecond
)

// followConfig keeps up with the operator's configuration.
func (n *Node) followConfig(ctx context.Context) {
	next, wait := int64(-1), storeRetry
	for {
		if n.feed.configAge(n.clock.Now()) < fedAge && n.relies() {
			next = -1
			if !n.sleep(ctx, fedPause) {
				return
			}
			continue
		}
		asked := n.clock.Now()
		tail, err := n.readTail(ctx, source.Configuration, next, n.configWait())
		if err != nil {
			if errors.Is(err, source.ErrTrimmed) {
				next = -1
			}
			if !n.sleep(ctx, wait) {
				return
			}
			wait = min(2*wait, storeRetryMost)
			continue
		}
		wait = storeRetry
		next = tail.End
		for _, item := range tail.Items {
			n.learnConfig(item.Value, "store")
		}
		if tail.Whole {
			n.know.Confirm(asked)
		}
		n.storeRead(asked)
	}
}

// relies tells whether the node leaves reading the store to the placing node. A
// node that would place next reads now and then itself, to know that it can.
func (n *Node) relies() bool {
	if placing, _ := n.peers.isPlacing(); placing || n.storeFailed.Load() {
		return false
	}
	return n.ownStoreAge() < standbyRead || !n.peers.standby()
}

// configWait returns how long a read of the configuration waits for a new one.
// Keys are trusted for a time from the last question on, so where that is
// bounded, questions must be asked several times as often. What the placing node
// tells the others is as old as its last question, so that it asks often.
func (n *Node) configWait() time.Duration {
	if placing, _ := n.peers.isPlacing(); placing {
		return configWaitPlacing
	}
	if n.set.StrictKeys {
		return min(configWait, n.set.KeysWithin/4)
	}
	return configWait
}

// learnConfig takes in a configuration; one that cannot be read leaves the last in force.
func (n *Node) learnConfig(raw []byte, from string) {
	if len(raw) == 0 {
		return
	}
	newer, err := n.know.Learn(raw)
	if err != nil {
		n.Count("config.unreadable")
		n.log.WithError(err).WithField("from", from).Error("configuration not read")
		return
	}
	if newer {
		_, version := n.know.Raw()
		n.log.WithFields(log.Fields{"version": version, "from": from}).Info("configuration in force")
		n.touch()
	}
}

// storeRead notes that the store answered a question asked at a time. A question
// that waited long for its answer does not make the last one look older.
func (n *Node) storeRead(asked time.Time) {
	at := int64(asked.Sub(n.started)) + 1
	for {
		old := n.storeAt.Load()
		if at <= old || n.storeAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// storeAge returns how long ago the last question was asked that the store
// answered, to this node or to the placing one if this one has not failed since.
func (n *Node) storeAge() time.Duration {
	own := n.ownStoreAge()
	if n.storeFailed.Load() {
		return own
	}
	return min(own, n.feed.configAge(n.clock.Now()))
}

// ownStoreAge returns how long ago the last question was asked that the store answered to this node.
func (n *Node) ownStoreAge() time.Duration {
	at := n.storeAt.Load()
	if at == 0 {
		return time.Hour
	}
	return n.clock.Since(n.started) - time.Duration(at)
}

// readTail reads a topic from an offset on, or its newest records for an offset below 0.
func (n *Node) readTail(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.Tail, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	n.Count("store." + string(topic))
	began := n.clock.Now()
	tail, err := n.readOnce(ctx, topic, from, wait)
	if err == nil {
		n.storeFailed.Store(false)
		return tail, nil
	}
	n.Count("store." + string(topic) + ".failed")
	if !n.storeFailed.Swap(true) {
		n.log.WithError(err).WithFields(log.Fields{
			"topic": topic, "from": from, "ms": n.clock.Since(began).Milliseconds(),
		}).Info("read of the store failed")
	}
	return tail, err
}

// readOnce makes one read of a topic.
func (n *Node) readOnce(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.Tail, error) {
	if from >= 0 {
		return n.ports.Store.Read(ctx, topic, from, wait)
	}
	tail, err := n.ports.Store.Newest(ctx, topic)
	tail.Whole = err == nil
	return tail, err
}

// followInstances keeps up with the platform's list of instances.
func (n *Node) followInstances(ctx context.Context) {
	next := int64(-1)
	var last time.Time
	pause := listInterval
	for {
		asked := n.clock.Now()
		if placing, _ := n.peers.isPlacing(); !placing && n.feed.listAge(asked) < fedAge {
			next = -1
			if !n.waitForList(ctx, fedPause) {
				return
			}
			continue
		}
		tail, err := n.readTail(ctx, source.Instances, next, 0)
		if errors.Is(err, source.ErrTrimmed) {
			next = -1
		}
		if err == nil {
			n.learnInstances(tail, next < 0, asked.Sub(last) < recentRead)
			next, last = tail.End, asked
			if tail.Whole {
				n.roster.Confirm(asked)
			}
			n.storeRead(asked)
		}
		pause = n.listPause(pause, tail, err)
		if !n.waitForList(ctx, pause) {
			return
		}
	}
}

// listPause returns the time until the next read of the list, given the one before the last read.
func (n *Node) listPause(before time.Duration, tail source.Tail, err error) time.Duration {
	placing, _ := n.peers.isPlacing()
	switch {
	case err != nil && (placing || n.peers.standby()):
		return min(2*before, storeRetryMost)
	case err != nil:
		return min(2*before, storeRetryOthers)
	case !tail.Whole:
		return 0
	case placing && n.listSoon.Load():
		return listIntervalSoon
	}
	return listInterval
}

// waitForList waits for the next read of the list and tells whether the node still runs.
func (n *Node) waitForList(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.clock.After(d):
	case <-n.listNow:
		return n.sleep(ctx, min(d, listIntervalSoon))
	}
	return true
}

// readListSoon asks for frequent reads of the list, or no longer.
func (n *Node) readListSoon(on bool) {
	if n.listSoon.Swap(on) || !on {
		return
	}
	n.readListNow()
}

// readListNow has the list read at once.
func (n *Node) readListNow() {
	select {
	case n.listNow <- struct{}{}:
	default:
	}
}

// learnInstances takes in records of the list; whole says that they are all
// there is, recent that they were written since a read a moment ago.
func (n *Node) learnInstances(tail source.Tail, whole, recent bool) {
	now := n.clock.Now()
	before := n.roster.Version()
	var entries []fleet.Instance
	for _, item := range tail.Items {
		id := state.InstanceID(item.Key)
		if len(item.Value) == 0 {
			n.roster.Unlisted(id, item.Offset, now)
			continue
		}
		in, err := n.ports.Decoder.Instance(item.Key, item.Value)
		if err != nil {
			n.Count("instances.unreadable")
			n.log.WithError(err).Warn("entry not read")
			continue
		}
		in.Position = item.Offset
		n.placer.observe(in.Membership.Epoch, false)
		switch {
		case whole:
			entries = append(entries, in)
		case recent:
			n.roster.Listed(in, now)
		default:
			n.roster.Recalled(in, now)
		}
	}
	if whole {
		n.roster.Snapshot(entries, tail.End, now)
	}
	if n.roster.Version() != before {
		n.touch()
		n.placer.stir()
	}
}

// register writes the node's entry into the store, whose offset is the node's number.
func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(n.peers.self())
	if err != nil {
		n.log.WithError(err).Error("entry of the node")
		return
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		offset, err := n.ports.Store.Append(callCtx, source.Nodes, n.set.Name, value)
		cancel()
		if err == nil {
			n.number.Store(offset + 1)
			n.log.WithField("number", offset+1).Info("registered")
			return
		}
		if !n.sleep(ctx, 2*storeRetry) {
			return
		}
	}
}
