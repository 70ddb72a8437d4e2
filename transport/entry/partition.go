package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// recordInstanceResponse records that a response of an instance arrived.
func (n *Node) recordInstanceResponse(id state.InstanceID) {
	service := n.roster.Service(id)
	if n.partitions.Detector(service).RecordResponse(n.clock.Now()) {
		n.logPartitionEnd(service)
	}
}

// recordInstanceFailure records that an instance did not answer a call sent at a time, and probes a sample of the
// others of its service if a partition is possible.
func (n *Node) recordInstanceFailure(id state.InstanceID, sentAt time.Time) {
	service := n.roster.Service(id)
	if n.partitions.Detector(service).RecordFailure(id, sentAt, n.clock.Now()) {
		go n.probeSample(service)
	}
}

// probeSample probes a sample of the instances of a service in order to detect a partition from all of them.
func (n *Node) probeSample(service state.ServiceName) {
	n.Count("partition.samples")
	var wg sync.WaitGroup
	for _, m := range n.sampleInstances(service) {
		wg.Go(func() { n.probeAndRecord(context.Background(), m, n.clock.Now()) })
	}
	wg.Wait()
	if n.partitions.Detector(service).EndSample() {
		n.announcePartition(service, "no instance of a sample answers")
	}
}

// recordReachedByPeer records that another node reached an instance of a service that does not answer this one.
func (n *Node) recordReachedByPeer(service state.ServiceName) {
	n.partitions.Detector(service).RecordReachedByPeer()
}

// reviewFarServices compares, for each service with evidence of other nodes, the instances that only they reach with
// those that answer this node. A comparison reads the state of all instances, so it is made once per health check.
func (n *Node) reviewFarServices() {
	for _, service := range n.partitions.Review() {
		isFar := n.roster.IsMostlyFar(service)
		switch {
		case !n.partitions.Detector(service).SetMostlyFar(isFar):
		case isFar:
			n.announcePartition(service, "other nodes reach most instances")
		default:
			n.logPartitionEnd(service)
		}
	}
}

// logPartitionEnd logs the end of a partition and reports it to the leader.
func (n *Node) logPartitionEnd(service state.ServiceName) {
	n.Count("partition.ended")
	n.log.WithField("service", service).Info("partition from all instances ended")
	n.requestRebuild()
	n.requestStatusReport()
}

// announcePartition logs a partition from all instances of a service and reports it to the leader.
func (n *Node) announcePartition(service state.ServiceName, evidence string) {
	n.Count("partition.detected")
	n.log.WithFields(log.Fields{"service": service, "evidence": evidence}).Warn("partitioned from all instances")
	n.requestRebuild()
	n.requestStatusReport()
	n.sampleOtherServices(service)
}

// sampleOtherServices probes samples of all other services. Requests to a service with little traffic would each wait for
// the timeouts of several dials until the partition from it is detected, too.
func (n *Node) sampleOtherServices(partitioned state.ServiceName) {
	now := n.clock.Now()
	sampled := map[state.ServiceName]bool{partitioned: true}
	for _, v := range n.roster.All(now) {
		if sampled[v.Service] {
			continue
		}
		sampled[v.Service] = true
		if n.partitions.Detector(v.Service).BeginSample(now) {
			go n.probeSample(v.Service)
		}
	}
}

// sampleInstances returns random listed instances of a service. Those that answered their last call come first.
func (n *Node) sampleInstances(service state.ServiceName) []fleet.Instance {
	views := slices.DeleteFunc(n.roster.All(n.clock.Now()), func(v roster.View) bool {
		return v.Service != service || v.Unlisted || v.Draining
	})
	rand.Shuffle(len(views), func(i, j int) { views[i], views[j] = views[j], views[i] })
	slices.SortStableFunc(views, func(a, b roster.View) int {
		switch {
		case a.Unreachable == b.Unreachable:
			return 0
		case b.Unreachable:
			return -1
		}
		return 1
	})
	sample := make([]fleet.Instance, 0, n.settings.Policy.Partition.SampleSize)
	for i := range views[:min(len(views), cap(sample))] {
		sample = append(sample, views[i].Instance)
	}
	return sample
}

// isMorePartitionedThanOthers reports whether another node that can serve is partitioned from fewer services with engines
// than this one. Orders of this node would not arrive, and the groups that it wants to change would get no requests from any node
// meanwhile. The caller holds p.mu.
func (p *peers) isMorePartitionedThanOthers(now time.Time) bool {
	own := p.countEngineServices(p.n.partitions.Partitioned())
	if own == 0 {
		return false
	}
	for _, h := range p.statusReports {
		if p.countEngineServices(h.report.Partitioned) < own && !h.report.IsStopping && now.Sub(h.receivedAt) < p.n.policy.NodeTimeout {
			return true
		}
	}
	return false
}

// countEngineServices returns how many of the services have engines, by this node's configuration.
func (p *peers) countEngineServices(services []state.ServiceName) int {
	c := p.n.configState.Catalog()
	if c == nil {
		return 0
	}
	count := 0
	for _, name := range services {
		if s := c.Services[name]; s != nil && s.Engine != nil {
			count++
		}
	}
	return count
}
