package upgrade

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/platform/standin"
)

// The limit of a worker ends when the run says so, which may be seconds before twice the trouble's time has passed since a node first
// learned of it. Calls after that break nothing, and any before it do.
func TestLimitIsJudgedUntilItIsLifted(t *testing.T) {
	const firstNamed = 1500 * time.Millisecond
	for _, c := range []struct {
		name   string
		burst  time.Duration // since the limit was set
		broken bool
	}{
		{"in the middle", 5 * time.Second, true},
		{"right before its end", 2*troubleTime - 300*time.Millisecond, true},
		{"right after its end", 2*troubleTime + 100*time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Now()
			n := &node{machine: standin.Machine{Name: "node-0"}}
			r := &run{Options: Options{From: Build{Limits: true}}, began: began, nodes: []*node{n}}
			j := &judge{run: r, report: &Report{}, changes: []change{{at: began, until: began.Add(2 * troubleTime), what: "i-1", trouble: limiting}}}
			j.events = append(j.events, standin.Event{At: began.Add(firstNamed), Worker: "i-1", Kind: standin.Limited, Request: "node-0.1"})
			for i := range 20 {
				at := began.Add(c.burst + time.Duration(i)*10*time.Millisecond)
				j.events = append(j.events, standin.Event{At: at, Worker: "i-1", Kind: standin.Arrived, Request: fmt.Sprintf("node-0.%d", 2+i)})
			}
			j.limits()
			g.Expect(len(j.report.Violations) > 0).To(Equal(c.broken), "%v", j.report.Violations)
		})
	}
}
