package ticket_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/ticket"
	"github.com/troutmast/troutmast/state"
)

// newBook returns a Store with a fake clock and one ticket.
func newBook(t *testing.T) (*ticket.Store, *clockwork.FakeClock, string) {
	clock := clockwork.NewFakeClock()
	b := ticket.NewStore("n", "1", clock)
	tk, err := b.Issue("team", "svc")
	if err != nil {
		t.Fatal(err)
	}
	return b, clock, tk
}

func TestSpend(t *testing.T) {
	result := &state.ClaimResult{Status: 200}
	cases := []struct {
		name    string
		prepare func(b *ticket.Store, clock *clockwork.FakeClock, tk string)
		team    state.TeamName
		request string
		result  *state.ClaimResult
		err     error
	}{
		{"unspent", func(*ticket.Store, *clockwork.FakeClock, string) {}, "team", "r", nil, nil},
		{"spent, result unknown", func(b *ticket.Store, _ *clockwork.FakeClock, tk string) { _, _ = b.Redeem(tk, "team", "svc", "r") }, "team", "r", nil, ticket.ErrResultUnknown},
		{"spent, result recorded", func(b *ticket.Store, _ *clockwork.FakeClock, tk string) {
			_, _ = b.Redeem(tk, "team", "svc", "r")
			b.RecordResult(tk, result)
		}, "team", "r", result, nil},
		{"released", func(b *ticket.Store, _ *clockwork.FakeClock, tk string) {
			_, _ = b.Redeem(tk, "team", "svc", "r")
			b.Release(tk)
		}, "team", "r", nil, nil},
		{"released after its result was recorded", func(b *ticket.Store, _ *clockwork.FakeClock, tk string) {
			_, _ = b.Redeem(tk, "team", "svc", "r")
			b.RecordResult(tk, result)
			b.Release(tk)
		}, "team", "r", result, nil},
		{"spent on another call", func(b *ticket.Store, _ *clockwork.FakeClock, tk string) { _, _ = b.Redeem(tk, "team", "svc", "other") }, "team", "r", nil, ticket.ErrConflict},
		{"another team", func(*ticket.Store, *clockwork.FakeClock, string) {}, "thief", "r", nil, ticket.ErrConflict},
		{"expired", func(_ *ticket.Store, clock *clockwork.FakeClock, _ string) { clock.Advance(ticket.TTL) }, "team", "r", nil, ticket.ErrResultUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b, clock, tk := newBook(t)
			c.prepare(b, clock, tk)
			got, err := b.Redeem(tk, c.team, "svc", c.request)
			g.Expect(errors.Is(err, c.err)).To(BeTrue(), "%v", err)
			g.Expect(got).To(Equal(c.result))
		})
	}
}

func TestSpendRefusesOtherIncarnationsAndMalformedTickets(t *testing.T) {
	g := NewWithT(t)
	_, clock, tk := newBook(t)
	for _, other := range []*ticket.Store{ticket.NewStore("n", "2", clock), ticket.NewStore("m", "1", clock)} {
		_, err := other.Redeem(tk, "team", "svc", "r")
		g.Expect(errors.Is(err, ticket.ErrOtherIncarnation)).To(BeTrue())
	}
	b, _, _ := newBook(t)
	for _, bad := range []string{"", "tk", "tk~~1~x", "tk~n~1", "x~n~1~y"} {
		_, err := b.Redeem(bad, "team", "svc", "r")
		g.Expect(errors.Is(err, ticket.ErrMalformed)).To(BeTrue(), bad)
	}
}

func TestConcurrentSpendsRunOnce(t *testing.T) {
	b, _, tk := newBook(t)
	var wg sync.WaitGroup
	var ran atomic.Int32
	for range 50 {
		wg.Go(func() {
			if r, err := b.Redeem(tk, "team", "svc", "r"); r == nil && err == nil {
				ran.Add(1)
			}
		})
	}
	wg.Wait()
	NewWithT(t).Expect(ran.Load()).To(Equal(int32(1)))
}

func TestIssueLimitsTickets(t *testing.T) {
	g := NewWithT(t)
	b, clock, _ := newBook(t)
	var err error
	for n := 0; err == nil; n++ {
		g.Expect(n).To(BeNumerically("<=", ticket.MaxTickets))
		_, err = b.Issue("team", state.ServiceName(fmt.Sprint(n)))
	}
	g.Expect(errors.Is(err, ticket.ErrFull)).To(BeTrue())
	clock.Advance(ticket.TTL + time.Second)
	for range 100 {
		_, err = b.Issue("team", "svc")
		g.Expect(err).NotTo(HaveOccurred())
	}
}
