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

// endProof names what proved that an instance ended.
type endProof string

// The proofs that a process has ended. Silence is none: a cut looks alike.
const (
	proofRefused  endProof = "its address refuses connections"
	proofReplaced endProof = "another process answers at its address"
	proofReborn   endProof = "it has started again"
)

// RecordInterruption implements gateway.Quarantine.
func (n *Node) RecordInterruption(f quarantine.Fingerprint, instances []fleet.Instance, began time.Time) {
	var lives []fleet.Incarnation
	for i := range instances {
		// The members of a group that stands still have just been asked: only those that did
		// not answer may have ended, one or two of 16.
		if len(instances) == 1 || n.roster.ConsecutiveFailures(instances[i].ID) > 0 {
			lives = append(lives, instances[i].Incarnation())
		}
	}
	n.ledger.RecordInterruption(f, lives, began, n.clock.Now())
}

// RecordConnectionRefused implements gateway.Quarantine.
func (n *Node) RecordConnectionRefused(c *dispatch.Candidate) { go n.refused(c.Incarnation()) }

// refused judges a refused connection to an instance on which requests broke off. A hall that is cut
// off by resets refuses on behalf of instances that live: it proves an ending only if another
// instance of the hall answers, and the connection is refused still.
func (n *Node) refused(in fleet.Incarnation) {
	if !n.ledger.BeginInvestigation(in, n.clock.Now()) {
		return
	}
	v, known := n.roster.Get(in.ID, n.clock.Now())
	if !known {
		n.ended(in, proofRefused)
		return
	}
	neighbors := n.neighbors(&v.Instance)
	switch {
	case len(neighbors) == 0, n.answered(neighbors) && n.refusesStill(v.Instance):
		n.ended(in, proofRefused)
	default:
		n.Count("quarantine.unproven")
		n.log.WithField("instance", in.ID).Debug("refused connection proves nothing")
	}
}

// refusesStill reports whether an instance refuses a connection once more.
func (n *Node) refusesStill(m fleet.Instance) bool {
	_, err := n.tryQuestion(m)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// answered reports whether one of some instances answers a question, of which a few are asked.
func (n *Node) answered(list []fleet.Instance) bool {
	for _, m := range list[:min(len(list), mostNeighbors)] {
		rep, err := n.tryQuestion(m)
		if err == nil {
			n.reported(m, rep)
			return true
		}
		if errors.Is(err, placement.ErrInvalidReport) || errors.Is(err, placement.ErrAddressReused) {
			return true // what is no report, or another process's, came over the same link
		}
	}
	return false
}

// tryQuestion asks an instance for its report, without any conclusion.
func (n *Node) tryQuestion(m fleet.Instance) (fleet.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), n.policy.ProbeTimeout)
	defer cancel()
	return n.question(ctx, m, n.clock.Now())
}

// mostNeighbors bounds the instances that are asked for whether the link to their hall works.
const mostNeighbors = 2

// neighbors returns the other instances in the hall of one: first those that failed no call, and of
// these those of other domains, since a domain may be lost as a whole.
func (n *Node) neighbors(of *fleet.Instance) []fleet.Instance {
	var list []fleet.Instance
	for _, v := range n.roster.All(n.clock.Now()) {
		if v.ID != of.ID && v.Hall == of.Hall {
			list = append(list, v.Instance)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	rank := func(m *fleet.Instance) int {
		r := 0
		if n.roster.ConsecutiveFailures(m.ID) > 0 {
			r += 2
		}
		if m.Domain == of.Domain {
			r++
		}
		return r
	}
	slices.SortStableFunc(list, func(a, b fleet.Instance) int { return cmp.Compare(rank(&a), rank(&b)) })
	return list
}

// ended records that an instance has ended, and has the leader told at once of the
// requests that it had under way.
func (n *Node) ended(in fleet.Incarnation, proof endProof) {
	requests := n.ledger.RecordEnding(in, n.clock.Now())
	if len(requests) == 0 {
		return
	}
	n.Count("quarantine.endings")
	n.log.WithFields(log.Fields{"instance": in.ID, "proof": proof, "requests": requests}).Info("instance ended under requests")
	n.tellSoon()
}

// alive records that an instance answered a question.
func (n *Node) alive(in fleet.Incarnation, asked time.Time) {
	if !n.ledger.RecordProbeResponse(in, asked) {
		return
	}
	n.Count("quarantine.back")
	n.log.WithFields(log.Fields{"instance": in.ID, "life": in.Life}).Info("ended instance is back")
	n.tellSoon()
}

// judgeReport concludes from the answer to a question, or the lack of one, whether
// the instance has ended since requests broke off on it.
func (n *Node) judgeReport(in fleet.Incarnation, asked time.Time, rep fleet.Report, err error) {
	switch {
	case errors.Is(err, placement.ErrAddressReused):
		n.ended(in, proofReplaced)
	case errors.Is(err, syscall.ECONNREFUSED):
		n.refused(in)
	case err == nil && !rep.Born.IsZero() && in.Life != "" && fleet.LifeSince(in.ID, rep.Born) != in:
		n.ended(in, proofReborn)
	case err == nil:
		// An answer that is no report may be that of another process at the address.
		n.alive(in, asked)
	}
}

// askDoubted asks the instances on which requests broke off whether they live.
func (n *Node) askDoubted() {
	for _, in := range n.ledger.NextProbes(n.clock.Now()) {
		v, known := n.roster.Get(in.ID, n.clock.Now())
		switch {
		case !known:
		case in.Life != "" && v.Incarnation() != in:
			n.ended(in, proofReborn)
		default:
			go n.report(context.Background(), v.Instance, n.clock.Now())
		}
	}
}
