package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// frozenNodeVariable is the environment variable that makes the test binary the node that TestFrozenNodeKeepsSlowCallers freezes.
const frozenNodeVariable = "GATEWAY_TEST_FROZEN_NODE"

// frozenNodeIdle is the IdleTimeout of that node.
const frozenNodeIdle = 800 * time.Millisecond

// serveUntilEOF runs a node and an instance, writes the node's address and serves until its input ends.
func serveUntilEOF(t *testing.T) {
	p := bufferingPolicy()
	p.IdleTimeout = frozenNodeIdle
	h := newBufferingHarness(t, smallNode, p)
	h.addInstance("a", "lm", func(w http.ResponseWriter, _ *http.Request) { writeLargeEvents(w, 1, 75) })
	fmt.Println(h.server.Listener.Addr().String())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// When a frozen node runs again, the time-outs of its writes have expired. A caller that read meanwhile must not be cut off.
func TestFrozenNodeKeepsSlowCallers(t *testing.T) {
	if os.Getenv(frozenNodeVariable) != "" {
		serveUntilEOF(t)
		return
	}
	g := NewWithT(t)
	node := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	node.Env = append(os.Environ(), frozenNodeVariable+"=1")
	in, err := node.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	out, err := node.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.Start()).To(Succeed())
	defer func() {
		_ = node.Process.Signal(syscall.SIGCONT)
		_ = in.Close()
		_ = node.Wait()
	}()
	address, err := bufio.NewReader(out).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	caller := startSlowCaller(t, strings.TrimSpace(address), "/stream/", "prompt", nil)
	time.Sleep(frozenNodeIdle / 8) // the node now waits for the caller
	g.Expect(node.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	go func() {
		time.Sleep(2 * frozenNodeIdle)
		_ = node.Process.Signal(syscall.SIGCONT)
	}()
	text, err := caller.read(0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(largeEvents(1, 75)))
}
