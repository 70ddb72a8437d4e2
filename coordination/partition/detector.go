// Package partition detects that a node is partitioned from all instances of a service, while each of
// its failed requests alone says only that one instance does not answer.
package partition

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Policy configures a Detector.
type Policy struct {
	// SuspectInstances is the number of instances that must fail, with no response of any other
	// since, before further instances are probed.
	SuspectInstances int `flag:"suspect-instances" help:"instances that must fail in a row before a partition from all instances is suspected" min:"1" max:"100"`
	// SampleSize is the number of further instances that are probed at once. All of them must fail.
	SampleSize int `flag:"sample-size" help:"instances probed to confirm a partition from all instances" min:"1" max:"100"`
	// SampleInterval is the minimum time between two samples.
	SampleInterval time.Duration `flag:"sample-interval" help:"minimum time between two probes of a sample of instances" min:"10ms" max:"1m"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{SuspectInstances: 2, SampleSize: 4, SampleInterval: 300 * time.Millisecond}
}

// minFailedInstances is the number of failed instances below which no partition is detected: that
// one or two instances have ended is likelier.
const minFailedInstances = 3

// Detector detects a partition from the failures and responses of the instances of one service. It is
// safe for concurrent use.
type Detector struct {
	policy      Policy
	partitioned atomic.Bool
	// mostlyFar is set by evidence of other nodes. Unlike a partition it does not end with one response: a node may
	// still reach a few instances.
	mostlyFar atomic.Bool
	// reachedByPeer is set if another node has reached an instance since the last review.
	reachedByPeer atomic.Bool

	mu sync.Mutex
	// respondedAt is when the last response of any instance arrived. failed holds instances that did
	// not answer a call sent after that, as many as it takes to detect a partition.
	respondedAt time.Time
	failed      map[state.InstanceID]struct{}
	sampling    bool
	sampledAt   time.Time
}

// NewDetector returns a Detector that detects no partition yet.
func NewDetector(p Policy) *Detector {
	return &Detector{policy: p, failed: map[state.InstanceID]struct{}{}}
}

// IsPartitioned reports whether the node reaches no instance of the service.
func (d *Detector) IsPartitioned() bool { return d.partitioned.Load() }

// RecordResponse records that a response of an instance arrived, and reports whether that ended a
// partition.
func (d *Detector) RecordResponse(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.respondedAt = now
	clear(d.failed)
	return d.partitioned.Swap(false)
}

// RecordFailure records that an instance did not answer a call sent at sentAt, and reports whether a
// sample of instances must be probed now. EndSample must follow then. A call sent before the last
// response says nothing on the time since.
func (d *Detector) RecordFailure(id state.InstanceID, sentAt, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sentAt.Before(d.respondedAt) {
		return false
	}
	if len(d.failed) < d.neededFailures() {
		d.failed[id] = struct{}{}
	}
	return len(d.failed) >= d.policy.SuspectInstances && d.beginSample(now)
}

// neededFailures returns the number of failed instances from which on a partition is detected.
func (d *Detector) neededFailures() int {
	return max(minFailedInstances, d.policy.SuspectInstances+1)
}

// BeginSample reports whether a sample of instances must be probed because the node is partitioned from another
// service. EndSample must follow then.
func (d *Detector) BeginSample(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.beginSample(now)
}

// beginSample begins a sample if one is due. d.mu must be held.
func (d *Detector) beginSample(now time.Time) bool {
	if d.sampling || d.partitioned.Load() || now.Sub(d.sampledAt) < d.policy.SampleInterval {
		return false
	}
	d.sampling, d.sampledAt = true, now
	return true
}

// RecordReachedByPeer records that another node reached an instance that does not answer this one.
func (d *Detector) RecordReachedByPeer() { d.reachedByPeer.Store(true) }

// SetMostlyFar records whether other nodes reach most instances of the service that this one does not reach, and
// reports whether that changed.
func (d *Detector) SetMostlyFar(far bool) bool { return d.mostlyFar.Swap(far) != far }

// EndSample records that all probes of a sample have ended, and reports whether that detected a
// partition: no instance has responded since the sample began.
func (d *Detector) EndSample() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sampling = false
	if !d.respondedAt.Before(d.sampledAt) || len(d.failed) < d.neededFailures() {
		return false
	}
	return !d.partitioned.Swap(true)
}
