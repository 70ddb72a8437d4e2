package quarantine

import "time"

// Policy bounds what a Ledger concludes from instances that ended, and what it remembers.
type Policy struct {
	// Endings is how many instances must have ended in a row under a request, without a
	// whole answer to it in between, for it to be held back. One or two are chance: of 7,611
	// requests on a day with cuts, resets and lost instances, 76 broke off on one instance,
	// 4 on two, none on three.
	Endings int `flag:"endings" help:"instances that must have ended in a row under a request for it to be held back" min:"1" max:"1000"`
	// Spacing is the time within which endings count as one: instances that end together,
	// as with a rack, have a cause of their own, whatever ran on all of them. In drawn
	// histories (BenchmarkHistories, 85 nodes, 20 deadly requests a second) 35 instances end
	// with 150 ms, 41 with 250 ms, 50 with 400 ms.
	Spacing time.Duration `flag:"spacing" help:"time within which endings count as one" min:"0s" max:"1m"`
	// Hold is how long a request is held back after the last ending under it; it doubles
	// with each further ending. An operator looks at it within minutes.
	Hold time.Duration `flag:"hold" help:"how long a request is held back after the last ending under it" min:"1s" max:"24h"`
	// Memory is how long an ending is remembered, so that those of a whole day don't add up.
	Memory time.Duration `flag:"memory" help:"how long an ending is remembered" min:"1s" max:"24h"`
	// EvidenceWindow is how long after a request broke off proof that its instance ended
	// still counts: twice the time after which a stalled group reports that it is broken.
	EvidenceWindow time.Duration `flag:"evidence-window" help:"how long after a request broke off its instance may be found to have ended" min:"100ms" max:"1m"`
	// CheckInterval is the time until an instance on which a request broke off is asked once
	// more whether it lives; it doubles with each question.
	CheckInterval time.Duration `flag:"check-interval" help:"time between the first two questions to an instance on which a request broke off" min:"10ms" max:"1m"`
	// MaxEndings and MaxRequests bound the endings that are remembered and the requests of
	// each: 256 endings of 30 requests are 123 KB of fingerprints and take 1.4 ms to judge
	// (BenchmarkJudge).
	MaxEndings  int `flag:"max-endings" help:"endings that are remembered" min:"1" max:"100000"`
	MaxRequests int `flag:"max-requests" help:"requests that are remembered of each ending" min:"1" max:"100000"`
	// MaxAnswers is how many requests a node remembers the last whole answer of: a minute of
	// 15 requests a second.
	MaxAnswers int `flag:"max-answers" help:"requests of which the last whole answer is remembered" min:"1" max:"1000000"`
	// JudgeInterval is the least time between two judgements, so that their cost is bounded
	// however fast endings come.
	JudgeInterval time.Duration `flag:"judge-interval" help:"least time between two judgements of what has ended" min:"0s" max:"10s"`
}

// DefaultPolicy returns the policy that nodes start with.
func DefaultPolicy() Policy {
	return Policy{
		Endings:        3,
		Spacing:        150 * time.Millisecond,
		Hold:           10 * time.Minute,
		Memory:         time.Hour,
		EvidenceWindow: 10 * time.Second,
		CheckInterval:  300 * time.Millisecond,
		MaxEndings:     256,
		MaxRequests:    128,
		MaxAnswers:     1024,
		JudgeInterval:  50 * time.Millisecond,
	}
}
