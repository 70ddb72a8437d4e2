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
	tick      = 20 * time.Millisecond
	beat      = 1200 * time.Millisecond
	stall     = 4 * time.Second
	reportLag = 200 * time.Millisecond
	warm      = 1600 * time.Millisecond
	form      = 300 * time.Millisecond
)

// engine returns the engine service of the simulation.
func engine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 8, LoadsPerSecond: 4, LoadsAtOnce: 6, ReportLag: reportLag, Form: form,
		Models: []catalog.Model{
			{Name: "large", Size: 4, Share: 0.6, Pace: 1, Load: 16 * time.Second, Warm: warm},
			{Name: "small", Size: 2, Share: 0.4, Pace: 1, Load: 12 * time.Second, Warm: warm},
		},
	}
}

// past is the reported state of a target from a point in time.
type past struct {
	at         time.Time
	membership fleet.Membership
	orders     int64
}

// target simulates an engine that handles orders like the engines of the users.
type target struct {
	fleet.Instance
	dead    bool
	orders  int64
	newest  state.Epoch
	members []state.InstanceID
	history []past
	readyAt time.Time
	openAt  time.Time
	shutAt  time.Time
	stalled time.Time
	written time.Time
	// hidden is the time until which the target cannot write to the list.
	hidden time.Time
	// severed is the time until which a node cannot reach the target, by node number.
	severed map[uint64]time.Time
}

// observer is a node with its own view of the targets; it plans placement while it leads.
type observer struct {
	number  uint64
	epochs  *placement.Epochs
	roster  *roster.Roster
	planner *placement.Planner
	placing bool
	since   time.Time
	frozen  time.Time
	cut     bool
	cursor  *source.Cursor
	pollAt  time.Time
	stepAt  time.Time
}

// event is a scheduled action.
type event struct {
	at time.Time
	do func()
}

// listing is a record of the list; a nil instance marks the removal of the target.
type listing struct {
	id state.InstanceID
	in *fleet.Instance
	at time.Time
}

// world is a seeded simulation of targets, the list and nodes.
type world struct {
	// engine is the engine service; the default is engine().
	engine *catalog.Engine
	// work is the demand that planners are given.
	work    []float64
	rng     *rand.Rand
	now     time.Time
	targets map[state.InstanceID]*target
	list    []listing
	// era is the number of restores of the store; registered holds the times at which the
	// entries of nodes were written.
	era        int64
	registered []time.Time
	// restorations is the probability that a fault is a restore of the store from an older copy.
	restorations float64
	// groups holds the members of all groups that were ordered to form.
	groups map[fleet.GroupKey][]state.InstanceID
	nodes  []*observer
	events []event
	ready  map[fleet.GroupKey]map[state.InstanceID]bool
	faults bool
	next   int
	broken []string
	late   float64
	// rebirths is the probability that a crashed target restarts under its id.
	rebirths float64
	// ordered, if set, is called for every order that a node sends.
	ordered func(o placement.Order)
	// trace, if set, is called with a description of every order sent or handled.
	trace func(text string)
}

// newWorld returns a simulation of nodes and domains with perDomain targets each.
func newWorld(seed uint64, domains, perDomain, nodes int) *world {
	w := &world{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		targets: map[state.InstanceID]*target{},
		ready:   map[fleet.GroupKey]map[state.InstanceID]bool{},
		groups:  map[fleet.GroupKey][]state.InstanceID{},
		engine:  engine(),
		faults:  true,
		late:    0.06,
	}
	for d := range domains {
		for range perDomain {
			w.addTarget(fmt.Sprintf("d%d", d))
		}
	}
	for n := range nodes {
		w.nodes = append(w.nodes, w.newObserver(uint64(n+1)))
	}
	return w
}

// newObserver returns a new incarnation of a node that has written its entry to the store.
func (w *world) newObserver(number uint64) *observer {
	w.registered = append(w.registered, w.now)
	n := &observer{
		number: number,
		epochs: placement.NewEpochs(w.era, int64(len(w.registered))),
		roster: roster.New(roster.Config{Beat: beat, Stall: stall, ReportLag: reportLag + 80*time.Millisecond, Policy: roster.DefaultPolicy()}),
		cursor: &source.Cursor{Settle: settle},
	}
	n.cursor.Take(-1, source.Tail{Era: w.era}, w.now)
	return n
}

// settle is the time after a restore by which every running target has rewritten its entry.
const settle = 2200 * time.Millisecond

// restore replaces the store by a copy that is up to 6 s old: later writes are lost, and offsets
// are reused. Running targets rewrite their lost entries, and targets that have ended are removed again.
func (w *world) restore() {
	copied := w.now.Add(-time.Duration(w.rng.Int64N(int64(6 * time.Second))))
	lost := map[state.InstanceID]bool{}
	for len(w.list) > 0 && w.list[len(w.list)-1].at.After(copied) {
		lost[w.list[len(w.list)-1].id] = true
		w.list = w.list[:len(w.list)-1]
	}
	for len(w.registered) > 0 && w.registered[len(w.registered)-1].After(copied) {
		w.registered = w.registered[:len(w.registered)-1]
	}
	w.era++
	for _, id := range slices.Sorted(maps.Keys(lost)) {
		t := w.targets[id]
		w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() {
			if !t.dead {
				w.write(t)
			}
		})
		if t.dead {
			w.after(3*beat, func() { w.drop(t) })
		}
	}
}

// drop removes the entry of a target from the list, unless it has restarted.
func (w *world) drop(t *target) {
	if t.dead {
		w.list = append(w.list, listing{t.ID, nil, w.now})
	}
}

// restart replaces a random node by a new incarnation, unless the faults have ended.
func (w *world) restart() {
	if !w.faults {
		return
	}
	i := w.rng.IntN(len(w.nodes))
	w.nodes[i] = w.newObserver(w.nodes[i].number)
}

// checkUnique checks that no group key is ordered twice with different members.
func (w *world) checkUnique(n *observer, o placement.Order) {
	if o.Action != placement.Join {
		return
	}
	if before, known := w.groups[o.Key]; known && !slices.Equal(before, o.Members) {
		w.fail("EPOCH: node %d orders %v with members %v, earlier order had %v", n.number, o.Key, o.Members, before)
	}
	w.groups[o.Key] = o.Members
}

// addTarget adds a target that has both models staged and none loaded.
func (w *world) addTarget(domain string) *target {
	w.next++
	t := &target{severed: map[uint64]time.Time{}, Instance: fleet.Instance{
		ID: state.InstanceID(fmt.Sprintf("i%03d", w.next)), Service: "lm", Domain: domain, Slots: 8,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(w.next >> 8), byte(w.next)}), 80),
		Staged:  []string{"large", "small"},
	}}
	w.targets[t.ID] = t
	w.changed(t)
	return t
}

// changed records the state of a target in its history and writes its entry to the list.
func (w *world) changed(t *target) {
	t.history = append(t.history, past{w.now, t.Membership, t.orders})
	w.write(t)
}

// write writes the entry of a target to the list, unless the target is hidden.
func (w *world) write(t *target) {
	if w.now.Before(t.hidden) {
		return
	}
	in := t.Instance
	t.written = w.now
	w.list = append(w.list, listing{t.ID, &in, w.now})
}

// after schedules an action.
func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now.Add(d), do})
}

// fail records the violation of an invariant.
func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", w.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// headOf returns the head of the group of a target, or nil if the head has crashed or left the group.
func (w *world) headOf(t *target) *target {
	if t.Membership.Group == "" {
		return nil
	}
	head := w.targets[t.members[0]]
	if head == nil || head.dead || head.Membership.Key() != t.Membership.Key() {
		return nil
	}
	return head
}

// obey handles an order and returns the reply.
func (w *world) obey(t *target, o placement.Order) placement.Reply {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%s: %s %s %s %s (%s), membership %+v, orders accepted %d, expected %v", w.now.Sub(time.Unix(1000, 0)), o.Action, o.Instance,
			o.Key.Group, o.Model, o.Why, t.Membership, t.orders, expected(o)))
	}
	if t.dead || (o.Expect != nil && *o.Expect != t.orders) {
		return placement.Refused
	}
	if o.Action == placement.Join {
		return w.join(t, o)
	}
	if o.Action == placement.Stage {
		t.orders++
		if !t.HasStaged(o.Model) {
			t.Staged = append(slices.Clone(t.Staged), o.Model)
		}
		w.changed(t)
		return placement.Begun
	}
	if t.Membership.Key() != o.Key {
		return placement.Refused
	}
	switch o.Action {
	case placement.Open:
		if t.Membership.State != fleet.Ready {
			return placement.Refused
		}
		t.openAt = w.now.Add(form)
	case placement.Close, placement.Abort:
		if t.Membership.State != fleet.Open && t.Membership.State != fleet.Closing {
			return placement.Refused
		}
		t.Membership.State = fleet.Closing
		t.shutAt = w.now.Add(60 * time.Millisecond)
		if o.Action == placement.Close {
			t.shutAt = w.now.Add(time.Second)
		}
	case placement.Leave:
		t.Membership, t.members, t.openAt, t.shutAt = fleet.Membership{}, nil, time.Time{}, time.Time{}
		t.orders++
		w.changed(t)
		return placement.Done
	}
	t.orders++
	w.changed(t)
	return placement.Begun
}

// expected returns the number of accepted orders that an order expects, or -1.
func expected(o placement.Order) int64 {
	if o.Expect == nil {
		return -1
	}
	return *o.Expect
}

// join makes a target a member of a group, and checks that its current group does not serve.
func (w *world) join(t *target, o placement.Order) placement.Reply {
	key := o.Key
	if t.Membership.Key() == key {
		return placement.Done
	}
	if key.Epoch < t.newest {
		return placement.Superseded
	}
	if head := w.headOf(t); head != nil && (head.Membership.State == fleet.Open || head.Membership.State == fleet.Closing) {
		w.fail("TWO: %s joins %s while its group %s with head %s is %s", t.ID, key.Group, t.Membership.Group, head.ID, head.Membership.State)
	}
	t.newest, t.members = key.Epoch, o.Members
	t.openAt, t.shutAt = time.Time{}, time.Time{}
	t.Membership = fleet.Membership{Group: key.Group, Epoch: key.Epoch, Rank: slices.Index(o.Members, t.ID), State: fleet.Joining}
	takes := warm
	if t.Model == o.Model {
		takes = 200 * time.Millisecond
	}
	t.Model, t.Loaded = o.Model, ""
	t.readyAt = w.now.Add(takes)
	t.orders++
	w.changed(t)
	return placement.Begun
}

// advance applies the state changes of a target that are due.
func (w *world) advance(t *target) {
	if t.dead {
		return
	}
	m := &t.Membership
	switch {
	case m.State == fleet.Joining && !w.now.Before(t.readyAt):
		m.State = fleet.Ready
		t.Loaded = t.Model
		if w.ready[m.Key()] == nil {
			w.ready[m.Key()] = map[state.InstanceID]bool{}
		}
		w.ready[m.Key()][t.ID] = true
		w.changed(t)
	case m.State == fleet.Ready && !t.openAt.IsZero() && !w.now.Before(t.openAt):
		t.openAt = time.Time{}
		m.State = fleet.Open
		w.checkWhole(t)
		w.changed(t)
	case m.State == fleet.Closing && !t.shutAt.IsZero() && !w.now.Before(t.shutAt):
		t.shutAt = time.Time{}
		m.State = fleet.Ready
		w.changed(t)
	case m.State == fleet.Open:
		w.standStill(t)
	}
	if w.now.Sub(t.written) >= beat {
		w.write(t)
	}
}

// checkWhole checks that all members of an opening group have been ready.
func (w *world) checkWhole(t *target) {
	for _, id := range t.members {
		if !w.ready[t.Membership.Key()][id] {
			w.fail("PARTIAL: %s opens %s before member %s was ready", t.ID, t.Membership.Group, id)
		}
	}
}

// standStill marks a head as broken once a member has been missing for the stall time.
func (w *world) standStill(t *target) {
	for _, id := range t.members {
		m := w.targets[id]
		if m != nil && !m.dead && m.Membership.Key() == t.Membership.Key() {
			continue
		}
		if t.stalled.IsZero() {
			t.stalled = w.now
		}
		if w.now.Sub(t.stalled) >= stall {
			t.Membership.State, t.stalled = fleet.Broken, time.Time{}
			w.changed(t)
		}
		return
	}
	t.stalled = time.Time{}
}

// stood returns the recorded state of a target at a time.
func (t *target) stood(at time.Time) past {
	p := t.history[0]
	for _, h := range t.history {
		if !h.at.After(at) {
			p = h
		}
	}
	return p
}

// poll makes a node read the list, unless it is cut off.
func (w *world) poll(n *observer) {
	if n.cut {
		return
	}
	from := n.cursor.From(w.now)
	if from > int64(len(w.list)) {
		n.cursor.Reset() // records up to the offset do not exist
		return
	}
	switch n.cursor.Take(from, source.Tail{Era: w.era, End: int64(len(w.list))}, w.now) {
	case source.Stale:
		return
	case source.Further:
		w.readFrom(n, from)
	case source.All:
		n.roster.Snapshot(w.newest(n), source.Position(w.era, int64(len(w.list))), w.now)
	case source.Restored:
		n.roster.Restore(w.newest(n), w.now)
	}
	n.roster.Confirm(w.now)
}

// readFrom makes a node read the records of the list from an offset.
func (w *world) readFrom(n *observer, from int64) {
	for offset := from; offset < int64(len(w.list)); offset++ {
		l := w.list[offset]
		position := source.Position(w.era, offset)
		if l.in == nil {
			n.roster.Unlisted(l.id, position, w.now)
			continue
		}
		in := *l.in
		in.Position = position
		n.epochs.Observe(in.Membership.Epoch)
		n.roster.Listed(in, w.now)
	}
}

// newest returns the latest entry of each listed target, and records its epoch at the node.
func (w *world) newest(n *observer) []fleet.Instance {
	newest := map[state.InstanceID]fleet.Instance{}
	for offset, l := range w.list {
		delete(newest, l.id)
		if l.in != nil {
			in := *l.in
			in.Position = source.Position(w.era, int64(offset))
			newest[l.id] = in
		}
	}
	var list []fleet.Instance
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		n.epochs.Observe(newest[id].Membership.Epoch)
		list = append(list, newest[id])
	}
	return list
}

// ask makes a node probe a target for its report.
func (w *world) ask(n *observer, id state.InstanceID) {
	asked := w.now
	t := w.targets[id]
	if !w.reaches(n, t) {
		w.after(160*time.Millisecond, func() { n.roster.Failed(id, asked) })
		return
	}
	p := t.stood(asked.Add(-time.Duration(w.rng.Int64N(int64(reportLag)))))
	rep := fleet.Report{Born: t.Born, Membership: p.membership, Model: t.Loaded, Staged: t.Staged, Orders: p.orders, Asked: asked}
	w.after(4*time.Millisecond, func() { n.roster.Reported(id, rep) })
}

// step runs one planning step of a node, and sends its orders and probes.
func (w *world) step(n *observer) {
	if !n.placing || w.now.Before(n.frozen) {
		return
	}
	plan := n.planner.Step(w.now, n.roster.Members("lm", n.since, w.now))
	for _, o := range plan.Orders {
		w.send(n, o, n.roster.Ordering(o.Instance))
	}
	for _, id := range plan.Ask {
		w.ask(n, id)
	}
	for _, in := range n.roster.Doubtful(w.now) {
		w.ask(n, in.ID)
	}
}

// reaches reports whether a node can reach a target.
func (w *world) reaches(n *observer, t *target) bool {
	return t != nil && !t.dead && !w.now.Before(t.severed[n.number])
}

// send delivers an order to its target: promptly, late and without an answer, or with a lost answer.
func (w *world) send(n *observer, o placement.Order, life roster.Life) {
	w.checkUnique(n, o)
	if w.ordered != nil {
		w.ordered(o)
	}
	if w.trace != nil {
		w.trace(fmt.Sprintf("%s: node %d sends %s %s %s", w.now.Sub(time.Unix(1000, 0)), n.number, o.Action, o.Instance, o.Key.Group))
	}
	t := w.targets[o.Instance]
	delay := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
	if !w.reaches(n, t) {
		w.after(400*time.Millisecond, func() { n.roster.Ordered(o, life, placement.Unanswered, w.now) })
		return
	}
	if w.faults && w.rng.Float64() < w.late {
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() { w.obey(t, o) })
		w.after(800*time.Millisecond, func() { n.roster.Ordered(o, life, placement.Unanswered, w.now) })
		return
	}
	lost := w.faults && w.rng.Float64() < w.late
	w.after(delay, func() {
		reply := w.obey(t, o)
		if lost {
			w.after(800*time.Millisecond, func() { n.roster.Ordered(o, life, placement.Unanswered, w.now) })
			return
		}
		n.roster.Ordered(o, life, reply, w.now)
		if reply == placement.Superseded {
			n.epochs.Behind()
		}
	})
}

// place makes a node start or stop leading.
func (w *world) place(n *observer, on bool) {
	if on == n.placing {
		return
	}
	n.placing, n.since = on, w.now
	n.planner = placement.NewPlanner(w.engine, placement.DefaultPolicy(), n.epochs.Next)
	n.planner.Work = w.work
}

// disturb injects a random fault with a low probability.
func (w *world) disturb() {
	if !w.faults || w.rng.Float64() > 0.02 {
		return
	}
	if w.restorations > 0 && w.rng.Float64() < w.restorations {
		w.restore()
		if w.rng.IntN(2) == 0 {
			w.after(time.Duration(w.rng.IntN(1000))*time.Millisecond, w.restart)
		}
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(9) {
	case 0, 1:
		w.crash()
	case 7, 8:
		w.hide(n)
	case 2:
		n.frozen = w.now.Add(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
	case 3:
		n.cut = !n.cut
	default:
		w.place(n, !n.placing)
	}
}

// hide keeps a random target from writing to the list for a while, and possibly makes it
// unreachable for one node.
func (w *world) hide(n *observer) {
	ids := slices.Sorted(maps.Keys(w.targets))
	t := w.targets[ids[w.rng.IntN(len(ids))]]
	lasts := time.Duration(1000+w.rng.IntN(8000)) * time.Millisecond
	t.hidden = w.now.Add(lasts)
	if w.rng.IntN(2) == 0 {
		t.severed[n.number] = t.hidden
	}
	if lasts > 3*beat {
		w.after(3*beat, func() { w.list = append(w.list, listing{t.ID, nil, w.now}) })
	}
}

// crash ends a random target without notice. It restarts under its id, or a new target replaces it.
func (w *world) crash() {
	ids := slices.Sorted(maps.Keys(w.targets))
	t := w.targets[ids[w.rng.IntN(len(ids))]]
	if t.dead {
		return
	}
	t.dead = true
	if w.rebirths > 0 && w.rng.Float64() < w.rebirths {
		w.after(time.Duration(500+w.rng.IntN(5000))*time.Millisecond, func() { w.reborn(t) })
		return
	}
	w.after(3*beat, func() { w.drop(t) })
	w.after(2*time.Second, func() { w.addTarget(t.Domain) })
}

// reborn restarts a crashed target under its id. The target has lost its state, but its host
// keeps the staged models, and orders in flight still reach it.
func (w *world) reborn(t *target) {
	t.dead = false
	t.Born = w.now
	t.Membership, t.members, t.Model, t.Loaded = fleet.Membership{}, nil, "", ""
	t.orders, t.newest, t.history = 0, 0, nil
	t.readyAt, t.openAt, t.shutAt, t.stalled = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	w.changed(t)
}

// calm ends the faults: only the first node leads, and all nodes can read the list.
func (w *world) calm() {
	w.faults = false
	for i, n := range w.nodes {
		n.cut, n.frozen = false, time.Time{}
		w.place(n, i == 0)
	}
}

// run advances the simulation by a duration, or until an invariant is violated.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && len(w.broken) == 0; w.now = w.now.Add(tick) {
		w.disturb()
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at.After(w.now) {
				w.events = append(w.events, e)
				continue
			}
			e.do()
		}
		for _, id := range slices.Sorted(maps.Keys(w.targets)) {
			w.advance(w.targets[id])
		}
		for _, n := range w.nodes {
			if !w.now.Before(n.pollAt) && !w.now.Before(n.frozen) {
				w.poll(n)
				n.pollAt = w.now.Add(80*time.Millisecond + time.Duration(w.rng.IntN(400))*time.Millisecond)
			}
			if !w.now.Before(n.stepAt) {
				w.step(n)
				n.stepAt = w.now.Add(100 * time.Millisecond)
			}
		}
	}
}

// serving returns the number of live targets, and the number of members of open groups.
func (w *world) serving() (alive, inGroups int) {
	for _, t := range w.targets {
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

// formations returns the group key of each live target.
func (w *world) formations() map[state.InstanceID]fleet.GroupKey {
	keys := map[state.InstanceID]fleet.GroupKey{}
	for id, t := range w.targets {
		if !t.dead {
			keys[id] = t.Membership.Key()
		}
	}
	return keys
}
