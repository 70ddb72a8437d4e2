package entry

import "time"

// setNodesKnown records that this node knows the other nodes.
func (p *peers) setNodesKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodesKnown = true
}

// hasAllNodes reports whether this node knows the other nodes, from the store or from a leader.
func (p *peers) hasAllNodes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nodesKnown
}

// shareBudgets divides the budgets that all nodes share by the number of nodes that may be running,
// once that is known.
func (p *peers) shareBudgets() {
	if p.hasAllNodes() {
		p.n.gateway.SetNodes(p.possibleNodes(p.n.clock.Now()))
	}
}

// possibleNodes returns the number of nodes that may be running, including this one. It divides the
// budgets that all nodes share. Nodes that do not report count too, since they may be behind a
// network partition. The leader excludes those that have not reported within NodeRetention. The other
// nodes use the number that the leader names.
func (p *peers) possibleNodes(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isLeader && p.leaderNodeCount > 0 {
		return p.leaderNodeCount
	}
	n := 1
	for address, e := range p.known {
		lastContact := p.lastContact[address]
		if lastContact.Before(p.leaderSince) {
			lastContact = p.leaderSince
		}
		if e.Name != "" && (!p.isLeader || now.Sub(lastContact) < p.n.policy.NodeRetention) {
			n++
		}
	}
	return n
}

// nodeCount returns the number of nodes that this node knows to have ever registered, including
// itself. Nodes that do not report count too, since they may still retry requests.
func (p *peers) nodeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, e := range p.known {
		if e.Name != "" {
			n++
		}
	}
	return n
}
