package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Simulations of 60 s that compare ways to divide the rate of one limited instance among nodes.

// perSecond is the instance's limit for all nodes together.
const perSecond = 2.2

// divider decides whether a node may send a request.
type divider interface {
	allow(node int, now time.Time) bool
}

// shares gives each node a token bucket, initially empty, with a fixed share of the rate.
type shares struct {
	rates  []float64
	levels []float64
	at     []time.Time
}

// newShares returns shares in proportion to weights.
func newShares(weights []float64) *shares {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	s := &shares{levels: make([]float64, len(weights)), at: make([]time.Time, len(weights))}
	for i, w := range weights {
		s.rates = append(s.rates, perSecond*w/total)
		s.at[i] = start
	}
	return s
}

func (s *shares) allow(node int, now time.Time) bool {
	s.levels[node] = min(s.levels[node]+s.rates[node]*now.Sub(s.at[node]).Seconds(), 1)
	s.at[node] = now
	if s.levels[node] < 1 {
		return false
	}
	s.levels[node]--
	return true
}

// demandOf returns the demand at each of a number of nodes, in requests a second.
type demandOf func(nodes int) []float64

func atAll(asked float64) demandOf {
	return func(nodes int) []float64 {
		list := make([]float64, nodes)
		for i := range list {
			list[i] = asked / float64(nodes)
		}
		return list
	}
}

// atThird distributes the demand over a third of the nodes, such as those of one data hall.
func atThird(asked float64) demandOf {
	return func(nodes int) []float64 {
		list := make([]float64, nodes)
		for i := range (nodes + 2) / 3 {
			list[i] = asked / float64((nodes+2)/3)
		}
		return list
	}
}

func BenchmarkWaysToDivide(b *testing.B) {
	const length = 60 * time.Second
	ways := []struct {
		name string
		make func(demand []float64) divider
	}{
		{"equal", func(demand []float64) divider {
			weights := make([]float64, len(demand))
			for i := range weights {
				weights[i] = 1
			}
			return newShares(weights)
		}},
		{"by-demand", func(demand []float64) divider { return newShares(demand) }},
		{"one-node", func(demand []float64) divider {
			weights := make([]float64, len(demand))
			weights[len(weights)/2] = 1
			return newShares(weights)
		}},
		{"subset-of-4", func(demand []float64) divider {
			weights := make([]float64, len(demand))
			for i := range 4 {
				weights[(i+1)*len(weights)/5] = 1
			}
			return newShares(weights)
		}},
	}
	for _, nodes := range []int{9, 85} {
		for _, d := range []struct {
			name   string
			demand demandOf
		}{{"all", atAll(100)}, {"hall", atThird(100)}, {"few", atAll(20)}} {
			for _, w := range ways {
				b.Run(fmt.Sprintf("%s/%d/%s", w.name, nodes, d.name), func(b *testing.B) {
					worst, total := 0, 0
					for i := range b.N {
						most, sent := playDivider(w.make(d.demand(nodes)), d.demand(nodes), length, uint64(i))
						worst, total = max(worst, most), total+sent
					}
					report(b, worst, total, length)
				})
			}
			b.Run(fmt.Sprintf("dealt/%d/%s", nodes, d.name), func(b *testing.B) {
				worst, total := 0, 0
				for i := range b.N {
					rng := rand.New(rand.NewPCG(uint64(i), 1))
					s := newSide("n", nodes, nodes, perSecond, rng)
					for j, asked := range d.demand(nodes) {
						s.nodes[j].asked = max(asked, 1e-6)
					}
					most, sent := play([]*side{s}, length, rng, func(time.Time) {})
					worst, total = max(worst, most), total+sent
				}
				report(b, worst, total, length)
			})
		}
	}
}

// playDivider simulates a divider for a duration. It returns the largest number of requests in
// any window and the total number of requests.
func playDivider(d divider, demand []float64, length time.Duration, seed uint64) (worst, total int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []time.Time
	for now := start; now.Sub(start) < length; now = now.Add(tick) {
		for i, asked := range demand {
			for at := rng.ExpFloat64() / max(asked, 1e-6); at < tick.Seconds(); at += rng.ExpFloat64() / max(asked, 1e-6) {
				if d.allow(i, now) {
					list = append(list, now)
					total++
				}
			}
		}
		for len(list) > 0 && now.Sub(list[0]) >= DefaultPolicy().Window {
			list = list[1:]
		}
		worst = max(worst, len(list))
	}
	return worst, total
}

// report reports the fraction of the rate that was used, and the largest number of requests in
// a window.
func report(b *testing.B, worst, total int, length time.Duration) {
	b.ReportMetric(float64(total)/float64(b.N)/(perSecond*length.Seconds()), "used")
	b.ReportMetric(float64(worst), "worst-window")
	b.ReportMetric(0, "ns/op")
}
