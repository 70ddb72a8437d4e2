package direct_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against evidence from late reads: after a freeze a node reads data that arrived before the deadline, which does not show that the
// server is still sending.
func TestDataThatArrivedBeforeTheDelayIsNoEvidence(t *testing.T) {
	const late = 300 * time.Millisecond
	for _, c := range []struct {
		name string
		// sends is for how long the server sends data after the first.
		sends        time.Duration
		stillSending bool
	}{
		{"read late", 0, false},
		{"still sending", time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := get(t, context.Background(), func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				respondEndlessly("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 900000000\r\n\r\n"+strings.Repeat("x", 64<<10), "")(conn)
				for end := time.Now().Add(c.sends); time.Now().Before(end); time.Sleep(time.Millisecond) {
					if _, err := io.WriteString(conn, "more"); err != nil {
						return
					}
				}
				time.Sleep(2 * late)
			})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(late)
			reported := make(chan bool, 1)
			resp.CloseAndCheck(0, func(stillSending bool) { reported <- stillSending })
			g.Eventually(reported, time.Second).Should(Receive(Equal(c.stillSending)))
		})
	}
}
