package scheduling

import "time"

// Policy configures the scheduling of requests by the leader.
type Policy struct {
	// MinHallDelay is the one-way delay between two data halls from which on requests are scheduled by the
	// leader; 0 disables scheduling. Where halls are that far apart, each node's own knowledge of the
	// groups is too old to choose one by.
	MinHallDelay time.Duration `flag:"min-hall-delay" help:"delay between halls from which on the leader schedules requests; 0 disables it" min:"0s" max:"1m"`
	// Timeout is how long a node waits for the leader's decision before it picks a group itself. Backoff
	// is how long it does so after the leader has not answered.
	Timeout time.Duration `flag:"timeout" help:"how long a node waits for the leader to schedule a request" min:"1ms" max:"10s"`
	Backoff time.Duration `flag:"backoff" help:"how long a node picks groups itself after the leader has not answered" min:"0s" max:"1m"`
	// MaxRate is the number of requests per second that a leader schedules. Nodes pick groups for the others.
	MaxRate float64 `flag:"max-rate" help:"requests per second that a leader schedules" min:"1" max:"100000"`
	// LocalAdvantage is how much longer a request may wait at a group of its own hall than at the best one.
	LocalAdvantage time.Duration `flag:"local-advantage" help:"how much longer a request may wait at a group of its own hall than elsewhere" min:"0s" max:"10s"`
	// MinWait is the wait for a group that never leads to a refusal.
	MinWait time.Duration `flag:"min-wait" help:"wait for a group up to which no request is refused" min:"0s" max:"10s"`
	// PriorityFactor reduces the admissible wait with each step of priority. Above-share requests of a team
	// are admitted up to TeamFactor of it, returning ones up to ReturnFactor.
	PriorityFactor float64 `flag:"priority-factor" help:"factor on the admissible wait for each lower step of priority" min:"0.01" max:"1"`
	TeamFactor     float64 `flag:"team-factor" help:"factor on the admissible wait for teams above their share" min:"0.01" max:"1"`
	ReturnFactor   float64 `flag:"return-factor" help:"factor on the admissible wait for requests that return after a refusal" min:"1" max:"10"`
	// ReturnShare is the part of a model's capacity that refused callers are asked to return at.
	ReturnShare float64 `flag:"return-share" help:"part of a model's capacity at which refused callers return" min:"0.01" max:"1"`
	// MinRetryAfter and MaxRetryAfter bound the retry delay. MaxRetryShare bounds it by the caller's remaining
	// time: callers ignore a longer delay.
	MinRetryAfter time.Duration `flag:"min-retry-after" help:"minimum retry delay of a refused caller" min:"0s" max:"1m"`
	MaxRetryAfter time.Duration `flag:"max-retry-after" help:"maximum retry delay of a refused caller" min:"0s" max:"10m"`
	MaxRetryShare float64       `flag:"max-retry-share" help:"maximum retry delay as a part of the caller's remaining time" min:"0.01" max:"1"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		MinHallDelay:   time.Millisecond,
		Timeout:        60 * time.Millisecond,
		Backoff:        300 * time.Millisecond,
		MaxRate:        1500,
		LocalAdvantage: 40 * time.Millisecond,
		MinWait:        20 * time.Millisecond,
		PriorityFactor: 0.7,
		TeamFactor:     0.7,
		ReturnFactor:   1,
		ReturnShare:    0.25,
		MinRetryAfter:  500 * time.Millisecond,
		MaxRetryAfter:  3 * time.Second,
		MaxRetryShare:  0.32,
	}
}
