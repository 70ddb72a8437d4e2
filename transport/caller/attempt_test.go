package caller

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/routing"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/core"
)

// An instance that refuses requests, or asks for a cooldown, must not be probed for each of them.
func TestOnlyUnreachableInstancesAreProbedAfterAnAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		probed bool
	}{
		{"it could not be reached", fmt.Errorf("%w: refused", target.ErrUnreachable), true},
		{"it refused the request", &target.NotRunError{}, false},
		{"it is cooling down", fmt.Errorf("%w: cooling down", exchange.ErrHeldBack), false},
		{"its answer was lost", target.ErrTarget, false},
		{"the caller left", context.Canceled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			table := routing.NewTable()
			table.Update([]*state.Group{{Name: "g", Model: state.Model{Name: "m"}, Members: []state.InstanceID{"head", "other"}}})
			s := &Server{c: &core.Core{Unreached: make(chan state.InstanceID, 1)}}
			s.probeIfUnreachable(table.Get("g").BeginRequest(routing.Request{}), c.err)
			if c.probed {
				g.Expect(s.c.Unreached).To(Receive(Equal(state.InstanceID("head"))))
				return
			}
			g.Expect(s.c.Unreached).NotTo(Receive())
		})
	}
}
