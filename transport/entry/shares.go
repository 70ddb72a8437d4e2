package entry

import "time"

// setComplete records that this node knows the other nodes.
func (p *peers) setComplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.complete = true
}

// knowsAll reports whether this node knows the other nodes, from the store or from a leader.
func (p *peers) knowsAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete
}

// shareBudgets divides the budgets that all nodes share by the number of nodes that may be running,
// once that is known.
func (p *peers) shareBudgets() {
	if p.knowsAll() {
		p.n.gate.SetNodes(p.possible(p.n.clock.Now()))
	}
}

// possible returns the number of nodes that may be running, including this one. It divides the
// budgets that all nodes share. Nodes that do not report count too, since they may be behind a
// network partition. The leader excludes those that have not reported within ForgetNode. The other
// nodes use the number that the leader names.
func (p *peers) possible(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placing && p.told > 0 {
		return p.told
	}
	n := 1
	for address, e := range p.known {
		lastContact := p.contact[address]
		if lastContact.Before(p.since) {
			lastContact = p.since
		}
		if e.Name != "" && (!p.placing || now.Sub(lastContact) < p.n.policy.ForgetNode) {
			n++
		}
	}
	return n
}

// count returns the number of nodes that this node knows to have ever registered, including
// itself. Nodes that do not report count too, since they may still retry requests.
func (p *peers) count() int {
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
