package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// earlierMessages is the folder of messages and records as earlier builds encoded them, by commit.
// Nodes of such a build may run next to nodes of this one, and read its records from the store.
const earlierMessages = "testdata/messages"

// loadExamples returns the stored examples of a message, by commit.
func loadExamples(tb testing.TB, name string) map[string][]byte {
	paths, err := filepath.Glob(filepath.Join(earlierMessages, "*", name+".json"))
	if err != nil || len(paths) < 2 {
		tb.Fatalf("found %d examples of %s, want at least 2: %v", len(paths), name, err)
	}
	examples := map[string][]byte{}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			tb.Fatal(err)
		}
		examples[filepath.Base(filepath.Dir(path))] = raw
	}
	return examples
}

// missingPath returns the path of a part of an older JSON value that is missing from a newer one
// or differs there, or "" if there is none.
func missingPath(older, newer any) string {
	switch o := older.(type) {
	case map[string]any:
		n, ok := newer.(map[string]any)
		if !ok {
			return "."
		}
		for key, value := range o {
			if path := missingPath(value, n[key]); path != "" {
				return "." + key + path
			}
		}
		return ""
	case []any:
		n, ok := newer.([]any)
		if !ok || len(n) != len(o) {
			return "[]"
		}
		for i := range o {
			if path := missingPath(o[i], n[i]); path != "" {
				return "[]" + path
			}
		}
		return ""
	}
	if older != newer {
		return "."
	}
	return ""
}

// Each field that an earlier build knows must keep its name and type, so that builds can read
// each other's messages in both directions.
func TestMessagesOfEarlierBuildsAreCompatible(t *testing.T) {
	for _, c := range []struct {
		name     string
		newValue func() any
	}{
		{"report", func() any { return &StatusReport{} }},
		{"answer", func() any { return &StatusAnswer{} }},
		{"node", func() any { return &NodeEntry{} }},
		{"quarantine", func() any { return &[]persistedEnding{} }},
	} {
		for commit, raw := range loadExamples(t, c.name) {
			t.Run(c.name+" of "+commit, func(t *testing.T) {
				g := NewWithT(t)
				v := c.newValue()
				strict := json.NewDecoder(bytes.NewReader(raw))
				strict.DisallowUnknownFields()
				g.Expect(strict.Decode(v)).To(Succeed())
				encoded, err := json.Marshal(v)
				g.Expect(err).NotTo(HaveOccurred())
				var older, newer any
				g.Expect(json.Unmarshal(raw, &older)).To(Succeed())
				g.Expect(json.Unmarshal(encoded, &newer)).To(Succeed())
				g.Expect(missingPath(older, newer)).To(BeEmpty())
			})
		}
	}
}

// No message from another node may crash this one.
func FuzzStatusReport(f *testing.F) {
	for _, raw := range loadExamples(f, "report") {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var w StatusReport
		if json.Unmarshal(raw, &w) != nil {
			return
		}
		n := ableNode(NewWithT(t))
		n.peers.setLeader(true)
		if _, err := n.peers.handleStatusReport(context.Background(), connect.NewRequest(&w)); err != nil {
			t.Fatal(err)
		}
		n.allocateRates(n.clock.Now())
		checkRanges(t, n)
	})
}

func FuzzStatusAnswer(f *testing.F) {
	for _, raw := range loadExamples(f, "answer") {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var a StatusAnswer
		if json.Unmarshal(raw, &a) != nil {
			return
		}
		n := ableNode(NewWithT(t))
		if n.peers.receiveAnswer(&a, "leader") != nil {
			return
		}
		n.peers.mergeLedger(&a, 0)
		n.peers.applyAnswer(&a, n.clock.Now())
		n.allocateRates(n.clock.Now())
		n.peers.statusReport()
		checkRanges(t, n)
	})
}

func FuzzNodeEntry(f *testing.F) {
	for _, raw := range loadExamples(f, "node") {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e NodeEntry
		if json.Unmarshal(raw, &e) != nil {
			return
		}
		n := ableNode(NewWithT(t))
		n.peers.recordNode(e)
		n.peers.leaderCandidates(n.clock.Now())
		if got := n.peers.possibleNodes(n.clock.Now()); got < 1 {
			t.Fatalf("possible() = %d nodes, want at least 1", got)
		}
	})
}

// singleRecordStore is a store that holds one record of quarantined requests.
type singleRecordStore struct {
	Store
	item source.Item
}

func (s singleRecordStore) Newest(context.Context, source.Topic) (source.ReadResult, error) {
	return source.ReadResult{Items: []source.Item{s.item}, NextOffset: 1}, nil
}

func FuzzKeptQuarantine(f *testing.F) {
	for _, raw := range loadExamples(f, "quarantine") {
		f.Add("0102030405060708090a0b0c0d0e0f10", raw)
	}
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		n := ableNode(NewWithT(t))
		n.ports.Store = singleRecordStore{item: source.Item{Key: key, Value: raw}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n.restoreQuarantine(ctx)
	})
}
