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

// newBook returns a Book with a fake clock and one ticket.
func newBook(t *testing.T) (*ticket.Book, *clockwork.FakeClock, string) {
	clock := clockwork.NewFakeClock()
	b := ticket.NewBook("n", "1", clock)
	tk, err := b.Mint("team", "svc")
	if err != nil {
		t.Fatal(err)
	}
	return b, clock, tk
}

func TestSpend(t *testing.T) {
	result := &state.Result{Status: 200}
	cases := []struct {
		name    string
		prepare func(b *ticket.Book, clock *clockwork.FakeClock, tk string)
		team    state.TeamName
		request string
		result  *state.Result
		err     error
	}{
		{"unspent", func(*ticket.Book, *clockwork.FakeClock, string) {}, "team", "r", nil, nil},
		{"spent, result unknown", func(b *ticket.Book, _ *clockwork.FakeClock, tk string) { _, _ = b.Spend(tk, "team", "svc", "r") }, "team", "r", nil, ticket.ErrUnknown},
		{"spent, result recorded", func(b *ticket.Book, _ *clockwork.FakeClock, tk string) {
			_, _ = b.Spend(tk, "team", "svc", "r")
			b.Finish(tk, result)
		}, "team", "r", result, nil},
		{"released", func(b *ticket.Book, _ *clockwork.FakeClock, tk string) {
			_, _ = b.Spend(tk, "team", "svc", "r")
			b.GiveBack(tk)
		}, "team", "r", nil, nil},
		{"released after its result was recorded", func(b *ticket.Book, _ *clockwork.FakeClock, tk string) {
			_, _ = b.Spend(tk, "team", "svc", "r")
			b.Finish(tk, result)
			b.GiveBack(tk)
		}, "team", "r", result, nil},
		{"spent on another call", func(b *ticket.Book, _ *clockwork.FakeClock, tk string) { _, _ = b.Spend(tk, "team", "svc", "other") }, "team", "r", nil, ticket.ErrConflict},
		{"another team", func(*ticket.Book, *clockwork.FakeClock, string) {}, "thief", "r", nil, ticket.ErrConflict},
		{"expired", func(_ *ticket.Book, clock *clockwork.FakeClock, _ string) { clock.Advance(ticket.Horizon) }, "team", "r", nil, ticket.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b, clock, tk := newBook(t)
			c.prepare(b, clock, tk)
			got, err := b.Spend(tk, c.team, "svc", c.request)
			g.Expect(errors.Is(err, c.err)).To(BeTrue(), "%v", err)
			g.Expect(got).To(Equal(c.result))
		})
	}
}

func TestSpendRefusesOtherIncarnationsAndMalformedTickets(t *testing.T) {
	g := NewWithT(t)
	_, clock, tk := newBook(t)
	for _, other := range []*ticket.Book{ticket.NewBook("n", "2", clock), ticket.NewBook("m", "1", clock)} {
		_, err := other.Spend(tk, "team", "svc", "r")
		g.Expect(errors.Is(err, ticket.ErrOtherIncarnation)).To(BeTrue())
	}
	b, _, _ := newBook(t)
	for _, bad := range []string{"", "tk", "tk~~1~x", "tk~n~1", "x~n~1~y"} {
		_, err := b.Spend(bad, "team", "svc", "r")
		g.Expect(errors.Is(err, ticket.ErrMalformed)).To(BeTrue(), bad)
	}
}

func TestConcurrentSpendsRunOnce(t *testing.T) {
	b, _, tk := newBook(t)
	var wg sync.WaitGroup
	var ran atomic.Int32
	for range 50 {
		wg.Go(func() {
			if r, err := b.Spend(tk, "team", "svc", "r"); r == nil && err == nil {
				ran.Add(1)
			}
		})
	}
	wg.Wait()
	NewWithT(t).Expect(ran.Load()).To(Equal(int32(1)))
}

func TestMintLimitsTickets(t *testing.T) {
	g := NewWithT(t)
	b, clock, _ := newBook(t)
	var err error
	for n := 0; err == nil; n++ {
		g.Expect(n).To(BeNumerically("<=", ticket.MaxTickets))
		_, err = b.Mint("team", state.ServiceName(fmt.Sprint(n)))
	}
	g.Expect(errors.Is(err, ticket.ErrFull)).To(BeTrue())
	clock.Advance(ticket.Horizon + time.Second)
	for range 100 {
		_, err = b.Mint("team", "svc")
		g.Expect(err).NotTo(HaveOccurred())
	}
}
