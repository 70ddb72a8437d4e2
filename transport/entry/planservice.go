package entry

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// This file plans the groups of one service.

// forgetRemoved discards the state of services that the configuration does not have, or has without engines.
func (p *placementController) forgetRemoved(c *catalog.Catalog) {
	isRemoved := func(name state.ServiceName) bool { return c.Services[name] == nil || c.Services[name].Engine == nil }
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.planners, func(name state.ServiceName, _ *placement.Planner) bool { return isRemoved(name) })
	maps.DeleteFunc(p.envelopes, func(name state.ServiceName, _ *demand.Envelope) bool { return isRemoved(name) })
	maps.DeleteFunc(p.hallAverages, func(name state.ServiceName, _ *demand.HallAverage) bool { return isRemoved(name) })
	maps.DeleteFunc(p.failures, func(name state.ServiceName, _ planFailure) bool { return isRemoved(name) })
}

// errPlanPaused means that a service is not planned because its last planning step failed.
var errPlanPaused = errors.New("entry: planning is paused after a failed step")

// planService returns the plan for the instances of a service. After an error, the last plan of the service stays in force.
func (p *placementController) planService(c *catalog.Catalog, s *catalog.Service, flows []demand.Flow, members []placement.Member, now time.Time) (placement.Plan, error) {
	if p.failures.isPaused(s.Name, c.Version, now) {
		return placement.Plan{}, errPlanPaused
	}
	planner := p.planner(s)
	planner.BeforeTraffic = p.node.settings.IsFirstStart && !p.node.peers.anyRequests()
	planner.ConfigStale = p.node.storeAge() >= p.node.staleStoreAge()
	planner.Demand = p.plannedDemand(s, flows, now)
	planner.Evacuated = p.node.evacuations.view(now)
	planner.DemandByHall = p.demandByHall(s, now)
	plan, err := p.stepPlanner(planner, now, members)
	var panicked *placement.StepError
	if errors.As(err, &panicked) {
		p.recordPlanFailure(s.Name, c.Version, members, panicked, now)
	}
	if err == nil {
		delete(p.failures, s.Name)
	}
	return plan, err
}

// planner returns the planner of a service, and creates it if there is none.
func (p *placementController) planner(s *catalog.Service) *placement.Planner {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.planners[s.Name]
	if pl == nil {
		pl = placement.NewPlanner(s.Engine, p.node.settings.Policy.Placement, p.nextEpoch)
		pl.RecordStagings(p.stagingsByService[s.Name])
		p.planners[s.Name] = pl
	}
	pl.SetEngine(s.Engine)
	return pl
}

// plannedDemand returns the demand for the models of a service that its groups are planned for, or nil if unknown.
func (p *placementController) plannedDemand(s *catalog.Service, flows []demand.Flow, now time.Time) []float64 {
	policy := p.node.settings.Policy.Demand
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.envelopes[s.Name]
	if e == nil {
		e = demand.NewEnvelope(policy.PlanDecay)
		p.envelopes[s.Name] = e
	}
	return e.Update(s.Engine.Models, policy.OccupiedSlots(s.Name, s.Engine, flows), now)
}

// logRetired logs the groups that are given up because of a change of the configuration.
func (p *placementController) logRetired(version int64, service state.ServiceName, retired []placement.RetiredGroup) {
	for _, g := range retired[:min(len(retired), maxFailingGroups)] {
		p.node.log.WithFields(log.Fields{
			"service": service, "group": g.Key.Group, "epoch": g.Key.Epoch, "model": g.Model, "why": g.Reason, "version": version, "groups": len(retired),
		}).Info("group given up")
	}
}

// logSupply logs the groups and instances of a service, at most once per NodePolicy.SupplyLogInterval
// for all services together.
func (p *placementController) logSupply(now time.Time, service state.ServiceName, plan placement.Plan, instances int) {
	if now.Sub(p.supplyLoggedAt) < p.node.policy.SupplyLogInterval {
		return
	}
	p.supplyLoggedAt = now
	p.node.log.WithFields(log.Fields{
		"service": service, "groups": plan.OpenGroups, "wanted": plan.DesiredInstances, "kept": plan.Skipped, "free": plan.FreeInstances, "spares": plan.Spares, "instances": instances, "failing": describeExcluded(plan.ExcludedGroups), "failing_count": len(plan.ExcludedGroups),
	}).Info("supply")
	p.node.log.WithFields(p.node.leaderLoad.takeFields()).Info("leader load")
}

// maxFailingGroups is the maximum number of groups that one log line names, and of the lines on groups that one step gives up.
const maxFailingGroups = 16

// describeExcluded describes the first groups that receive no requests, with the reasons.
func describeExcluded(excluded map[fleet.GroupKey]string) []string {
	list := make([]string, 0, len(excluded))
	for key, reason := range excluded {
		list = append(list, string(key.Group)+": "+reason)
	}
	slices.Sort(list)
	return list[:min(len(list), maxFailingGroups)]
}
