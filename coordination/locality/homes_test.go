package locality_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/locality"
	"github.com/troutmast/troutmast/state"
)

func TestIntersectionOfHomes(t *testing.T) {
	a, b, ab := []state.RegionName{"a"}, []state.RegionName{"b"}, []state.RegionName{"a", "b"}
	for _, c := range []struct {
		name    string
		lists   [][]state.RegionName
		allowed []state.RegionName // of a, b, c and no region
	}{
		{"no list", nil, []state.RegionName{"a", "b", "c", ""}},
		{"empty lists", [][]state.RegionName{nil, {}}, []state.RegionName{"a", "b", "c", ""}},
		{"one list", [][]state.RegionName{nil, ab}, ab},
		{"a common region", [][]state.RegionName{ab, b, nil}, b},
		{"no common region", [][]state.RegionName{a, b}, nil},
		{"no common region of three", [][]state.RegionName{a, b, ab}, nil},
		{"a region without a name", [][]state.RegionName{{""}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := locality.Intersect(c.lists...)
			var allowed []state.RegionName
			for _, r := range []state.RegionName{"a", "b", "c", ""} {
				if h.Allows(r) {
					allowed = append(allowed, r)
				}
			}
			g.Expect(allowed).To(Equal(c.allowed))
			g.Expect(h.AllowsBody("c", "c")).To(BeTrue(), "the caller's own region")
			g.Expect(h.AllowsBody("", "")).To(Equal(!h.IsRestricted()), "a hall without a region")
		})
	}
}
