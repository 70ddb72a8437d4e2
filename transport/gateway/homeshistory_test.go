package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/coordination/locality"
	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// homesHistory is a system of two nodes whose configurations change whenever an instance receives a request.
type homesHistory struct {
	mu       sync.Mutex
	versions []*catalog.Catalog
	// homes are the home regions of each version, current is the version in force.
	homes        []locality.Homes
	current      int
	origin, peer *homesHarness
	violations   []string
}

// advance puts the next configuration in force at both nodes.
func (h *homesHistory) advance() {
	h.current = min(h.current+1, len(h.versions)-1)
	h.origin.source.current.Store(h.versions[h.current])
	h.peer.source.current.Store(h.versions[h.current])
}

// arrive checks a request that arrives at an instance in a hall, and changes the configuration.
func (h *homesHistory) arrive(hall state.HallName, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		if !h.homes[h.current].Allows(testRegions.Region(hall)) {
			h.violations = append(h.violations, fmt.Sprintf("%s at %s, homes %v", r.RequestURI, hall, h.homes[h.current].Regions()))
		}
		h.advance()
		h.mu.Unlock()
		then(w, r)
	}
}

// No sequence of configurations, failures of instances and forwarding may bring a request to an instance outside the home
// regions that are in force when it is sent.
func TestRandomHistoriesKeepRequestsInHomeRegions(t *testing.T) {
	var names []string
	for name := range behaviors {
		names = append(names, name)
	}
	slices.Sort(names)
	halls := []state.HallName{"hall", "south-2", "north-1", "unnamed"}
	regions := [][]state.RegionName{nil, {"south"}, {"north"}, {"south", "north"}, {"west"}}
	rapid.Check(t, func(rt *rapid.T) {
		h := &homesHistory{}
		for v := range rapid.IntRange(1, 4).Draw(rt, "versions") {
			route, team := rapid.SampledFrom(regions).Draw(rt, "route"), rapid.SampledFrom(regions).Draw(rt, "team")
			h.versions = append(h.versions, homesCatalog(int64(v+1), route, team))
			h.homes = append(h.homes, locality.Intersect(route, team))
		}
		h.origin, h.peer = newHomesHarness(t, "hall", h.versions[0]), newHomesHarness(t, "south-2", h.versions[0])
		h.origin.peers.partitioned = rapid.Bool().Draw(rt, "partitioned")
		h.origin.peers.peers = []forwarding.Peer{peerOf(h.peer, "south-2", rapid.Bool().Draw(rt, "enforces"))}
		for i := range rapid.IntRange(1, 6).Draw(rt, "instances") {
			node := rapid.SampledFrom([]*homesHarness{h.origin, h.peer}).Draw(rt, "node")
			hall := rapid.SampledFrom(halls).Draw(rt, "hall")
			behavior := behaviors[rapid.SampledFrom(names).Draw(rt, "behavior")]
			for _, service := range []state.ServiceName{"plain", "lm"} {
				node.addInHall(fmt.Sprint(i, " ", service), service, hall, h.arrive(hall, behavior))
			}
		}
		for range 3 {
			h.origin.call(http.MethodPost, rapid.SampledFrom([]string{"/safe/x", "/unsafe/x"}).Draw(rt, "path"), "content", nil)
		}
		if len(h.violations) > 0 {
			rt.Fatal(strings.Join(h.violations, "\n"))
		}
	})
}
