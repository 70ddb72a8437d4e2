package state_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
)

// The largest deployment that is supported: groups, members per group, and changes per day.
const (
	maxGroups     = 750
	maxMembers    = 16
	changesPerDay = 29000
)

// createGroupOp returns the operation that creates the n-th group of the largest deployment.
func createGroupOp(n int) state.Op {
	c := &state.CreateGroup{Name: group(n), Model: state.Model{Name: "hearth-lm", Version: "v1"}, Gate: state.GateWindow}
	for m := range maxMembers {
		c.Members = append(c.Members, state.Place{
			Instance: state.InstanceID(fmt.Sprintf("worker-%05d", n*maxMembers+m)), Hall: "yxe-hall", Domain: fmt.Sprintf("fabric-%d", n),
		})
	}
	return state.Op{CreateGroup: c}
}

// buildLog returns the records that create groups, followed by changes spread over one day.
func buildLog(groups, changes int) [][]byte {
	log := make([][]byte, 0, groups+changes)
	for n := range groups {
		log = append(log, command(idAt(start, n), createGroupOp(n)))
	}
	for n := range changes {
		at := start.Add(time.Duration(n) * 24 * time.Hour / time.Duration(changes))
		op := state.Op{DrainGroup: &state.DrainGroup{Group: group(n % groups), Off: n%2 == 1}}
		log = append(log, command(idAt(at, groups+n), op))
	}
	return log
}

// applyLog applies a log of buildLog at the times of its records.
func applyLog(tb testing.TB, log [][]byte, groups int) *state.State {
	s := state.New()
	for i, data := range log {
		at := start
		if i >= groups {
			at = start.Add(time.Duration(i-groups) * 24 * time.Hour / time.Duration(max(1, len(log)-groups)))
		}
		o, err := apply(s, at, data)
		if err != nil || !o.Accepted {
			tb.Fatalf("%v %+v", err, o)
		}
	}
	return s
}

// TestApplyAllocations bounds the number of allocations of applying one small command.
func TestApplyAllocations(t *testing.T) {
	g := NewWithT(t)
	s := applyLog(t, buildLog(10, 0), 10)
	n := 1000
	records := make([][]byte, 0, 2000)
	for i := range cap(records) {
		records = append(records, command(idAt(start, n+i), state.Op{DrainGroup: &state.DrainGroup{Group: group(1), Off: i%2 == 1}}))
	}
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		if _, err := apply(s, start, records[i]); err != nil {
			t.Fatal(err)
		}
		i++
	})
	t.Logf("%.0f allocations per record", allocs)
	g.Expect(allocs).To(BeNumerically("<=", 40))
}

// TestSnapshotSize bounds the compressed size that a group of 16 members adds to a snapshot.
func TestSnapshotSize(t *testing.T) {
	g := NewWithT(t)
	size := func(groups int) int {
		snap, err := applyLog(t, buildLog(groups, 0), groups).Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		return len(snap.Data)
	}
	perGroup := (size(200) - size(100)) / 100
	t.Logf("%d compressed bytes per group of %d members", perGroup, maxMembers)
	g.Expect(perGroup).To(BeNumerically("<=", 400))
}

// TestExpiredOutcomesAreEvicted checks that the number of retained outcomes depends on the
// retention time, not on the length of the log.
func TestExpiredOutcomesAreEvicted(t *testing.T) {
	g := NewWithT(t)
	s := applyLog(t, buildLog(10, 2000), 10)
	perHorizon := int(2000 * (state.IDHorizon + 2*state.MaxSkew) / (24 * time.Hour))
	g.Expect(len(s.Outcomes())).To(BeNumerically("<=", perHorizon+2))
	g.Expect(len(s.Outcomes())).To(BeNumerically(">", perHorizon/2))
}

func BenchmarkFoldDay(b *testing.B) {
	log := buildLog(maxGroups, changesPerDay)
	b.ReportAllocs()
	for b.Loop() {
		applyLog(b, log, maxGroups)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(len(log)), "µs/record")
}

func BenchmarkSnapshot(b *testing.B) {
	s := applyLog(b, buildLog(maxGroups, changesPerDay), maxGroups)
	var size int
	for b.Loop() {
		snap, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(snap.Data)
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkRestore(b *testing.B) {
	snap, err := applyLog(b, buildLog(maxGroups, changesPerDay), maxGroups).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := state.Restore(snap); err != nil {
			b.Fatal(err)
		}
	}
}

// heapSize returns the heap size in bytes of the state that build returns.
func heapSize(build func() *state.State) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkHeap measures the memory of the state of the largest deployment, and of one claim with a
// small result.
func BenchmarkHeap(b *testing.B) {
	const claims = 20000
	for b.Loop() {
		log := buildLog(maxGroups, changesPerDay)
		b.ReportMetric(heapSize(func() *state.State { return applyLog(b, log, maxGroups) })/1e6, "MB/target")
		runtime.KeepAlive(log)
		records := make([][]byte, 0, 2*claims)
		for n := range claims {
			op := state.ClaimOp{Key: state.ClaimKey{Team: "t", Service: "kiosk-ledger", Key: idAt(start, n)}, Holder: fmt.Sprintf("node/%036d/%036d", n, n), Request: fmt.Sprintf("%064d", n)}
			result := op
			result.Result = &state.ClaimResult{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}
			for i, claimOp := range []state.ClaimOp{op, result} {
				records = append(records, encode(&state.Record{Version: 1, ID: idAt(start, 2*n+i), Kind: state.KindClaims, By: "t", Claims: []state.ClaimOp{claimOp}}))
			}
		}
		b.ReportMetric(heapSize(func() *state.State {
			s := state.New()
			for _, data := range records {
				if _, err := apply(s, start, data); err != nil {
					b.Fatal(err)
				}
			}
			return s
		})/claims, "B/claim")
		runtime.KeepAlive(records)
	}
}
