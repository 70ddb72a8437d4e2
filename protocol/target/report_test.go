package target_test

import (
	"bytes"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/protocol/target"
)

func TestDecodeReportRejectsInvalidReports(t *testing.T) {
	cases := []struct {
		name, data string
		ok         bool
	}{
		{"complete", `{"instance":"a","incarnation":"1","phase":"ready","epoch":3,"group":"g"}`, true},
		{"no instance", `{"incarnation":"1","phase":"ready"}`, false},
		{"no incarnation", `{"instance":"a","phase":"ready"}`, false},
		{"unknown phase", `{"instance":"a","incarnation":"1","phase":"almost"}`, false},
		{"negative load", `{"instance":"a","incarnation":"1","phase":"ready","held":-1}`, false},
		{"truncated", `{"instance":"a"`, false},
		{"negative rank", `{"instance":"a","incarnation":"1","phase":"ready","rank":-1}`, false},
		{"rank that no group has", `{"instance":"a","incarnation":"1","phase":"ready","rank":4294967296}`, false},
		{"load that cannot be relayed", `{"instance":"a","incarnation":"1","phase":"ready","held":4294967297}`, false},
		{"slots that cannot be relayed", `{"instance":"a","incarnation":"1","phase":"ready","slots":4294967297}`, false},
		{"negative epoch", `{"instance":"a","incarnation":"1","phase":"ready","epoch":-1}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := target.DecodeReport(bytes.NewBufferString(c.data))
			NewWithT(t).Expect(err == nil).To(Equal(c.ok), "%v", err)
		})
	}
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"instance":"a","incarnation":"1","phase":"ready","epoch":3,"group":"g"}`))
	f.Add([]byte(`{"held":1e9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := target.DecodeReport(bytes.NewReader(data))
		if err != nil {
			if !errors.Is(err, target.ErrTarget) {
				t.Fatal(err)
			}
			return
		}
		if r.Instance == "" || (r.Phase != evidence.PhaseIdle && r.Phase != evidence.PhaseLoading && r.Phase != evidence.PhaseReady) {
			t.Fatalf("%+v", r)
		}
	})
}
