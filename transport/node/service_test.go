package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/internal/standin"
)

// ledger is the path of the plain service under test.
const ledger = "/svc/kiosk-ledger/receipts"

// withLedger starts two instances of a plain service and binds them.
func (w *world) withLedger() {
	GinkgoHelper()
	for _, id := range []string{"svc-1", "svc-2"} {
		Expect(w.StartTarget(id, hallA, "plain", "--service", "--slots", "64")).To(Succeed())
	}
	w.accepted("create service kiosk-ledger at svc-1, svc-2 keys claimed")
	for _, n := range w.Nodes {
		Eventually(func() int { return get(n, ledger).status }, "10s").Should(Equal(200))
	}
}

// get asks a node for a path.
func get(n *lab.Node, path string) reply {
	return send(n, http.MethodGet, path, "")
}

// pay calls the service with a key.
func pay(n *lab.Node, key string, header ...string) reply {
	return post(n, ledger, `{"amount":7}`, append([]string{"Idempotency-Key", key}, header...)...)
}

// runs counts how often the calls with a key were run, on all instances.
func (w *world) runs(key string) int {
	GinkgoHelper()
	n := 0
	for _, id := range []string{"svc-1", "svc-2"} {
		journal, err := w.Journal(id)
		Expect(err).NotTo(HaveOccurred())
		for _, e := range journal {
			if e.Key == key {
				n++
			}
		}
	}
	return n
}

var _ = Describe("a call that may not be repeated", func() {
	It("runs once, however often and wherever it is repeated, and every repeat gets the recorded result", func() {
		w := newWorld(0, []string{hallA, hallA, hallB})
		w.withLedger()
		key := newKey()
		var wg sync.WaitGroup
		results := make(chan reply, 30)
		for i := range cap(results) {
			wg.Go(func() { results <- pay(w.Nodes[i%3], key) })
		}
		wg.Wait()
		close(results)
		for r := range results {
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.outcome).To(BeElementOf("run", "unknown"), "%+v", r)
		}
		Expect(w.runs(key)).To(Equal(1))
		var first reply
		Eventually(func() string { first = pay(w.Nodes[0], key); return first.outcome }, "5s").Should(Equal("run"))
		Eventually(func() string { return pay(w.Nodes[2], key).body }, "5s").Should(Equal(first.body))
		Expect(w.runs(key)).To(Equal(1))
		Expect(post(w.Nodes[0], ledger, `{"amount":8}`, "Idempotency-Key", key).reason).To(Equal("key-of-another-call"))
	})

	It("has no node rebuild its routing table", func() {
		w := newWorld(0, []string{hallA, hallA})
		w.withLedger()
		n := w.Nodes[1]
		rebuilds := func() int {
			var m struct {
				Rebuilds struct {
					Count int `json:"count"`
				} `json:"routing.rebuilds"`
			}
			Expect(json.Unmarshal([]byte(get(n, "/metrics").body), &m)).To(Succeed())
			return m.Rebuilds.Count
		}
		// The instances of the service may be listed one after the other.
		const listed = 1200 * time.Millisecond
		before := -1
		Eventually(func() bool {
			last := before
			before = rebuilds()
			return before == last
		}, "15s", listed).Should(BeTrue())
		applied := w.applied(n)
		const calls = 20
		for range calls {
			w.paid(n, newKey())
		}
		Eventually(func() int { return w.applied(n) }, "5s").Should(BeNumerically(">=", applied+calls))
		Expect(rebuilds()).To(Equal(before))
	})

	It("is refused without a key, with a bad one, and with one older than the claim history", func() {
		w := newWorld(0, []string{hallA})
		w.withLedger()
		Expect(post(w.Nodes[0], ledger, "{}").reason).To(Equal("key-required"))
		Expect(pay(w.Nodes[0], "1").reason).To(Equal("key-not-uuidv7"))
		Expect(pay(w.Nodes[0], "019380e0-0000-7000-8000-000000000000").reason).To(Equal("key-not-covered"))
	})

	It("is told not-run while the platform is out, and then was not run", func() {
		w := newWorld(0, []string{hallA})
		w.withLedger()
		Expect(w.PlatformFault(standin.PlatformFaults{Outage: true})).To(Succeed())
		key := newKey()
		r := pay(w.Nodes[0], key, "Troutmast-Timeout", "1s")
		Expect(r.outcome).To(Equal("not-run"))
		Expect(r.reason).To(Equal("claim-not-settled"))
		Expect(r.after).NotTo(BeEmpty())
		Expect(w.runs(key)).To(BeZero())
		Expect(w.PlatformFault(standin.PlatformFaults{})).To(Succeed())
		Eventually(func() string { return pay(w.Nodes[0], key).outcome }, "10s").Should(Equal("run"))
		Expect(w.runs(key)).To(Equal(1))
	})

	It("survives a lost append answer together with a duplicated record", func() {
		w := newWorld(0, []string{hallA})
		w.withLedger()
		Expect(w.PlatformFault(standin.PlatformFaults{LoseAnswers: 2, Duplicates: 2})).To(Succeed())
		key := newKey()
		Expect(pay(w.Nodes[0], key).outcome).To(Equal("run"))
		Expect(w.runs(key)).To(Equal(1))
	})

	It("is unknown after the target has lost the answer, and stays so for every repeat", func() {
		w := newWorld(0, []string{hallA, hallA})
		w.withLedger()
		for _, id := range []string{"svc-1", "svc-2"} {
			Expect(w.TargetFault(id, standin.TargetFaults{LoseAnswer: true})).To(Succeed())
		}
		key := newKey()
		r := pay(w.Nodes[0], key)
		Expect(r.outcome).To(Equal("unknown"))
		for _, id := range []string{"svc-1", "svc-2"} {
			Expect(w.TargetFault(id, standin.TargetFaults{})).To(Succeed())
		}
		for _, n := range w.Nodes {
			Expect(pay(n, key).reason).To(Equal("earlier-attempt-unknown"))
		}
		Expect(w.runs(key)).To(Equal(1))
	})

	It("is never run by a node that was frozen after its claim until the deadline had passed, nor run twice when another node is asked meanwhile", func() {
		w := newWorld(0, []string{hallA, hallA})
		w.withLedger()
		Expect(w.PlatformFault(standin.PlatformFaults{Delay: 400})).To(Succeed())
		key := newKey()
		result := make(chan reply, 1)
		go func() { result <- pay(w.Nodes[1], key, "Troutmast-Timeout", "2s") }()
		time.Sleep(200 * time.Millisecond)
		Expect(w.Nodes[1].Signal(syscall.SIGSTOP)).To(Succeed())
		time.Sleep(2500 * time.Millisecond)
		Expect(w.PlatformFault(standin.PlatformFaults{})).To(Succeed())
		second := pay(w.Nodes[0], key)
		Expect(w.Nodes[1].Signal(syscall.SIGCONT)).To(Succeed())
		first := <-result
		time.Sleep(500 * time.Millisecond)
		Expect(w.runs(key)).To(BeNumerically("<=", 1))
		if first.outcome == "not-run" && second.outcome != "run" {
			Expect(w.runs(key)).To(BeZero())
		}
		Expect(first.outcome).To(Equal("not-run"))
		Eventually(func() string { return pay(w.Nodes[0], key).outcome }, "10s").Should(Equal("run"))
		Expect(w.runs(key)).To(Equal(1))
	})

	It("is run at most once over killed nodes, lost answers and callers that come back", func() {
		w := newWorld(0, []string{hallA, hallA, hallA})
		w.withLedger()
		keys := make([]string, 40)
		told := make([]string, len(keys))
		var wg sync.WaitGroup
		for i := range keys {
			keys[i] = newKey()
			wg.Go(func() {
				for attempt := range 6 {
					r := pay(w.Nodes[(i+attempt)%3], keys[i], "Troutmast-Timeout", "2s")
					if r.err == nil {
						told[i] = r.outcome
					}
					if r.outcome == "run" {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
			if i == 15 {
				Expect(w.PlatformFault(standin.PlatformFaults{LoseAnswers: 3, Duplicates: 3})).To(Succeed())
				w.Nodes[2].Kill()
			}
			time.Sleep(10 * time.Millisecond)
		}
		Expect(w.StartNode(w.Nodes[2])).To(Succeed())
		wg.Wait()
		ran := 0
		for i, key := range keys {
			n := w.runs(key)
			Expect(n).To(BeNumerically("<=", 1), "key %s", key)
			if told[i] == "run" {
				Expect(n).To(Equal(1))
			}
			ran += n
		}
		Expect(ran).To(BeNumerically(">=", len(keys)*3/4))
	})
})

var _ = Describe("what a caller is told", func() {
	It("is not-run only if no target has run the request, under refused connections, refusals, cuts and lost answers", func() {
		w := newWorld(0, []string{hallA})
		w.withLedger()
		faults := []standin.TargetFaults{{}, {Refuse: true}, {LoseAnswer: true}, {Truncate: true}, {Swap: true}, {Delay: 400}}
		told := map[string]reply{}
		for _, one := range faults {
			for _, other := range faults {
				Expect(w.TargetFault("svc-1", one)).To(Succeed())
				Expect(w.TargetFault("svc-2", other)).To(Succeed())
				key := newKey()
				told[key] = pay(w.Nodes[0], key, "Troutmast-Timeout", "300ms")
			}
		}
		w.Targets["svc-1"].Kill()
		for range 4 {
			key := newKey()
			told[key] = pay(w.Nodes[0], key, "Troutmast-Timeout", "1s")
		}
		count := map[string]int{}
		for key, r := range told {
			Expect(r.err).NotTo(HaveOccurred())
			count[r.outcome]++
			journal, err := w.Journal("svc-2")
			Expect(err).NotTo(HaveOccurred())
			ran := 0
			for _, e := range journal {
				if e.Key == key {
					ran++
				}
			}
			Expect(ran).To(BeNumerically("<=", 1))
			if r.outcome == "not-run" {
				Expect(ran).To(BeZero(), "%+v", r)
			}
		}
		Expect(count["not-run"]).To(BeNumerically(">", 0))
		Expect(count["unknown"]).To(BeNumerically(">", 0))
		Expect(count["run"]).To(BeNumerically(">", 0))
	})

	It("is its own answer under concurrency, with targets that answer for others or cut answers off", func() {
		w := newWorld(4, []string{hallA, hallB})
		w.accepted("begin; create group g1 model lm with gpu-1, gpu-2; create group g2 model lm with gpu-3, gpu-4; commit")
		w.whole("g1")
		w.whole("g2")
		Eventually(func() int { return complete(w.Nodes[1]).status }, "5s").Should(Equal(200))
		stop := make(chan struct{})
		var flips sync.WaitGroup
		flips.Go(func() {
			faults := []standin.TargetFaults{{Swap: true}, {}, {Truncate: true}, {}, {LoseAnswer: true}, {}}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					_ = w.TargetFault("gpu-1", faults[i%len(faults)])
				}
			}
		})
		var wg sync.WaitGroup
		var mu sync.Mutex
		answered := 0
		for i := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				for j := range 30 {
					body := prompt(fmt.Sprintf("question %d of %d", j, i), 4, false)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+j%20)*5*time.Millisecond)
					if j%3 != 0 {
						ctx = context.Background()
					}
					r := sendCtx(ctx, w.Nodes[i%2], http.MethodPost, "/v1/chat/completions", body, "X-Request-Id", fmt.Sprintf("r-%d-%d", i, j))
					cancel()
					if r.err != nil || r.status != 200 {
						continue
					}
					var a struct {
						ID      string `json:"id"`
						Choices []struct {
							Message struct {
								Content string `json:"content"`
							} `json:"message"`
						} `json:"choices"`
					}
					Expect(json.Unmarshal([]byte(r.body), &a)).To(Succeed())
					Expect(a.ID).To(Equal(fmt.Sprintf("r-%d-%d", i, j)))
					Expect(a.Choices[0].Message.Content).To(Equal(standin.Answer([]byte(body), 4)))
					mu.Lock()
					answered++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		close(stop)
		flips.Wait()
		Expect(answered).To(BeNumerically(">", 120))
		Expect(strings.Contains(w.ask("show limits"), "lm")).To(BeTrue())
	})
})
