package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// coldSize is what the limits of cold instances cost in a simulation.
type coldSize struct {
	// bytes is the total size of reports and answers, largest that of the largest report with its answer.
	bytes, largest int
	dealTime       time.Duration
	sent           int
}

// simulateColdAtSize simulates nodes of which each gets demand requests a second for any of a number of cold instances.
func simulateColdAtSize(nodes, cold int, duration time.Duration, demand float64, seed uint64) coldSize {
	rng := rand.New(rand.NewPCG(seed, 1))
	policy, out := DefaultPolicy(), coldSize{}
	var limits []ColdLimit
	for i := range cold {
		limits = append(limits, ColdBound{1.5, 5}.Limit(fleet.Incarnation{ID: state.InstanceID(fmt.Sprintf("i-%010x", i))}, 26, start.Add(time.Hour)))
	}
	allocator := NewAllocator(policy, rng.Float64)
	trackers, usage, next, echoes := make([]*Tracker, nodes), make([]map[state.InstanceID]Usage, nodes), make([]time.Time, nodes), make([]int64, nodes)
	for i := range trackers {
		trackers[i] = NewTracker(policy)
		trackers[i].SetCold(limits, start)
		next[i] = start.Add(time.Duration(rng.Int64N(int64(statusInterval))))
	}
	stamp := int64(0)
	for now := start; now.Sub(start) < duration; now = now.Add(issueInterval) {
		r := AllocationInput{
			Limits: trackers[0].InForce(now), ColdShare: 1, Weight: func(string, *Limit) float64 { return demand }, Pool: func(*Limit) string { return "" },
		}
		for i := range trackers {
			r.Nodes = append(r.Nodes, NodeUsage{Name: fmt.Sprint("node-", i), Usage: usage[i], Echo: echoes[i], Process: 1, UsesCold: true})
		}
		began := time.Now()
		allocator.Allocate(r, now)
		out.dealTime += time.Since(began)
		for i, t := range trackers {
			for at := rng.ExpFloat64() / demand; at < issueInterval.Seconds(); at += rng.ExpFloat64() / demand {
				for _, j := range rng.Perm(cold) {
					if t.Take(limits[j].Instance, now) {
						out.sent++
						break
					}
				}
			}
			if now.Before(next[i]) {
				continue
			}
			usage[i], next[i] = t.Usage(now), now.Add(statusInterval)
			stamp++
			began := time.Now()
			grants := allocator.Collect(fmt.Sprint("node-", i), stamp, now)
			out.dealTime += time.Since(began)
			echoes[i] = stamp
			t.ReceiveGrants(grants, now, now)
			size := encodedSize(usage[i]) + encodedSize(grants)
			out.bytes += size
			out.largest = max(out.largest, size)
		}
	}
	return out
}

// BenchmarkColdAtSize simulates 5 s of many nodes and cold instances, with five requests a second at each node.
func BenchmarkColdAtSize(b *testing.B) {
	const duration = 5 * time.Second
	for _, nodes := range []int{85, 570} {
		for _, cold := range []int{1, 10, 57} {
			b.Run(fmt.Sprintf("nodes=%d/cold=%d", nodes, cold), func(b *testing.B) {
				var total coldSize
				for i := range b.N {
					s := simulateColdAtSize(nodes, cold, duration, 5, uint64(i))
					total.bytes, total.dealTime, total.sent, total.largest = total.bytes+s.bytes, total.dealTime+s.dealTime, total.sent+s.sent, max(total.largest, s.largest)
				}
				seconds := duration.Seconds() * float64(b.N)
				b.ReportMetric(float64(total.bytes)/seconds/float64(nodes), "B/s/node")
				b.ReportMetric(float64(total.largest), "largest-B")
				b.ReportMetric(float64(total.dealTime.Microseconds())/1000/seconds, "ms/s")
				b.ReportMetric(float64(total.sent)/seconds/26/float64(cold), "used")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// What a status report and its answer carry for cold instances stays small in a large deployment: a node lists only the
// instances that it holds grants for or has sent requests to. The bound is 1 MB a second at the leader.
func TestMessagesForColdInstancesStaySmall(t *testing.T) {
	for _, cold := range []int{10, 100} {
		s := simulateColdAtSize(570, cold, 4*time.Second, 1, 1)
		perSecond := s.bytes / 4 / 570
		t.Logf("%d cold instances: %d bytes a second and node, %d at most in a report and its answer", cold, perSecond, s.largest)
		NewWithT(t).Expect(perSecond).To(BeNumerically("<", 1_000_000/570))
		NewWithT(t).Expect(s.largest).To(BeNumerically("<", 2000))
	}
}
