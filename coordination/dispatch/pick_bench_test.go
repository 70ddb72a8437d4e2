package dispatch_test

import (
	"testing"
	"time"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Measures the two decisions on a new request, whether to admit it and where to send it, among 18 and 74 groups.
func BenchmarkAdmitAndPick(b *testing.B) {
	for _, c := range []struct {
		name   string
		groups int
	}{{"18 groups", 18}, {"74 groups", 74}} {
		b.Run(c.name, func(b *testing.B) {
			table := dispatch.NewTable("h", dispatch.DefaultPolicy())
			heads := openHeads(c.groups)
			table.Update(prefillCatalog(), heads, func(fleet.GroupKey) bool { return false })
			others := map[state.InstanceID]int{}
			for i, h := range heads {
				others[h.ID] = i % 19
			}
			table.UpdateLoad(others, []demand.Flow{{Service: "lm", Model: "m", Requests: 320, PromptTokens: 320 * 700}}, nil)
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if table.Admit("lm", "m", now, excludeNone) {
					table.Pick("lm", "m", now, excludeNone).BeginRequest(0, now).End(now)
				}
			}
		})
	}
}
