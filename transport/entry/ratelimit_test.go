package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state/fleet"
)

// limitedTo is a notice that names a rate limit.
func limitedTo(perSecond float64) fleet.Notice {
	return fleet.Notice{RateLimit: fleet.LimitedTo(perSecond)}
}

func TestBeginningChangeAndEndOfARateLimitAreLogged(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	say := func(notice fleet.Notice) {
		n.clock.Advance(time.Second)
		n.Told(&n.in, notice, "r", n.clock.Now().Add(-time.Millisecond))
	}
	say(fleet.Notice{RateLimit: fleet.Unlimited()})
	g.Expect(n.logged("rate limit ended")).To(BeZero())
	for _, perSecond := range []float64{2, 2, 3, 1, 1} {
		say(limitedTo(perSecond))
	}
	g.Expect(n.logged("rate limit began")).To(Equal(1))
	g.Expect(n.logged("rate limit changed")).To(Equal(2))
	say(fleet.Notice{})
	g.Expect(n.logged("rate limit ended")).To(BeZero(), "no answer says nothing")
	for range 2 {
		say(fleet.Notice{RateLimit: fleet.Unlimited()})
	}
	g.Expect(n.logged("rate limit ended")).To(Equal(1))
	say(limitedTo(2))
	g.Expect(n.logged("rate limit began")).To(Equal(2))
}

func TestARateLimitThatCannotBeReadIsLoggedOnceALife(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	bad := fleet.Notice{RateLimit: fleet.RateLimit{Fault: errors.New("no number")}}
	n.Told(&n.in, limitedTo(2), "r", n.clock.Now())
	for range 3 {
		n.clock.Advance(time.Second)
		n.Told(&n.in, bad, "r", n.clock.Now())
	}
	g.Expect(n.logged("rate limit not read")).To(Equal(1))
	g.Expect(n.logged("rate limit ended")).To(BeZero(), "what was read before holds")
	next := n.in
	next.Born = next.Born.Add(time.Second)
	n.Told(&next, bad, "r", n.clock.Now())
	g.Expect(n.logged("rate limit not read")).To(Equal(2))
}

func TestOperatorsSeeWhichInstancesAreLimited(t *testing.T) {
	g := NewWithT(t)
	n := observe(&noticing{})
	n.Told(&n.in, limitedTo(2.5), "r1", n.clock.Now())
	n.clock.Advance(time.Second)
	mux := http.NewServeMux()
	n.handleOperators(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/limits", nil))
	var list []limitState
	g.Expect(json.Unmarshal(w.Body.Bytes(), &list)).To(Succeed())
	g.Expect(list).To(Equal([]limitState{{Instance: "i", PerSecond: 2.5, SinceMS: 1000, SaidMS: 1000}}))
}
