package paired

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// LeastPairs is the number of pairs of a day below which no effect is claimed.
const LeastPairs = 8

// errorsApart is how many standard errors an effect must be from zero to be claimed.
const errorsApart = 2

// WriteTable writes the effect on each day and on the whole site as a Markdown table.
func WriteTable(text *strings.Builder, a, b Variant, pairs []Pair) {
	fmt.Fprintf(text, "A is `%s`, B is `%s`; differences are B less A, with their standard errors.\n\n", a, b)
	text.WriteString("| day | pairs | worth A | worth B | worth | served | better, worse | broken A, B | |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, day := range daysOf(pairs) {
		row(text, day, EffectOf(slices.DeleteFunc(slices.Clone(pairs), func(p Pair) bool { return p.Day != day })))
	}
	row(text, "all", EffectOf(pairs))
	for _, p := range pairs {
		for _, v := range []struct {
			name string
			r    Result
		}{{"A", p.A}, {"B", p.B}} {
			if len(v.r.Broken) > 0 {
				fmt.Fprintf(text, "\n%s broke %s on %s %s seed %d.\n", v.name, strings.Join(v.r.Broken, ", "), p.Site, p.Day, p.Seed)
			}
		}
	}
}

// row writes one line of the table.
func row(text *strings.Builder, name string, e Effect) {
	fmt.Fprintf(text, "| %s | %d | %.3f | %.3f | %+.3f ± %.3f | %+.3f ± %.3f | %d, %d | %d, %d | %s |\n",
		name, e.Pairs, e.MeanA, e.MeanB, e.Worth, e.WorthError, e.Served, e.ServedError, e.Better, e.Worse, e.BrokenA, e.BrokenB, e.Claim())
}

// Claim says what the pairs show of the worth, in a word.
func (e Effect) Claim() string {
	switch {
	case e.Pairs < LeastPairs:
		return "too few pairs"
	case math.Abs(e.Worth) < errorsApart*e.WorthError:
		return "within noise"
	case e.Worth > 0:
		return "better"
	}
	return "worse"
}

// daysOf returns the days of some pairs, in the order in which they first come.
func daysOf(pairs []Pair) []string {
	var days []string
	for _, p := range pairs {
		if !slices.Contains(days, p.Day) {
			days = append(days, p.Day)
		}
	}
	return days
}
