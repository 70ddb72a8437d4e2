package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/troutmast/troutmast/coordination/source"
)

// maxNodesPauses is the maximum pause between two reads of the nodes' entries, in units of NodePolicy.NodesPause.
const maxNodesPauses = 8

// nodesWriteTime is the time in which nodes that start together write their entries.
const nodesWriteTime = 200 * time.Millisecond

// followNodes reads the nodes' entries from the store as they are written. When the whole system starts for the first time,
// it waits until they are: of 295 nodes that read at once, half took themselves for standbys and read all topics.
func (p *peers) followNodes(ctx context.Context) {
	if p.n.settings.IsFirstStart && !p.n.sleep(ctx, nodesWriteTime) {
		return
	}
	cursor := p.n.newCursor()
	pause := p.n.policy.NodesPause
	for {
		now := p.n.clock.Now()
		isRelayed := p.n.feed.configAge(now) < 2*p.n.feedTimeout() // the leader's answers list new nodes
		if cursor.NextOffset(now) >= 0 && (isRelayed || p.n.awaitsStore() || p.n.awaitsRelay(now)) {
			pause = p.n.policy.NodesPause
			if !p.n.sleep(ctx, p.n.feedTimeout()) {
				return
			}
			continue
		}
		tail, _, err := p.n.readNew(ctx, source.Nodes, cursor, p.n.policy.NodesWait)
		if errors.Is(err, source.ErrTrimmed) {
			cursor.Reset()
		}
		p.recordNodes(tail.Items)
		if err == nil && tail.AtEnd {
			p.setNodesKnown()
			p.shareBudgets()
		}
		// Each new entry completes all waiting reads. Without a pause that grows, nodes that start
		// together would each read once for every other node.
		if !p.n.sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxNodesPauses*p.n.policy.NodesPause)
	}
}

// recordNodes records the nodes' entries. It skips those that have been removed and those that it cannot decode.
func (p *peers) recordNodes(items []source.Item) {
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		var e NodeEntry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			p.n.Count("nodes.unreadable")
			reason := fmt.Sprintf("%.200s", err.Error()) // it may quote the entry
			p.n.log.WithField("error", reason).WithField("position", item.Offset).Warn("node entry cannot be decoded")
			continue
		}
		p.recordNode(e)
	}
}
