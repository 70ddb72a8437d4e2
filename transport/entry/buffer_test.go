package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/transport/entry"
)

// bufferedBytes returns the gauge of the bytes that a node holds for its callers, or -1 if it has none.
func bufferedBytes(g Gomega, n *running) int {
	resp, err := http.Get("http://" + n.set.MetricsAddress.String() + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	found := regexp.MustCompile(`gauge buffer\.bytes\s+value:\s+(\d+)`).FindSubmatch(text)
	if found == nil {
		return -1
	}
	value, err := strconv.Atoi(string(found[1]))
	g.Expect(err).NotTo(HaveOccurred())
	return value
}

// A node must bound what it holds only where its settings say so and its memory is known.
func TestBuffersAreBoundedOnlyWhereSettingsSaySo(t *testing.T) {
	for _, c := range []struct {
		name    string
		tune    func(*entry.Settings)
		bounded bool
	}{
		{"neither", func(*entry.Settings) {}, false},
		{"only the memory", func(s *entry.Settings) { s.MemoryBytes = 184_000_000 }, false},
		{"only the switch", func(s *entry.Settings) { s.BoundsBuffers = true }, false},
		{"both", func(s *entry.Settings) { s.MemoryBytes, s.BoundsBuffers = 184_000_000, true }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &store{topics: map[source.Topic][]source.Item{}}
			s.add(source.Configuration, "config", 1)
			n := startTuned(t, s, entry.Ports{Decoder: decoder{}, Target: targets{}, HeaderCodec: codec{}}, "a", c.tune)
			g.Eventually(func() int { return status(n.set.ReadyAddress, "") }, 10*time.Second).Should(Equal(http.StatusOK))
			g.Expect(bufferedBytes(g, n) >= 0).To(Equal(c.bounded))
			g.Expect(n.set.HeapLimit() > 0).To(Equal(c.bounded))
		})
	}
}

// A node that stops must deliver what it holds for a slow caller, and it reports how much that is.
func TestStoppingNodeDeliversBufferedResponse(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	n := startTuned(t, s, entry.Ports{Decoder: decoder{}, Target: targets{}, HeaderCodec: codec{}}, "a", func(set *entry.Settings) {
		set.MemoryBytes, set.BoundsBuffers, set.StopTimeout = 184_000_000, true, 10*time.Second
		set.Policy.Buffering.SocketBytes = 4096
	})
	body := strings.Repeat("0123456789", 90_000)
	list, _ := startPlainInstance(t, s, "i1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	list(unchanged)
	g.Eventually(func() int { return status(n.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusOK))
	conn, err := net.Dial("tcp4", n.set.CallerAddress.String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Expect(conn.(*net.TCPConn).SetReadBuffer(4096)).To(Succeed())
	_, err = fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: slow\r\nKey: k\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() int { return bufferedBytes(g, n) }, 5*time.Second).Should(BeNumerically(">", 300_000))
	n.stop()
	g.Consistently(n.done, 500*time.Millisecond).ShouldNot(Receive())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text) == body).To(BeTrue())
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.done <- nil
}
