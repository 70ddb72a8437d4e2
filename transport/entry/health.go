package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/localhealth"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// RecordResponse implements gateway.FailureDetector.
func (n *Node) RecordResponse(id state.InstanceID, at time.Time) { n.roster.RecordResponse(id, at) }

// RecordFailure implements gateway.FailureDetector.
func (n *Node) RecordFailure(id state.InstanceID, at time.Time) {
	n.roster.RecordFailure(id, at)
	n.suspect(id, at)
	n.touch()
}

// RecordReplaced implements gateway.FailureDetector.
func (n *Node) RecordReplaced(id state.InstanceID) {
	n.roster.RecordReplaced(id, n.clock.Now())
	n.touch()
}

// ProbeGroup implements gateway.FailureDetector: it asks all members of a group whether they
// live, and gives the group's requests up if one does not.
func (n *Node) ProbeGroup(c *dispatch.Candidate) {
	go func() {
		silent := n.askAll(c.Members)
		if len(silent) == 0 {
			return
		}
		n.Count("group.stalled")
		n.log.WithFields(log.Fields{
			"group": c.Membership.Group, "epoch": c.Membership.Epoch, "head": c.ID, "silent": silent, "held": c.Held(),
		}).Warn("group stands still")
		n.touch()
		n.gate.StallDetector.CancelGroup(c.ID)
	}()
}

// askAll asks instances for their reports and returns those that did not answer.
func (n *Node) askAll(members []fleet.Instance) []state.InstanceID {
	var mu sync.Mutex
	var silent []state.InstanceID
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() {
			if n.ask(context.Background(), m) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, m.ID)
		})
	}
	wg.Wait()
	return silent
}

// ask asks an instance for its report and reports whether it answered. One that
// does not is asked once more.
func (n *Node) ask(ctx context.Context, m fleet.Instance) bool {
	for range 2 {
		asked := n.clock.Now()
		if n.report(ctx, m, asked) {
			return true
		}
	}
	return false
}

// errNotAsked means that an instance was not to be asked now: one that wants no calls for a while is
// asked only until it can have shown that it is lost, one that takes few only now and then.
var errNotAsked = errors.New("entry: the instance takes no question now")

// question asks an instance for its report once.
func (n *Node) question(ctx context.Context, m fleet.Instance, asked time.Time) (fleet.Report, error) {
	if !n.cooldowns.TryProbe(m.Incarnation(), asked) {
		n.Count("probes.cooling-down")
		return fleet.Report{}, errNotAsked
	}
	if !n.limits.TryProbe(m.Incarnation(), n.asker(m.ID), asked) {
		n.Count("probes.rate-limited")
		return fleet.Report{}, errNotAsked
	}
	n.Count("probes")
	rep, err := n.ports.Targets.Report(ctx, m.Address, m.ID, n.connectionTo(m.ID))
	rep.Asked = asked
	return rep, err
}

// told records what an instance asks for in the answer to a question.
func (n *Node) told(m fleet.Instance, rep fleet.Report) {
	if !rep.Born.IsZero() {
		m.Born = rep.Born
	}
	n.RecordNotice(&m, rep.Notice, "", rep.Asked)
}

// reported records the report of an instance, and then what it asks for: the roster knows of a
// later life by then.
func (n *Node) reported(m fleet.Instance, rep fleet.Report) {
	n.roster.RecordReport(m.ID, rep)
	n.told(m, rep)
}

// report asks an instance for its report once and reports whether it answered, or need not.
func (n *Node) report(ctx context.Context, m fleet.Instance, asked time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, n.policy.ProbeTimeout)
	defer cancel()
	rep, err := n.question(ctx, m, asked)
	if errors.Is(err, errNotAsked) {
		return true
	}
	defer n.told(m, rep) // after the roster knows of a later life
	n.judgeReport(m.Incarnation(), asked, rep, err)
	if errors.Is(err, placement.ErrAddressReused) {
		n.RecordReplaced(m.ID)
		return false
	}
	if errors.Is(err, placement.ErrInvalidReport) {
		n.unreadable(m.ID, asked, err)
		return true
	}
	late := err != nil && n.delayed(ctx, asked, n.policy.ProbeTimeout)
	n.load.probe(err != nil, late)
	if late {
		n.Count("probes.inconclusive")
		return true
	}
	if err != nil {
		n.RecordFailure(m.ID, asked)
		n.logFailedProbe(m.ID, asked, err)
		return false
	}
	n.roster.RecordReport(m.ID, rep)
	return true
}

// connectionTo returns over which connection an instance is called next: a new one if its
// last call failed.
func (n *Node) connectionTo(id state.InstanceID) Connection {
	return Connection(n.roster.ConsecutiveFailures(id) > 0)
}

// logFailedProbe logs a failed probe as long as the instance does not yet count as
// lost for it, so that a dead instance is logged once or twice.
func (n *Node) logFailedProbe(id state.InstanceID, asked time.Time, err error) {
	failures := n.roster.ConsecutiveFailures(id)
	if failures > n.set.Policy.Roster.LostFailures {
		return
	}
	n.log.WithError(err).WithFields(log.Fields{
		"instance": id, "failures": failures, "ms": n.clock.Since(asked).Milliseconds(),
	}).Info("probe failed")
}

// delayed reports whether a call begun at a time ran out of time while this process
// itself ran late, so that its end says nothing of the other side.
func (n *Node) delayed(ctx context.Context, began time.Time, timeout time.Duration) bool {
	if ctx.Err() == nil {
		return false
	}
	now := n.clock.Now()
	return n.health.DelayedSince(began, now) || localhealth.DetectedLate(began.Add(timeout), now)
}

// watchHealth measures how late the node's own timers are.
func (n *Node) watchHealth(ctx context.Context) {
	for {
		began := n.clock.Now()
		if !n.sleep(ctx, n.policy.HealthInterval) {
			return
		}
		now := n.clock.Now()
		delay := now.Sub(began) - n.policy.HealthInterval
		n.health.RecordDelay(delay, now)
		n.load.timer(delay)
		n.gate.StallDetector.Check()
		n.dealLimits(now)
		n.askDoubted()
	}
}

// Woke records that the machine was suspended for a time. All ages that the node knows
// have grown by it; the list and the leader are asked anew at once.
func (n *Node) Woke(d time.Duration) {
	n.Count("wakeups")
	n.log.WithField("ms", d.Milliseconds()).Warn("the machine was suspended")
	n.readListNow()
	n.tellSoon()
}

// unreadable takes in that an instance answered no report: it lives, and what was
// known of it stays. The first such answer of an instance is logged.
func (n *Node) unreadable(id state.InstanceID, asked time.Time, err error) {
	n.Count("reports.unreadable")
	n.roster.RecordResponse(id, asked)
	if _, known := n.garbled.LoadOrStore(id, true); !known {
		n.log.WithError(err).WithField("instance", id).Warn("report not read")
	}
}

// suspect remembers that an instance did not answer, and has the placing node told at once.
func (n *Node) suspect(id state.InstanceID, at time.Time) {
	n.mu.Lock()
	n.suspects[id] = at
	n.mu.Unlock()
	n.tellSoon()
}

// tellSoon has the leader told at once what this node knows.
func (n *Node) tellSoon() {
	select {
	case n.news <- struct{}{}:
	default:
	}
}

// suspected returns the instances that did not answer lately.
func (n *Node) suspected(now time.Time) []Suspicion {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Suspicion
	for id, at := range n.suspects {
		if now.Sub(at) > n.policy.SuspectFor {
			delete(n.suspects, id)
			continue
		}
		list = append(list, Suspicion{Instance: id, AgeMS: age(now.Sub(at))})
	}
	return list
}
