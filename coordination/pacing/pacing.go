// Package pacing decides how often the nodes of a system report to their leader.
//
// It answers the load of many nodes on one: without a bound, the reports that the leader answers grow with the
// number of nodes until they take all of its processor. Reports that a node sends at once, because an instance did not
// answer it, come in addition and are not bounded here.
package pacing

import "time"

// Policy bounds the reports to the leader.
type Policy struct {
	// MinInterval is the time between two reports of a node to the leader of a small system.
	MinInterval time.Duration
	// MaxPerSecond is the maximum number of periodic reports of all nodes together per second.
	MaxPerSecond float64
}

// Interval returns the time between two reports of one node, given the number of nodes that report to the leader.
func (p Policy) Interval(nodes int) time.Duration {
	if p.MaxPerSecond <= 0 {
		return p.MinInterval
	}
	return max(p.MinInterval, time.Duration(float64(nodes)/p.MaxPerSecond*float64(time.Second)))
}

// FeedTimeout returns the age from which on relayed data is late, given the time between two reports and the minimum
// for a small system. One report may fail.
func FeedTimeout(interval, minimum time.Duration) time.Duration {
	return max(minimum, 2*interval+interval/2)
}
