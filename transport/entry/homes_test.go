package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
)

// A node of the preceding build ignores the home regions of a forwarded request. The leader must not name it as a node
// that enforces them, and a node that gets its peers from a leader of that build knows none that does.
func TestLeaderNamesThePeersThatEnforceHomeRegions(t *testing.T) {
	g := NewWithT(t)
	leader := newTestNode()
	recordReport(leader, 2, "hall", func(r *receivedReport) { r.report.Protocol = protocolHomeRegions - 1 })
	recordReport(leader, 3, "hall", func(*receivedReport) {})
	sender := NodeEntry{Address: testAddress(4).String(), Hall: "hall"}
	enforces := map[string]bool{}
	for _, p := range leader.peers.peersFor(&sender, []dispatch.Pool{lmPool})[0].Peers {
		enforces[p.Address.String()] = p.EnforcesHomes
	}
	g.Expect(enforces).To(Equal(map[string]bool{testAddress(1).String(): true, testAddress(2).String(): false, testAddress(3).String(): true}))
}

// The map of halls to regions may change while a node runs.
func TestReloadChangesTheRegions(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	g.Expect(n.Region("hall")).To(BeEmpty(), "a hall that the settings do not name")
	set := *n.settings
	set.Regions = map[state.HallName]state.RegionName{"hall": "north"}
	g.Expect(n.Reload(&set)).To(Succeed())
	g.Expect(n.Region("hall")).To(Equal(state.RegionName("north")))
	g.Expect(n.Region("other")).To(BeEmpty())
}
