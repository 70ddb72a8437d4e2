package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/transport/event"
)

// decisions implements Recorder and keeps counters and decisions.
type decisions struct {
	counts map[string]int
	logged []event.Decision
}

func (d *decisions) Count(name string)                     { d.counts[name]++ }
func (d *decisions) ObserveDuration(string, time.Duration) {}
func (d *decisions) LogDecision(e event.Decision)          { d.logged = append(d.logged, e) }

// Guards against a request that ends without a response and that the HTTP server then answers with an empty success.
func TestCallWithoutResponseAbortsItsConnection(t *testing.T) {
	for _, c := range []struct {
		name                 string
		hasResponded, isGone bool
		// logged is the line for the end, and counter its counter; empty if there is none.
		logged, counter string
	}{
		{"responded", true, false, "", ""},
		{"responded to a caller that has left since", true, true, "", ""},
		{"caller left", false, true, "caller-left", "caller-left"},
		{"no result at all", false, false, "request-ended", "response.missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			d := &decisions{counts: map[string]int{}}
			clock := clockwork.NewRealClock()
			gateway := &Gateway{Options: Options{Clock: clock, Recorder: d, Table: dispatch.NewTable("hall", dispatch.DefaultPolicy())}}
			call := &call{Gateway: gateway, arrivedAt: clock.Now(), hasResponded: c.hasResponded}
			call.isGone = c.isGone
			if c.logged == "" {
				g.Expect(call.abortUnlessResponded).NotTo(Panic())
				g.Expect(d.logged).To(BeEmpty())
				return
			}
			g.Expect(call.abortUnlessResponded).To(PanicWith(http.ErrAbortHandler))
			g.Expect(d.logged).To(HaveLen(1))
			g.Expect(d.logged[0].Name()).To(Equal(c.logged))
			g.Expect(d.counts).To(Equal(map[string]int{c.counter: 1}))
		})
	}
}
