package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// limit sets the rate limit of an instance and this node's grants. The first checks, as many as
// hidden, do not show the limit.
func (l *lab) limit(id string, perSecond float64, grants, hidden int) {
	in := fleet.Instance{ID: state.InstanceID(id)}
	now := time.Now()
	l.backpressure.limits.Observe(in.Incarnation(), fleet.LimitedTo(perSecond), now, now)
	l.backpressure.limits.Granted([]ratelimit.Grant{{Instance: in.ID, Requests: grants}}, now.Add(time.Minute))
	l.backpressure.mu.Lock()
	defer l.backpressure.mu.Unlock()
	l.backpressure.hidden[in.ID] = hidden
}

func TestNoRequestReachesALimitedInstanceWithoutAGrant(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// other is the handler of the instance without a limit.
		other          http.HandlerFunc
		status, grants int
		// hidden is the number of checks that do not show the limit yet.
		hidden int
	}{
		{"first sends", "/safe/", ok("x"), http.StatusOK, 0, 0},
		{"repeats after a failure elsewhere", "/safe/", status(http.StatusBadGateway), http.StatusBadGateway, 0, 0},
		{"repeats after a broken connection", "/safe/", func(w http.ResponseWriter, _ *http.Request) { cut(w) }, http.StatusBadGateway, 0, 0},
		{"sends that were decided before", "/safe/", ok("x"), http.StatusOK, 0, 9},
		{"more than there are grants", "/unsafe/", shed(0), http.StatusServiceUnavailable, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("limited", "plain", ok("x"))
			l.instance("other", "plain", c.other)
			l.limit("limited", 2, c.grants, c.hidden)
			refused := 0
			for i := range 8 {
				a := l.call(http.MethodPost, c.path, "x", map[string]string{"Id": fmt.Sprint("r", i)})
				g.Expect(a.err).NotTo(HaveOccurred())
				if a.status == c.status {
					refused++
				}
			}
			g.Expect(l.runsAt("limited")).To(Equal(c.grants))
			g.Expect(refused).To(Equal(8 - c.grants))
			if c.hidden > 0 {
				g.Expect(l.counts.counts["held-back.rate-limited"]).To(BeNumerically(">", 0))
			}
		})
	}
}

// A retry goes to a rate-limited instance only if no other instance accepts it.
func TestARequestGoesOnAtAnInstanceWithoutALimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		want   int
	}{
		{"there is another one", 1, 0},
		{"there is none", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("breaks", "lm", func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 3)
				cut(w)
			})
			l.instance("limited", "lm", func(w http.ResponseWriter, _ *http.Request) { events(w, 4, 5) })
			for i := range c.others {
				l.instance(fmt.Sprint("other", i), "lm", func(w http.ResponseWriter, _ *http.Request) { events(w, 4, 5) })
			}
			resumed := 0
			for i := range 12 {
				l.limit("limited", 2, 1, 0)
				a := l.call(http.MethodPost, "/stream/", "x", map[string]string{"Id": fmt.Sprint("r", i)})
				g.Expect(a.err).NotTo(HaveOccurred())
				for _, r := range l.journal.all() {
					if r.instance == "limited" && r.id == fmt.Sprint("r", i) && r.last != "" {
						resumed++
					}
				}
			}
			if c.want == 0 {
				g.Expect(resumed).To(BeZero())
			} else {
				g.Expect(resumed).To(BeNumerically(">", 0))
			}
		})
	}
}

func TestACallerIsRefusedAtOnceWhereInstancesTakeNoMore(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(l *lab)
		code    string
		least   float64
		most    float64
	}{
		{"all have limits", func(l *lab) { l.limit("a", 0.3, 0, 0); l.limit("b", 0.2, 0, 0) }, "refused.rate-limited", 2, 3},
		{"none wants any", func(l *lab) { l.limit("a", 0, 0, 0); l.limit("b", 0, 0, 0) }, "refused.rate-limited", 3, 4.5},
		{"the other one cools down", func(l *lab) { l.limit("a", 0.1, 0, 0); l.cool("b", time.Second, 0) }, "refused.rate-limited", 0.9, 1.5},
		{"the limits are learned before the request leaves", func(l *lab) { l.limit("a", 1, 0, 1); l.limit("b", 1, 0, 1) }, "refused.rate-limited", 0.5, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("a", "plain", ok("x"))
			l.instance("b", "plain", ok("x"))
			c.prepare(l)
			began := time.Now()
			a := l.call(http.MethodPost, "/safe/", "x", nil)
			g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the caller is refused without waiting")
			g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
			g.Expect(l.counts.counts[c.code]).To(Equal(1), "%v", l.counts.counts)
			g.Expect(l.journal.all()).To(BeEmpty())
		})
	}
}

// A node that has just started does not know how many other nodes there are. It must not take the
// whole slack of the retry budget that all nodes share.
func TestANodeThatDoesNotKnowTheOthersTakesNoPartOfTheSlack(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		most  int
	}{
		{"unknown", 0, 4},
		{"alone", 1, 20},
		{"one of fifty", 50, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.gate.SetNodes(c.nodes)
			l.instance("a", "plain", status(http.StatusInternalServerError))
			l.instance("b", "plain", status(http.StatusInternalServerError))
			for i := range 20 {
				l.call(http.MethodPost, "/safe/", "x", map[string]string{"Id": fmt.Sprint("r", i)})
			}
			repeats := len(l.journal.all()) - 20
			g.Expect(repeats).To(And(BeNumerically("<=", c.most), BeNumerically(">=", c.most/2)))
		})
	}
}
