package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/cooldown"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// backpressure implements gateway.Backpressure with real cooldown and rate limit books.
type backpressure struct {
	book   *cooldown.Book
	mu     sync.Mutex
	gone   map[state.InstanceID]bool
	limits *ratelimit.Book
	// free is the number of further checks that do not show the cooldown of an instance.
	free map[state.InstanceID]int
	// hidden is the number of further checks that do not show the rate limit of an instance.
	hidden map[state.InstanceID]int
}

func newBackpressure() *backpressure {
	return &backpressure{book: cooldown.NewBook(cooldown.DefaultPolicy()), gone: map[state.InstanceID]bool{}, hidden: map[state.InstanceID]int{}, limits: ratelimit.NewBook(ratelimit.DefaultPolicy()), free: map[state.InstanceID]int{}}
}

func (b *backpressure) Told(in *fleet.Instance, n fleet.Notice, _ string, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone[in.ID] = b.gone[in.ID] || n.Leaving
	b.limits.Observe(in.Incarnation(), n.RateLimit, time.Now(), time.Now())
	if n.Cooldown > 0 {
		b.book.Ask(in.Incarnation(), n.Cooldown, time.Now())
	}
}

func (b *backpressure) CoolingDown(in *fleet.Instance) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free[in.ID] > 0 {
		b.free[in.ID]--
		return time.Time{}, false
	}
	return b.book.Until(in.Incarnation(), time.Now())
}

func (b *backpressure) Leaving(in *fleet.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gone[in.ID]
}

func (b *backpressure) RateLimit(in *fleet.Instance) (float64, bool) {
	return b.limits.Limited(in.Incarnation())
}

func (b *backpressure) Open(in *fleet.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hidden[in.ID] > 0 {
		b.hidden[in.ID]--
		return true
	}
	return b.limits.Open(in.Incarnation(), time.Now())
}

func (b *backpressure) Send(in *fleet.Instance) bool {
	return b.limits.Send(in.Incarnation(), time.Now())
}

// cool starts a cooldown of an instance. The first checks, as many as free, do not show it.
func (l *lab) cool(id string, d time.Duration, free int) {
	l.backpressure.Told(&fleet.Instance{ID: state.InstanceID(id)}, fleet.Notice{Cooldown: d}, "", time.Now())
	l.backpressure.free[state.InstanceID(id)] = free
}

// runsAt returns the number of requests that an instance received.
func (l *lab) runsAt(id string) int {
	n := 0
	for _, r := range l.journal.all() {
		if r.instance == id {
			n++
		}
	}
	return n
}

// shed returns a handler that refuses requests and asks for a cooldown.
func shed(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// status returns a handler that responds with a status code.
func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func TestNoRequestReachesAnInstanceThatIsCoolingDown(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// other is the handler of the instance that is not cooling down.
		other  http.HandlerFunc
		status int
		// free is the number of checks that do not show the cooldown yet.
		free int
	}{
		{"first sends", "/safe/", ok("x"), http.StatusOK, 0},
		{"repeats after a failure elsewhere", "/safe/", status(http.StatusInternalServerError), http.StatusInternalServerError, 0},
		{"repeats after a broken connection", "/safe/", func(w http.ResponseWriter, _ *http.Request) { cut(w) }, http.StatusBadGateway, 0},
		{"repeats of what was not run", "/unsafe/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable, 0},
		{"sends that were decided before", "/safe/", ok("x"), http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("cooling", "plain", ok("x"))
			l.instance("other", "plain", c.other)
			for i := range 8 {
				l.cool("cooling", time.Minute, c.free)
				a := l.call(http.MethodPost, c.path, "x", map[string]string{"Id": fmt.Sprint("r", i)})
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(c.status))
			}
			g.Expect(l.runsAt("cooling")).To(BeZero())
			g.Expect(l.runsAt("other")).To(Equal(8))
		})
	}
}

func TestAStreamGoesOnAtAGroupThatIsNotCoolingDown(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		events(w, 1, 3)
		cut(w)
	})
	a := func() answer { return l.call(http.MethodPost, "/stream/", "x", nil) }
	l.instance("cooling", "lm", ok("x"))
	l.cool("cooling", time.Minute, 0)
	g.Expect(a().err).To(HaveOccurred(), "there is no other group to resume on")
	l.instance("b", "lm", func(w http.ResponseWriter, _ *http.Request) { events(w, 4, 5) })
	g.Eventually(func() string { return a().body }).Should(HaveSuffix("id: 5\ndata: x5\n\n"))
	g.Expect(l.runsAt("cooling")).To(BeZero())
}

func TestACallerIsToldWhenTheFirstInstanceIsFreeAgain(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(l *lab)
		code    string
	}{
		{"all are cooling down", func(l *lab) { l.cool("a", 4*time.Second, 0); l.cool("b", 9*time.Second, 0) }, "refused.cooling-down"},
		{"the last two have just asked for it", func(*lab) {}, "refused.targets-unreachable"},
		{"a cooldown begins before the request leaves", func(l *lab) { l.cool("a", 4*time.Second, 1); l.cool("b", 9*time.Second, 1) }, "refused.cooling-down"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("a", "plain", shed(4*time.Second))
			l.instance("b", "plain", shed(9*time.Second))
			c.prepare(l)
			began := time.Now()
			a := l.call(http.MethodPost, "/unsafe/", "x", nil)
			g.Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the caller is refused without waiting")
			g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(And(BeNumerically(">", 3), BeNumerically("<=", 6)))
			g.Expect(l.counts.counts[c.code]).To(Equal(1), "%v", l.counts.counts)
		})
	}
}

func TestWhatAnInstanceAsksOfTheNodeIsNotToldToCallers(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "77") // without stating whether the request ran
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	a := l.call(http.MethodPost, "/safe/", "x", nil)
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Seal")).To(Equal("seal-of-a"))
	g.Expect(a.header).NotTo(HaveKey("Retry-After"))
	l.call(http.MethodPost, "/safe/", "x", nil)
	g.Expect(l.runsAt("a")).To(Equal(1), "the instance asked for a cooldown")
}

// A cooldown is not a failure: the instance serves again when it ends, and no failure is recorded.
func TestAfterItsCooldownAnInstanceServesAsBefore(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	turnsAway := true
	l.instance("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if turnsAway {
			turnsAway = false
			shed(50*time.Millisecond)(w, r)
			return
		}
		ok("x")(w, r)
	})
	g.Expect(l.call(http.MethodPost, "/unsafe/", "x", nil).status).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(func() int { return l.call(http.MethodPost, "/unsafe/", "x", nil).status }).Should(Equal(http.StatusOK))
	g.Expect(l.health.failed).To(BeEmpty())
}

func TestAnInstanceThatSaysItIsLeavingGetsNoFurtherRequest(t *testing.T) {
	for _, c := range []struct {
		name, path, service string
		answer              http.HandlerFunc
	}{
		{"in a whole answer", "/safe/", "plain", ok("x")},
		{"in a failure", "/safe/", "plain", status(http.StatusInternalServerError)},
		{"in a refusal", "/unsafe/", "plain", shed(0)},
		{"in the head of a stream", "/stream/", "lm", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }},
		{"in a stream that breaks off", "/stream/", "lm", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2); cut(w) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("leaving", state.ServiceName(c.service), func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Leaving", "1")
				c.answer(w, r)
			})
			l.instance("stays", state.ServiceName(c.service), func(w http.ResponseWriter, r *http.Request) {
				if c.service == "lm" {
					events(w, 3, 4)
					return
				}
				ok("x")(w, r)
			})
			for i := range 30 {
				l.call(http.MethodPost, c.path, "x", map[string]string{"Id": fmt.Sprint("r", i)})
			}
			g.Expect(l.runsAt("leaving")).To(Equal(1))
			g.Expect(l.runsAt("stays")).To(BeNumerically(">=", 29))
		})
	}
}
