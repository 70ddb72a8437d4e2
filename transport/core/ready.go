package core

import (
	"errors"
	"fmt"

	"github.com/troutmast/troutmast/coordination/statelog"
)

// Reasons for which a node is not ready.
var (
	ErrNeverRead = errors.New("the whole state has not been read yet")
	ErrStopping  = errors.New("the node is stopping")
	ErrUnseen    = errors.New("some instance of the hall has not been asked yet")
)

// Ready returns why the balancer should send no new requests here, or nil.
//
// A node that has held the whole state goes on serving when it is cut off from
// the platform: what it knows stays true, since nothing is assigned meanwhile.
func (c *Core) Ready() error {
	if err := c.Follower.Stopped(); err != nil && !errors.Is(err, statelog.ErrRestored) {
		return err
	}
	if c.Stopping.Load() {
		return ErrStopping
	}
	if !c.HasState() {
		return ErrNeverRead
	}
	if !c.Looked.Load() && c.Clock.Since(c.Started) < c.Settings.EvidenceWindow {
		return ErrUnseen
	}
	return c.behindPeers()
}

// HasState reports whether the node has held the whole state once, from the log or from a peer.
func (c *Core) HasState() bool { return c.Follower.CaughtUp() }

// behindPeers returns an error when a live peer has applied records that this
// node has not seen for longer than the bound.
func (c *Core) behindPeers() error {
	if c.LogFresh() {
		return nil
	}
	mine := c.Follower.AppliedOffset()
	for _, n := range c.Directory.LivePeers("", c.Clock.Now()) {
		if n.Applied > mine && n.LogLag < c.Settings.Behind {
			return fmt.Errorf("at offset %d, %s is at %d", mine, n.Name, n.Applied)
		}
	}
	return nil
}
