package locality

import (
	"math"
	"time"
)

// Policy configures how requests are divided among data halls.
type Policy struct {
	// SetPoint is the fraction of its own slots that a hall fills before it sends requests to halls that are less
	// loaded. Where the common utilization of all halls is higher, the hall fills its slots up to that one.
	SetPoint float64 `flag:"set-point" help:"fraction of its own slots that a data hall fills before it sends requests to others" min:"0" max:"1"`
	// Horizon is the time that is planned for. It should be at least the age of what a node knows of the others: in
	// less time, all nodes together fill the hall that had room.
	Horizon time.Duration `flag:"horizon" help:"time for which the utilization of data halls is planned" min:"0s" max:"1m"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	// Nodes know the requests of others 250 to 500 ms late. A burst of 2.5 times the demand adds 0.3 of the slots within
	// 500 ms if a request occupies its slot for a second: a hall at 0.5 stays below the 0.85 at which groups are full.
	return Policy{SetPoint: 0.5, Horizon: 500 * time.Millisecond}
}

// Forecast returns which part of the slots that are in use now is still in use at the end of the time that is planned for,
// and how many slots each request per second that arrives meanwhile adds. inUse is the number of slots in use, rate the number
// of requests per second; their ratio is the mean time for which a request occupies a slot.
func (p Policy) Forecast(inUse, rate float64) (kept, perRate float64) {
	if inUse <= 0 || rate <= 0 {
		return 1, 0
	}
	hold := inUse / rate
	kept = math.Exp(-p.Horizon.Seconds() / hold)
	return kept, hold * (1 - kept)
}
