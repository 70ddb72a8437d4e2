package node_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// received returns how many requests an engine has received.
func (w *world) received(id string) int {
	GinkgoHelper()
	journal, err := w.Journal(id)
	Expect(err).NotTo(HaveOccurred())
	return len(journal)
}

var _ = Describe("an evacuated hall", func() {
	It("gets no new requests from any node until it is readmitted, and the statements are refused without effect", func() {
		w := twoHalls()
		out, code := w.Ctl(w.Nodes[0], "evacuate hall nowhere")
		Expect(out).To(ContainSubstring("no instance in hall nowhere"))
		Expect(code).To(Equal(3))
		out, code = w.Ctl(w.Nodes[0], "readmit hall "+hallB)
		Expect(out).To(MatchRegexp(`^refused at \d+: hall-admitted`))
		Expect(code).To(Equal(3))

		w.accepted("evacuate hall " + hallB)
		before := w.received("b-1")
		for _, n := range w.Nodes {
			Eventually(func() string { return completeB(n).reason }, "5s").Should(Equal("no-whole-group"))
			Expect(completeB(n).outcome).To(Equal("not-run"))
			Expect(complete(n).status).To(Equal(200), "the other hall serves")
		}
		for range 20 {
			Expect(completeB(w.Nodes[1]).status).To(Equal(503))
		}
		Expect(w.received("b-1")).To(Equal(before))
		Expect(w.ask("show halls where state = evacuated")).To(And(ContainSubstring(hallB), Not(ContainSubstring(hallA))))
		out, _ = w.Ctl(w.Nodes[1], "evacuate hall "+hallB)
		Expect(out).To(MatchRegexp(`^refused at \d+: hall-evacuated`))

		w.accepted("readmit hall " + hallB)
		for _, n := range w.Nodes {
			Eventually(func() int { return completeB(n).status }, "5s").Should(Equal(200))
		}
		Expect(w.ask("show halls where state = evacuated")).NotTo(ContainSubstring(hallB))
	})
})
