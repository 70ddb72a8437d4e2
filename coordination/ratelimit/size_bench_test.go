package ratelimit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// BenchmarkAtSize simulates 10 s of many nodes and limited instances, with ten requests a second
// at each node. It reports the bytes that status reports and their answers carry for rate
// limits, per second and node, and the time that the leader spends on issuing grants, in
// milliseconds per second.
func BenchmarkAtSize(b *testing.B) {
	const duration, demand, perSecond = 10 * time.Second, 10.0, 2.2
	for _, nodes := range []int{85, 570} {
		for _, limited := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("nodes=%d/limited=%d", nodes, limited), func(b *testing.B) {
				bytes, dealTime := 0, time.Duration(0)
				for i := range b.N {
					got, took := simulateAtSize(nodes, limited, duration, demand, perSecond, uint64(i))
					bytes, dealTime = bytes+got, dealTime+took
				}
				seconds := duration.Seconds() * float64(b.N)
				b.ReportMetric(float64(bytes)/seconds/float64(nodes), "B/s/node")
				b.ReportMetric(float64(dealTime.Microseconds())/1000/seconds, "ms/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// simulateAtSize runs one simulation. It returns the total size of reports and answers, and the
// time spent on issuing grants.
func simulateAtSize(nodes, limited int, duration time.Duration, demand, perSecond float64, seed uint64) (bytes int, dealTime time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSide("n", nodes, nodes, perSecond, rng)
	for _, n := range s.nodes {
		n.book = NewTracker(DefaultPolicy())
		for i := range limited {
			in := fleet.Incarnation{ID: state.InstanceID(fmt.Sprintf("i-%010x", i))}
			n.book.Observe(in, fleet.LimitedTo(perSecond), start, start)
		}
	}
	for now := start; now.Sub(start) < duration; now = now.Add(issueInterval) {
		r := AllocationInput{Limits: s.nodes[0].book.Active(), Share: 1, Weight: func(string, *Limit) float64 { return demand }}
		for _, n := range s.nodes {
			r.Nodes = append(r.Nodes, NodeUsage{Name: n.name, Usage: n.usage})
		}
		began := time.Now()
		s.dealer.Allocate(r, now)
		dealTime += time.Since(began)
		for _, n := range s.nodes {
			for range rng.IntN(int(2*demand*issueInterval.Seconds()) + 1) {
				n.book.Take(fleet.Incarnation{ID: r.Limits[rng.IntN(limited)].Instance.ID}, now)
			}
			if now.Before(n.nextReport) {
				continue
			}
			n.usage = n.book.Usage(now)
			began := time.Now()
			grants := s.dealer.Collect(n.name, 0, now)
			dealTime += time.Since(began)
			n.book.AddGrants(grants, now.Add(DefaultPolicy().GrantTTL))
			n.nextReport = now.Add(statusInterval)
			bytes += encodedSize(n.usage) + encodedSize(grants)
		}
	}
	return bytes, dealTime
}

// encodedSize returns the encoded size of v in bytes, or 0 if v is empty.
func encodedSize[T map[state.InstanceID]Usage | []Grant](v T) int {
	if len(v) == 0 {
		return 0
	}
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(raw)
}
