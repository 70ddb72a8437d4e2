// Package admission decides whether a request starts now, waits in a queue, or is
// refused at once with a time after which to retry.
package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/state"
)

// Code is the reason for a refusal.
type Code string

// The reasons for which a request is refused before it is sent.
const (
	CodeTeamLimit       Code = "team-limit"
	CodeQueueFull       Code = "queue-full"
	CodeDeadlineTooNear Code = "deadline-too-near"
	CodeDisplaced       Code = "displaced-by-priority"
	CodeNoWholeGroup    Code = "no-whole-group"
)

// Refusal is the error for a refused request: the reason and when to retry.
type Refusal struct {
	Code       Code
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("admission: request refused (%s), retry after %s", r.Code, r.RetryAfter.Round(time.Millisecond))
}

// numClasses is the number of priority classes.
const numClasses = int(state.PriorityBatch) + 1

// Config bounds a Pool.
type Config struct {
	// QueueFactor is the maximum queue length as a multiple of the capacity.
	QueueFactor float64
	// MinQueueLen is a lower limit for the maximum queue length, for pools of small capacity.
	MinQueueLen int
	// MinRetryAfter and MaxRetryAfter bound RetryAfter of a Refusal, before jitter.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the configuration that a node uses.
func DefaultConfig() Config {
	return Config{QueueFactor: 1, MinQueueLen: 8, MinRetryAfter: time.Second, MaxRetryAfter: 30 * time.Second}
}

// waiter is one queued request. granted receives nil when the request gets a slot, else its refusal.
type waiter struct {
	priority state.Priority
	deadline time.Time
	decision chan *Refusal
}

// Pool manages the slots of one model or service at one node. It is safe for concurrent use.
type Pool struct {
	cfg   Config
	clock clockwork.Clock

	mu       sync.Mutex
	capacity int
	held     int
	queues   [numClasses][]*waiter
	releases rateMeter
}

// NewPool returns a Pool without capacity.
func NewPool(cfg Config, clock clockwork.Clock) *Pool {
	return &Pool{cfg: cfg, clock: clock}
}

// SetCapacity sets the number of slots and admits queued requests to free ones. If n
// is 0, all queued requests are refused at once.
func (p *Pool) SetCapacity(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity = n
	p.admitQueued()
	if n > 0 {
		return
	}
	for w := p.dequeue(); w != nil; w = p.dequeue() {
		w.decision <- p.newRefusalLocked(CodeNoWholeGroup)
	}
}

// Capacity returns the number of slots.
func (p *Pool) Capacity() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacity
}

// InUse returns the number of slots in use and of queued requests.
func (p *Pool) InUse() (held, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, p.queuedBefore(numClasses)
}

// Acquire takes a slot and waits in the queue of the priority class if none is free.
// The caller must return the slot with Release. A request that is not expected to
// start before its deadline is refused at once.
func (p *Pool) Acquire(ctx context.Context, priority state.Priority, deadline time.Time) error {
	w, refusal := p.admit(priority, deadline)
	if refusal != nil {
		return refusal
	}
	if w == nil {
		return nil
	}
	timer := p.clock.NewTimer(p.clock.Until(deadline))
	defer timer.Stop()
	select {
	case refusal := <-w.decision:
		return asError(refusal)
	case <-ctx.Done():
		return p.abandon(w, ctx.Err())
	case <-timer.Chan():
		return p.abandon(w, p.newRefusal(CodeDeadlineTooNear))
	}
}

// asError converts a nil *Refusal to a nil error.
func asError(r *Refusal) error {
	if r == nil {
		return nil
	}
	return r
}

// admit takes a free slot and returns nil, nil, or queues the request, or refuses it.
func (p *Pool) admit(priority state.Priority, deadline time.Time) (*waiter, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held < p.capacity && p.queuedBefore(int(priority)+1) == 0 {
		p.held++
		return nil, nil
	}
	if p.capacity == 0 {
		return nil, p.newRefusalLocked(CodeNoWholeGroup)
	}
	if !p.makeRoom(priority) {
		return nil, p.newRefusalLocked(CodeQueueFull)
	}
	ahead := p.queuedBefore(int(priority) + 1)
	if p.clock.Now().Add(p.expectedWait(ahead + 1)).After(deadline) {
		return nil, p.newRefusalLocked(CodeDeadlineTooNear)
	}
	w := &waiter{priority: priority, deadline: deadline, decision: make(chan *Refusal, 1)}
	p.queues[priority] = append(p.queues[priority], w)
	p.refuseLate(int(priority) + 1)
	return w, nil
}

// makeRoom reports whether a request of a priority can be queued. If the queue is full, it
// evicts the last queued request of the lowest class below that priority. p.mu is held.
func (p *Pool) makeRoom(priority state.Priority) bool {
	bound := max(p.cfg.MinQueueLen, int(p.cfg.QueueFactor*float64(p.capacity)))
	if p.queuedBefore(numClasses) < bound {
		return true
	}
	for class := numClasses - 1; class > int(priority); class-- {
		if q := p.queues[class]; len(q) > 0 {
			q[len(q)-1].decision <- p.newRefusalLocked(CodeDisplaced)
			p.queues[class] = q[:len(q)-1]
			return true
		}
	}
	return false
}

// refuseLate refuses the queued requests of class first and below that, with the
// requests now ahead of them, are expected to miss their deadline. p.mu is held.
func (p *Pool) refuseLate(first int) {
	ahead := p.queuedBefore(first)
	for class := first; class < numClasses; class++ {
		kept := p.queues[class][:0]
		for _, w := range p.queues[class] {
			ahead++
			if p.clock.Now().Add(p.expectedWait(ahead)).After(w.deadline) {
				w.decision <- p.newRefusalLocked(CodeDeadlineTooNear)
				ahead--
				continue
			}
			kept = append(kept, w)
		}
		p.queues[class] = kept
	}
}

// queuedBefore returns the number of queued requests in the classes before end. p.mu is held.
func (p *Pool) queuedBefore(end int) int {
	n := 0
	for _, q := range p.queues[:end] {
		n += len(q)
	}
	return n
}

// expectedWait returns the expected time until n slots have been released, or 0 while the
// release rate is unknown. p.mu is held.
func (p *Pool) expectedWait(n int) time.Duration {
	perSecond := p.releases.perSecond(p.clock.Now())
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// newRefusal is newRefusalLocked for callers that do not hold p.mu.
func (p *Pool) newRefusal(code Code) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newRefusalLocked(code)
}

// newRefusalLocked returns a Refusal whose RetryAfter is the expected time to drain the
// queue, with jitter. p.mu is held.
func (p *Pool) newRefusalLocked(code Code) *Refusal {
	d := min(max(p.expectedWait(p.queuedBefore(numClasses)+1), p.cfg.MinRetryAfter), p.cfg.MaxRetryAfter)
	return &Refusal{Code: code, RetryAfter: Jitter(d)}
}

// Jitter returns a random duration between d and one and a half times d.
func Jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}

// abandon removes a request from the queue and returns err. If the request was granted a
// slot in the meantime, the slot is released.
func (p *Pool) abandon(w *waiter, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.queues[w.priority] {
		if other == w {
			p.queues[w.priority] = append(p.queues[w.priority][:i:i], p.queues[w.priority][i+1:]...)
			return err
		}
	}
	if refusal := <-w.decision; refusal == nil {
		p.held--
		p.admitQueued()
	}
	return err
}

// Release returns a slot and admits the next queued request.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
	p.releases.add(p.clock.Now())
	p.admitQueued()
}

// admitQueued admits queued requests, highest class first, while slots are free. p.mu is held.
func (p *Pool) admitQueued() {
	for p.held < p.capacity {
		w := p.dequeue()
		if w == nil {
			return
		}
		p.held++
		w.decision <- nil
	}
}

// dequeue removes and returns the next queued request, or nil if there is none. p.mu is held.
func (p *Pool) dequeue() *waiter {
	for class := range p.queues {
		if q := p.queues[class]; len(q) > 0 {
			p.queues[class] = q[1:]
			return q[0]
		}
	}
	return nil
}
