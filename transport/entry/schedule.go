package entry

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// scheduleProcedure is the path of a node's request to the leader to schedule a request.
const scheduleProcedure = "/troutmast.Entry/Schedule"

// errNotLeading is the error of a node that is asked to schedule a request and does not lead.
var errNotLeading = errors.New("entry: this node does not schedule requests")

// ScheduleRequest asks the leader which group gets a request.
type ScheduleRequest struct {
	Service   state.ServiceName  `json:"s"`
	Model     string             `json:"m"`
	Team      state.TeamName     `json:"t,omitempty"`
	Hall      state.HallName     `json:"h"`
	Prompt    int                `json:"p,omitempty"`
	GoalMS    int64              `json:"g,omitempty"`
	LeftMS    int64              `json:"l"`
	Priority  int                `json:"r,omitempty"`
	Returning bool               `json:"b,omitempty"`
	Resuming  bool               `json:"c,omitempty"`
	Excluded  []state.InstanceID `json:"x,omitempty"`
	// Samples are the latencies of requests of the same pool that were scheduled before.
	Samples []LatencySample `json:"k,omitempty"`
}

// LatencySample is the time to the first event of a scheduled request, without the expected wait.
type LatencySample struct {
	Instance state.InstanceID `json:"i"`
	MS       int64            `json:"l"`
}

// ScheduleAnswer is the leader's decision on a request.
type ScheduleAnswer struct {
	// Decided is false if the sender must pick a group itself.
	Decided      bool              `json:"d,omitempty"`
	Instance     state.InstanceID  `json:"i,omitempty"`
	WaitMS       int64             `json:"w,omitempty"`
	Refused      bool              `json:"r,omitempty"`
	RetryAfterMS int64             `json:"a,omitempty"`
	Reason       scheduling.Reason `json:"y,omitempty"`
}

// schedules lets the leader schedule the requests of a node's callers.
type schedules struct {
	n         *Node
	policy    scheduling.Policy
	scheduler *scheduling.Scheduler
	// becameLeader signals that this node has become the leader.
	becameLeader chan struct{}

	mu sync.Mutex
	// retryAt is when the leader is asked again after it has not answered.
	retryAt time.Time
	samples map[scheduling.Pool][]LatencySample
	// connected is the client for the leader at connectedTo.
	connected   *connect.Client[ScheduleRequest, ScheduleAnswer]
	connectedTo string
}

// maxSamples is the maximum number of latencies kept for a pool until the next request for it.
const maxSamples = 8

// newSchedules returns the schedules of a node.
func newSchedules(n *Node) *schedules {
	p := n.settings.Policy.Scheduling
	return &schedules{n: n, policy: p, scheduler: scheduling.NewScheduler(p), becameLeader: make(chan struct{}, 1), samples: map[scheduling.Pool][]LatencySample{}}
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
	now := s.n.clock.Now()
	if leading, _ := s.n.peers.leadership(); leading {
		return s.scheduler.Schedule(r, toSamples(s.takeSamples(r.Pool)), now)
	}
	leader := s.n.peers.currentLeader(now)
	if leader == "" || s.inBackoff(now) {
		s.n.Count("schedule.no-leader")
		return scheduling.Decision{}, false
	}
	return s.ask(ctx, leader, r)
}

// ask asks the leader for a decision.
func (s *schedules) ask(ctx context.Context, leader string, r *scheduling.Request) (scheduling.Decision, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.policy.Timeout)
	defer cancel()
	began := s.n.clock.Now()
	resp, err := s.client(leader).CallUnary(ctx, connect.NewRequest(&ScheduleRequest{
		Service: r.Service, Model: r.Model, Team: r.Team, Hall: r.Hall, Prompt: r.PromptTokens, GoalMS: r.Goal.Milliseconds(),
		LeftMS: r.TimeLeft.Milliseconds(), Priority: r.Priority, Returning: r.Returning, Resuming: r.Resuming, Excluded: r.Excluded, Samples: s.takeSamples(r.Pool),
	}))
	if err != nil {
		s.startBackoff(ctx, leader, err)
		return scheduling.Decision{}, false
	}
	s.n.ObserveDuration("schedule.ask", s.n.clock.Since(began))
	a := resp.Msg
	d := scheduling.Decision{
		Instance: a.Instance, Wait: time.Duration(a.WaitMS) * time.Millisecond, Refused: a.Refused, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond, Reason: a.Reason,
	}
	return d, a.Decided
}

// client returns the client for the node that leads.
func (s *schedules) client(leader string) *connect.Client[ScheduleRequest, ScheduleAnswer] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connectedTo != leader {
		s.connected = connect.NewClient[ScheduleRequest, ScheduleAnswer](s.n.peers.scheduleClient, "http://"+leader+scheduleProcedure, connect.WithCodec(peer.JSONCodec{}))
		s.connectedTo = leader
	}
	return s.connected
}

// startBackoff starts the time in which this node picks groups itself, unless the caller has disconnected.
func (s *schedules) startBackoff(ctx context.Context, leader string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.n.Count("schedule.failed")
	now := s.n.clock.Now()
	s.mu.Lock()
	first := now.After(s.retryAt.Add(s.policy.Backoff))
	s.retryAt = now.Add(s.policy.Backoff)
	s.mu.Unlock()
	if first {
		s.n.log.WithError(err).WithField("leader", leader).Info("leader schedules no requests")
	}
}

// inBackoff reports whether the leader is not asked now because it has not answered recently.
func (s *schedules) inBackoff(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.retryAt)
}

// RecordLatency implements gateway.Scheduler.
func (s *schedules) RecordLatency(pool scheduling.Pool, sample scheduling.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.samples[pool]
	list = append(list, LatencySample{Instance: sample.Instance, MS: sample.Latency.Milliseconds()})
	s.samples[pool] = list[max(len(list)-maxSamples, 0):]
}

// takeSamples returns and forgets the latencies recorded for a pool.
func (s *schedules) takeSamples(pool scheduling.Pool) []LatencySample {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.samples[pool]
	delete(s.samples, pool)
	return list
}

// toSamples converts latencies from their form in messages.
func toSamples(list []LatencySample) []scheduling.Sample {
	samples := make([]scheduling.Sample, 0, len(list))
	for _, l := range list {
		samples = append(samples, scheduling.Sample{Instance: l.Instance, Latency: time.Duration(l.MS) * time.Millisecond})
	}
	return samples
}

// handleSchedule decides on a request of another node's caller.
func (s *schedules) handleSchedule(_ context.Context, req *connect.Request[ScheduleRequest]) (*connect.Response[ScheduleAnswer], error) {
	if leading, _ := s.n.peers.leadership(); !leading {
		return nil, connect.NewError(connect.CodeUnavailable, errNotLeading)
	}
	m := req.Msg
	now := s.n.clock.Now()
	r := &scheduling.Request{
		Pool: scheduling.Pool{Service: m.Service, Model: m.Model}, Team: m.Team, Hall: m.Hall, PromptTokens: max(m.Prompt, 0), Goal: time.Duration(m.GoalMS) * time.Millisecond,
		TimeLeft: time.Duration(m.LeftMS) * time.Millisecond, Priority: m.Priority, Returning: m.Returning,
		Resuming: m.Resuming, Excluded: m.Excluded,
	}
	d, ok := s.scheduler.Schedule(r, toSamples(m.Samples), now)
	return connect.NewResponse(&ScheduleAnswer{
		Decided: ok, Instance: d.Instance, WaitMS: d.Wait.Milliseconds(), Refused: d.Refused, RetryAfterMS: d.RetryAfter.Milliseconds(), Reason: d.Reason,
	}), nil
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
