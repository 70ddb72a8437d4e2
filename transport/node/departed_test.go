package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/internal/standin"
	"github.com/troutmast/troutmast/transport/caller"
)

// sendAndLeave sends a request to a node on a connection of its own and closes the connection.
func sendAndLeave(n *lab.Node, path, body string, header ...string) {
	GinkgoHelper()
	conn, err := net.Dial("tcp4", n.Addr.String())
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, n.URL()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+teamKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	Expect(req.Write(conn)).To(Succeed())
	Expect(conn.Close()).To(Succeed())
}

// requestIDs returns the IDs of the requests that a target has run.
func requestIDs(journal []standin.JournalEntry) []string {
	var ids []string
	for _, e := range journal {
		ids = append(ids, e.RequestID)
	}
	return ids
}

var _ = Describe("callers that disconnect from a frozen node", func() {
	It("have their requests sent to no target", func() {
		w := newWorld(2, []string{hallA})
		w.accepted("set policy downtime 1 stranded 1 restart 2m load 30s automatic off")
		w.accepted("create group g model lm with gpu-1, gpu-2")
		w.whole("g")
		n := w.Nodes[0]
		Eventually(func() int { return complete(n).status }, "5s").Should(Equal(200))
		Expect(n.Signal(syscall.SIGSTOP)).To(Succeed())
		var left []string
		for i := range 20 {
			id := fmt.Sprintf("left-%d", i)
			left = append(left, id)
			sendAndLeave(n, "/v1/chat/completions", prompt("E4?", 4, i%2 == 0), caller.HeaderRequestID, id)
		}
		Expect(n.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() int {
			return post(n, "/v1/chat/completions", prompt("E4?", 4, false), caller.HeaderRequestID, "stayed").status
		}, "5s").Should(Equal(200))
		time.Sleep(200 * time.Millisecond)
		journal, err := w.Journal("gpu-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(requestIDs(journal)).To(ContainElement("stayed"))
		for _, id := range left {
			Expect(requestIDs(journal)).NotTo(ContainElement(id))
		}
	})
})
