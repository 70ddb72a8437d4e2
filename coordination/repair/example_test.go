package repair_test

import (
	"fmt"
	"time"

	"github.com/troutmast/troutmast/coordination/repair"
	"github.com/troutmast/troutmast/state"
)

// A member that has been missing for a minute is replaced with a spare from the group's fabric domain.
func ExamplePlan() {
	group := &state.Group{Name: "hearth-1", Epoch: 7, Hall: "yxe-hall", Domain: "fabric-a", Members: []state.InstanceID{"gpu-1", "gpu-2"}}
	decisions := repair.Plan(repair.Input{
		Policy:             state.DefaultPolicy(),
		MaxConcurrentLoads: 1,
		Incomplete: []repair.Group{{
			Group:  group,
			Vacant: []repair.Vacancy{{Rank: 1, Instance: "gpu-2", MissingFor: time.Minute}},
			Weight: 1,
		}},
		Spares: []state.Place{{Instance: "gpu-3", Hall: "yxe-hall", Domain: "fabric-a"}},
	})
	d := decisions[0]
	fmt.Println(d.Group, d.Action, d.Reason)
	fmt.Println(d.Ops[0].ReplaceMember.Out, "->", d.Ops[0].ReplaceMember.In.Instance)
	// Output:
	// hearth-1 spare a spare costs less than waiting
	// gpu-2 -> gpu-3
}
