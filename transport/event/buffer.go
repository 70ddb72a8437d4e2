package event

import (
	"time"

	"github.com/apex/log"
)

// ReaderCut records that a node disconnected a caller that reads too slowly.
type ReaderCut struct {
	Request
	// Caller is the address of the caller, Origin the name of the node that forwarded the request, if one did.
	Caller, Origin string
	Route          string
	Model          string
	Reason         string
	// Unread is the number of bytes that the node held of the response, NodeBytes what it held for all callers, including these.
	Unread, NodeBytes int64
	// Took is the time since the request arrived.
	Took time.Duration
}

// Name implements Decision.
func (e *ReaderCut) Name() string { return "reader-cut" }

// Fields implements log.Fielder.
func (e *ReaderCut) Fields() log.Fields {
	return log.Fields{
		"request": e.ID, "fingerprint": e.Fingerprint, "caller": e.Caller, "origin": e.Origin, "route": e.Route, "model": e.Model,
		"reason": e.Reason, "unread": e.Unread, "node_bytes": e.NodeBytes, "ms": e.Took.Milliseconds(),
	}
}
