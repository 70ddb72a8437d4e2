package entry_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// concentrationTime is the time in which a node that suddenly gets most connections must have adapted.
const concentrationTime = 3 * time.Second

// leastServed is the least part of the requests served before that must be served afterwards.
const leastServed = 0.75

// mostlyFirstNode sends nine in ten requests to the first node.
func mostlyFirstNode(n int) int {
	if rand.N(10) == 0 {
		return rand.N(n)
	}
	return 0
}

// served returns the part of the requests that were answered.
func (r *callerResults) served() float64 {
	total := 0
	for _, n := range r.codes {
		total += n
	}
	return float64(r.codes[http.StatusOK]) / float64(total)
}

// A platform may hand most new connections to one node for a while. What nodes divide among themselves, such as the
// limits of instances, must follow.
func TestNodeThatGetsMostConnectionsServesThem(t *testing.T) {
	for _, c := range []struct {
		name string
		// limited instances of six accept perSecond requests a second each.
		limited   int
		perSecond float64
		groups    bool
	}{
		{"no limits", 0, 0, false},
		{"groups without limits", 0, 0, true},
		{"limits on all instances", 6, 16, false},
		{"limits that are used to nine tenths", 6, 9, false},
		{"limits on half of the groups", 3, 16, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := &store{topics: map[source.Topic][]source.Item{}}
			s.add(source.Configuration, "config", 1)
			instances := newLimitedInstances(t, s, 6, c.limited, c.perSecond)
			instances.setLimited(true)
			nodes := startLimitNodes(t, s, 9, c.groups)
			const rate = 48
			sendUneven(nodes, rate, 2*concentrationTime, anyNode)
			before := sendUneven(nodes, rate, 2*time.Second, anyNode)
			sendUneven(nodes, rate, concentrationTime, mostlyFirstNode)
			after := sendUneven(nodes, rate, 2*time.Second, mostlyFirstNode)
			t.Logf("before %v, after %v", before.codes, after.codes)
			g.Expect(after.served()).To(BeNumerically(">=", leastServed*before.served()))
		})
	}
}
