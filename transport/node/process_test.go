package node_test

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/standin"
)

// afterWindow is longer than the evidence window of a node's default settings.
const afterWindow = 2 * time.Second

var _ = Describe("the whole path", func() {
	It("serves a group until a member is killed, and says which is missing", func() {
		w := newWorld(4, []string{hallA, hallB})
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("create group g model lm with gpu-1, gpu-2, gpu-3, gpu-4")
		w.whole("g")
		body := prompt("E4?", 4, false)
		for _, n := range w.Nodes {
			Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
		}
		r := post(w.Nodes[0], "/v1/chat/completions", prompt("E4?", 4, true))
		text, done, failed := content(r.body)
		Expect(text).To(Equal(standin.Answer([]byte(prompt("E4?", 4, true)), 4)))
		Expect(done).To(BeTrue())
		Expect(failed).To(BeFalse())
		Expect(post(w.Nodes[0], "/v1/chat/completions", body).body).To(ContainSubstring(standin.Answer([]byte(body), 4)))

		w.Targets["gpu-3"].Kill()
		time.Sleep(afterWindow)
		for _, n := range w.Nodes {
			r := complete(n)
			Expect(r.status).To(Equal(503))
			Expect(r.outcome).To(Equal("not-run"))
			Expect(r.reason).To(Equal("no-whole-group"))
			Expect(r.after).NotTo(BeEmpty())
		}
		Expect(w.ask("why group g")).To(ContainSubstring("not whole: gpu-3"))
		down, stranded := w.measures()
		time.Sleep(time.Second)
		downLater, strandedLater := w.measures()
		Expect(downLater-down).To(BeNumerically("~", 1, 0.8), "one group is down")
		Expect(strandedLater-stranded).To(BeNumerically("~", 4, 3), "four instances hold no working group")
	})
})

var _ = Describe("a member that goes missing", func() {
	It("in the middle of a stream: it is resumed elsewhere without a gap, or ends with an explicit error", func() {
		w := newWorld(4, []string{hallA}, "--token-delay", "50ms")
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("begin; create group g1 model lm with gpu-1, gpu-2; create group g2 model lm with gpu-3, gpu-4; commit")
		w.whole("g1")
		w.whole("g2")
		body := prompt("long", 60, true)
		results := make(chan reply, 6)
		for range cap(results) {
			go func() { results <- post(w.Nodes[0], "/v1/chat/completions", body) }()
		}
		time.Sleep(500 * time.Millisecond)
		w.Targets["gpu-2"].Kill()
		resumed := 0
		for range cap(results) {
			text, done, failed := content((<-results).body)
			Expect(done).NotTo(Equal(failed), "a stream is whole or says that it is not")
			if done {
				Expect(text).To(Equal(standin.Answer([]byte(body), 60)))
				resumed++
			}
		}
		Expect(resumed).To(Equal(6))
		last := make(chan reply, 1)
		go func() { last <- post(w.Nodes[0], "/v1/chat/completions", body) }()
		time.Sleep(500 * time.Millisecond)
		w.Targets["gpu-4"].Kill()
		text, done, failed := content((<-last).body)
		Expect(text).NotTo(BeEmpty())
		Expect(done).To(BeFalse())
		Expect(failed).To(BeTrue())
		Expect(standin.Answer([]byte(body), 60)).To(HavePrefix(text))
	})

	It("by freezing: nothing is let out after the evidence window, and the group serves again when it wakes", func() {
		w := newWorld(2, []string{hallA}, "--token-delay", "50ms")
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		result := make(chan reply, 1)
		go func() { result <- post(w.Nodes[0], "/v1/chat/completions", prompt("long", 200, true)) }()
		time.Sleep(300 * time.Millisecond)
		Expect(w.Targets["gpu-2"].Signal(syscall.SIGSTOP)).To(Succeed())
		frozen := time.Now()
		r := <-result
		Expect(time.Since(frozen)).To(BeNumerically("<", 4*time.Second))
		_, done, failed := content(r.body)
		Expect(done).To(BeFalse())
		Expect(failed).To(BeTrue())
		Expect(complete(w.Nodes[0]).reason).To(Equal("no-whole-group"))
		Expect(w.Targets["gpu-2"].Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() int { return complete(w.Nodes[0]).status }, "5s").Should(Equal(200))
	})

	It("by dying: its group stops as soon as a probe finds nothing listening, well inside the evidence window", func() {
		w := newWorld(2, []string{hallA, hallA})
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		for _, n := range w.Nodes {
			Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
		}
		w.Targets["gpu-2"].Kill()
		time.Sleep(1200 * time.Millisecond)
		for _, n := range w.Nodes {
			Expect(complete(n).reason).To(Equal("no-whole-group"))
		}
		Expect(w.ask("why group g")).To(ContainSubstring("gpu-2: nothing listens at its address"))
	})

	It("just before the last byte of a whole answer: the strict gate does not let it out", func() {
		w := newWorld(4, []string{hallA})
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("begin; create group s model lm gate strict with gpu-1, gpu-2; create group o model lm-w with gpu-3, gpu-4; commit")
		w.whole("s")
		w.whole("o")
		for _, id := range []string{"gpu-1", "gpu-3"} {
			Expect(w.TargetFault(id, standin.TargetFaults{Delay: 1000})).To(Succeed())
		}
		result := make(chan reply, 1)
		go func() { result <- complete(w.Nodes[0]) }()
		time.Sleep(900 * time.Millisecond)
		Expect(w.Targets["gpu-2"].Signal(syscall.SIGSTOP)).To(Succeed())
		r := <-result
		Expect(r.status).To(Equal(502))
		Expect(r.reason).To(Equal("group-not-whole"))
		Expect(r.outcome).To(Equal("unknown"))

		go func() {
			result <- post(w.Nodes[0], "/v1/chat/completions", `{"model":"lm-w","max_tokens":2,"messages":[]}`)
		}()
		time.Sleep(900 * time.Millisecond)
		Expect(w.Targets["gpu-4"].Signal(syscall.SIGSTOP)).To(Succeed())
		Expect((<-result).status).To(Equal(200), "the window gate accepts evidence that is still young")
	})

	It("is replaced by a spare, and becomes a spare when it returns", func() {
		w := newWorld(3, []string{hallA, hallB}, "--fences")
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 1s")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		w.Targets["gpu-2"].Kill()
		Eventually(func() string { return w.ask("show group g") }, "20s").Should(And(ContainSubstring("gpu-1 gpu-3"), ContainSubstring(" whole ")))
		Expect(w.ask("show instances where instance = gpu-2")).To(ContainSubstring("release"))
		Expect(w.RestartTarget("gpu-2", hallA, "fabric-a", "--fences")).To(Succeed())
		Eventually(func() string { return w.ask("show instances where instance = gpu-2") }, "20s").Should(ContainSubstring("free"))
	})
})

var _ = Describe("the platform", func() {
	It("loses an answer: the command is found by its id; duplicates change nothing", func() {
		w := newWorld(2, []string{hallA})
		Expect(w.PlatformFault(standin.PlatformFaults{LoseAnswers: 1, Duplicates: 1})).To(Succeed())
		out, code := w.Ctl(w.Nodes[0], "create group g model lm with gpu-1, gpu-2")
		Expect(out).To(HavePrefix("accepted"))
		Expect(code).To(Equal(0))
		w.whole("g")
		Expect(strings.Count(w.ask("show commands"), "create group g")).To(Equal(1))
	})

	It("is out: whole groups go on, commands are truly refused, a new node starts from a peer", func() {
		w := newWorld(2, []string{hallA, hallA, hallB})
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		Eventually(func() int { return complete(w.Nodes[1]).status }, "5s").Should(Equal(200))
		Expect(w.PlatformFault(standin.PlatformFaults{Outage: true})).To(Succeed())
		w.Nodes[1].Kill()
		Expect(w.StartNode(w.Nodes[1])).To(Succeed())
		Eventually(func() int { return complete(w.Nodes[1]).status }, "10s").Should(Equal(200))
		Expect(complete(w.Nodes[0]).status).To(Equal(200))
		out, code := w.Ctl(w.Nodes[0], "drain group g")
		Expect(out).To(HavePrefix("refused: platform-unavailable"))
		Expect(code).To(Equal(3))
		Expect(w.PlatformFault(standin.PlatformFaults{})).To(Succeed())
		Eventually(func() string { return w.ask("show groups") }, "5s").Should(ContainSubstring(" whole "))
	})
})

var _ = Describe("a planned stop", func() {
	It("of a node cuts off no stream and no new request while it still accepts", func() {
		w := newWorld(2, []string{hallA, hallA}, "--token-delay", "20ms")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[1]
		Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
		body := prompt("long", 100, true)
		var wg sync.WaitGroup
		results := make(chan reply, 6)
		for range 5 {
			wg.Go(func() { results <- post(n, "/v1/chat/completions", body) })
		}
		time.Sleep(200 * time.Millisecond)
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			ended <- n.Stop(ctx)
		}()
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() { results <- post(n, "/v1/chat/completions", body) })
		wg.Wait()
		for range 6 {
			text, done, _ := content((<-results).body)
			Expect(done).To(BeTrue())
			Expect(text).To(Equal(standin.Answer([]byte(body), 100)))
		}
		Expect(<-ended).To(Succeed())
		Expect(complete(w.Nodes[0]).status).To(Equal(200))
	})

	It("of a group waits for its last request on every node", func() {
		w := newWorld(2, []string{hallA, hallA}, "--token-delay", "20ms", "--fences")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[1]
		Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
		body := prompt("long", 150, true)
		result := make(chan reply, 1)
		go func() { result <- post(n, "/v1/chat/completions", body) }()
		time.Sleep(200 * time.Millisecond)
		w.accepted("release group g")
		Expect(complete(n).reason).To(Equal("no-whole-group"))
		text, done, _ := content((<-result).body)
		Expect(done).To(BeTrue())
		Expect(text).To(Equal(standin.Answer([]byte(body), 150)))
		Eventually(func() string { return w.ask("show instances") }, "10s").Should(And(Not(ContainSubstring("release")), ContainSubstring("free")))
	})
})

var _ = Describe("a leaving target", func() {
	It("gets no new work within two seconds, also from a node that only a peer tells", func() {
		w := newWorld(4, []string{hallA, hallA})
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("begin; create group g1 model lm with gpu-1, gpu-2; create group g2 model lm with gpu-3, gpu-4; commit")
		w.whole("g1")
		w.whole("g2")
		Eventually(func() int { return complete(w.Nodes[1]).status }, "5s").Should(Equal(200))
		Expect(w.PlatformFault(standin.PlatformFaults{CutFrom: []string{"troutmastd/" + w.Nodes[1].Name}})).To(Succeed())
		Expect(w.ListLeaving("gpu-2", hallA, "fabric-a")).To(Succeed())
		time.Sleep(2 * time.Second)
		from := time.Now()
		for range 20 {
			Expect(complete(w.Nodes[0]).status).To(Equal(200))
			Expect(complete(w.Nodes[1]).status).To(Equal(200))
		}
		journal, err := w.Journal("gpu-1")
		Expect(err).NotTo(HaveOccurred())
		for _, e := range journal {
			Expect(e.At).To(BeTemporally("<", from))
		}
		Expect(w.ask("show group g1")).To(ContainSubstring(" leaving "))
	})
})
