package node_test

import (
	"net/http"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
)

var _ = Describe("access", func() {
	It("over TLS: callers, operators and forwarding between nodes", func() {
		dir, err := os.MkdirTemp("", "troutmast-tls")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		files, err := lab.NewTLSFiles(dir)
		Expect(err).NotTo(HaveOccurred())
		l, err := lab.New(bin)
		Expect(err).NotTo(HaveOccurred())
		l.UseTLS(files)
		w := startWorld(l, 2, []string{hallA, hallB}, nil)
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		for _, n := range w.Nodes {
			Eventually(func() int {
				return post(n, "/v1/chat/completions", prompt("E4?", 4, false), "X-Request-Id", "tls-0").status
			}, "3s").Should(Equal(200), func() string { return w.ask("why request \"tls-0\"") })
		}
		plain, err := http.Get("http://" + w.Nodes[0].Operator.String() + "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(plain.Body.Close()).To(Succeed())
		Expect(plain.StatusCode).To(Equal(400))
		out, code := w.Ctl(w.Nodes[0], "--ca", "/dev/null", "show groups")
		Expect(code).To(Equal(2), out)
	})

	It("is refused with the secrets and keys of others, and bad input changes nothing", func() {
		w := newWorld(2, []string{hallA})
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[0]
		for _, secret := range []string{lab.PeerSecret, teamKey, "", "operator-secret2"} {
			out, code := w.Ctl(n, "--secret", secret, "release group g")
			Expect(code).To(Equal(1), out)
		}
		for _, key := range []string{lab.PeerSecret, lab.OperatorSecret, "", "a-key2"} {
			r := post(n, "/v1/chat/completions", prompt("x", 1, false), "Authorization", "Bearer "+key)
			Expect(r.status).To(Equal(401))
			Expect(r.outcome).To(Equal("not-run"))
		}
		for _, body := range []string{"", "{", `{"model":3}`, `{"messages":[]}`, `[1]`} {
			r := post(n, "/v1/chat/completions", body)
			Expect(r.status).To(Equal(400), body)
			Expect(r.reason).To(Equal("bad-request"))
		}
		Expect(post(n, "/v1/chat/completions", prompt("x", 1, false), "Troutmast-Timeout", "soon").reason).To(Equal("bad-request"))
		Expect(post(n, "/v1/chat/completions", string(make([]byte, 5<<20))).reason).To(Equal("body-too-large"))
		Expect(post(n, "/v1/chat/completions", `{"model":"none"}`).reason).To(Equal("not-found"))
		Expect(get(n, "/svc/none/x").reason).To(Equal("not-found"))
		Expect(complete(n).status).To(Equal(200))
		Expect(w.ask("show groups where state = whole")).To(ContainSubstring("g "))
		metrics := get(n, "/metrics").body
		for _, counter := range []string{"refused.unauthorized", "refused.bad-request", "refused.body-too-large", "refused.not-found", "refused.operator-secret"} {
			Expect(metrics).To(ContainSubstring(counter))
		}
		_ = n.Signal(15)
		<-n.Done()
		for _, secret := range []string{lab.OperatorSecret, lab.PeerSecret, teamKey} {
			Expect(n.Log()).NotTo(ContainSubstring(secret))
		}
	})
})
