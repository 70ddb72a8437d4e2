package node_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/internal/standin"
	"github.com/troutmast/troutmast/internal/upgrade"
	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/transport/caller"
)

// inProduction returns the program of the version that the deploy file names.
func inProduction() string {
	GinkgoHelper()
	const root = "../.."
	commit, err := upgrade.Production(root)
	Expect(err).NotTo(HaveOccurred())
	build, err := upgrade.NewBuild(context.Background(), root, GinkgoT().TempDir(), commit)
	Expect(err).NotTo(HaveOccurred())
	return build.Program
}

// tally counts how the calls of callers ended, by what each was told.
type tally struct {
	served, notRun atomic.Int64

	mu sync.Mutex
	// lost are calls that got no answer, or the answer to another one.
	lost []string
}

// add counts the reply to a call with a body.
func (t *tally) add(n *lab.Node, r reply, body string) {
	switch {
	case r.status == 200 && strings.Contains(r.body, standin.Answer([]byte(body), 4)):
		t.served.Add(1)
	case r.err == nil && r.outcome == "not-run":
		t.notRun.Add(1)
	default:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.lost = append(t.lost, n.Name+": "+time.Now().Format(time.TimeOnly)+" "+r.outcome+" "+r.reason+" "+r.body)
	}
}

// callAll has a caller at each node, while that says it is ready, ask for the model of its hall, until
// the returned function is called.
func (w *world) callAll(t *tally) (stop func()) {
	var callers sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for _, n := range w.Nodes {
		body := prompt("E4?", 4, false)
		if n.Hall == hallB {
			body = strings.Replace(body, `"lm"`, `"lm-b"`, 1)
		}
		callers.Go(func() {
			for ctx.Err() == nil {
				if get(n, "/readyz").status == 200 {
					t.add(n, post(n, "/v1/chat/completions", body), body)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() { cancel(); callers.Wait() }
}

// replace stops a node as planned and starts a program in its place.
func (w *world) replace(n *lab.Node, program string) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	Expect(n.Stop(ctx)).To(Succeed())
	w.Daemon = program
	Expect(w.StartNode(n)).To(Succeed())
	Expect(w.AwaitReady()).To(Succeed())
}

// paid repeats a call with a key at a node until it is told the result.
func (w *world) paid(n *lab.Node, key string) {
	GinkgoHelper()
	var r reply
	Eventually(func() string { r = pay(n, key); return r.outcome }, "5s", "50ms").Should(Equal("run"), func() string { return fmt.Sprintf("%+v", r) })
}

// agree waits until all nodes have applied as much as the first one.
func (w *world) agree() {
	GinkgoHelper()
	for _, n := range w.Nodes[1:] {
		Eventually(func() int { return w.applied(n) }, "5s", "50ms").Should(Equal(w.applied(w.Nodes[0])), n.Name)
	}
}

var _ = Describe("nodes of the version in production beside this one", func() {
	for _, secure := range []bool{false, true} {
		title := "over plain connections"
		if secure {
			title = "over TLS"
		}
		It("are replaced one at a time and go back, with a hall cut off half-way, "+title, func() {
			older, newer := inProduction(), bin+"/troutmastd"
			l, err := lab.New(bin)
			Expect(err).NotTo(HaveOccurred())
			if secure {
				dir, err := os.MkdirTemp("", "troutmast-tls")
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(os.RemoveAll, dir)
				files, err := lab.NewTLSFiles(dir)
				Expect(err).NotTo(HaveOccurred())
				l.UseTLS(files)
			}
			l.Daemon = older
			w := groupsInTwoHalls(startWorld(l, 2, []string{hallA, hallB, hallA}, nil))
			w.withLedger()
			a, b := w.Nodes[0], w.Nodes[1]
			var t tally
			stop := w.callAll(&t)

			keys := []string{newKey()}
			w.paid(w.Nodes[2], keys[0])
			w.replace(a, newer)
			w.agree()
			keys = append(keys, newKey())
			w.paid(a, keys[1])

			lab.Cut(a, b, true)
			lab.Cut(w.Nodes[2], b, true)
			Expect(w.PlatformFault(standin.PlatformFaults{CutFrom: []string{platform.UserAgent(b.Name)}})).To(Succeed())
			Eventually(func() string { return complete(b).reason }, "5s").Should(Equal("no-whole-group"))
			Expect(completeB(b).status).To(Equal(200))
			out, code := w.Ctl(a, "create team late key "+caller.HashKey("late-key"))
			Expect(code).To(Equal(0), out)
			lab.Cut(a, b, false)
			lab.Cut(w.Nodes[2], b, false)
			Expect(w.PlatformFault(standin.PlatformFaults{})).To(Succeed())
			w.agree()

			for _, program := range []string{newer, older} {
				for _, n := range w.Nodes {
					w.replace(n, program)
					w.agree()
					w.accepted("begin; drain group ga; undrain group ga; commit")
				}
			}
			stop()
			for _, key := range keys {
				for _, n := range w.Nodes {
					w.paid(n, key)
				}
				Expect(w.runs(key)).To(Equal(1))
			}
			AddReportEntry("calls served, refused before they ran", fmt.Sprint(t.served.Load(), ", ", t.notRun.Load()))
			Expect(t.lost).To(BeEmpty())
			Expect(t.served.Load()).To(BeNumerically(">", 500), "callers were held up")
		})
	}
})
