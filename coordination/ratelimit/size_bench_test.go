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
	const length, asked, perSecond = 10 * time.Second, 10.0, 2.2
	for _, nodes := range []int{85, 570} {
		for _, limited := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("nodes=%d/limited=%d", nodes, limited), func(b *testing.B) {
				bytes, dealing := 0, time.Duration(0)
				for i := range b.N {
					got, took := playAtSize(nodes, limited, length, asked, perSecond, uint64(i))
					bytes, dealing = bytes+got, dealing+took
				}
				seconds := length.Seconds() * float64(b.N)
				b.ReportMetric(float64(bytes)/seconds/float64(nodes), "B/s/node")
				b.ReportMetric(float64(dealing.Microseconds())/1000/seconds, "ms/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// playAtSize runs one simulation. It returns the total size of reports and answers, and the
// time spent on issuing grants.
func playAtSize(nodes, limited int, length time.Duration, asked, perSecond float64, seed uint64) (bytes int, dealing time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newSide("n", nodes, nodes, perSecond, rng)
	for _, n := range s.nodes {
		n.book = NewBook(DefaultPolicy())
		for i := range limited {
			in := fleet.Incarnation{ID: state.InstanceID(fmt.Sprintf("i-%010x", i))}
			n.book.Observe(in, fleet.LimitedTo(perSecond), start, start)
		}
	}
	for now := start; now.Sub(start) < length; now = now.Add(dealEvery) {
		r := Round{Limits: s.nodes[0].book.InForce(), Part: 1, Weight: func(string, *Limit) float64 { return asked }}
		for _, n := range s.nodes {
			r.Nodes = append(r.Nodes, Node{Name: n.name, Usage: n.usage})
		}
		began := time.Now()
		s.dealer.Deal(r, now)
		dealing += time.Since(began)
		for _, n := range s.nodes {
			for range rng.IntN(int(2*asked*dealEvery.Seconds()) + 1) {
				n.book.Send(fleet.Incarnation{ID: r.Limits[rng.IntN(limited)].Instance.ID}, now)
			}
			if now.Before(n.report) {
				continue
			}
			n.usage = n.book.Usage(now)
			began := time.Now()
			grants := s.dealer.PickUp(n.name, now)
			dealing += time.Since(began)
			n.book.Granted(grants, now.Add(DefaultPolicy().GrantFor))
			n.report = now.Add(statusEvery)
			bytes += size(n.usage) + size(grants)
		}
	}
	return bytes, dealing
}

// size returns the encoded size of v in bytes, or 0 if v is empty.
func size[T map[state.InstanceID]Usage | []Grant](v T) int {
	if len(v) == 0 {
		return 0
	}
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(raw)
}
