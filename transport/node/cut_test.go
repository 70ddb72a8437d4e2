package node_test

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/internal/standin"
	"github.com/troutmast/troutmast/protocol/platform"
)

// applied returns the offset that a node has applied, by its own word.
func (w *world) applied(n *lab.Node) int {
	GinkgoHelper()
	out, _ := w.Ctl(n, "show nodes where heard = self")
	_, row, found := strings.Cut(out, n.Name)
	Expect(found).To(BeTrue(), out)
	fields := strings.Fields(row)
	offset, err := strconv.Atoi(fields[2])
	Expect(err).NotTo(HaveOccurred(), out)
	return offset
}

// twoHalls returns a world with a group of its own model in each hall, and a node in each.
func twoHalls() *world {
	GinkgoHelper()
	return groupsInTwoHalls(newWorld(2, []string{hallA, hallB}))
}

// groupsInTwoHalls starts engines in hall B and makes a group of its own model in each hall.
func groupsInTwoHalls(w *world) *world {
	GinkgoHelper()
	for _, id := range []string{"b-1", "b-2"} {
		Expect(w.StartTarget(id, hallB, "fabric-b")).To(Succeed())
	}
	w.accepted("create group ga model lm with gpu-1, gpu-2")
	w.accepted("create group gb model lm-b with b-1, b-2")
	for _, n := range w.Nodes {
		Eventually(func() int { return complete(n).status }, "10s").Should(Equal(200))
		Eventually(func() int { return completeB(n).status }, "10s").Should(Equal(200))
	}
	return w
}

// completeB asks for the model that only hall B has.
func completeB(n *lab.Node) reply {
	return post(n, "/v1/chat/completions", strings.Replace(prompt("E4?", 4, false), `"lm"`, `"lm-b"`, 1))
}

var _ = Describe("a data hall that is cut off", func() {
	It("from the other hall and from the platform: it serves its own, refuses the rest truly, and takes up later configuration without ever going back", func() {
		w := twoHalls()
		a, b := w.Nodes[0], w.Nodes[1]
		before := w.applied(b)
		lab.Cut(a, b, true)
		Expect(w.PlatformFault(standin.PlatformFaults{CutFrom: []string{platform.UserAgent(b.Name)}})).To(Succeed())
		Eventually(func() string { return complete(b).reason }, "5s").Should(Equal("no-whole-group"))
		Expect(complete(b).outcome).To(Equal("not-run"))
		Expect(completeB(b).status).To(Equal(200))
		Expect(complete(a).status).To(Equal(200))

		out, code := w.Ctl(a, "drain group gb")
		Expect(code).To(Equal(0))
		Expect(out).To(And(HavePrefix("accepted"), ContainSubstring("in force on 1 of 2"), ContainSubstring("behind: "+b.Name)))
		out, code = w.Ctl(b, "drain group gb")
		Expect(out).To(HavePrefix("refused: platform-unavailable"))
		Expect(code).To(Equal(3))
		Expect(w.applied(b)).To(BeNumerically(">=", before))
		Expect(completeB(b).status).To(Equal(200), "what it has accepted stays in force while it is cut off")

		healed := time.Now()
		lab.Cut(a, b, false)
		Expect(w.PlatformFault(standin.PlatformFaults{})).To(Succeed())
		Eventually(func() string { return completeB(b).reason }, "10s", "20ms").Should(Equal("no-whole-group"))
		AddReportEntry("time until in force after the cut was healed", time.Since(healed))
		Expect(time.Since(healed)).To(BeNumerically("<", 5*time.Second))
		Expect(w.applied(b)).To(Equal(w.applied(a)))
	})

	It("from the platform alone: it learns accepted configuration from a peer within five seconds", func() {
		w := twoHalls()
		a, b := w.Nodes[0], w.Nodes[1]
		Expect(w.PlatformFault(standin.PlatformFaults{CutFrom: []string{platform.UserAgent(b.Name)}})).To(Succeed())
		out, code := w.Ctl(a, "drain group gb")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("in force on 2 of 2"))
		Expect(completeB(b).reason).To(Equal("no-whole-group"))
	})
})

var _ = Describe("a node that is frozen and wakes", func() {
	It("lets nothing of a stream out whose group has lost a member meanwhile", func() {
		w := newWorld(2, []string{hallA, hallA}, "--token-delay", "20ms")
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[1]
		Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
		body := prompt("long", 400, true)
		result := make(chan reply, 1)
		go func() { result <- post(n, "/v1/chat/completions", body) }()
		time.Sleep(300 * time.Millisecond)
		Expect(n.Signal(syscall.SIGSTOP)).To(Succeed())
		w.Targets["gpu-2"].Kill()
		time.Sleep(afterWindow)
		Expect(n.Signal(syscall.SIGCONT)).To(Succeed())
		text, done, failed := content((<-result).body)
		Expect(done).To(BeFalse())
		Expect(failed).To(BeTrue())
		tokens := strings.Count(text, " ")
		Expect(tokens).To(BeNumerically("<", 30), "it had 300 ms, at 20 ms a token, before it was frozen")
		Expect(standin.Answer([]byte(body), 400)).To(HavePrefix(text))
		Expect(complete(n).reason).To(Equal("no-whole-group"))
	})

	It("orders nothing from its old state: a stale order to an unchecked target makes no group of the past", func() {
		w := newWorld(3, []string{hallA, hallA})
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[1]
		Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
		Expect(n.Signal(syscall.SIGSTOP)).To(Succeed())
		w.accepted("move group g from gpu-2 to gpu-3")
		Eventually(func() string { return w.ask("show group g") }, "10s").Should(And(ContainSubstring(" whole "), ContainSubstring("gpu-1 gpu-3")))
		Expect(n.Signal(syscall.SIGCONT)).To(Succeed())
		for range 20 {
			Expect(w.ask("show instances where instance = gpu-2")).NotTo(ContainSubstring(" g "))
			time.Sleep(50 * time.Millisecond)
		}
		Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
	})
})

var _ = Describe("two faults at once", func() {
	It("a member killed while the platform is out: the group stops, nothing is assigned, and it is repaired when the platform is back", func() {
		w := newWorld(3, []string{hallA, hallA}, "--fences")
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 1s")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		Expect(w.PlatformFault(standin.PlatformFaults{Outage: true})).To(Succeed())
		w.Targets["gpu-2"].Kill()
		Eventually(func() string { return complete(w.Nodes[0]).reason }, "5s").Should(Equal("no-whole-group"))
		Consistently(func() string { return w.ask("show group g") }, "2s", "200ms").Should(ContainSubstring("gpu-1 gpu-2"))
		Expect(w.PlatformFault(standin.PlatformFaults{LoseAnswers: 1})).To(Succeed())
		Eventually(func() string { return w.ask("show group g") }, "20s").Should(And(ContainSubstring("gpu-1 gpu-3"), ContainSubstring(" whole ")))
	})

	It("racing operators on two nodes while answers are lost: one of two conflicting commands is accepted", func() {
		w := newWorld(3, []string{hallA, hallB})
		Expect(w.PlatformFault(standin.PlatformFaults{LoseAnswers: 4, Duplicates: 4})).To(Succeed())
		verdicts := make(chan string, 8)
		for i := range cap(verdicts) {
			go func() {
				out, _ := w.Ctl(w.Nodes[i%2], fmt.Sprintf("create group r%d model lm with gpu-1, gpu-2", i))
				verdicts <- out
			}()
		}
		accepted := 0
		for range cap(verdicts) {
			out := <-verdicts
			if strings.HasPrefix(out, "accepted") {
				accepted++
				continue
			}
			Expect(out).To(HavePrefix("refused at"))
			Expect(out).To(ContainSubstring("instance-in-use"))
		}
		Expect(accepted).To(Equal(1))
		first, _ := w.Ctl(w.Nodes[0], "show groups")
		second, _ := w.Ctl(w.Nodes[1], "show groups")
		Expect(strings.Count(first, "gpu-1 gpu-2")).To(Equal(1))
		Expect(strings.Count(second, "gpu-1 gpu-2")).To(Equal(1))
	})
})
