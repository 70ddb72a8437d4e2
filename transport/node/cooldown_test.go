package node_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/standin"
)

// An overloaded engine refused requests and said for how long it wanted no further ones.
// A node took that for one refusal more and sent on, to the group that looked emptiest.
var _ = Describe("an engine that asks for a cooldown", func() {
	const (
		cooldown = 3 * time.Second
		// underWay is how long after a refusal a request that had left before may still arrive.
		underWay = 500 * time.Millisecond
	)
	// shed has an engine refuse all requests and ask for the cooldown.
	shed := func(w *world, id string) {
		GinkgoHelper()
		Expect(w.TargetFault(id, standin.TargetFaults{Refuse: true, Cooldown: int(cooldown.Milliseconds())})).To(Succeed())
	}
	// inCooldown returns how many requests an engine got in the cooldown after one that it refused.
	inCooldown := func(w *world, id string) int {
		GinkgoHelper()
		list, err := w.Refusals(id)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).NotTo(BeEmpty(), "nothing was refused")
		most := 0
		for _, at := range list {
			n := 0
			for _, a := range list {
				if d := a.Sub(at); d > underWay && d < cooldown {
					n++
				}
			}
			most = max(most, n)
		}
		return most
	}

	It("gets no requests meanwhile, and callers are served by the other group or told when to come back", func() {
		w := newWorld(2, []string{hallA})
		for _, i := range []string{"1", "2"} {
			w.accepted("create group g" + i + " model lm version v1 with gpu-" + i)
			w.whole("g" + i)
		}
		shed(w, "gpu-1")
		end := time.Now().Add(cooldown)
		for time.Now().Before(end) {
			r := complete(w.Nodes[0])
			Expect(r.status).To(Equal(200), "%+v", r)
		}
		Expect(inCooldown(w, "gpu-1")).To(BeZero())

		// With the other one shedding too, callers are told at once when the first is free.
		shed(w, "gpu-2")
		for range 20 {
			r := complete(w.Nodes[0])
			Expect(r.status).To(Equal(503), "%+v", r)
			Expect(r.outcome).To(Equal("not-run"))
			after, err := strconv.Atoi(r.after)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">", 0), BeNumerically("<=", 6)))
		}
		Expect(inCooldown(w, "gpu-2")).To(BeZero())

		// Both serve again once they no longer shed and their cooldowns have ended.
		Expect(w.TargetFault("gpu-1", standin.TargetFaults{})).To(Succeed())
		Expect(w.TargetFault("gpu-2", standin.TargetFaults{})).To(Succeed())
		for _, id := range []string{"gpu-1", "gpu-2"} {
			Eventually(func() int {
				complete(w.Nodes[0])
				list, _ := w.Journal(id)
				return len(list)
			}, "10s", "20ms").Should(BeNumerically(">", 0))
		}
	})
})
