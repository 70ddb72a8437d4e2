package admission_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/admission"
	_ "github.com/troutmast/troutmast/internal/seed"
	"github.com/troutmast/troutmast/state"
)

// refusalCode returns the code of err if it is a Refusal, else "".
func refusalCode(err error) admission.Code {
	var r *admission.Refusal
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// newPool returns a Pool with the given number of slots and its fake clock.
func newPool(slots int) (*admission.Pool, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	p := admission.NewPool(admission.DefaultConfig(), clock)
	p.SetCapacity(slots)
	return p, clock
}

// acquire calls Acquire in a goroutine and returns its result channel once the request is queued or done.
func acquire(p *admission.Pool, priority state.Priority, deadline time.Time) <-chan error {
	_, before := p.InUse()
	result := make(chan error, 1)
	go func() { result <- p.Acquire(context.Background(), priority, deadline) }()
	for range 2000 {
		if _, waiting := p.InUse(); waiting != before || len(result) > 0 {
			return result
		}
		time.Sleep(time.Millisecond)
	}
	return result
}

// TestPoolAccountsForEveryGrantedSlot guards against slots that leak or are counted twice when
// acquisitions, cancellations, releases and capacity changes interleave.
func TestPoolAccountsForEveryGrantedSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		p := admission.NewPool(admission.DefaultConfig(), clock)
		capacity, granted := 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				capacity = rapid.IntRange(0, 5).Draw(t, "capacity")
				p.SetCapacity(capacity)
			case 1, 2:
				priority := state.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
				wg.Go(func() {
					if p.Acquire(ctx, priority, clock.Now().Add(time.Hour)) == nil {
						mu.Lock()
						granted++
						mu.Unlock()
					}
				})
			default:
				mu.Lock()
				release := granted > 0
				if release {
					granted--
				}
				mu.Unlock()
				if release {
					p.Release()
				}
			}
			clock.Advance(10 * time.Millisecond)
		}
		cancel()
		wg.Wait()
		held, queued := p.InUse()
		if held != granted || queued != 0 {
			t.Fatalf("InUse() = %d held, %d waiting; want %d held, 0 waiting", held, queued, granted)
		}
	})
}

func TestHigherPriorityClassesAreAdmittedFirst(t *testing.T) {
	g := NewWithT(t)
	p, clock := newPool(1)
	far := clock.Now().Add(time.Hour)
	g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
	batch := acquire(p, state.PriorityBatch, far)
	normal := acquire(p, state.PriorityNormal, far)
	alert := acquire(p, state.PriorityAlert, far)
	for _, next := range []<-chan error{alert, normal, batch} {
		p.Release()
		g.Expect(<-next).To(Succeed())
	}
}

func TestFullQueueEvictsForHigherPriorityOnly(t *testing.T) {
	g := NewWithT(t)
	p, clock := newPool(1)
	far := clock.Now().Add(time.Hour)
	g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
	var queued []<-chan error
	for range admission.DefaultConfig().MinQueueLen {
		queued = append(queued, acquire(p, state.PriorityNormal, far))
	}
	err := p.Acquire(context.Background(), state.PriorityNormal, far)
	g.Expect(refusalCode(err)).To(Equal(admission.CodeQueueFull))
	alert := acquire(p, state.PriorityAlert, far)
	g.Expect(refusalCode(<-queued[len(queued)-1])).To(Equal(admission.CodeDisplaced))
	p.Release()
	g.Expect(<-alert).To(Succeed())
}

// TestRequestsThatWouldMissTheirDeadlineAreRefusedAtOnce covers a new request that would miss
// its deadline, and a queued one that would miss it once an alert is queued ahead of it.
func TestRequestsThatWouldMissTheirDeadlineAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p, clock := newPool(1)
	far := clock.Now().Add(time.Hour)
	for range 20 {
		g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
		clock.Advance(time.Second)
		p.Release()
	}
	g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
	g.Expect(refusalCode(p.Acquire(context.Background(), state.PriorityNormal, clock.Now().Add(500*time.Millisecond)))).To(Equal(admission.CodeDeadlineTooNear))
	queued := acquire(p, state.PriorityNormal, clock.Now().Add(1500*time.Millisecond))
	g.Expect(queued).To(BeEmpty())
	acquire(p, state.PriorityAlert, far)
	g.Expect(refusalCode(<-queued)).To(Equal(admission.CodeDeadlineTooNear))
}

// TestRetryAfterGrowsWithTheQueue checks that RetryAfter follows from the queue length and the
// release rate: 11 requests at 2 releases a second, plus up to half as much jitter.
func TestRetryAfterGrowsWithTheQueue(t *testing.T) {
	g := NewWithT(t)
	p, clock := newPool(10)
	far := clock.Now().Add(time.Hour)
	for range 100 {
		g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
		clock.Advance(500 * time.Millisecond)
		p.Release()
	}
	for range 10 {
		g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
	}
	for range 10 {
		acquire(p, state.PriorityNormal, far)
	}
	var r *admission.Refusal
	g.Expect(errors.As(p.Acquire(context.Background(), state.PriorityNormal, far), &r)).To(BeTrue())
	g.Expect(r.RetryAfter).To(And(BeNumerically(">=", 4*time.Second), BeNumerically("<=", 10*time.Second)))
}

func TestQueuedRequestsAreRefusedWhenCapacityDropsToZero(t *testing.T) {
	g := NewWithT(t)
	p, clock := newPool(1)
	far := clock.Now().Add(time.Hour)
	g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
	first, second := acquire(p, state.PriorityAlert, far), acquire(p, state.PriorityBatch, far)
	p.SetCapacity(0)
	g.Eventually(first).Should(Receive(WithTransform(refusalCode, Equal(admission.CodeNoWholeGroup))))
	g.Eventually(second).Should(Receive(WithTransform(refusalCode, Equal(admission.CodeNoWholeGroup))))
}

func TestCancelledRequestReleasesItsSlot(t *testing.T) {
	g := NewWithT(t)
	p, clock := newPool(1)
	far := clock.Now().Add(time.Hour)
	for range 200 {
		g.Expect(p.Acquire(context.Background(), state.PriorityNormal, far)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())
		result := make(chan error, 1)
		go func() { result <- p.Acquire(ctx, state.PriorityNormal, far) }()
		go cancel()
		p.Release()
		if <-result == nil {
			p.Release()
		}
	}
	held, waiting := p.InUse()
	g.Expect(fmt.Sprint(held, waiting)).To(Equal("0 0"))
}

func TestTeamsHoldNoMoreThanTheirLimit(t *testing.T) {
	g := NewWithT(t)
	var teams admission.Teams
	var wg sync.WaitGroup
	var mu sync.Mutex
	granted := 0
	for range 50 {
		wg.Go(func() {
			if teams.Acquire("t", 7) {
				mu.Lock()
				granted++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	g.Expect(granted).To(Equal(7))
	teams.Release("t")
	g.Expect(teams.Acquire("t", 7)).To(BeTrue())
	g.Expect(teams.InUse("t")).To(Equal(7))
}
