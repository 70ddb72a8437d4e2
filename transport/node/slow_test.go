package node_test

import (
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a caller that does not read its stream", func() {
	It("holds its place no longer than its own time", func() {
		w := newWorld(2, []string{hallA}, "--token-delay", "0s")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[0]
		conn, err := net.Dial("tcp", n.Addr.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		body := prompt("very long", 400000, true)
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTroutmast-Timeout: 2s\r\nContent-Length: %d\r\n\r\n%s", teamKey, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		held := func() string { return w.ask("show limits where name = lm") }
		Eventually(held, "2s", "20ms").Should(MatchRegexp(`lm +\d+ +1 `))
		Eventually(held, "10s", "100ms").Should(MatchRegexp(`lm +\d+ +0 `))
		Expect(complete(n).status).To(Equal(200))
	})
})
