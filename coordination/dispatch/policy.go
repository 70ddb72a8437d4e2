package dispatch

import "time"

// Policy holds the weights and limits of choosing a target.
type Policy struct {
	// FullAt is the part of its places up to which a group is given new requests.
	FullAt float64 `flag:"full-at" help:"part of a group's places up to which it is given new requests" min:"0.05" max:"10"`
	// FailureCost is what one recent failure adds to the cost of a target, in requests
	// held for each of its places.
	FailureCost float64 `flag:"failure-cost" help:"cost of a recent failure, in requests held for each place" min:"0" max:"10"`
	// FailureRecovery is the part of the failure score that a good answer takes away.
	FailureRecovery float64 `flag:"failure-recovery" help:"part of the failure score that a good answer takes away" min:"0" max:"1"`
	// RemoteHallCost is what another data hall adds to the cost, in requests held for
	// each place.
	RemoteHallCost float64 `flag:"remote-hall-cost" help:"cost of another data hall, in requests held for each place" min:"0" max:"10"`
	// ReadingCost is what a second of reading prompts that this node has sent adds to
	// the cost of a group, in requests held for each place: a group reads prompts one
	// after another, and a request behind them waits for its first event.
	ReadingCost float64 `flag:"reading-cost" help:"cost of a second of prompts still being read, in requests held for each place" min:"0" max:"1000"`
	// MaxShare bounds the part of the requests that one group of a model draws, as a
	// multiple of its part of all places; 0 is no bound. A group that has just opened is
	// the emptiest for all nodes at once, and reads what they all send one after another.
	MaxShare float64 `flag:"max-share" help:"largest part of the requests that a group draws, as a multiple of its part of the places; 0 is no bound" min:"0" max:"1000"`
	// ReadLimit is the part of its time that a group may be kept reading prompts, PaceBurst
	// the span over which a rest is made up for; a limit of 0 is none. Each node sends a
	// group prompts at its own part of that rate.
	ReadLimit float64       `flag:"read-limit" help:"part of its time that a group may be kept reading prompts; 0 is no limit" min:"0" max:"10"`
	PaceBurst time.Duration `flag:"pace-burst" help:"span over which a group that was sent few prompts may be sent more" min:"0s" max:"1m"`
	// SpreadHorizon is the span of arrivals at all nodes that a node spreads over the
	// groups, the cheapest first. It is at least the mean age of the other nodes' load
	// reports (250 ms): with that alone the arrivals of a moment all go to one or two
	// groups.
	SpreadHorizon time.Duration `flag:"spread-horizon" help:"span of arrivals that is spread over the groups" min:"0s" max:"1m"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy {
	return Policy{
		FullAt:          0.85,
		FailureCost:     0.15,
		FailureRecovery: 0.15,
		RemoteHallCost:  0.03,
		ReadingCost:     5,
		MaxShare:        2,
		ReadLimit:       0.7,
		PaceBurst:       200 * time.Millisecond,
		SpreadHorizon:   time.Second,
	}
}
