package node_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Callers at a node that had just been replaced were refused for the third of a second until its
// first probes, although it said that it was ready.
var _ = Describe("a node that was started anew", func() {
	It("serves as soon as it says that it is ready", func() {
		w := newWorld(2, []string{hallA, hallA})
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[1]
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			Expect(n.Stop(ctx)).To(Succeed())
			cancel()
			Expect(w.StartNode(n)).To(Succeed())
			Expect(w.AwaitReady()).To(Succeed())
			r := complete(n)
			Expect(r.status).To(Equal(200), "%+v", r)
		}
	})
})
