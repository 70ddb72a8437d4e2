package entry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state/fleet"
)

// endProof is the evidence that an instance ended.
type endProof string

// The proofs that a process has ended. A time-out is no proof, since a network partition causes
// time-outs too.
const (
	proofRefused   endProof = "its address refuses connections"
	proofReplaced  endProof = "another process answers at its address"
	proofRestarted endProof = "it has started again"
)

// RecordInterruption implements gateway.Quarantine.
func (n *Node) RecordInterruption(r quarantine.Request, instances []fleet.Instance, began time.Time) {
	var incarnations []fleet.Incarnation
	for i := range instances {
		// The members of a stalled group have just been probed. Only those that did not answer may
		// have ended, usually one or two of 16.
		if len(instances) == 1 || n.roster.ConsecutiveFailures(instances[i].ID) > 0 {
			incarnations = append(incarnations, instances[i].Incarnation())
		}
	}
	n.ledger.RecordInterruption(r, incarnations, began, n.clock.Now())
}

// RecordUnconfirmed implements gateway.Quarantine.
func (n *Node) RecordUnconfirmed(r quarantine.Request, instance fleet.Instance, began time.Time) {
	n.ledger.RecordUnconfirmed(r, instance.Incarnation(), began, n.clock.Now())
}

// RecordAlive implements gateway.Quarantine.
func (n *Node) RecordAlive(instance fleet.Instance, sentAt time.Time) {
	if n.ledger.RecordAlive(instance.Incarnation(), sentAt) {
		n.requestStatusReport()
	}
}

// RecordConnectionRefused implements gateway.Quarantine.
func (n *Node) RecordConnectionRefused(c *dispatch.Candidate) { go n.onRefusal(c.Incarnation()) }

// onRefusal decides whether a refused connection proves that an instance ended, if requests were
// interrupted on it. A network partition that resets connections to a hall looks like refusals by
// instances that are alive. If the hall has other instances, a refusal is therefore a proof only if
// one of them answers and the instance then still refuses connections.
func (n *Node) onRefusal(in fleet.Incarnation) {
	if !n.ledger.BeginInvestigation(in, n.clock.Now()) {
		return
	}
	v, known := n.roster.Get(in.ID, n.clock.Now())
	if !known {
		n.recordEnding(in, proofRefused)
		return
	}
	neighbors := n.neighbors(&v.Instance)
	switch {
	case len(neighbors) == 0, n.anyResponds(neighbors) && n.stillRefuses(v.Instance):
		n.recordEnding(in, proofRefused)
	default:
		n.Count("quarantine.unproven")
		n.log.WithField("instance", in.ID).Debug("refused connection is inconclusive")
	}
}

// stillRefuses probes an instance again and reports whether it refuses the connection.
func (n *Node) stillRefuses(m fleet.Instance) bool {
	_, err := n.probeOnly(m)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// anyResponds probes the first instances of a list, at most maxNeighborProbes, and reports whether one answered.
func (n *Node) anyResponds(list []fleet.Instance) bool {
	for _, m := range list[:min(len(list), maxNeighborProbes)] {
		rep, err := n.probeOnly(m)
		if err == nil {
			n.recordReport(m, rep)
			return true
		}
		if errors.Is(err, placement.ErrInvalidReport) || errors.Is(err, placement.ErrAddressReused) {
			return true // an invalid report, or one of another process, also proves that the link works
		}
	}
	return false
}

// probeOnly sends one probe to an instance and records nothing about the result.
func (n *Node) probeOnly(m fleet.Instance) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), n.policy.ProbeTimeout)
	defer cancel()
	return n.probe(ctx, m, n.clock.Now())
}

// maxNeighborProbes is the maximum number of instances to probe to find out whether their hall is reachable.
const maxNeighborProbes = 2

// neighbors returns the other instances in an instance's hall in random order, except that those
// whose last call succeeded come first, and then those of other domains, since a domain may fail as a
// whole.
func (n *Node) neighbors(instance *fleet.Instance) []fleet.Instance {
	var list []fleet.Instance
	for _, v := range n.roster.All(n.clock.Now()) {
		if v.ID != instance.ID && v.Hall == instance.Hall {
			list = append(list, v.Instance)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	rank := func(m *fleet.Instance) int {
		r := 0
		if n.roster.ConsecutiveFailures(m.ID) > 0 {
			r += 2
		}
		if m.Domain == instance.Domain {
			r++
		}
		return r
	}
	slices.SortStableFunc(list, func(a, b fleet.Instance) int { return cmp.Compare(rank(&a), rank(&b)) })
	return list
}

// recordEnding records that an instance has ended. If it had requests in flight, it requests an immediate
// status report about them.
func (n *Node) recordEnding(in fleet.Incarnation, proof endProof) {
	requests := n.ledger.RecordEnding(in, n.clock.Now())
	if len(requests) == 0 {
		return
	}
	n.Count("quarantine.endings")
	n.log.WithFields(log.Fields{"instance": in.ID, "proof": proof, "requests": requests}).Info("instance ended under requests")
	n.requestStatusReport()
}

// recordProbeResponse records that an instance answered a probe sent at a time.
func (n *Node) recordProbeResponse(in fleet.Incarnation, probedAt time.Time) {
	if !n.ledger.RecordProbeResponse(in, probedAt) {
		return
	}
	n.Count("quarantine.back")
	n.log.WithFields(log.Fields{"instance": in.ID, "life": in.Life}).Info("ended instance responds again")
	n.requestStatusReport()
}

// evaluateProbe decides from the result of a probe whether the instance has ended since requests were
// interrupted on it.
func (n *Node) evaluateProbe(in fleet.Incarnation, probedAt time.Time, rep fleet.Report, err error) {
	switch {
	case errors.Is(err, placement.ErrAddressReused):
		n.recordEnding(in, proofReplaced)
	case errors.Is(err, syscall.ECONNREFUSED):
		n.onRefusal(in)
	case err == nil && !rep.Born.IsZero() && in.Life != "" && fleet.NewIncarnation(in.ID, rep.Born) != in:
		n.recordEnding(in, proofRestarted)
	case err == nil:
		// An invalid report is excluded: it may come from another process at the address.
		n.recordProbeResponse(in, probedAt)
	}
}

// probeInterrupted probes the instances on which requests were interrupted and whose probe is due.
func (n *Node) probeInterrupted() {
	for _, in := range n.ledger.NextProbes(n.clock.Now()) {
		v, known := n.roster.Get(in.ID, n.clock.Now())
		switch {
		case !known:
		case in.Life != "" && v.Incarnation() != in:
			n.recordEnding(in, proofRestarted)
		default:
			go n.probeAndRecord(context.Background(), v.Instance, n.clock.Now())
		}
	}
}
