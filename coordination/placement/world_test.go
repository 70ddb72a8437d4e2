package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// Time constants of the simulation.
const (
	tick              = 20 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
	stallTimeout      = 4 * time.Second
	reportLag         = 200 * time.Millisecond
	warmLoadTime      = 1600 * time.Millisecond
	openTime          = 300 * time.Millisecond
)

// engine returns the engine service of the simulation.
func engine() *catalog.Engine {
	return &catalog.Engine{
		BatchSlots: 8, MaxLoadsPerSecond: 4, MaxConcurrentLoads: 6, MaxReportAge: reportLag, FormTime: openTime,
		Models: []catalog.Model{
			{Name: "large", GroupSize: 4, ExpectedShare: 0.6, TimeFactor: 1, LoadTime: 16 * time.Second, HostLoadTime: warmLoadTime},
			{Name: "small", GroupSize: 2, ExpectedShare: 0.4, TimeFactor: 1, LoadTime: 12 * time.Second, HostLoadTime: warmLoadTime},
		},
	}
}

// targetState is the reported state of a target from a point in time.
type targetState struct {
	at         time.Time
	membership fleet.Membership
	orders     int64
}

// target simulates an engine that handles orders like the engines of the users.
type target struct {
	fleet.Instance
	dead bool
	// dark reports whether the address of the dead target does not even refuse connections.
	dark         bool
	orders       int64
	highestEpoch state.Epoch
	members      []state.InstanceID
	history      []targetState
	readyAt      time.Time
	openAt       time.Time
	closedAt     time.Time
	stalledSince time.Time
	writtenAt    time.Time
	// hiddenUntil is the time until which the target cannot write to the list.
	hiddenUntil time.Time
	// unreachableUntil is the time until which a node cannot reach the target, by node number.
	unreachableUntil map[uint64]time.Time
}

// node simulates a node with its own view of the targets; it plans placement while it leads.
type node struct {
	number       uint64
	epochs       *placement.EpochGenerator
	roster       *roster.Roster
	planner      *placement.Planner
	leading      bool
	leadingSince time.Time
	pausedUntil  time.Time
	isCutOff     bool
	cursor       *source.Cursor
	pollAt       time.Time
	stepAt       time.Time
}

// event is a scheduled action.
type event struct {
	at  time.Time
	run func()
}

// listRecord is a record of the list; a nil instance marks the removal of the target.
type listRecord struct {
	id       state.InstanceID
	instance *fleet.Instance
	at       time.Time
}

// simulation is a seeded model of targets, the list and nodes.
type simulation struct {
	// engine is the engine service; the default is engine().
	engine *catalog.Engine
	// demand is the demand that planners are given.
	demand  []float64
	rng     *rand.Rand
	now     time.Time
	targets map[state.InstanceID]*target
	records []listRecord
	// era is the number of restores of the store; registrationTimes holds the times at which the
	// entries of nodes were written.
	era               int64
	registrationTimes []time.Time
	// restoreProbability is the probability that a fault is a restore of the store from an older copy.
	restoreProbability float64
	// orderedMembers holds the members of all groups that were ordered to form.
	orderedMembers        map[fleet.GroupKey][]state.InstanceID
	nodes                 []*node
	events                []event
	readyMembers          map[fleet.GroupKey]map[state.InstanceID]bool
	faultsEnabled         bool
	lastID                int
	violations            []string
	orderFaultProbability float64
	// restartProbability is the probability that a crashed target restarts under its id.
	restartProbability float64
	// singleModelHosts makes hosts keep only the model staged last, and loads take the time that the engine
	// states. Otherwise, hosts keep all models and staging takes no time.
	singleModelHosts bool
	// onOrder, if set, is called for every order that a node sends.
	onOrder func(o placement.Order)
	// trace, if set, is called with a description of every order sent or handled.
	trace func(text string)
}

// newSimulation returns a simulation of nodes and domains with perDomain targets each.
func newSimulation(seed uint64, domains, perDomain, nodes int) *simulation {
	sim := &simulation{
		rng:                   rand.New(rand.NewPCG(seed, 1)),
		now:                   time.Unix(1000, 0),
		targets:               map[state.InstanceID]*target{},
		readyMembers:          map[fleet.GroupKey]map[state.InstanceID]bool{},
		orderedMembers:        map[fleet.GroupKey][]state.InstanceID{},
		engine:                engine(),
		faultsEnabled:         true,
		orderFaultProbability: 0.06,
	}
	for d := range domains {
		for range perDomain {
			sim.addTarget(fmt.Sprintf("d%d", d))
		}
	}
	for n := range nodes {
		sim.nodes = append(sim.nodes, sim.newNode(uint64(n+1)))
	}
	return sim
}

// newNode returns a new incarnation of a node that has written its entry to the store.
func (sim *simulation) newNode(number uint64) *node {
	sim.registrationTimes = append(sim.registrationTimes, sim.now)
	n := &node{
		number: number,
		epochs: placement.NewEpochGenerator(sim.era, int64(len(sim.registrationTimes))),
		roster: roster.New(roster.Config{HeartbeatInterval: heartbeatInterval, StallTimeout: stallTimeout, MaxReportLag: reportLag + 80*time.Millisecond, Policy: roster.DefaultPolicy()}),
		cursor: &source.Cursor{SettleTime: settleTime},
	}
	n.cursor.Record(-1, source.ReadResult{Era: sim.era}, sim.now)
	return n
}

// settleTime is the time after a restore by which every running target has rewritten its entry.
const settleTime = 2200 * time.Millisecond

// restoreStore replaces the store by a copy that is up to 6 s old: later writes are lost, and offsets
// are reused. Running targets rewrite their lost entries, and targets that have ended are removed again.
func (sim *simulation) restoreStore() {
	copiedAt := sim.now.Add(-time.Duration(sim.rng.Int64N(int64(6 * time.Second))))
	lost := map[state.InstanceID]bool{}
	for len(sim.records) > 0 && sim.records[len(sim.records)-1].at.After(copiedAt) {
		lost[sim.records[len(sim.records)-1].id] = true
		sim.records = sim.records[:len(sim.records)-1]
	}
	for len(sim.registrationTimes) > 0 && sim.registrationTimes[len(sim.registrationTimes)-1].After(copiedAt) {
		sim.registrationTimes = sim.registrationTimes[:len(sim.registrationTimes)-1]
	}
	sim.era++
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		t := sim.targets[id]
		sim.schedule(time.Duration(sim.rng.Int64N(int64(2*time.Second))), func() {
			if !t.dead {
				sim.writeRecord(t)
			}
		})
		if t.dead {
			sim.schedule(3*heartbeatInterval, func() { sim.removeRecord(t) })
		}
	}
}

// removeRecord removes the entry of a target from the list, unless it has restarted.
func (sim *simulation) removeRecord(t *target) {
	if t.dead {
		sim.records = append(sim.records, listRecord{t.ID, nil, sim.now})
	}
}

// restartNode replaces a random node by a new incarnation, unless the faults have ended.
func (sim *simulation) restartNode() {
	if !sim.faultsEnabled {
		return
	}
	i := sim.rng.IntN(len(sim.nodes))
	sim.nodes[i] = sim.newNode(sim.nodes[i].number)
}

// checkUnique checks that no group key is ordered twice with different members.
func (sim *simulation) checkUnique(n *node, o placement.Order) {
	if o.Action != placement.Join {
		return
	}
	if before, known := sim.orderedMembers[o.Key]; known && !slices.Equal(before, o.Members) {
		sim.recordViolation("EPOCH: node %d orders %v with members %v, earlier order had %v", n.number, o.Key, o.Members, before)
	}
	sim.orderedMembers[o.Key] = o.Members
}

// addTarget adds a target that has no model loaded. Its host has both models, or none if hosts keep only one.
func (sim *simulation) addTarget(domain string) *target {
	sim.lastID++
	t := &target{unreachableUntil: map[uint64]time.Time{}, Instance: fleet.Instance{
		ID: state.InstanceID(fmt.Sprintf("i%03d", sim.lastID)), Service: "lm", Domain: domain, Slots: 8,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(sim.lastID >> 8), byte(sim.lastID)}), 80),
	}}
	if !sim.singleModelHosts {
		t.Staged = []string{"large", "small"}
	}
	sim.targets[t.ID] = t
	sim.recordChange(t)
	return t
}

// recordChange records the state of a target in its history and writes its entry to the list.
func (sim *simulation) recordChange(t *target) {
	t.history = append(t.history, targetState{sim.now, t.Membership, t.orders})
	sim.writeRecord(t)
}

// writeRecord writes the entry of a target to the list, unless the target is hidden.
func (sim *simulation) writeRecord(t *target) {
	if sim.now.Before(t.hiddenUntil) {
		return
	}
	in := t.Instance
	t.writtenAt = sim.now
	sim.records = append(sim.records, listRecord{t.ID, &in, sim.now})
}

// schedule adds an action to run after a delay.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.events = append(sim.events, event{sim.now.Add(d), run})
}

// recordViolation records the violation of an invariant.
func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// headOf returns the head of the group of a target, or nil if the head has crashed or left the group.
func (sim *simulation) headOf(t *target) *target {
	if t.Membership.Group == "" {
		return nil
	}
	head := sim.targets[t.members[0]]
	if head == nil || head.dead || head.Membership.Key() != t.Membership.Key() {
		return nil
	}
	return head
}

// handleOrder handles an order and returns the reply.
func (sim *simulation) handleOrder(t *target, o placement.Order) placement.Reply {
	if sim.trace != nil {
		sim.trace(fmt.Sprintf("%s: %s %s %s %s (%s), membership %+v, orders accepted %d, expected %v", sim.now.Sub(time.Unix(1000, 0)), o.Action, o.Instance,
			o.Key.Group, o.Model, o.Reason, t.Membership, t.orders, expectedOrders(o)))
	}
	if t.dead || (o.ExpectedOrders != nil && *o.ExpectedOrders != t.orders) {
		return placement.Refused
	}
	if o.Action == placement.Join {
		return sim.handleJoin(t, o)
	}
	if o.Action == placement.Stage {
		t.orders++
		sim.stage(t, o.Model)
		return placement.Started
	}
	if t.Membership.Key() != o.Key {
		return placement.Refused
	}
	switch o.Action {
	case placement.Open:
		if t.Membership.State != fleet.Ready {
			return placement.Refused
		}
		t.openAt = sim.now.Add(openTime)
	case placement.Close, placement.Abort:
		if t.Membership.State != fleet.Open && t.Membership.State != fleet.Closing {
			return placement.Refused
		}
		t.Membership.State = fleet.Closing
		t.closedAt = sim.now.Add(60 * time.Millisecond)
		if o.Action == placement.Close {
			t.closedAt = sim.now.Add(time.Second)
		}
	case placement.Leave:
		t.Membership, t.members, t.openAt, t.closedAt = fleet.Membership{}, nil, time.Time{}, time.Time{}
		t.orders++
		sim.recordChange(t)
		return placement.Done
	}
	t.orders++
	sim.recordChange(t)
	return placement.Started
}

// stage makes a host load a model.
func (sim *simulation) stage(t *target, model string) {
	if sim.singleModelHosts {
		sim.recordChange(t) // the order counts from now on
		sim.schedule(sim.model(model).LoadTime, func() { sim.finishStaging(t, model) })
		return
	}
	if !t.HasStaged(model) {
		t.Staged = append(slices.Clone(t.Staged), model)
	}
	sim.recordChange(t)
}

// finishStaging makes a model the only one that a host keeps, unless its target has crashed.
func (sim *simulation) finishStaging(t *target, model string) {
	if !t.dead {
		t.Staged = []string{model}
		sim.recordChange(t)
	}
}

// joinTime returns the time that a target needs to become ready in a group of a model.
func (sim *simulation) joinTime(t *target, model string) time.Duration {
	m := sim.model(model)
	switch {
	case t.Model == model:
		return 200 * time.Millisecond
	case t.HasStaged(model) || !sim.singleModelHosts:
		return m.HostLoadTime
	}
	return m.LoadTime
}

// model returns a model of the configuration, or one with the usual times if a late order names one that it no longer has.
func (sim *simulation) model(name string) catalog.Model {
	if m := sim.engine.Model(name); m != nil {
		return *m
	}
	return catalog.Model{Name: name, LoadTime: 16 * time.Second, HostLoadTime: warmLoadTime}
}

// expectedOrders returns the number of accepted orders that an order expects, or -1.
func expectedOrders(o placement.Order) int64 {
	if o.ExpectedOrders == nil {
		return -1
	}
	return *o.ExpectedOrders
}

// handleJoin makes a target a member of a group, and checks that its current group does not serve.
func (sim *simulation) handleJoin(t *target, o placement.Order) placement.Reply {
	key := o.Key
	if t.Membership.Key() == key {
		return placement.Done
	}
	if key.Epoch < t.highestEpoch {
		return placement.Superseded
	}
	if head := sim.headOf(t); head != nil && (head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing) {
		sim.recordViolation("TWO: %s joins %s while its group %s with head %s is %s", t.ID, key.Group, t.Membership.Group, head.ID, head.Membership.State)
	}
	t.highestEpoch, t.members = key.Epoch, o.Members
	t.openAt, t.closedAt = time.Time{}, time.Time{}
	t.Membership = fleet.Membership{Group: key.Group, Epoch: key.Epoch, Rank: slices.Index(o.Members, t.ID), State: fleet.Joining}
	t.readyAt = sim.now.Add(sim.joinTime(t, o.Model))
	t.Model, t.Loaded = o.Model, ""
	t.orders++
	sim.recordChange(t)
	return placement.Started
}

// advance applies the state changes of a target that are due.
func (sim *simulation) advance(t *target) {
	if t.dead {
		return
	}
	m := &t.Membership
	switch {
	case m.State == fleet.Joining && !sim.now.Before(t.readyAt):
		m.State = fleet.Ready
		t.Loaded = t.Model
		if sim.readyMembers[m.Key()] == nil {
			sim.readyMembers[m.Key()] = map[state.InstanceID]bool{}
		}
		sim.readyMembers[m.Key()][t.ID] = true
		sim.recordChange(t)
	case m.State == fleet.Ready && !t.openAt.IsZero() && !sim.now.Before(t.openAt):
		t.openAt = time.Time{}
		m.State = fleet.Open
		sim.checkAllReady(t)
		sim.recordChange(t)
	case m.State == fleet.Closing && !t.closedAt.IsZero() && !sim.now.Before(t.closedAt):
		t.closedAt = time.Time{}
		m.State = fleet.Ready
		sim.recordChange(t)
	case m.State == fleet.Open:
		sim.checkStall(t)
	}
	if sim.now.Sub(t.writtenAt) >= heartbeatInterval {
		sim.writeRecord(t)
	}
}

// checkAllReady checks that all members of an opening group have been ready.
func (sim *simulation) checkAllReady(t *target) {
	for _, id := range t.members {
		if !sim.readyMembers[t.Membership.Key()][id] {
			sim.recordViolation("PARTIAL: %s opens %s before member %s was ready", t.ID, t.Membership.Group, id)
		}
	}
}

// checkStall marks a head as broken once a member has been missing for the stall time.
func (sim *simulation) checkStall(t *target) {
	for _, id := range t.members {
		m := sim.targets[id]
		if m != nil && !m.dead && m.Membership.Key() == t.Membership.Key() {
			continue
		}
		if t.stalledSince.IsZero() {
			t.stalledSince = sim.now
		}
		if sim.now.Sub(t.stalledSince) >= stallTimeout {
			t.Membership.State, t.stalledSince = fleet.Broken, time.Time{}
			sim.recordChange(t)
		}
		return
	}
	t.stalledSince = time.Time{}
}

// stateAt returns the recorded state of a target at a time.
func (t *target) stateAt(at time.Time) targetState {
	p := t.history[0]
	for _, h := range t.history {
		if !h.at.After(at) {
			p = h
		}
	}
	return p
}

// poll makes a node read the list, unless it is cut off.
func (sim *simulation) poll(n *node) {
	if n.isCutOff {
		return
	}
	from := n.cursor.NextOffset(sim.now)
	if from > int64(len(sim.records)) {
		n.cursor.Reset() // records up to the offset do not exist
		return
	}
	switch n.cursor.Record(from, source.ReadResult{Era: sim.era, NextOffset: int64(len(sim.records))}, sim.now) {
	case source.ReadStale:
		return
	case source.ReadIncremental:
		sim.readFrom(n, from)
	case source.ReadFull:
		n.roster.ApplySnapshot(sim.latestInstances(n), source.Position(sim.era, int64(len(sim.records))), sim.now)
	case source.ReadRestored:
		n.roster.ApplyBackup(sim.latestInstances(n), sim.now)
	}
	n.roster.RecordListRead(sim.now)
}

// readFrom makes a node read the records of the list from an offset.
func (sim *simulation) readFrom(n *node, from int64) {
	for offset := from; offset < int64(len(sim.records)); offset++ {
		l := sim.records[offset]
		position := source.Position(sim.era, offset)
		if l.instance == nil {
			n.roster.MarkUnlisted(l.id, position, sim.now)
			continue
		}
		in := *l.instance
		in.Position = position
		n.epochs.Observe(in.Membership.Epoch)
		n.roster.ApplyFreshEntry(in, sim.now)
	}
}

// latestInstances returns the latest entry of each listed target, and records its epoch at the node.
func (sim *simulation) latestInstances(n *node) []fleet.Instance {
	latest := map[state.InstanceID]fleet.Instance{}
	for offset, l := range sim.records {
		delete(latest, l.id)
		if l.instance != nil {
			in := *l.instance
			in.Position = source.Position(sim.era, int64(offset))
			latest[l.id] = in
		}
	}
	var list []fleet.Instance
	for _, id := range slices.Sorted(maps.Keys(latest)) {
		n.epochs.Observe(latest[id].Membership.Epoch)
		list = append(list, latest[id])
	}
	return list
}

// probe makes a node probe a target for its report.
func (sim *simulation) probe(n *node, id state.InstanceID) {
	askedAt := sim.now
	t := sim.targets[id]
	if t != nil && t.dead && !t.dark {
		sim.schedule(4*time.Millisecond, func() { n.roster.RecordRefusal(id, askedAt) })
		return
	}
	if t != nil && t.dark {
		sim.schedule(160*time.Millisecond, func() { n.roster.RecordUnconnected(id, askedAt) })
		return
	}
	if !sim.reaches(n, t) {
		sim.schedule(160*time.Millisecond, func() { n.roster.RecordUnanswered(id, askedAt) })
		return
	}
	p := t.stateAt(askedAt.Add(-time.Duration(sim.rng.Int64N(int64(reportLag)))))
	rep := fleet.Report{Born: t.Born, Membership: p.membership, Model: t.Loaded, Staged: t.Staged, Orders: p.orders, Asked: askedAt}
	sim.schedule(4*time.Millisecond, func() { n.roster.RecordReport(id, rep) })
}

// step runs one planning step of a node, and sends its orders and probes.
func (sim *simulation) step(n *node) {
	if !n.leading || sim.now.Before(n.pausedUntil) {
		return
	}
	plan := n.planner.Step(sim.now, n.roster.Members("lm", n.leadingSince, sim.now))
	for _, o := range plan.Orders {
		sim.send(n, o, n.roster.BeginOrder(o.Instance))
	}
	for _, id := range plan.Probes {
		sim.probe(n, id)
	}
	for _, in := range n.roster.ProbeCandidates(sim.now) {
		sim.probe(n, in.ID)
	}
}

// reaches reports whether a node can reach a target.
func (sim *simulation) reaches(n *node, t *target) bool {
	return t != nil && !t.dead && !sim.now.Before(t.unreachableUntil[n.number])
}

// send delivers an order to its target: promptly, late and without an answer, or with a lost answer.
func (sim *simulation) send(n *node, o placement.Order, life roster.IncarnationNumber) {
	sim.checkUnique(n, o)
	if sim.onOrder != nil {
		sim.onOrder(o)
	}
	if sim.trace != nil {
		sim.trace(fmt.Sprintf("%s: node %d sends %s %s %s", sim.now.Sub(time.Unix(1000, 0)), n.number, o.Action, o.Instance, o.Key.Group))
	}
	t := sim.targets[o.Instance]
	delay := time.Duration(1+sim.rng.IntN(8)) * time.Millisecond
	if !sim.reaches(n, t) {
		sim.schedule(400*time.Millisecond, func() { n.roster.RecordOrderReply(o, life, placement.Unanswered, sim.now) })
		return
	}
	if sim.faultsEnabled && sim.rng.Float64() < sim.orderFaultProbability {
		sim.schedule(2*time.Second+time.Duration(sim.rng.Int64N(int64(10*time.Second))), func() { sim.handleOrder(t, o) })
		sim.schedule(800*time.Millisecond, func() { n.roster.RecordOrderReply(o, life, placement.Unanswered, sim.now) })
		return
	}
	lost := sim.faultsEnabled && sim.rng.Float64() < sim.orderFaultProbability
	sim.schedule(delay, func() {
		reply := sim.handleOrder(t, o)
		if lost {
			sim.schedule(800*time.Millisecond, func() { n.roster.RecordOrderReply(o, life, placement.Unanswered, sim.now) })
			return
		}
		n.roster.RecordOrderReply(o, life, reply, sim.now)
		if reply == placement.Superseded {
			n.epochs.SkipAhead()
		}
	})
}

// setLeading makes a node start or stop leading.
func (sim *simulation) setLeading(n *node, leading bool) {
	if leading == n.leading {
		return
	}
	n.leading, n.leadingSince = leading, sim.now
	n.planner = placement.NewPlanner(sim.engine, placement.DefaultPolicy(), n.epochs.Next)
	n.planner.Demand = sim.demand
}

// injectFault injects a random fault with a low probability.
func (sim *simulation) injectFault() {
	if !sim.faultsEnabled || sim.rng.Float64() > 0.02 {
		return
	}
	if sim.restoreProbability > 0 && sim.rng.Float64() < sim.restoreProbability {
		sim.restoreStore()
		if sim.rng.IntN(2) == 0 {
			sim.schedule(time.Duration(sim.rng.IntN(1000))*time.Millisecond, sim.restartNode)
		}
		return
	}
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	switch sim.rng.IntN(9) {
	case 0, 1:
		sim.crashTarget()
	case 7, 8:
		sim.hideTarget(n)
	case 2:
		n.pausedUntil = sim.now.Add(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
	case 3:
		n.isCutOff = !n.isCutOff
	default:
		sim.setLeading(n, !n.leading)
	}
}

// hideTarget keeps a random target from writing to the list for a while, and possibly makes it
// unreachable for one node.
func (sim *simulation) hideTarget(n *node) {
	ids := slices.Sorted(maps.Keys(sim.targets))
	t := sim.targets[ids[sim.rng.IntN(len(ids))]]
	duration := time.Duration(1000+sim.rng.IntN(8000)) * time.Millisecond
	t.hiddenUntil = sim.now.Add(duration)
	if sim.rng.IntN(2) == 0 {
		t.unreachableUntil[n.number] = t.hiddenUntil
	}
	if duration > 3*heartbeatInterval {
		sim.schedule(3*heartbeatInterval, func() { sim.records = append(sim.records, listRecord{t.ID, nil, sim.now}) })
	}
}

// crashTarget ends a random target without notice. It restarts under its id, or a new target replaces it.
func (sim *simulation) crashTarget() {
	ids := slices.Sorted(maps.Keys(sim.targets))
	t := sim.targets[ids[sim.rng.IntN(len(ids))]]
	if t.dead {
		return
	}
	t.dead = true
	if sim.restartProbability > 0 && sim.rng.Float64() < sim.restartProbability {
		sim.schedule(time.Duration(500+sim.rng.IntN(5000))*time.Millisecond, func() { sim.restartTarget(t) })
		return
	}
	sim.schedule(3*heartbeatInterval, func() { sim.removeRecord(t) })
	sim.schedule(2*time.Second, func() { sim.addTarget(t.Domain) })
}

// restartTarget restarts a crashed target under its id. The target has lost its state, but its host
// keeps the staged models, and orders in flight still reach it.
func (sim *simulation) restartTarget(t *target) {
	t.dead = false
	t.Born = sim.now
	t.Membership, t.members, t.Model, t.Loaded = fleet.Membership{}, nil, "", ""
	t.orders, t.highestEpoch, t.history = 0, 0, nil
	t.readyAt, t.openAt, t.closedAt, t.stalledSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	sim.recordChange(t)
}

// endFaults ends the faults: only the first node leads, and all nodes can read the list.
func (sim *simulation) endFaults() {
	sim.faultsEnabled = false
	for i, n := range sim.nodes {
		n.isCutOff, n.pausedUntil = false, time.Time{}
		sim.setLeading(n, i == 0)
	}
}

// run advances the simulation by a duration, or until an invariant is violated.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end) && len(sim.violations) == 0; sim.now = sim.now.Add(tick) {
		sim.injectFault()
		due := sim.events
		sim.events = nil
		for _, e := range due {
			if e.at.After(sim.now) {
				sim.events = append(sim.events, e)
				continue
			}
			e.run()
		}
		for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
			sim.advance(sim.targets[id])
		}
		for _, n := range sim.nodes {
			if !sim.now.Before(n.pollAt) && !sim.now.Before(n.pausedUntil) {
				sim.poll(n)
				n.pollAt = sim.now.Add(80*time.Millisecond + time.Duration(sim.rng.IntN(400))*time.Millisecond)
			}
			if !sim.now.Before(n.stepAt) {
				sim.step(n)
				n.stepAt = sim.now.Add(100 * time.Millisecond)
			}
		}
	}
}

// countServing returns the number of live targets, and the number of members of open groups.
func (sim *simulation) countServing() (alive, inGroups int) {
	for _, t := range sim.targets {
		if t.dead {
			continue
		}
		alive++
		if t.Membership.State != fleet.Open {
			continue
		}
		inGroups += len(t.members)
	}
	return alive, inGroups
}

// groupKeys returns the group key of each live target.
func (sim *simulation) groupKeys() map[state.InstanceID]fleet.GroupKey {
	keys := map[state.InstanceID]fleet.GroupKey{}
	for id, t := range sim.targets {
		if !t.dead {
			keys[id] = t.Membership.Key()
		}
	}
	return keys
}
