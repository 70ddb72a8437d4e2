package demand

import "time"

// Policy configures how demand is measured.
type Policy struct {
	// Decay is the time constant of the decaying sums: a request's weight drops to 1/e after it.
	Decay time.Duration `flag:"decay" help:"time after which the weight of a request has decayed to 1/e" min:"100ms" max:"10m"`
	// ClassDecay is the time constant of the sums by class, on which admission depends. A peak of 4 s is over before
	// sums with Decay show it.
	ClassDecay time.Duration `flag:"class-decay" help:"time after which the weight of a request in the rates by class has decayed to 1/e" min:"50ms" max:"1m"`
	// PlanDecay is the time in which the demand that groups are planned for falls to 1/e after the measured demand.
	PlanDecay time.Duration `flag:"plan-decay" help:"time in which the demand that groups are planned for falls to 1/e after the measured demand" min:"100ms" max:"10m"`
	// MinRate is the minimum request rate of a service, in requests per second, at which
	// its measured demand is used.
	MinRate float64 `flag:"min-rate" help:"minimum request rate of a service, in requests per second, at which its measured demand is used" min:"0" max:"10000"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{Decay: 2 * time.Second, ClassDecay: 300 * time.Millisecond, PlanDecay: 15 * time.Second, MinRate: 10}
}
