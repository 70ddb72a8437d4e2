// Package paired compares two variants of the system on the same days with the
// same seeds. One play of a day says little: two plays of the same day and seed
// differ by about 0.05 in worth, so a difference counts only with its standard error.
package paired

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Errors of an experiment.
var (
	// ErrVariant means that a variant's text cannot be read or its tree cannot be made.
	ErrVariant = errors.New("paired: variant")
	// ErrPlay means that a day could not be played, or its report not read.
	ErrPlay = errors.New("paired: play")
)

// Result is what one play of a day came to.
type Result struct {
	// Worth is the credit of the day less its prices, Served the credit alone; both are parts of what is owed.
	Worth  float64
	Served float64
	// Broken names the rules that were broken, or the day's fault.
	Broken []string
}

// Pair is one day and seed played by both variants.
type Pair struct {
	Site string
	Day  string
	Seed int64
	A, B Result
}

// Effect is the mean difference of B from A over some pairs.
type Effect struct {
	Pairs int
	// MeanA and MeanB are the mean worths of the two variants.
	MeanA, MeanB float64
	// Worth and Served are the mean differences, the errors their standard errors.
	Worth, WorthError   float64
	Served, ServedError float64
	// Better and Worse count the pairs by the sign of the difference of worth.
	Better, Worse int
	// BrokenA and BrokenB count the plays with a broken rule.
	BrokenA, BrokenB int
}

// EffectOf sums up pairs. With fewer than two pairs the standard errors are infinite.
func EffectOf(pairs []Pair) Effect {
	e := Effect{Pairs: len(pairs), WorthError: math.Inf(1), ServedError: math.Inf(1)}
	if len(pairs) == 0 {
		return e
	}
	var worth, served, a, b []float64
	for _, p := range pairs {
		worth = append(worth, p.B.Worth-p.A.Worth)
		served = append(served, p.B.Served-p.A.Served)
		a, b = append(a, p.A.Worth), append(b, p.B.Worth)
		e.count(p)
	}
	e.MeanA, e.MeanB = stat.Mean(a, nil), stat.Mean(b, nil)
	e.Worth, e.WorthError = meanAndError(worth)
	e.Served, e.ServedError = meanAndError(served)
	return e
}

// count adds the signs and broken rules of one pair.
func (e *Effect) count(p Pair) {
	switch {
	case p.B.Worth > p.A.Worth:
		e.Better++
	case p.B.Worth < p.A.Worth:
		e.Worse++
	}
	if len(p.A.Broken) > 0 {
		e.BrokenA++
	}
	if len(p.B.Broken) > 0 {
		e.BrokenB++
	}
}

// meanAndError returns the mean of some differences and its standard error.
func meanAndError(diffs []float64) (mean, stdErr float64) {
	if len(diffs) < 2 {
		return stat.Mean(diffs, nil), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(diffs, nil)
	return mean, stat.StdErr(dev, float64(len(diffs)))
}
