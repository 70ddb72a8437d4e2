package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/gateway"
)

// fixedRegions implements gateway.Regions with a fixed map.
type fixedRegions map[state.HallName]state.RegionName

func (r fixedRegions) Region(hall state.HallName) state.RegionName { return r[hall] }

// testRegions has two halls in one region, one in another, and does not name the hall "unnamed".
var testRegions = fixedRegions{"hall": "south", "south-2": "south", "north-1": "north"}

// changingCatalogs implements gateway.CatalogSource with a catalog that a test replaces while requests run.
type changingCatalogs struct {
	current atomic.Pointer[catalog.Catalog]
}

func (s *changingCatalogs) Catalog() *catalog.Catalog { return s.current.Load() }
func (s *changingCatalogs) KeysFresh() bool           { return true }

// homesCatalog returns the catalog of a harness with home regions of all of its routes and of the team of key k.
func homesCatalog(version int64, routeHomes, teamHomes []state.RegionName) *catalog.Catalog {
	base := []struct {
		name    string
		kind    catalog.RouteKind
		service state.ServiceName
	}{{"safe", catalog.Safe, "plain"}, {"unsafe", catalog.Unsafe, "plain"}, {"stream", catalog.Stream, "lm"}}
	var routes []catalog.Route
	for _, b := range base {
		routes = append(routes, catalog.Route{
			Name: b.name, Host: "h", Prefix: "/" + b.name + "/", Kind: b.kind, Timeout: 3 * time.Second, MaxAttempts: 3,
			Shares: []catalog.WeightedService{{Service: b.service, Weight: 1}}, Resumable: true, Homes: routeHomes,
		})
	}
	engine := &catalog.Engine{BatchSlots: 4, Models: []catalog.Model{{Name: "m", GroupSize: 1, TimeFactor: 1}}}
	services := []catalog.Service{{Name: "plain"}, {Name: "lm", Engine: engine}}
	return catalog.New(version, routes, services, map[string]*catalog.Team{"k": {Name: "team", Homes: teamHomes}}, catalog.Limits{})
}

// homesHarness is a harness of a node in the given hall, whose catalog can change.
type homesHarness struct {
	*harness
	source *changingCatalogs
}

func newHomesHarness(t *testing.T, hall state.HallName, c *catalog.Catalog) *homesHarness {
	h := &homesHarness{newHarness(t), &changingCatalogs{}}
	h.gateway.Hall, h.gateway.Catalogs = hall, h.source
	h.setCatalog(c)
	return h
}

func (h *homesHarness) setCatalog(c *catalog.Catalog) {
	h.source.current.Store(c)
	h.catalogs.current = c
}

// addInHall adds an instance in a hall.
func (h *homesHarness) addInHall(id string, service state.ServiceName, hall state.HallName, handler http.HandlerFunc) {
	h.addInstance(id, service, handler)
	h.instances[len(h.instances)-1].Hall = hall
	h.table.Update(h.catalogs.current, h.instances, func(fleet.GroupKey) bool { return false })
}

// answer answers a request of either service completely.
func answer(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.RequestURI, "/stream/") {
		writeEvents(w, 1, 2)
	}
}

// A request that arrives at an instance outside its home regions breaks the agreement with its team.
func TestRequestsRunOnlyInHomeRegions(t *testing.T) {
	north, south := []state.RegionName{"north"}, []state.RegionName{"south"}
	both := []state.RegionName{"north", "south"}
	for _, c := range []struct {
		name        string
		route, team []state.RegionName
		halls       []state.HallName
		want        []state.HallName // where requests may run; none if they are refused
	}{
		{"no home regions", nil, nil, []state.HallName{"hall", "north-1", "unnamed"}, []state.HallName{"hall", "north-1", "unnamed"}},
		{"empty lists", []state.RegionName{}, []state.RegionName{}, []state.HallName{"north-1"}, []state.HallName{"north-1"}},
		{"a home of the route", north, nil, []state.HallName{"hall", "south-2", "north-1", "unnamed"}, []state.HallName{"north-1"}},
		{"a home of the team", nil, south, []state.HallName{"hall", "south-2", "north-1", "unnamed"}, []state.HallName{"hall", "south-2"}},
		{"homes of both with a common region", both, north, []state.HallName{"hall", "north-1"}, []state.HallName{"north-1"}},
		{"homes of both without a common region", south, north, []state.HallName{"hall", "north-1"}, nil},
		{"no instance at home", north, nil, []state.HallName{"hall", "unnamed"}, nil},
		{"a home region that no hall is in", []state.RegionName{"west"}, nil, []state.HallName{"hall", "unnamed"}, nil},
		{"a home without a name", []state.RegionName{""}, nil, []state.HallName{"hall", "unnamed"}, nil},
	} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				g := NewWithT(t)
				h := newHomesHarness(t, "hall", homesCatalog(1, c.route, c.team))
				for _, hall := range c.halls {
					h.addInHall(string(hall)+" plain", "plain", hall, answer)
					h.addInHall(string(hall)+" lm", "lm", hall, answer)
				}
				for range 30 {
					got := h.call(http.MethodPost, path, "content", nil)
					if c.want != nil {
						g.Expect(got.status).To(Equal(http.StatusOK))
						continue
					}
					g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
					g.Expect(got.body).To(Equal(string(gateway.CodeNoHome) + "\n"))
					g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
				}
				ran := map[state.HallName]bool{}
				for _, r := range h.runLog.all() {
					hall, _, _ := strings.Cut(r.instance, " ")
					ran[state.HallName(hall)] = true
				}
				g.Expect(ran).To(HaveLen(len(c.want)))
				for _, hall := range c.want {
					g.Expect(ran).To(HaveKey(hall))
				}
			})
		}
	}
}

// Retries and resumed streams choose an instance of their own, which must be at home as well.
func TestRetriesAndResumedStreamsStayInHomeRegions(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      http.HandlerFunc
	}{
		{"a retry after a server error", "/safe/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"a retry after a refusal", "/unsafe/x", behaviors["refuses"]},
		{"a resumed stream", "/stream/x", func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, 1, 1)
			closeConnection(w)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHomesHarness(t, "hall", homesCatalog(1, []state.RegionName{"south"}, nil))
			for _, service := range []state.ServiceName{"plain", "lm"} {
				h.addInHall("home "+string(service), service, "hall", c.first)
				h.addInHall("away "+string(service), service, "north-1", answer)
			}
			h.call(http.MethodPost, c.path, "content", nil)
			runs := h.runLog.all()
			g.Expect(runs).NotTo(BeEmpty())
			for _, r := range runs {
				g.Expect(r.instance).To(HavePrefix("home"))
			}
		})
	}
}

// A retry must not run where the request arrived under an earlier configuration.
func TestChangedHomeAppliesToRequestsInProgress(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			h := newHomesHarness(t, "hall", homesCatalog(1, []state.RegionName{"south"}, nil))
			moveHome := func(w http.ResponseWriter, r *http.Request) {
				h.source.current.Store(homesCatalog(2, []state.RegionName{"north"}, nil))
				if r.RequestURI == "/safe/x" {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				writeEvents(w, 1, 1)
				closeConnection(w)
			}
			for _, service := range []state.ServiceName{"plain", "lm"} {
				h.addInHall("before "+string(service), service, "hall", moveHome)
				h.addInHall("also before "+string(service), service, "south-2", moveHome)
				h.addInHall("after "+string(service), service, "north-1", func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("Last") != "" {
						writeEvents(w, 2, 2)
					}
				})
			}
			got := h.call(http.MethodPost, path, "content", nil)
			g.Expect(got.status).To(Equal(http.StatusOK))
			runs := h.runLog.all()
			g.Expect(runs).To(HaveLen(2))
			g.Expect(runs[0].instance).To(ContainSubstring("before"))
			g.Expect(runs[1].instance).To(HavePrefix("after"))
		})
	}
}

// peerOf returns a node as a peer in a hall, of a build that enforces home regions or of an earlier one.
func peerOf(h *homesHarness, hall state.HallName, enforces bool) forwarding.Peer {
	p := servePeer(h.harness)
	p.Hall, p.EnforcesHomes = hall, enforces
	return p
}

// The body of a request must not leave its home regions and the caller's region by way of another node, nor reach a node of a
// build that would send it anywhere.
func TestRequestsAreForwardedOnlyToNodesThatMayHoldThem(t *testing.T) {
	for _, c := range []struct {
		name     string
		homes    []state.RegionName
		hall     state.HallName
		enforces bool
		served   bool
	}{
		{"no home regions, a node of an earlier build elsewhere", nil, "unnamed", false, true},
		{"a node in a home region", []state.RegionName{"north"}, "north-1", true, true},
		{"a node in the caller's region", []state.RegionName{"north"}, "south-2", true, true},
		{"a node in another region", []state.RegionName{"south"}, "north-1", true, false},
		{"a node in no region", []state.RegionName{"north"}, "unnamed", true, false},
		{"a node of an earlier build in a home region", []state.RegionName{"north"}, "north-1", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			current := homesCatalog(1, c.homes, nil)
			origin, peer := newHomesHarness(t, "hall", current), newHomesHarness(t, c.hall, current)
			origin.peers.partitioned = true
			origin.peers.peers = []forwarding.Peer{peerOf(peer, c.hall, c.enforces)}
			peer.addInHall("north", "plain", "north-1", answer)
			peer.addInHall("south", "plain", "hall", answer)
			got := origin.call(http.MethodPost, "/safe/x", "content", nil)
			g.Expect(got.status == http.StatusOK).To(Equal(c.served), got.body)
			g.Expect(peer.recorder.counts["forward.received"] > 0).To(Equal(c.served))
			for _, r := range peer.runLog.all() {
				if c.homes != nil {
					g.Expect(r.instance).To(Equal(string(c.homes[0])))
				}
			}
		})
	}
}

// The nodes may know different configurations, or the home of the team may be known to only one of them: the restrictions of
// both apply, and a request that neither can place has not run.
func TestNodeThatServesAForwardedRequestEnforcesTheHomesOfBoth(t *testing.T) {
	north, south := []state.RegionName{"north"}, []state.RegionName{"south"}
	for _, c := range []struct {
		name         string
		origin, peer *catalog.Catalog
		want         string // the instance that runs the request; none if it is refused
	}{
		{"the same home", homesCatalog(1, north, nil), homesCatalog(1, north, nil), "north"},
		{"the node that serves knows no home", homesCatalog(2, north, nil), homesCatalog(1, nil, nil), "north"},
		{"the node that forwards knows no home", homesCatalog(1, nil, nil), homesCatalog(2, nil, south), "south"},
		{"the home has moved", homesCatalog(1, north, nil), homesCatalog(2, south, nil), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			origin, peer := newHomesHarness(t, "hall", c.origin), newHomesHarness(t, "hall", c.peer)
			origin.peers.partitioned = true
			origin.peers.peers = []forwarding.Peer{peerOf(peer, "hall", true)}
			peer.addInHall("north", "plain", "north-1", answer)
			peer.addInHall("south", "plain", "south-2", answer)
			for range 20 {
				got := origin.call(http.MethodPost, "/unsafe/x", "content", nil)
				if c.want == "" {
					g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
					g.Expect(got.body).To(Equal(string(gateway.CodeNoHome) + "\n"))
					continue
				}
				g.Expect(got.status).To(Equal(http.StatusOK))
			}
			for _, r := range peer.runLog.all() {
				g.Expect(r.instance).To(Equal(c.want))
			}
			g.Expect(len(peer.runLog.all()) > 0).To(Equal(c.want != ""))
		})
	}
}
