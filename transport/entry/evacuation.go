package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/internal/millis"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// evacuations holds what a node knows of the evacuated halls. It is safe for concurrent use.
type evacuations struct {
	policy evacuation.Policy
	// leaderAt is the position of the set that the leader last named, 0 if it names none.
	leaderAt atomic.Int64

	// mu is held by writers; readers load the current knowledge.
	mu        sync.Mutex
	knowledge atomic.Pointer[evacuation.Knowledge]
	// changes counts the changes of the set.
	changes atomic.Int64
}

// evacuationState identifies the phases of all halls at one time.
type evacuationState struct {
	changes int64
	// closed is the number of halls that may not even serve as a last resort any more.
	closed int
}

// isOn reports whether the deployment has evacuations.
func (e *evacuations) isOn() bool { return e.policy.Bound > 0 }

// current returns what is known.
func (e *evacuations) current() evacuation.Knowledge {
	if k := e.knowledge.Load(); k != nil {
		return *k
	}
	return evacuation.Knowledge{}
}

// update replaces what is known by the result of f and returns the change that f reports.
func (e *evacuations) update(f func(evacuation.Knowledge) (evacuation.Knowledge, evacuation.Change)) evacuation.Change {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, change := f(e.current())
	e.knowledge.Store(&next)
	if !change.IsEmpty() {
		e.changes.Add(1)
	}
	return change
}

// confirm records that the set was current at a time, according to a source with a set as of a position.
func (e *evacuations) confirm(position int64, at time.Time) {
	e.update(func(k evacuation.Knowledge) (evacuation.Knowledge, evacuation.Change) {
		return k.Confirm(position, at), evacuation.Change{}
	})
}

// view returns the phases of the evacuated halls.
func (e *evacuations) view(now time.Time) evacuation.View { return e.current().View(now) }

// state returns what identifies the phases of all halls.
func (e *evacuations) state(now time.Time) evacuationState {
	s := evacuationState{changes: e.changes.Load()}
	for _, phase := range e.view(now) {
		if phase == evacuation.Closed {
			s.closed++
		}
	}
	return s
}

// areRelayed reports whether the leader relays the set of evacuated halls, so that the node need not read it itself. The
// leader names no set to a node that has an incomplete one as of the same position.
func (e *evacuations) areRelayed(now time.Time) bool {
	return !e.isOn() || e.leaderAt.Load() > 0 && !e.current().NeedsFullRead(now)
}

// recordLeader records the position of the set that the leader's answer names.
func (e *evacuations) recordLeader(position int64) { e.leaderAt.Store(position) }

// addToReport adds the set to a status report if it is newer than the leader's.
func (e *evacuations) addToReport(w *StatusReport) {
	if !e.isOn() {
		return
	}
	set := e.current().Set()
	w.EvacuationsAt = set.Position
	if at := e.leaderAt.Load(); at > 0 && set.Position > at {
		w.Evacuations = &set
	}
}

// addToAnswer adds the position of the set to an answer, and the set itself if the sender of the report has an older one.
// While the store's records may be incomplete after a restore, the set is added also for a sender that has read them.
func (e *evacuations) addToAnswer(a *StatusAnswer, w *StatusReport, isSettled bool, now time.Time) {
	if !e.isOn() {
		return
	}
	k := e.current()
	set := k.Set()
	a.EvacuationsAt, a.EvacuationsAgeMS = set.Position, ceilMS(unknownAge)
	if !k.ConfirmedAt.IsZero() {
		a.EvacuationsAgeMS = ceilMS(now.Sub(k.ConfirmedAt))
	}
	set.IsUnsettled = !isSettled && source.Era(set.Position) < source.Era(w.EvacuationsAt)
	if set.Position > w.EvacuationsAt || set.IsUnsettled {
		a.Evacuations = &set
	}
}

// applyConfigRecords applies records that a read of the configuration topic, begun at startedAt, returned.
func (n *Node) applyConfigRecords(ctx context.Context, cursor *source.Cursor, tail source.ReadResult, reading source.ReadKind, startedAt time.Time) {
	for _, item := range tail.Items {
		if _, ok := evacuation.HallOf(item.Key); !ok {
			n.applyConfig(item.Value, "store")
		}
	}
	if !n.evacuations.isOn() || reading == source.ReadStale {
		return
	}
	now := n.clock.Now()
	read := evacuation.Read{ReadResult: tail, Kind: reading, StartedAt: startedAt, IsSettled: n.eras.isCurrent(startedAt)}
	n.recordEvacuations("store", n.evacuations.update(func(k evacuation.Knowledge) (evacuation.Knowledge, evacuation.Change) {
		return k.ApplyRead(read, n.evacuations.policy, now)
	}))
	if tail.AtEnd && reading != source.ReadRestored && read.IsSettled {
		n.evacuations.confirm(source.Position(tail.Era, tail.NextOffset), startedAt)
	}
	if n.evacuations.current().NeedsFullRead(now) && n.eras.isCurrent(now) {
		cursor.Reset()
		n.sleep(ctx, n.policy.StoreRetry) // the set of another node may be ahead of the store's answers
	}
}

// applyRelayedEvacuations applies the set in an answer to a status report sent at sentAt.
func (n *Node) applyRelayedEvacuations(a *StatusAnswer, sentAt time.Time) {
	n.mergeEvacuations(a.Evacuations, "peer")
	if n.evacuations.isOn() && a.EvacuationsAt > 0 {
		n.evacuations.confirm(a.EvacuationsAt, sentAt.Add(-millis.Duration(a.EvacuationsAgeMS)))
	}
}

// mergeEvacuations applies the set of another node, if it sent one.
func (n *Node) mergeEvacuations(set *evacuation.Set, from string) {
	if set == nil || !n.evacuations.isOn() {
		return
	}
	now := n.clock.Now()
	n.recordEvacuations(from, n.evacuations.update(func(k evacuation.Knowledge) (evacuation.Knowledge, evacuation.Change) {
		return k.Merge(*set, n.eras.isCurrent(now), n.evacuations.policy, now)
	}))
}

// recordEvacuations logs a change of the evacuated halls and puts it in force.
func (n *Node) recordEvacuations(from string, change evacuation.Change) {
	if change.IsEmpty() {
		return
	}
	for _, hall := range change.Began {
		n.Count("evacuation.began")
		n.log.WithFields(log.Fields{"evacuated": hall, "from": from}).Info("evacuation began")
	}
	for _, hall := range change.Ended {
		n.Count("evacuation.ended")
		n.log.WithFields(log.Fields{"evacuated": hall, "from": from}).Info("evacuation ended")
		n.HallReadmitted(hall, n.clock.Now())
	}
	n.requestRebuild()
	n.placement.wakePlanner()
	n.requestStatusReport()
}

// servingCatalogs is the source of the configuration for requests. There is none before the node knows which halls are
// evacuated.
type servingCatalogs struct {
	*ConfigState
	n *Node
}

// Catalog implements gateway.CatalogSource.
func (s servingCatalogs) Catalog() *catalog.Catalog {
	if s.n.evacuations.isOn() && !s.n.evacuations.current().Known {
		return nil
	}
	return s.ConfigState.Catalog()
}

// EvacuationPhase implements gateway.Evacuations.
func (n *Node) EvacuationPhase(hall state.HallName) evacuation.Phase {
	k := n.evacuations.knowledge.Load()
	if k == nil || len(k.Evacuations) == 0 {
		return evacuation.Admitted
	}
	return k.Phase(hall, n.clock.Now())
}

// EvacuationEndedAt returns when this node learned that the last evacuation of a hall ended, and false if none has ended
// since the start of the process or the hall is evacuated again.
func (n *Node) EvacuationEndedAt(hall state.HallName) (time.Time, bool) {
	k := n.evacuations.current()
	at, ended := k.EndedAt[hall]
	return at, ended && k.Phase(hall, at) == evacuation.Admitted
}

// forwardVersion returns the lowest protocol version of nodes that may serve requests of other nodes. Earlier ones would
// send them into evacuated halls.
func (n *Node) forwardVersion() int {
	if len(n.evacuations.current().Evacuations) > 0 {
		return protocolEvacuation
	}
	return protocolForwarding
}

// reportEvacuations updates the gauge of evacuated halls, and logs each one that has no instances once.
func (n *Node) reportEvacuations() {
	if !n.evacuations.isOn() {
		return
	}
	now := n.clock.Now()
	halls := n.evacuations.current().Set().Halls
	metrics.GetOrRegisterGauge("evacuation.halls", n.metrics).Update(int64(len(halls)))
	unchecked := slices.DeleteFunc(halls, func(hall state.HallName) bool {
		_, checked := n.loggedOnce.Load(checkedHallKey(hall))
		return checked
	})
	if len(unchecked) == 0 || n.roster.ListAge(now) >= unknownAge {
		return
	}
	known := map[state.HallName]bool{}
	for _, v := range n.roster.All(now) {
		known[v.Hall] = true
	}
	for _, hall := range unchecked {
		n.loggedOnce.Store(checkedHallKey(hall), true)
		if !known[hall] {
			n.Count("evacuation.ignored")
			n.log.WithField("evacuated", hall).Warn("evacuation ignored: the hall has no instances")
		}
	}
}

// checkedHallKey is the key in Node.loggedOnce for an evacuated hall that was checked for instances.
type checkedHallKey state.HallName

// evacuationEntry is an evacuated hall in the response to an operator.
type evacuationEntry struct {
	Hall    state.HallName `json:"hall"`
	SinceMS int64          `json:"since_ms"`
	// LastResortMS is for how long the hall's groups may still serve models that no group elsewhere serves.
	LastResortMS int64 `json:"last_resort_ms,omitempty"`
}

// evacuationList is the response to an operator.
type evacuationList struct {
	// Position is that of the set of halls in the configuration topic, 0 if the node knows no complete set.
	Position int64 `json:"position"`
	// AgeMS is the time since the set was last known to be current, -1 if it never was.
	AgeMS int64             `json:"age_ms"`
	Halls []evacuationEntry `json:"halls"`
}

// serveEvacuations lists the evacuated halls.
func (n *Node) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	now, k := n.clock.Now(), n.evacuations.current()
	list := evacuationList{Position: k.Position, AgeMS: -1, Halls: []evacuationEntry{}}
	if !k.ConfirmedAt.IsZero() {
		list.AgeMS = now.Sub(k.ConfirmedAt).Milliseconds()
	}
	for _, hall := range k.Set().Halls {
		e := k.Evacuations[hall]
		list.Halls = append(list.Halls, evacuationEntry{
			Hall: hall, SinceMS: now.Sub(e.LearnedAt).Milliseconds(), LastResortMS: max(e.LastResortUntil.Sub(now), 0).Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.log.WithError(err).Info("failed to write evacuation response")
	}
}
