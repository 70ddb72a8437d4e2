package node_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/lab"
	"github.com/troutmast/troutmast/transport/caller"
)

// bin is the directory with the programs under test.
var bin string

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "nodes as separate processes")
}

var _ = BeforeSuite(func() {
	var err error
	bin, err = os.MkdirTemp("", "troutmast")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, bin)
	Expect(lab.Build(bin)).To(Succeed())
})

const (
	hallA   = "yxe-hall"
	hallB   = "yqr-hall"
	teamKey = "a-key"
)

// world is a lab with a team that may use both halls.
type world struct {
	*lab.Lab
}

// newWorld starts engines gpu-1.. in one fabric domain of hall A, and a node for each hall named.
func newWorld(engines int, halls []string, engineFlags ...string) *world {
	GinkgoHelper()
	return newWorldOf(engines, halls, nil, engineFlags...)
}

// newWorldOf is newWorld with flags for the nodes.
func newWorldOf(engines int, halls, nodeFlags []string, engineFlags ...string) *world {
	GinkgoHelper()
	l, err := lab.New(bin)
	Expect(err).NotTo(HaveOccurred())
	return startWorld(l, engines, halls, nodeFlags, engineFlags...)
}

// startWorld starts engines and nodes in a lab.
func startWorld(l *lab.Lab, engines int, halls, nodeFlags []string, engineFlags ...string) *world {
	GinkgoHelper()
	DeferCleanup(l.Close)
	for i := range engines {
		Expect(l.StartTarget(fmt.Sprintf("gpu-%d", i+1), hallA, "fabric-a", engineFlags...)).To(Succeed())
	}
	Expect(l.StartNodes(halls, nodeFlags...)).To(Succeed())
	Expect(l.AwaitReady()).To(Succeed())
	w := &world{Lab: l}
	for _, n := range w.Nodes {
		Eventually(func() int {
			out, _ := w.Ctl(n, "show nodes where ready = true")
			return strings.Count(out, " true ")
		}, "15s", "50ms").Should(Equal(len(w.Nodes)), "nodes know each other")
	}
	w.accepted("create team fleet key " + caller.HashKey(teamKey))
	w.accepted("begin; allow team fleet in " + hallA + " places 100; allow team fleet in " + hallB + " places 100; commit")
	return w
}

// ask runs a statement on the first node and returns its output.
func (w *world) ask(text string) string {
	out, _ := w.Ctl(w.Nodes[0], text)
	return out
}

// accepted runs a command that must be accepted, trying again while what it needs is not known yet.
func (w *world) accepted(text string) {
	GinkgoHelper()
	Eventually(func() string { return w.ask(text) }, "10s", "100ms").Should(HavePrefix("accepted"))
}

// whole waits until the first node sees a group whole.
func (w *world) whole(group string) {
	GinkgoHelper()
	Eventually(func() string { return w.ask("show group " + group) }, "15s", "50ms").Should(ContainSubstring(" whole "))
}

// measures returns the group downtime and the stranded time that the first node has counted for its hall.
func (w *world) measures() (downtime, stranded float64) {
	GinkgoHelper()
	out, _ := w.Ctl(w.Nodes[0], "-o", "json", "show measures where hall = "+w.Nodes[0].Hall)
	var a struct {
		Rows []map[string]string `json:"rows"`
	}
	Expect(json.Unmarshal([]byte(out), &a)).To(Succeed(), out)
	Expect(a.Rows).To(HaveLen(1))
	downtime, err := strconv.ParseFloat(a.Rows[0]["downtime-group-s"], 64)
	Expect(err).NotTo(HaveOccurred())
	stranded, err = strconv.ParseFloat(a.Rows[0]["stranded-instance-s"], 64)
	Expect(err).NotTo(HaveOccurred())
	return downtime, stranded
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome string
	reason  string
	after   string
	body    string
	err     error
}

// post sends a body to a path of a node and returns what came back.
func post(n *lab.Node, path, body string, header ...string) reply {
	return send(n, http.MethodPost, path, body, header...)
}

// send sends a request to a node.
func send(n *lab.Node, method, path, body string, header ...string) reply {
	return sendCtx(context.Background(), n, method, path, body, header...)
}

// sendCtx sends a request to a node, on a connection of its own.
func sendCtx(ctx context.Context, n *lab.Node, method, path, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, n.URL()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := n.Client().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	h := resp.Header
	return reply{resp.StatusCode, h.Get(caller.HeaderOutcome), h.Get(caller.HeaderReason), h.Get("Retry-After"), string(data), err}
}

// prompt returns the body of a completion.
func prompt(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"lm","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, tokens, stream, text)
}

// complete asks a node for a whole answer.
func complete(n *lab.Node) reply {
	return post(n, "/v1/chat/completions", prompt("E4?", 4, false))
}

// content returns the text of a streamed answer, whether it was closed as whole, and whether it told an error.
func content(stream string) (text string, done, failed bool) {
	events := bufio.NewScanner(bytes.NewBufferString(stream))
	for events.Scan() {
		line := events.Text()
		if line == "event: error" {
			failed = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var ev struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &ev) == nil && len(ev.Choices) > 0 {
			text += ev.Choices[0].Delta.Content
		}
	}
	return text, done, failed
}

// newKey returns a key for a call that may not be repeated.
func newKey() string {
	GinkgoHelper()
	key, err := uuid.NewV7()
	Expect(err).NotTo(HaveOccurred())
	return key.String()
}
