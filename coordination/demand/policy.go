package demand

import "time"

// Policy says how demand is measured.
type Policy struct {
	// Decay is the time in which older requests lose all but 1/e of their weight.
	Decay time.Duration `flag:"decay" help:"time in which older requests lose all but 1/e of their weight" min:"100ms" max:"10m"`
	// MinRate is the number of requests a second of a service from which on its
	// measured work is believed.
	MinRate float64 `flag:"min-rate" help:"requests a second of a service from which on its measured work is believed" min:"0" max:"10000"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy { return Policy{Decay: 2 * time.Second, MinRate: 10} }
