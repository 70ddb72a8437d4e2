package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/transport/event"
)

// errSuperseded ends a handover whose request has gone on at its first instance.
var errSuperseded = errors.New("gateway: the instance that was silent has gone on")

// errHandedOver ends an attempt whose response another instance has taken over.
var errHandedOver = errors.New("gateway: instance silent, another one has taken over the response")

// errNotTakenOver is the error of writes to the caller by a handover that has not taken over the response.
var errNotTakenOver = errors.New("gateway: the handover has not taken over the response")

// handoverState is the state of a handover.
type handoverState int32

// The states of a handover. It leaves the first one once.
const (
	// handoverPending means that neither instance has sent anything since the handover began.
	handoverPending handoverState = iota
	// handoverTaken means that the other instance has taken over the response.
	handoverTaken
	// handoverDropped means that the first instance has gone on, or that no other one took over the response.
	handoverDropped
)

// handover tries to serve a request whose instance is silent at another instance, while the attempt at the first one
// stays open. The first of the two to send data serves the request, since the silent instance may only be paused. No
// attempt is given up before another one has an answer.
type handover struct {
	state atomic.Int32
	// next is the call as the handover continues it. It belongs to the handover until done is closed, and to the call after that.
	next *call
	// reason is what the silent instance did.
	reason event.Failure
	// cancelNext ends the attempts of the handover, cancelFirst the attempt at the silent instance.
	cancelNext, cancelFirst context.CancelCauseFunc
	done                    chan struct{}
	// refused is the refusal with which the handover ended, panicked what it panicked with, and stack where.
	refused  *refusal
	panicked any
	stack    []byte
}

// beginHandover starts a handover of a call whose goroutine waits for the silent instance.
func (c *call) beginHandover(reason event.Failure, cancelFirst context.CancelCauseFunc) *handover {
	ctx, cancel := context.WithCancelCause(c.ctx)
	h := &handover{reason: reason, cancelNext: cancel, cancelFirst: cancelFirst, done: make(chan struct{})}
	next := *c
	next.handover, next.ctx, next.tried, next.pendingBytes = h, ctx, slices.Clone(c.tried), 0
	next.w = &handoverWriter{handover: h, caller: c.w, header: http.Header{}}
	if !c.hasArrived {
		next.arrivals++ // the silent instance has probably received the request
	}
	h.next = &next
	c.Recorder.Count("handover.begun")
	go h.run()
	return h
}

// run serves the request at other instances.
func (h *handover) run() {
	defer close(h.done)
	defer func() {
		if h.panicked = recover(); h.panicked != nil {
			h.stack = debug.Stack()
		}
		h.state.CompareAndSwap(int32(handoverPending), int32(handoverDropped))
		h.cancelNext(nil)
	}()
	h.refused = h.next.serve()
}

// takeOver makes the handover the one that answers the caller, if neither instance has sent anything yet. It reports whether
// the handover does.
func (h *handover) takeOver() bool {
	if h.state.CompareAndSwap(int32(handoverPending), int32(handoverTaken)) {
		h.cancelFirst(errHandedOver)
	}
	return h.isTaken()
}

// isTaken reports whether the handover answers the caller.
func (h *handover) isTaken() bool { return handoverState(h.state.Load()) == handoverTaken }

// drop ends the handover, unless it answers the caller.
func (h *handover) drop() {
	if h.state.CompareAndSwap(int32(handoverPending), int32(handoverDropped)) {
		h.cancelNext(errSuperseded)
	}
}

// isPendingHandover reports whether the call is that of a handover that does not answer the caller.
func (c *call) isPendingHandover() bool { return c.handover != nil && !c.handover.isTaken() }

// isSuperseded reports whether the call is that of a handover which was ended because the first instance has gone on.
func (c *call) isSuperseded() bool { return errors.Is(context.Cause(c.ctx), errSuperseded) }

// mergeHandover records the attempts of a handover that has ended without taking over the response.
func (c *call) mergeHandover(h *handover) {
	c.Recorder.Count("handover.dropped")
	if h.panicked != nil { // the attempt at the first instance is not affected
		c.Recorder.Count("handover.panicked")
		c.Recorder.LogDecision(&event.HandoverPanicked{Request: c.eventRequest(), Panic: fmt.Sprint(h.panicked), Stack: string(h.stack)})
	}
	if next := h.next; next.account != nil {
		next.account.ReleaseUnread(next.pendingBytes)
	}
	c.tried, c.sends, c.runs, c.arrivals = h.next.tried, h.next.sends, h.next.runs, h.next.arrivals
	if !c.hasArrived {
		c.arrivals--
	}
	c.forwardState, c.lastFailure, c.responseBytes = h.next.forwardState, h.next.lastFailure, h.next.responseBytes
}

// finishHandover makes the state of a handover that has answered the caller that of the call, and records that the first
// attempt is lost.
func (c *call) finishHandover(h *handover, first *watchedAttempt) {
	c.Recorder.Count("handover.taken")
	if h.reason == event.Silent {
		c.Recorder.Count("attempt.silent")
	}
	first.target.RecordFailure()
	c.logFailure(first.target, first.sentAt, h.reason, errHandedOver)
	c.Quarantine.RecordInterruption(c.identity, possiblyEndedInstances(first.target, h.reason), first.sentAt)
	if c.account != nil {
		c.account.ReleaseUnread(c.pendingBytes)
	}
	w, ctx, outer := c.w, c.ctx, c.handover
	*c = *h.next
	c.w, c.ctx, c.handover = w, ctx, outer
	if h.panicked != nil {
		panic(h.panicked)
	}
}

// handoverWriter writes the response of a handover to the caller. The first byte of a response that is no server error takes
// the response over.
type handoverWriter struct {
	handover *handover
	caller   http.ResponseWriter
	header   http.Header
	failed   bool
}

// Header implements http.ResponseWriter. The header map is that of the caller once the handover has taken over.
func (w *handoverWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *handoverWriter) WriteHeader(status int) {
	if w.failed = status >= http.StatusInternalServerError || !w.handover.takeOver(); w.failed {
		return
	}
	maps.Copy(w.caller.Header(), w.header)
	w.header = w.caller.Header()
	w.caller.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *handoverWriter) Write(p []byte) (int, error) {
	if w.failed || !w.handover.takeOver() {
		return 0, errNotTakenOver
	}
	return w.caller.Write(p)
}

// Unwrap returns the writer of the caller, for http.ResponseController.
func (w *handoverWriter) Unwrap() http.ResponseWriter { return w.caller }

// beginWait begins a wait of the call's goroutine for the network. Until endWait, the detector may begin a handover.
func (a *watchedAttempt) beginWait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isWaiting = true
}

// endWait ends a wait for the network that ended with an error or, if err is nil, with data of the instance. It reports
// whether a handover has answered the caller meanwhile; the call has then ended.
func (a *watchedAttempt) endWait(err error) (handedOver bool) {
	a.mu.Lock()
	h := a.handover
	a.isWaiting, a.handover = false, nil
	a.mu.Unlock()
	if h == nil {
		return false
	}
	if err == nil {
		h.drop()
	}
	<-h.done
	if h.isTaken() {
		a.call.finishHandover(h, a)
		a.call.handoverRefusal = h.refused
		return true
	}
	a.call.mergeHandover(h)
	return false
}

// tryHandover begins a handover of the attempt, unless one is in progress, the last one ended a moment ago, or the request may
// not run at another instance.
func (a *watchedAttempt) tryHandover(reason event.Failure, now time.Time, interval time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isWaiting || a.call.isPendingHandover() || now.Sub(a.handoverAt) < interval {
		return
	}
	if h := a.handover; h != nil {
		select {
		case <-h.done:
		default:
			return
		}
		if h.isTaken() {
			return
		}
		a.handover = nil
		a.call.mergeHandover(h)
	}
	if !a.call.canRunElsewhere() || !a.call.hasAlternative() {
		return
	}
	a.handoverAt = now
	a.handover = a.call.beginHandover(reason, a.cancel)
}

// canRunElsewhere reports whether the request may run at another instance.
func (c *call) canRunElsewhere() bool { return c.route.CanRetry() && c.runs < c.route.MaxAttempts }

// hasAlternative reports whether another instance, or another node that reaches one, may take the request.
func (c *call) hasAlternative() bool {
	isUntried := func(t *dispatch.Candidate) bool { return !slices.Contains(c.tried, t.ID) }
	return slices.ContainsFunc(c.Table.Candidates(c.service, c.model), isUntried) || c.shouldForward(nil)
}
