package overload

import "sync"

// Gate applies fractions to the requests that arrive at one node. It adds up the fractions and admits a request when
// the sum passes a whole number, so that of any number of requests as many are admitted as their fractions add up to,
// to within one. It is safe for concurrent use.
type Gate struct {
	mu  sync.Mutex
	sum float64
}

// NewGate returns a Gate that starts at a fraction from 0 to 1. Nodes must start at random ones: each of many nodes with
// few requests would refuse its first one otherwise.
func NewGate(start float64) *Gate { return &Gate{sum: start} }

// Admit reports whether the next request is admitted, given the fraction of its class. Requests with a fraction of 1 are
// always admitted, those with 0 never.
func (g *Gate) Admit(fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	if fraction <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sum += fraction
	if g.sum < 1 {
		return false
	}
	g.sum--
	return true
}
