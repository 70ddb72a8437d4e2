package roster

import (
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// indirectProbe is the result of the last indirect probes of an instance by other nodes.
type indirectProbe struct {
	// requestedAt is when the last indirect probe was requested; reached is whether it got an answer.
	requestedAt time.Time
	reached     bool
	// answeredAt is when the last indirect probe that got an answer was requested; prober is the
	// node that sent it.
	answeredAt time.Time
	prober     string
}

// IndirectProbeDue reports whether an indirect probe of an instance that does not answer this node
// is due.
func (r *Roster) IndirectProbeDue(id state.InstanceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || e.failures == 0 {
		return false
	}
	return e.indirect.requestedAt.Before(e.firstFailureAt) || now.Sub(e.indirect.requestedAt) >= r.cfg.Policy.IndirectInterval
}

// RecordIndirectReport records a report that another node got from an instance by an indirect probe
// requested at rep.Asked. It does not reset this node's own probe failures.
func (r *Roster) RecordIndirectReport(id state.InstanceID, rep fleet.Report, prober string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil || e.isEarlierIncarnation(rep.Born) || e.isLaterIncarnation(rep.Born) {
		return // an indirect report does not start a later incarnation; a direct one does
	}
	e.indirect = indirectProbe{requestedAt: rep.Asked, reached: true, answeredAt: rep.Asked, prober: prober}
	r.version++
	r.applyReport(e, rep)
}

// IsMostlyFar reports whether more listed instances of a service answer only other nodes than answer this one.
func (r *Roster) IsMostlyFar(service state.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	far, reached := 0, 0
	for _, e := range r.entries {
		switch {
		case e.listed.Service != service || !e.inList || e.gone:
		case !e.unreachable():
			reached++
		case e.indirect.reached && !e.indirect.answeredAt.Before(e.firstFailureAt):
			far++
		}
	}
	return far > reached
}

// LastIndirectProber returns the name of the node whose indirect probe last reached an instance, or "".
func (r *Roster) LastIndirectProber(id state.InstanceID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		return e.indirect.prober
	}
	return ""
}

// RecordIndirectFailure records that no other node reached an instance by the indirect probes
// requested at the given time.
func (r *Roster) RecordIndirectFailure(id state.InstanceID, requestedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[id]; e != nil {
		e.indirect.requestedAt, e.indirect.reached = requestedAt, false
		r.version++
	}
}

// lastAnswer returns when an instance last answered this node or an indirect probe.
func (e *entry) lastAnswer() time.Time {
	if e.indirect.answeredAt.After(e.answeredAt) {
		return e.indirect.answeredAt
	}
	return e.answeredAt
}

// hasEnded reports whether there is evidence that the process of an instance has ended: another one answers at its address,
// the address refuses connections, or the list no longer contains it. Silence is none, since a process that is well may
// pause for a second.
func (e *entry) hasEnded(now time.Time) bool {
	return e.gone || e.refused || e.unlistedAndSilent(now, e.lastAnswer())
}

// HasEnded reports whether an instance is unknown or there is evidence that its process has ended.
func (r *Roster) HasEnded(id state.InstanceID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	return e == nil || e.hasEnded(now)
}

// isSilentForLong reports whether an instance that no node reaches has been silent for longer than a process that is well
// may be, or has accepted no connections for longer than lost packets explain.
func (r *Roster) isSilentForLong(e *entry, now time.Time) bool {
	since := latest(e.firstFailureAt, e.indirect.answeredAt)
	if now.Sub(since) > r.cfg.Policy.MaxSilence {
		return true
	}
	return !e.unconnectedSince.IsZero() && now.Sub(latest(e.unconnectedSince, e.indirect.answeredAt)) > r.cfg.Policy.MaxUnconnected
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// unreachableFromAll reports whether an instance counts as unreachable from every node. One that
// only this node fails to reach may still serve other nodes, so it does not count as lost until
// an indirect probe since its first failure has failed too.
func (r *Roster) unreachableFromAll(e *entry, now time.Time) bool {
	if e.gone || e.unlistedAndSilent(now, e.lastAnswer()) {
		return true
	}
	if !e.unreachable() || !r.cfg.IndirectProbes {
		return e.unreachable()
	}
	return !e.indirect.reached && !e.indirect.requestedAt.Before(e.firstFailureAt)
}
