package entry

import (
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// distantEngine returns the engine of a service if the configuration states delays between halls that matter, else nil.
func (n *Node) distantEngine(service state.ServiceName) *catalog.Engine {
	c := n.configState.Catalog()
	if c == nil {
		return nil
	}
	s := c.Services[service]
	if s == nil || s.Engine == nil || !s.Engine.HasDistantHalls() {
		return nil
	}
	return s.Engine
}

// newHallSum returns an empty sum of the demand for the configured models of engines with distant halls.
func (n *Node) newHallSum() *demand.HallSum {
	return demand.NewHallSum(func(service state.ServiceName, model string) bool {
		e := n.distantEngine(service)
		return e != nil && e.Model(model) != nil
	})
}

// demandByHall returns the demand by hall as of the last totals. The list must not be modified.
func (p *peers) demandByHall() []demand.HallFlow {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hallDemand
}

// updateHalls plans which halls serve the requests that arrive here, for as long as the totals of a leader are used.
func (n *Node) updateHalls(flows []demand.HallFlow) {
	until := n.clock.Now().Add(n.policy.NodeTimeout)
	n.table.UpdateHalls(n.settings.Policy.Locality, flows, func(pool dispatch.Pool) []catalog.HallDelay {
		if e := n.distantEngine(pool.Service); e != nil {
			return e.Delays
		}
		return nil
	}, until)
	n.hallTraffic.updateGauges(n.settings.Hall, n.table.HallFractions(n.clock.Now()))
}

// demandByHall returns the fraction of the demand for each model of a service that arrives in each hall, averaged over
// several waves of the demand, or nil if it is unknown or the delays between halls do not matter.
func (p *placementController) demandByHall(s *catalog.Service, now time.Time) []map[state.HallName]float64 {
	if !s.Engine.HasDistantHalls() {
		return nil
	}
	flows := p.node.peers.demandByHall()
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.hallAverages[s.Name]
	if a == nil {
		a = demand.NewHallAverage(p.node.settings.Policy.Demand.PlanDecay)
		p.hallAverages[s.Name] = a
	}
	return a.Update(s.Name, s.Engine, flows, now)
}
