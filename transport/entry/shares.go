package entry

import "time"

// setComplete records that this node has read which other nodes there are.
func (p *peers) setComplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.complete = true
}

// knowsAll reports whether this node has read which other nodes there are.
func (p *peers) knowsAll() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.complete
}

// shareBudgets divides what all nodes share by the nodes that there may be, once these are known.
func (p *peers) shareBudgets() {
	if p.knowsAll() {
		p.n.gate.SetNodes(p.possible(p.n.clock.Now()))
	}
}

// possible returns how many nodes may be running, this one among them, by which what all
// nodes share is divided: those that cannot be heard may be behind a cut. A leader leaves
// out those that it has not heard of for long; another node goes by its word.
func (p *peers) possible(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.placing && p.told > 0 {
		return p.told
	}
	n := 1
	for address, e := range p.known {
		heard := p.contact[address]
		if heard.Before(p.since) {
			heard = p.since
		}
		if e.Name != "" && (!p.placing || now.Sub(heard) < p.n.policy.ForgetNode) {
			n++
		}
	}
	return n
}

// count returns the number of nodes that ever registered, as far as is known, this
// one among them: those that cannot be heard may still repeat requests.
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
