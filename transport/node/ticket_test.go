package node_test

import (
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/internal/standin"
)

// newTicket asks a node for a ticket.
func newTicket(n *lab.Node) string {
	GinkgoHelper()
	r := post(n, "/v1/tickets", `{"service":"kiosk-ledger"}`)
	Expect(r.status).To(Equal(201), r.body)
	var a struct {
		Ticket string `json:"ticket"`
	}
	Expect(json.Unmarshal([]byte(r.body), &a)).To(Succeed())
	return a.Ticket
}

var _ = Describe("a call with a ticket", func() {
	It("runs once while the platform is out, wherever it is repeated", func() {
		w := newWorld(0, []string{hallA, hallA, hallB})
		w.withLedger()
		Expect(w.PlatformFault(standin.PlatformFaults{Outage: true})).To(Succeed())
		for i := range w.Nodes {
			key := newTicket(w.Nodes[i])
			var wg sync.WaitGroup
			results := make(chan reply, 12)
			for j := range cap(results) {
				wg.Go(func() { results <- pay(w.Nodes[j%3], key) })
			}
			wg.Wait()
			close(results)
			for r := range results {
				Expect(r.outcome).To(BeElementOf("run", "unknown"), "%+v", r)
			}
			Expect(w.runs(key)).To(Equal(1))
			again := pay(w.Nodes[(i+1)%3], key)
			Expect(again.outcome).To(Equal("run"), "%+v", again)
			Expect(w.runs(key)).To(Equal(1))
			Expect(post(w.Nodes[0], ledger, "other", "Idempotency-Key", key).reason).To(Equal("key-of-another-call"))
		}
		Expect(pay(w.Nodes[0], "tk~x").reason).To(Equal("ticket-not-valid"))
	})

	It("is of unknown outcome, and never run again, when its node was killed in the call or frozen past its deadline", func() {
		w := newWorld(0, []string{hallA, hallA})
		w.withLedger()
		for _, id := range []string{"svc-1", "svc-2"} {
			Expect(w.TargetFault(id, standin.TargetFaults{Delay: 500})).To(Succeed())
		}
		n := w.Nodes[1]
		key := newTicket(n)
		go pay(n, key)
		time.Sleep(250 * time.Millisecond)
		n.Kill()
		Eventually(func() string { return pay(w.Nodes[0], key).reason }, "5s").Should(Equal("ticket-node-gone"))
		Expect(w.StartNode(n)).To(Succeed())
		Eventually(func() int { return get(n, ledger).status }, "10s").Should(Equal(200))
		for _, other := range w.Nodes {
			r := pay(other, key)
			Expect(r.outcome).To(Equal("unknown"))
			Expect(r.reason).To(Equal("ticket-node-gone"))
		}
		Expect(w.runs(key)).To(Equal(1))

		frozen := newTicket(n)
		Expect(n.Signal(syscall.SIGSTOP)).To(Succeed())
		result := make(chan reply, 1)
		go func() { result <- pay(n, frozen, "Troutmast-Timeout", "300ms") }()
		Expect(pay(w.Nodes[0], frozen, "Troutmast-Timeout", "500ms").outcome).To(Equal("unknown"))
		Expect(n.Signal(syscall.SIGCONT)).To(Succeed())
		<-result
		time.Sleep(time.Second)
		Expect(w.runs(frozen)).To(BeNumerically("<=", 1))
		Expect(strings.HasPrefix(frozen, "tk~")).To(BeTrue())
	})
})
