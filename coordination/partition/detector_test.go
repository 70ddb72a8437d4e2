package partition_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/partition"
	"github.com/troutmast/troutmast/state"
)

// start is the current time in the tests.
var start = time.Unix(1000, 0)

// ms returns a time some milliseconds after start.
func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func TestPartitionNeedsASampleWithoutAnyResponse(t *testing.T) {
	for _, c := range []struct {
		name        string
		sample      []state.InstanceID
		response    int // when a response arrives, in milliseconds; 0 for none
		partitioned bool
	}{
		{"no instance of the sample answers", []state.InstanceID{"c", "d"}, 0, true},
		{"an instance answers during the sample", []state.InstanceID{"c", "d"}, 450, false},
		{"an instance answers as the sample begins", []state.InstanceID{"c", "d", "e"}, 410, false},
		{"there is no other instance", []state.InstanceID{"a", "b"}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := partition.NewDetector(partition.DefaultPolicy())
			g.Expect(d.RecordFailure("a", ms(0), ms(400))).To(BeFalse(), "one instance is no reason to probe others")
			g.Expect(d.RecordFailure("b", ms(10), ms(410))).To(BeTrue())
			if c.response > 0 {
				d.RecordResponse(ms(c.response))
			}
			for _, id := range c.sample {
				g.Expect(d.RecordFailure(id, ms(411), ms(571))).To(BeFalse(), "a sample is being probed")
			}
			g.Expect(d.EndSample()).To(Equal(c.partitioned))
			g.Expect(d.IsPartitioned()).To(Equal(c.partitioned))
			g.Expect(d.RecordResponse(ms(900))).To(Equal(c.partitioned), "a response ends a partition")
			g.Expect(d.IsPartitioned()).To(BeFalse())
		})
	}
}

func TestMonitorNamesPartitionedServices(t *testing.T) {
	g := NewWithT(t)
	m := partition.NewMonitor(partition.DefaultPolicy())
	d := m.Detector("b")
	g.Expect(d.SetMostlyFar(true)).To(BeTrue())
	g.Expect(d.SetMostlyFar(true)).To(BeFalse())
	g.Expect(d.IsPartitioned()).To(BeFalse(), "the node may reach a few instances")
	d.RecordResponse(ms(0))
	g.Expect(m.Review()).To(Equal([]state.ServiceName{"b"}), "one response must not end it")
	m.Detector("c").RecordReachedByPeer()
	g.Expect(m.Review()).To(Equal([]state.ServiceName{"b", "c"}))
	g.Expect(m.Review()).To(Equal([]state.ServiceName{"b"}), "evidence is reviewed once")
	for i, id := range []state.InstanceID{"x", "y", "z"} {
		m.Detector("a").RecordFailure(id, ms(i), ms(400))
	}
	m.Detector("a").EndSample()
	g.Expect(m.Partitioned()).To(Equal([]state.ServiceName{"a", "b"}))
	d.SetMostlyFar(false)
	g.Expect(m.Partitioned()).To(Equal([]state.ServiceName{"a"}))
}

func TestSamplesKeepTheirInterval(t *testing.T) {
	g := NewWithT(t)
	p := partition.DefaultPolicy()
	d := partition.NewDetector(p)
	samples := 0
	for i := range 1000 {
		at := ms(i * 10)
		if i%7 == 0 {
			d.RecordResponse(at)
		}
		if d.RecordFailure(state.InstanceID(rune('a'+i%20)), at, at) {
			samples++
			d.EndSample()
		}
	}
	g.Expect(samples).To(BeNumerically("<=", int(10*time.Second/p.SampleInterval)+1))
	g.Expect(samples).To(BeNumerically(">", 0))
}

// For any order of failures, responses and samples, a node is never partitioned right after a response, and a partition
// is detected only if three instances failed that were called after the last response.
func TestPartitionIsNeverDetectedWithAResponseSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := partition.NewDetector(partition.DefaultPolicy())
		now, respondedAt := start, start.Add(-time.Hour)
		failed := map[state.InstanceID]bool{}
		sampling := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				d.RecordResponse(now)
				respondedAt = now
				clear(failed)
			case 1:
				if sampling && d.EndSample() && len(failed) < 3 {
					t.Fatalf("a partition was detected after %d failures", len(failed))
				}
				sampling = false
			default:
				id := state.InstanceID(rune('a' + rapid.IntRange(0, 5).Draw(t, "instance")))
				sentAt := now.Add(-time.Duration(rapid.IntRange(0, 400).Draw(t, "age")) * time.Millisecond)
				if !sentAt.Before(respondedAt) {
					failed[id] = true
				}
				sampling = d.RecordFailure(id, sentAt, now) || sampling
			}
			if d.IsPartitioned() && (respondedAt.Equal(now) || len(failed) < 3) {
				t.Fatal("the node is partitioned although an instance responded")
			}
		}
	})
}
