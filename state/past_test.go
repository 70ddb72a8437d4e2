package state_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
)

// Records written by earlier builds must decode without loss. A record with an unknown field stops a
// node from applying the log, so no field may be removed or renamed.
func TestDecodeRecordsOfEarlierBuilds(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("testdata/records/*/record.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(paths)).To(BeNumerically(">=", 2))
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			raw, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			r, err := state.DecodeRecord(raw)
			g.Expect(err).NotTo(HaveOccurred())
			encoded, err := r.Encode()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(encoded).To(MatchJSON(raw))
		})
	}
}
