package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Simulations of 60 s that compare ways to divide the rate of one limited instance among nodes.

// limitPerSecond is the instance's limit for all nodes together.
const limitPerSecond = 2.2

// divider decides whether a node may send a request.
type divider interface {
	allow(node int, now time.Time) bool
}

// shares gives each node a token bucket, initially empty, with a fixed share of the rate.
type shares struct {
	rates      []float64
	tokens     []float64
	refilledAt []time.Time
}

// newShares returns shares in proportion to weights.
func newShares(weights []float64) *shares {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	s := &shares{tokens: make([]float64, len(weights)), refilledAt: make([]time.Time, len(weights))}
	for i, w := range weights {
		s.rates = append(s.rates, limitPerSecond*w/total)
		s.refilledAt[i] = start
	}
	return s
}

func (s *shares) allow(node int, now time.Time) bool {
	s.tokens[node] = min(s.tokens[node]+s.rates[node]*now.Sub(s.refilledAt[node]).Seconds(), 1)
	s.refilledAt[node] = now
	if s.tokens[node] < 1 {
		return false
	}
	s.tokens[node]--
	return true
}

// demandFunc returns the demand at each of a number of nodes, in requests a second.
type demandFunc func(nodes int) []float64

func uniformDemand(total float64) demandFunc {
	return func(nodes int) []float64 {
		list := make([]float64, nodes)
		for i := range list {
			list[i] = total / float64(nodes)
		}
		return list
	}
}

// hallDemand distributes the demand over a third of the nodes, such as those of one data hall.
func hallDemand(total float64) demandFunc {
	return func(nodes int) []float64 {
		list := make([]float64, nodes)
		for i := range (nodes + 2) / 3 {
			list[i] = total / float64((nodes+2)/3)
		}
		return list
	}
}

func BenchmarkWaysToDivide(b *testing.B) {
	const duration = 60 * time.Second
	strategies := []struct {
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
			demand demandFunc
		}{{"all", uniformDemand(100)}, {"hall", hallDemand(100)}, {"few", uniformDemand(20)}} {
			for _, s := range strategies {
				b.Run(fmt.Sprintf("%s/%d/%s", s.name, nodes, d.name), func(b *testing.B) {
					maxInWindow, total := 0, 0
					for i := range b.N {
						most, sent := simulateDivider(s.make(d.demand(nodes)), d.demand(nodes), duration, uint64(i))
						maxInWindow, total = max(maxInWindow, most), total+sent
					}
					reportUse(b, maxInWindow, total, duration)
				})
			}
			b.Run(fmt.Sprintf("dealt/%d/%s", nodes, d.name), func(b *testing.B) {
				maxInWindow, total := 0, 0
				for i := range b.N {
					rng := rand.New(rand.NewPCG(uint64(i), 1))
					s := newSide("n", nodes, nodes, limitPerSecond, rng)
					for j, rate := range d.demand(nodes) {
						s.nodes[j].demand = max(rate, 1e-6)
					}
					most, sent := simulate([]*side{s}, duration, rng, func(time.Time) {})
					maxInWindow, total = max(maxInWindow, most), total+sent
				}
				reportUse(b, maxInWindow, total, duration)
			})
		}
	}
}

// simulateDivider simulates a divider for a duration. It returns the largest number of requests in
// any window and the total number of requests.
func simulateDivider(d divider, demand []float64, duration time.Duration, seed uint64) (maxInWindow, total int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var sent []time.Time
	for now := start; now.Sub(start) < duration; now = now.Add(tick) {
		for i, rate := range demand {
			for at := rng.ExpFloat64() / max(rate, 1e-6); at < tick.Seconds(); at += rng.ExpFloat64() / max(rate, 1e-6) {
				if d.allow(i, now) {
					sent = append(sent, now)
					total++
				}
			}
		}
		for len(sent) > 0 && now.Sub(sent[0]) >= DefaultPolicy().Window {
			sent = sent[1:]
		}
		maxInWindow = max(maxInWindow, len(sent))
	}
	return maxInWindow, total
}

// reportUse reports the fraction of the rate that was used, and the largest number of requests in
// a window.
func reportUse(b *testing.B, maxInWindow, total int, duration time.Duration) {
	b.ReportMetric(float64(total)/float64(b.N)/(limitPerSecond*duration.Seconds()), "used")
	b.ReportMetric(float64(maxInWindow), "worst-window")
	b.ReportMetric(0, "ns/op")
}
