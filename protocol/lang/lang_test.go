package lang_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/lang"
	"github.com/troutmast/troutmast/state"
)

// resolver is a small world: a, b and c in one domain, group g of a and b.
type resolver struct{}

func (resolver) Place(id state.InstanceID) (state.Place, bool) {
	return state.Place{Instance: id, Hall: "h", Domain: "d"}, id == "a" || id == "b" || id == "c"
}

func (resolver) Spares(hall state.HallName, n int) []state.Place {
	if hall != "h" || n > 1 {
		return nil
	}
	return []state.Place{{Instance: "c", Hall: "h", Domain: "d"}}
}

func (resolver) Group(name state.GroupName) *state.Group {
	if name != "g" {
		return nil
	}
	return &state.Group{Name: "g", Epoch: 4, Model: state.Model{Name: "m", Adapters: []string{"x", "y"}}, Members: []state.InstanceID{"a", "b"}}
}

func (resolver) HasHall(hall state.HallName) bool { return hall == "h" }

// hash is a well-formed SHA-256.
const hash = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"

func TestCompile(t *testing.T) {
	place := func(id state.InstanceID) state.Place { return state.Place{Instance: id, Hall: "h", Domain: "d"} }
	cases := []struct {
		text string
		op   state.Op
	}{
		{"create group n model m with a, b", state.Op{CreateGroup: &state.CreateGroup{Name: "n", Model: state.Model{Name: "m"}, Gate: state.GateWindow, Members: []state.Place{place("a"), place("b")}}}},
		{"create group n model m version 3 adapters x, y gate strict size 1 in h", state.Op{CreateGroup: &state.CreateGroup{Name: "n", Model: state.Model{Name: "m", Version: "3", Adapters: []string{"x", "y"}}, Gate: state.GateStrict, Members: []state.Place{place("c")}}}},
		{"create team t key " + hash, state.Op{CreateTeam: &state.CreateTeam{Name: "t", KeyHashes: []string{hash}}}},
		{"create service s at a, b keys checked", state.Op{CreateService: &state.CreateService{Name: "s", Instances: []state.InstanceID{"a", "b"}, Keys: state.KeysChecked}}},
		{"bind group g model m2 version v2", state.Op{BindModel: &state.BindModel{Group: "g", Model: state.Model{Name: "m2", Version: "v2"}}}},
		{"unbind group g adapters x", state.Op{BindModel: &state.BindModel{Group: "g", Epoch: 4, Model: state.Model{Name: "m", Adapters: []string{"y"}}}}},
		{"allow team t in h places 5 priority alert", state.Op{AllowTeam: &state.AllowTeam{Team: "t", Hall: "h", Share: state.Share{Places: 5, Priority: state.PriorityAlert}}}},
		{"allow team t in h places 5", state.Op{AllowTeam: &state.AllowTeam{Team: "t", Hall: "h", Share: state.Share{Places: 5, Priority: state.PriorityNormal}}}},
		{"deny team t in h", state.Op{DenyTeam: &state.DenyTeam{Team: "t", Hall: "h"}}},
		{"drain group g", state.Op{DrainGroup: &state.DrainGroup{Group: "g"}}},
		{"undrain group g", state.Op{DrainGroup: &state.DrainGroup{Group: "g", Off: true}}},
		{"release group \"g\"", state.Op{ReleaseGroup: &state.ReleaseGroup{Group: "g"}}},
		{"move group g from b to c", state.Op{ReplaceMember: &state.ReplaceMember{Group: "g", Epoch: 4, Rank: 1, Out: "b", In: place("c")}}},
		{"evacuate hall h", state.Op{EvacuateHall: &state.EvacuateHall{Hall: "h"}}},
		{"readmit hall \"h\"", state.Op{EvacuateHall: &state.EvacuateHall{Hall: "h", Off: true}}},
		{"set policy downtime 20 stranded 0.5 restart 2m load 90s automatic off", state.Op{SetPolicy: &state.SetPolicy{Policy: state.Policy{Downtime: 20, Stranded: 0.5, Restart: 2 * time.Minute, Load: 90 * time.Second}}}},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			g := NewWithT(t)
			s, err := lang.Parse(c.text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Statements).To(HaveLen(1))
			p, err := lang.Compile([]*lang.Command{s.Statements[0].Command}, resolver{})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(p.Ops).To(Equal([]state.Op{c.op}))
		})
	}
}

func TestFaultsNameTheirPlace(t *testing.T) {
	cases := []struct{ text, want string }{
		{"create grup g", `line 1, column 8: unexpected token "grup"`},
		{"show groups;\ndrain group", `line 2, column 12: unexpected token "<EOF>" (expected (<name> | <string>))`},
		{"show group", `expected (<name> | <string>)`},
		{"begin; drain group g; show groups; commit", `line 1, column 23: unexpected token "show"`},
		{"allow team t in h places many", `unexpected token "many" (expected <number>`},
		{"drain group g \x00", `line 1, column 15: invalid input`},
		{`drain group "g`, `line 1, column 13: invalid input`},
		{"create group n model m with a, z", "line 1, column 1: the platform's list has no instance z"},
		{"create group n model m size 2 in h", "h has no fabric domain with 2 free, reachable instances"},
		{"create team t key abc", "64 hexadecimal digits"},
		{"move group g from c to b", "c is not in group g"},
		{"unbind group k adapters x", "no group k"},
		{"evacuate hall k", "line 1, column 1: the platform's list has no instance in hall k"},
		{"evacuate group g", `line 1, column 10: unexpected token "group"`},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			g := NewWithT(t)
			s, err := lang.Parse(c.text)
			if err == nil {
				_, err = lang.Compile([]*lang.Command{s.Statements[0].Command}, resolver{})
			}
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
			g.Expect(errors.Is(err, lang.ErrSyntax) || errors.Is(err, lang.ErrCompile)).To(BeTrue())
		})
	}
}

func TestSplitKeepsEveryStatementWhole(t *testing.T) {
	g := NewWithT(t)
	parts, err := lang.Split("# first\nshow groups;\nbegin; drain group a; drain group b; commit;; why group \"a;b\" # end\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parts).To(HaveLen(3))
	for _, p := range parts {
		s, err := lang.Parse(p)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Statements).To(HaveLen(1))
	}
}

func TestTextIsBounded(t *testing.T) {
	_, err := lang.Parse(string(make([]byte, lang.MaxTextBytes+1)))
	NewWithT(t).Expect(errors.Is(err, lang.ErrSyntax)).To(BeTrue())
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"show groups where hall = a and held > 3", "why request \"x\\\"y\"", "begin; drain group a; commit",
		"create group n model m size 1 in h", "evacuate hall h; readmit hall h; show halls", "set policy downtime 1 stranded 1 restart 1h load 1ms", "void 019-a", "\"", "# x",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := lang.Parse(text)
		if err != nil {
			if !errors.Is(err, lang.ErrSyntax) {
				t.Fatalf("%v", err)
			}
			return
		}
		for _, st := range s.Statements {
			if st.Command != nil {
				_, _ = lang.Compile([]*lang.Command{st.Command}, resolver{})
			}
		}
		parts, err := lang.Split(text)
		if err != nil || len(parts) != len(s.Statements) {
			t.Fatalf("%d statements split into %d: %v", len(s.Statements), len(parts), err)
		}
	})
}
