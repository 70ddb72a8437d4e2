package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/protocol/direct"
)

// instanceSource is an instance that responds to an attempt.
type instanceSource struct {
	call    *call
	target  *dispatch.Candidate
	watched *watchedAttempt
	sent    time.Time
}

func (s *instanceSource) beginWait() { s.watched.beginWait() }

func (s *instanceSource) endWait(err error) bool { return s.watched.endWait(err) }

func (s *instanceSource) dataReceived(now time.Time) {
	s.call.StallDetector.recordData(s.watched, now)
	s.call.hold.RecordFirstEvent()
	s.call.recordFirstEvent(s.target.ID, now)
}

// completed records a complete response of the instance. A response that is delimited by the end of its
// connection also looks complete if the instance ended, so it clears the request only once the instance responds again.
func (s *instanceSource) completed(resp *direct.Response) {
	s.call.Breakers.RecordValidResponse(&s.target.Instance, s.sent)
	if resp.Status >= http.StatusInternalServerError {
		s.target.RecordFailure()
		return
	}
	s.target.RecordCompleteResponse()
	r := s.call.identity
	if resp.Status >= http.StatusMultipleChoices {
		r.Parts = nil // the instance may have refused the request before it read the prompt
	}
	if !resp.IsFramed() {
		s.call.Quarantine.RecordUnconfirmed(r, s.target.Instance, s.sent)
		return
	}
	s.call.Quarantine.RecordComplete(r)
}

func (s *instanceSource) lost(ctx context.Context, err error) attemptResult {
	return s.call.handleLostResponse(ctx, s.target, s.sent, err)
}
