package roster

import (
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// elsewhere is what other nodes answered when they were asked to reach an instance.
type elsewhere struct {
	// asked is when they were last asked.
	asked   time.Time
	reached bool
	// heard is when the instance last answered one of them, by the name of that one.
	heard time.Time
	by    string
}

// AskElsewhere reports whether other nodes are to be asked now about an instance that does not
// answer this one.
func (r *Roster) AskElsewhere(id state.InstanceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil || e.failures == 0 {
		return false
	}
	return e.elsewhere.asked.Before(e.failing) || now.Sub(e.elsewhere.asked) >= r.cfg.Policy.IndirectInterval
}

// ReachedElsewhere records the report of an instance that another node asked for, after rep.Asked.
// This node's own failures to reach it stand.
func (r *Roster) ReachedElsewhere(id state.InstanceID, rep fleet.Report, by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.m[id]
	if e == nil || e.outlived(rep.Born) || e.reborn(rep.Born) {
		return // a later life is begun by what the instance tells this node
	}
	e.elsewhere = elsewhere{asked: rep.Asked, reached: true, heard: rep.Asked, by: by}
	r.version++
	r.takeReport(e, rep)
}

// ReachedBy returns the name of the node that last reached an instance for this one, or none.
func (r *Roster) ReachedBy(id state.InstanceID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		return e.elsewhere.by
	}
	return ""
}

// UnreachedElsewhere records that no other node that was asked at a time reached an instance.
func (r *Roster) UnreachedElsewhere(id state.InstanceID, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.m[id]; e != nil {
		e.elsewhere.asked, e.elsewhere.reached = asked, false
		r.version++
	}
}

// lastHeard returns when an instance last answered this node or another one.
func (e *entry) lastHeard() time.Time {
	if e.elsewhere.heard.After(e.heard) {
		return e.elsewhere.heard
	}
	return e.heard
}

// lostToAll reports whether no node reaches an instance, as far as is known. One that this node
// does not reach, but others do or have not been asked about, may serve them.
func (r *Roster) lostToAll(e *entry, now time.Time) bool {
	if e.gone || e.dropped(now, e.lastHeard()) {
		return true
	}
	if !e.unreachable() || !r.cfg.Indirect {
		return e.unreachable()
	}
	return !e.elsewhere.reached && !e.elsewhere.asked.Before(e.failing)
}
