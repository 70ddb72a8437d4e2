package node_test

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/internal/standin"
	"github.com/troutmast/troutmast/protocol/platform"
)

// refusingAddress returns an address at which nothing listens.
func refusingAddress() netip.AddrPort {
	GinkgoHelper()
	address, err := lab.FreeAddr()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// silentAddress returns an address at which connections are opened and nothing is answered.
func silentAddress() netip.AddrPort {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return netip.MustParseAddrPort(l.Addr().String())
}

// result returns what became of a completion: "answered", or the reason of its refusal.
func result(n *lab.Node) string {
	if r := complete(n); r.status != http.StatusOK {
		return r.reason
	}
	return "answered"
}

// A partitioned node must not report the instances as ended to other nodes, nor refuse callers whom those can serve.
var _ = Describe("a node that is partitioned from all instances", func() {
	for _, c := range []struct {
		name    string
		address func() netip.AddrPort
	}{
		{"by refused connections", refusingAddress},
		{"by connections that hang", silentAddress},
	} {
		It(c.name+" has its callers served by another node of its hall, whose groups stay whole", func() {
			w := newWorld(4, []string{hallA, hallA})
			w.accepted("create group g model lm with gpu-1, gpu-2")
			w.accepted("create group h model lm with gpu-3, gpu-4")
			w.whole("g")
			w.whole("h")
			partitioned, other := w.Nodes[1], w.Nodes[0]
			for _, n := range w.Nodes {
				Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
			}
			Expect(w.PlatformFault(standin.PlatformFaults{
				Partitioned: []string{platform.UserAgent(partitioned.Name)}, PartitionAddress: c.address(),
			})).To(Succeed())
			Consistently(func() []string {
				return []string{result(other), w.ask("show group g"), w.ask("show group h")}
			}, detectionTime, "20ms").Should(HaveExactElements(Equal("answered"), ContainSubstring(" whole "), ContainSubstring(" whole ")))
			for range 20 {
				Expect(result(partitioned)).To(Equal("answered"))
				Expect(result(other)).To(Equal("answered"))
			}
			Expect(w.ask("show groups")).To(And(ContainSubstring("gpu-1 gpu-2"), ContainSubstring("gpu-3 gpu-4")), "no group may be repaired")

			Expect(w.PlatformFault(standin.PlatformFaults{})).To(Succeed())
			Eventually(func() string {
				out, _ := w.Ctl(partitioned, "show group g")
				return out
			}, detectionTime, "50ms").Should(ContainSubstring(" whole "))
			for range 20 {
				Expect(result(partitioned)).To(Equal("answered"))
			}
		})
	}
})

// detectionTime is the time within which nodes must have detected a partition or its end: 3 s after the node has read the
// list of instances.
const detectionTime = 3*time.Second + listInterval

// listInterval is the time between two reads of the list.
const listInterval = 500 * time.Millisecond
