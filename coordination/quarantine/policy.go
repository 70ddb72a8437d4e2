package quarantine

import "time"

// Policy bounds what a Ledger concludes from endings, and how much it retains.
type Policy struct {
	// Endings is how many instances must end in a row during a request, without a complete response
	// in between, for it to be quarantined. One or two can be chance: of 7,611 requests on a day
	// with network partitions, connection resets and lost instances, 76 were interrupted on one
	// instance, 4 on two, none on three.
	Endings int `flag:"endings" help:"instances that must end in a row during a request, without a complete response in between, to quarantine it" min:"1" max:"1000"`
	// PartEndings is the same for a part of a prompt. Many sound requests share a part, so that a rare part is more
	// often than a request on several instances that end by chance before one of its requests is answered.
	PartEndings int `flag:"part-endings" help:"instances that must end in a row during requests with a part of a prompt, without a complete response in between, to quarantine the part" min:"1" max:"1000"`
	// Spacing is the time within which endings count as one: instances that end together, for
	// example with their rack, have a common cause whatever ran on them. In simulated histories of
	// 85 nodes with 20 deadly requests a second (BenchmarkHistories), 35 instances end with 150 ms,
	// 41 with 250 ms, 50 with 400 ms.
	Spacing time.Duration `flag:"spacing" help:"time within which endings count as one" min:"0s" max:"1m"`
	// Hold is how long a request is quarantined after its last ending; it doubles with each further
	// ending. It leaves an operator, who reacts within minutes, time to look at the request.
	Hold time.Duration `flag:"hold" help:"how long a request is quarantined after its last ending" min:"1s" max:"24h"`
	// Retention is how long an ending is retained, so that endings do not add up over a whole day.
	Retention time.Duration `flag:"memory" help:"how long an ending is retained" min:"1s" max:"24h"`
	// EvidenceWindow is how long after an attempt was interrupted proof that its instance ended
	// still counts: twice the time after which a stalled group reports that it is broken.
	EvidenceWindow time.Duration `flag:"evidence-window" help:"how long after an attempt was interrupted proof that its instance ended still counts" min:"100ms" max:"1m"`
	// CheckInterval is the time between the first two probes of an instance on which an attempt was
	// interrupted; it doubles with each probe.
	CheckInterval time.Duration `flag:"check-interval" help:"time between the first two probes of an instance on which an attempt was interrupted" min:"10ms" max:"1m"`
	// MaxEndings and MaxRequests bound the endings that are retained, and the requests of each: 256
	// endings of 30 requests are 123 KB of fingerprints and take 1.4 ms to evaluate
	// (BenchmarkJudge).
	MaxEndings  int `flag:"max-endings" help:"maximum number of endings retained" min:"1" max:"100000"`
	MaxRequests int `flag:"max-requests" help:"maximum number of requests retained for each ending" min:"1" max:"100000"`
	// MaxAnswers is how many requests a node caches the time of the last complete response for: one
	// minute at 15 requests a second.
	MaxAnswers int `flag:"max-answers" help:"maximum number of requests whose last complete response is cached" min:"1" max:"1000000"`
	// EvaluationInterval is the minimum time between two evaluations, which bounds their cost at any
	// rate of endings.
	EvaluationInterval time.Duration `flag:"judge-interval" help:"minimum time between two evaluations of the endings" min:"0s" max:"10s"`
}

// DefaultPolicy returns the default policy of a node.
func DefaultPolicy() Policy {
	return Policy{
		Endings:            3,
		PartEndings:        4,
		Spacing:            150 * time.Millisecond,
		Hold:               10 * time.Minute,
		Retention:          time.Hour,
		EvidenceWindow:     10 * time.Second,
		CheckInterval:      300 * time.Millisecond,
		MaxEndings:         256,
		MaxRequests:        128,
		MaxAnswers:         1024,
		EvaluationInterval: 50 * time.Millisecond,
	}
}

// endingsToHold returns the number of endings after which a request or a part of a prompt is quarantined.
func (p *Policy) endingsToHold(f Fingerprint) int {
	if f.IsPart() {
		return p.PartEndings
	}
	return p.Endings
}
