package node_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/standin"
)

// The log came back from an older copy. Offsets are given out again, and here they are claims,
// fencing tokens and the order of commands. Nodes waited for an offset above the log's end, or
// folded other records at offsets that they had not reached; commands timed out without a reason.
var _ = Describe("a log that comes back from an older copy", func() {
	DescribeTable("is noticed: commands and claims are refused with the reason, and groups go on serving",
		func(grow bool) {
			w := newWorld(2, []string{hallA, hallA})
			Expect(w.StartTarget("svc-1", hallA, "fabric-a", "--service")).To(Succeed())
			w.accepted("create group g model lm version v1 with gpu-1")
			w.whole("g")
			w.accepted("create service ledger at svc-1 keys claimed")
			call := func() reply { return post(w.Nodes[0], "/svc/ledger/x", "{}", "Idempotency-Key", newKey()) }
			Eventually(func() int { return call().status }, "10s").Should(Equal(200))
			Expect(w.PlatformFault(standin.PlatformFaults{Restore: 3})).To(Succeed())
			if grow {
				// A command of another node, which did not read meanwhile, fills the gap.
				for range 4 {
					_, _ = w.Ctl(w.Nodes[1], "create team t key "+teamKey)
				}
			}
			for _, n := range w.Nodes {
				Eventually(func() string {
					out, _ := w.Ctl(n, "create group h model lm version v1 with gpu-2")
					return out
				}, "10s", "100ms").Should(ContainSubstring("older copy"), "the reason is told")
			}
			r := call()
			Expect(r.status).To(Equal(503), "%+v", r)
			Expect(r.outcome).To(Equal("not-run"))
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, n := range w.Nodes {
					Expect(complete(n).status).To(Equal(200))
				}
			}
		},
		Entry("and is shorter than what was read", false),
		Entry("and has grown past what was read", true),
	)
})
