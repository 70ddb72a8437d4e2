package entry

import (
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

func TestUnreadableNodeEntryIsCountedAndTheOthersHold(t *testing.T) {
	for _, c := range []struct {
		name, entry string
		unreadable  int64
	}{
		{"removed", "", 0},
		{"no entry", "no entry", 1},
		{"nested deeply", `{"name":` + strings.Repeat("[", 60_000) + strings.Repeat("]", 60_000) + `}`, 1},
		{"a number that is too large", `{"name":"b","address":"127.0.0.1:2","capacity":1e400}`, 1},
		{"a number of 50,000 digits", `{"name":"b","address":"127.0.0.1:2","number":` + strings.Repeat("9", 50_000) + `}`, 1},
		{"a port out of range", `{"name":"b","address":"127.0.0.1:99999"}`, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newHallNode(g, 1, "near", 0, clockwork.NewFakeClock())
			logs := memory.New()
			n.log = &log.Logger{Handler: logs, Level: log.InfoLevel}
			n.peers.recordNodes([]source.Item{
				{Key: "b", Value: []byte(c.entry)},
				{Key: "c", Value: []byte(`{"name":"c","address":"127.0.0.1:3"}`)},
			})
			g.Expect(counter(n, "nodes.unreadable")).To(Equal(c.unreadable))
			g.Expect(logs.Entries).To(HaveLen(int(c.unreadable)))
			for _, e := range logs.Entries {
				g.Expect(len(e.Fields["error"].(string))).To(BeNumerically("<", 400), "each such entry is logged")
			}
			g.Expect(n.peers.known).To(HaveKey("127.0.0.1:3"))
			g.Expect(n.peers.known).NotTo(HaveKey("127.0.0.1:99999"))
		})
	}
}
