package entry

import (
	"cmp"
	"context"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/transport/schedule"
)

// schedules lets the leader schedule the requests of a node's callers.
type schedules struct {
	n         *Node
	policy    scheduling.Policy
	scheduler *scheduling.Scheduler
	client    *schedule.Client
	// becameLeader signals that this node has become the leader.
	becameLeader chan struct{}
}

// newSchedules returns the schedules of a node.
func newSchedules(n *Node) *schedules {
	p := n.settings.Policy.Scheduling
	dialer := direct.Dialer{Timeout: n.policy.StatusTimeout, AckTimeout: ackTimeout}
	return &schedules{n: n, policy: p, scheduler: scheduling.NewScheduler(p), client: schedule.NewClient(p, dialer, n.clock, n, n.log), becameLeader: make(chan struct{}, 1)}
}

// isScheduled reports whether the leader schedules the requests for a service: its configuration states a delay between
// halls of at least Policy.MinHallDelay.
func (s *schedules) isScheduled(svc *catalog.Service) bool {
	return svc != nil && svc.Engine != nil && s.policy.MinHallDelay > 0 && svc.Engine.MaxHallDelay() >= s.policy.MinHallDelay
}

// Schedules implements gateway.Scheduler.
func (s *schedules) Schedules(service state.ServiceName) bool {
	c := s.n.configState.Catalog()
	return c != nil && s.isScheduled(c.Services[service])
}

// Schedule implements gateway.Scheduler.
func (s *schedules) Schedule(ctx context.Context, r *scheduling.Request) (scheduling.Decision, bool) {
	r.Hall = s.n.settings.Hall
	if leading, _ := s.n.peers.leadership(); leading {
		return s.scheduler.Schedule(r, s.client.TakeSamples(r.Pool), s.n.clock.Now())
	}
	return s.client.Ask(ctx, s.n.peers.currentLeader(s.n.clock.Now()), r)
}

// RecordLatency implements gateway.Scheduler.
func (s *schedules) RecordLatency(pool scheduling.Pool, sample scheduling.Sample) {
	s.client.RecordLatency(pool, sample)
}

// Decide implements schedule.Leader.
func (s *schedules) Decide(r *scheduling.Request, samples []scheduling.Sample) (d scheduling.Decision, decided, leads bool) {
	if leading, _ := s.n.peers.leadership(); !leading {
		return scheduling.Decision{}, false, false
	}
	d, decided = s.scheduler.Schedule(r, samples, s.n.clock.Now())
	return d, decided, true
}

// Intervals of a leader that schedules requests, and of all other nodes.
const (
	// updateInterval is the time between two snapshots of the groups for the scheduler, stateInterval that between two
	// reports of its state to operators.
	updateInterval = 50 * time.Millisecond
	stateInterval  = time.Second
	// idleInterval is the time between two checks whether this node schedules requests. Each wake-up of hundreds of small
	// nodes costs processor time.
	idleInterval = 2 * time.Second
)

// run gives the scheduler snapshots of the groups while this node is the leader and any service's requests are scheduled.
func (s *schedules) run(ctx context.Context) {
	var reportedAt time.Time
	for {
		interval := idleInterval
		if s.isActive() {
			s.update()
			interval = updateInterval
			if now := s.n.clock.Now(); now.Sub(reportedAt) >= stateInterval {
				reportedAt = now
				s.reportState(now)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.n.clock.After(interval):
		case <-s.becameLeader:
		}
	}
}

// isActive reports whether this node is the leader and schedules the requests for any service.
func (s *schedules) isActive() bool {
	leading, _ := s.n.peers.leadership()
	c := s.n.configState.Catalog()
	if !leading || c == nil {
		return false
	}
	for _, svc := range c.Services {
		if s.isScheduled(svc) {
			return true
		}
	}
	return false
}

// update gives the scheduler of a leader the current state of the groups.
func (s *schedules) update() {
	c := s.n.configState.Catalog()
	inFlight, _ := s.n.peers.totals()
	now := s.n.clock.Now()
	interval := s.n.peers.statusInterval()
	var snapshots []scheduling.Snapshot
	for _, pool := range s.n.table.Pools() {
		svc := c.Services[pool.Service]
		if pool.Model == "" || !s.isScheduled(svc) {
			continue
		}
		sn := scheduling.Snapshot{Pool: scheduling.Pool{Service: pool.Service, Model: pool.Model}, ReportInterval: interval}
		engine := scheduledEngine(svc.Engine, pool.Model)
		for _, cand := range s.n.table.Candidates(pool.Service, pool.Model) {
			if _, limited := s.n.limits.Limited(cand.Incarnation()); limited {
				continue // nodes send to it by grants
			}
			sn.Groups = append(sn.Groups, scheduling.Group{Head: cand.ID, Hall: cand.Hall, Slots: cand.Slots, InFlight: inFlight[cand.ID], Engine: engine})
		}
		snapshots = append(snapshots, sn)
	}
	s.scheduler.Update(snapshots, now)
}

// scheduledEngine returns how the groups of a model process requests.
func scheduledEngine(e *catalog.Engine, model string) scheduling.Engine {
	pace := 1.0
	if m := e.Model(model); m != nil {
		pace = cmp.Or(m.TimeFactor, 1)
	}
	scale := func(d time.Duration) time.Duration { return time.Duration(pace * float64(d)) }
	out := scheduling.Engine{StepTime: scale(e.StepTime), StepTimePerRequest: scale(e.StepTimePerRequest), StepsPerPass: e.StepsPerPass, TokensPerPass: e.PromptTokensPerPass}
	if e.PrefillTokensPerSecond > 0 {
		out.PrefillTimePerToken = scale(time.Duration(float64(time.Second) / e.PrefillTokensPerSecond))
	}
	return out
}

// reportState updates the gauges of the pools that this node schedules as leader, and logs each one that refuses requests.
func (s *schedules) reportState(now time.Time) {
	for _, p := range s.scheduler.TakeStates(now) {
		name := "schedule." + string(p.Service) + "." + p.Model
		metrics.GetOrRegisterGauge(name+".load", s.n.metrics).Update(int64(p.Load))
		metrics.GetOrRegisterGauge(name+".slots", s.n.metrics).Update(int64(p.Slots))
		metrics.GetOrRegisterGauge(name+".wait-ms", s.n.metrics).Update(p.ShortestWait.Milliseconds())
		metrics.GetOrRegisterGaugeFloat64(name+".capacity", s.n.metrics).Update(p.Capacity)
		if len(p.Refused) == 0 {
			continue
		}
		s.n.log.WithFields(log.Fields{
			"service": p.Service, "model": p.Model, "groups": p.Groups, "load": int(p.Load), "slots": int(p.Slots), "wait_ms": p.ShortestWait.Milliseconds(),
			"first_event_ms": p.Latency.Milliseconds(), "hold_ms": p.Hold.Milliseconds(), "capacity": int(p.Capacity), "scheduled": p.Scheduled, "refused": p.Refused, "teams": p.RefusedTeams,
		}).Info("requests refused for lack of capacity")
	}
}
