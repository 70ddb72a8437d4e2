package dispatch

import (
	"time"

	"github.com/troutmast/troutmast/coordination/overload"
)

// Policy configures the weights and limits of target selection.
type Policy struct {
	// FullAt is the fraction of a group's slots at which the group counts as full.
	FullAt float64 `flag:"full-at" help:"fraction of a group's slots in use at which it gets no new requests" min:"0.05" max:"10"`
	// FailureCost is the cost that one recent failure adds to a target, in requests in
	// flight per slot.
	FailureCost float64 `flag:"failure-cost" help:"cost of a recent failure, in requests in flight per slot" min:"0" max:"10"`
	// FailureRecovery is the fraction of the failure score that a successful response removes.
	FailureRecovery float64 `flag:"failure-recovery" help:"fraction of the failure score that a successful response removes" min:"0" max:"1"`
	// RemoteHallCost is the cost that a target in another data hall adds, in requests in
	// flight per slot.
	RemoteHallCost float64 `flag:"remote-hall-cost" help:"cost of a target in another data hall, in requests in flight per slot" min:"0" max:"10"`
	// ReadingCost is the cost that each second of outstanding prefill sent by this node
	// adds to a group, in requests in flight per slot. A group processes prompts one after
	// another, so a request behind them waits for its first event.
	ReadingCost float64 `flag:"reading-cost" help:"cost of a second of outstanding prefill, in requests in flight per slot" min:"0" max:"1000"`
	// MaxShare limits the share of a model's requests that one group gets, as a multiple
	// of its share of all slots; 0 means no limit. A group that has just opened is the
	// least loaded for all nodes at once, and processes the prompts of all of them one
	// after another.
	MaxShare float64 `flag:"max-share" help:"maximum share of the requests that a group gets, as a multiple of its share of the slots; 0 means no limit" min:"0" max:"1000"`
	// ReadLimit is the fraction of its time that a group may spend on prefill; 0 means no
	// limit. Each node sends prompts to a group at its own share of that rate. PaceBurst
	// is the span of unused rate that a node may catch up on.
	ReadLimit float64       `flag:"read-limit" help:"fraction of its time that a group may spend on prefill; 0 means no limit" min:"0" max:"10"`
	PaceBurst time.Duration `flag:"pace-burst" help:"span of unused prefill rate that a node may catch up on" min:"0s" max:"1m"`
	// SpreadHorizon is the span of arrivals at all nodes that a node distributes over the
	// groups, the cheapest first. It should be at least the mean age of the other nodes'
	// status reports (250 ms). With only that mean age, simultaneous arrivals all go to
	// one or two groups.
	SpreadHorizon time.Duration `flag:"spread-horizon" help:"span of arrivals that is distributed over the groups" min:"0s" max:"1m"`
	// Admission configures which requests are admitted while more arrive than the groups have room for.
	Admission overload.Policy `flag:"admission"`
}

// DefaultPolicy returns the default policy.
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
		Admission:       overload.DefaultPolicy(),
	}
}
