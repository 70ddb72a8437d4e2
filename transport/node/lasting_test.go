package node_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/standin"
	"github.com/troutmast/troutmast/state"
)

var _ = Describe("what must last", func() {
	It("outlives the log's retention: a new node starts from a snapshot behind which the log was trimmed", func() {
		GinkgoT().Setenv("TROUTMAST_SNAPSHOT_EVERY", "10")
		w := newWorld(2, []string{hallA, hallB})
		w.accepted("create group g model lm with gpu-1, gpu-2")
		for i := range 12 {
			w.accepted("begin; drain group g; undrain group g; allow team fleet in " + hallB + fmt.Sprintf(" places %d; commit", 50+i))
		}
		w.whole("g")
		n := w.Nodes[1]
		Eventually(func() string { return get(w.Nodes[0], "/metrics").body + get(n, "/metrics").body }, "10s").Should(ContainSubstring(`"snapshots"`))
		Expect(w.PlatformFault(standin.PlatformFaults{TrimBefore: state.Offset(10)})).To(Succeed())
		before, _ := w.Ctl(w.Nodes[0], "show teams")
		n.Kill()
		w.Nodes[0].Kill()
		Expect(w.StartNode(n)).To(Succeed())
		Expect(w.StartNode(w.Nodes[0])).To(Succeed())
		Eventually(func() int { return get(n, "/readyz").status }, "10s").Should(Equal(200))
		after, _ := w.Ctl(n, "show teams")
		Expect(after).To(Equal(before))
		Expect(after).To(ContainSubstring("61"))
		Eventually(func() int { return complete(n).status }, "10s").Should(Equal(200))
	})

	It("is not guessed: a node that no source shows the whole state is not ready and answers not-run", func() {
		w := newWorld(0, []string{hallA})
		Expect(w.PlatformFault(standin.PlatformFaults{TrimBefore: state.Offset(2)})).To(Succeed())
		n := w.Nodes[0]
		n.Kill()
		Expect(w.StartNode(n)).To(Succeed())
		Consistently(func() int { return get(n, "/readyz").status }, "1s", "100ms").Should(Equal(503))
		Expect(complete(n).reason).To(Equal("node-without-state"))
		Expect(complete(n).outcome).To(Equal("not-run"))
	})
})

var _ = Describe("a planned stop under claimed calls", func() {
	It("lets them end and records their results for repeats elsewhere", func() {
		w := newWorld(0, []string{hallA, hallA})
		w.withLedger()
		for _, id := range []string{"svc-1", "svc-2"} {
			Expect(w.TargetFault(id, standin.TargetFaults{Delay: 800})).To(Succeed())
		}
		n := w.Nodes[1]
		keys := make([]string, 6)
		results := make(chan reply, len(keys))
		for i := range keys {
			keys[i] = newKey()
			go func() { results <- pay(n, keys[i]) }()
		}
		time.Sleep(400 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		Expect(n.Stop(ctx)).To(Succeed())
		for range keys {
			Expect((<-results).outcome).To(Equal("run"))
		}
		for _, key := range keys {
			Eventually(func() string { return pay(w.Nodes[0], key).outcome }, "5s").Should(Equal("run"))
			Expect(w.runs(key)).To(Equal(1))
		}
	})
})

var _ = Describe("a service that checks keys itself", func() {
	It("goes on while the platform is out, and is not sent a call again that may have run", func() {
		w := newWorld(0, []string{hallA})
		Expect(w.StartTarget("svc-1", hallA, "plain", "--service")).To(Succeed())
		Expect(w.StartTarget("svc-2", hallA, "plain", "--service")).To(Succeed())
		w.accepted("create service kiosk-ledger at svc-1, svc-2 keys checked")
		Eventually(func() int { return get(w.Nodes[0], ledger).status }, "10s").Should(Equal(200))
		Expect(w.PlatformFault(standin.PlatformFaults{Outage: true})).To(Succeed())
		key := newKey()
		Expect(pay(w.Nodes[0], key).outcome).To(Equal("run"))
		for _, id := range []string{"svc-1", "svc-2"} {
			Expect(w.TargetFault(id, standin.TargetFaults{LoseAnswer: true})).To(Succeed())
		}
		lost := newKey()
		Expect(pay(w.Nodes[0], lost).outcome).To(Equal("unknown"))
		Expect(w.runs(lost)).To(Equal(1))
	})
})

var _ = Describe("a leaving target that the list does not show yet", func() {
	It("gets no new work once it says so itself, and the request in progress ends whole", func() {
		w := newWorld(2, []string{hallA}, "--token-delay", "20ms")
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		body := prompt("long", 150, true)
		result := make(chan reply, 1)
		go func() { result <- post(w.Nodes[0], "/v1/chat/completions", body) }()
		time.Sleep(200 * time.Millisecond)
		Expect(w.TargetFault("gpu-2", standin.TargetFaults{Leaving: true})).To(Succeed())
		Eventually(func() string { return complete(w.Nodes[0]).reason }, "2s").Should(Equal("no-whole-group"))
		text, done, _ := content((<-result).body)
		Expect(done).To(BeTrue())
		Expect(text).To(Equal(standin.Answer([]byte(body), 150)))
		Expect(strings.Contains(w.ask("why group g"), "a member is leaving")).To(BeTrue())
	})
})
