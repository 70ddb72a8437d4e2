package probe

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/partition"
	"github.com/troutmast/troutmast/state"
)

// partitionPolicy starts a sample at the first failure: a node may own only one instance of its hall.
var partitionPolicy = partition.Policy{SuspectInstances: 1, SampleSize: 4, SampleInterval: 300 * time.Millisecond}

// minSampled is the number of other instances that must fail as well before a refused connection is taken for a
// partition rather than for the end of the instance.
const minSampled = 2

// IsPartitioned reports whether the node reaches none of the instances of its hall.
func (p *Prober) IsPartitioned() bool { return p.partition.IsPartitioned() }

// recordResponse records that an instance answered this node.
func (p *Prober) recordResponse() {
	if p.partition.RecordResponse(p.clock.Now()) {
		p.src.IncrementCounter("partition.ended")
		log.Info("partition from all instances ended")
	}
}

// handleFailure handles a probe that was not answered. That nothing listens at an instance's address proves that the
// instance has ended only if the node reaches others: the report would end its groups at all nodes of the hall.
func (p *Prober) handleFailure(ctx context.Context, id state.InstanceID, err error, probedAt time.Time, owned bool) {
	isRefused := errors.Is(err, ErrNotListening)
	if !isRefused {
		p.src.IncrementCounter("probes.failed")
	}
	isAlive := !p.isDown(id) // that an instance which has ended does not answer says nothing about this node
	isSuspected := isAlive && p.partition.RecordFailure(id, probedAt, p.clock.Now())
	needsProof := isAlive && isRefused && !p.IsPartitioned()
	var answered, sampled int
	if isSuspected || needsProof {
		answered, sampled = p.probeSample(ctx, id)
	}
	if isSuspected && p.partition.EndSample() {
		p.src.IncrementCounter("partition.detected")
		log.WithField("sampled", sampled).Warn("partitioned from all instances")
	}
	isUnproven := needsProof && answered == 0 && sampled >= minSampled
	switch {
	case !isRefused:
	case isUnproven || p.IsPartitioned():
		p.src.IncrementCounter("probes.unproven")
	default:
		p.src.IncrementCounter("probes.down")
		p.recordReport(evidence.Report{Instance: id, Phase: evidence.PhaseDown}, probedAt, owned)
	}
}

// probeSample probes a sample of the instances that have not ended, except one, and returns how many of them answered.
func (p *Prober) probeSample(ctx context.Context, except state.InstanceID) (answered, sampled int) {
	sample := p.sampleInstances(except)
	var answers atomic.Int64
	var wg sync.WaitGroup
	for id, addr := range sample {
		wg.Go(func() {
			probedAt := p.clock.Now()
			p.src.IncrementCounter("probes")
			r, err := p.requestReport(ctx, addr)
			if err != nil {
				p.partition.RecordFailure(id, probedAt, p.clock.Now())
				return
			}
			answers.Add(1)
			p.recordResponse()
			if r.Instance == id {
				p.recordReport(r, probedAt, p.src.Owns(id))
			}
		})
	}
	wg.Wait()
	return int(answers.Load()), len(sample)
}

// sampleInstances returns random instances of the hall that have not ended, except one.
func (p *Prober) sampleInstances(except state.InstanceID) map[state.InstanceID]netip.AddrPort {
	all := p.src.Instances()
	ids := make([]state.InstanceID, 0, len(all))
	for id := range all {
		if id != except && !p.isDown(id) {
			ids = append(ids, id)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	sample := map[state.InstanceID]netip.AddrPort{}
	for _, id := range ids[:min(len(ids), partitionPolicy.SampleSize)] {
		sample[id] = all[id]
	}
	return sample
}

// isDown reports whether an instance has ended by the newest report of it.
func (p *Prober) isDown(id state.InstanceID) bool {
	r, ok := p.table.Get(id)
	return ok && r.Phase == evidence.PhaseDown
}
