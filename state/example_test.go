package state_test

import (
	"fmt"
	"time"

	"github.com/troutmast/troutmast/state"
)

// Two operators create groups with the same instance. The record with the lower offset is accepted;
// the other is refused with a reason.
func ExampleState_Apply() {
	now := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	createGroup := func(name state.GroupName) []state.Op {
		place := state.Place{Instance: "gpu-1", Hall: "yxe-hall", Domain: "fabric-a"}
		return []state.Op{{CreateGroup: &state.CreateGroup{Name: name, Model: state.Model{Name: "hearth-lm"}, Gate: state.GateWindow, Members: []state.Place{place}}}}
	}
	s := state.New()
	for i, name := range []state.GroupName{"first", "second"} {
		r := &state.Record{Version: state.RecordVersion, ID: idAt(now, i), Kind: state.KindCommand, By: "example", Ops: createGroup(name)}
		data, err := r.Encode()
		if err != nil {
			fmt.Println(err)
			return
		}
		o, err := s.Apply(state.Entry{Offset: s.Offset() + 1, Time: now, Data: data})
		fmt.Println(o.Offset, o.Accepted, o.Reason, o.Detail, err)
	}
	// Output:
	// 1 true   <nil>
	// 2 false instance-in-use statement 1: gpu-1 is in group first since 1 <nil>
}
