package probe

// InFlight returns the number of instances that are being probed.
func (p *Prober) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.inFlight)
}
