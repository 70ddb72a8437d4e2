package gateway

import (
	"context"
	"time"

	"github.com/troutmast/troutmast/protocol/direct"
)

// peerSource is another node that responds to a forwarded request. That node records what the response says about
// the instance.
type peerSource struct{ call *call }

func (peerSource) beginWait() {}

func (peerSource) endWait(error) bool { return false }

func (peerSource) dataReceived(time.Time) {}

func (peerSource) completed(*direct.Response) {}

func (s peerSource) lost(context.Context, error) attemptResult {
	if s.call.r.Context().Err() != nil {
		return resultCallerGone
	}
	return resultUnknown
}
