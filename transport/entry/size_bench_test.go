package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// fleetSize is the size of a system in a benchmark.
type fleetSize struct{ nodes, instances int }

var fleetSizes = []fleetSize{{9, 48}, {85, 296}, {295, 925}, {570, 12000}}

func (s fleetSize) String() string { return fmt.Sprintf("nodes=%d", s.nodes) }

// groupSize is the number of members of each group in the benchmarks.
const groupSize = 8

// member returns the nth instance of a system, as a member of an open group. Each generation of it has
// another epoch.
func (s fleetSize) member(i, generation int) fleet.Instance {
	memberState := fleet.Ready
	if i%groupSize == 0 {
		memberState = fleet.Open
	}
	epoch := state.Epoch(1000*(i/groupSize+1) + generation)
	return fleet.Instance{
		ID: state.InstanceID(fmt.Sprintf("i-%010x", i)), Service: "lm", Hall: state.HallName(fmt.Sprint("hall-", i%5)), Domain: fmt.Sprintf("hall-%d-d%d", i%5, i/185),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8285), Slots: 22, Model: "m", Loaded: "m", Staged: []string{"m"},
		Position:   int64(generation*s.instances + i),
		Membership: fleet.Membership{Group: state.GroupName(fmt.Sprint("g", epoch)), Epoch: epoch, Rank: i % groupSize, State: memberState},
	}
}

// leaderOf returns a leader that knows all nodes and instances of a system and has a report of each node.
func leaderOf(g *WithT, s fleetSize) *Node {
	n := ableNode(g)
	n.peers.setLeader(true)
	for i := range s.instances {
		n.roster.ApplyFreshEntry(s.member(i, 0), n.clock.Now())
	}
	for i := range s.nodes - 1 {
		e := NodeEntry{Name: fmt.Sprint("node-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8229).String(), Capacity: 0.2, Number: int64(i + 10)}
		n.peers.recordNode(e)
		inProgress := map[state.InstanceID]int{}
		for j := range 4 {
			head := (i*4 + j) * groupSize % (s.instances / groupSize * groupSize)
			inProgress[s.member(head, 0).ID] = 2
		}
		n.peers.statusReports[e.Name] = receivedReport{report: StatusReport{From: e, Protocol: protocolVersion, InProgress: inProgress}, receivedAt: n.clock.Now()}
	}
	return n
}

// servePeers serves the status reports to a node and returns its address.
func servePeers(t testing.TB, n *Node) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	srv := &http.Server{Handler: statusHandler(n), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// statusHandler returns the handler of the status reports to a node.
func statusHandler(n *Node) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(statusReportProcedure, connect.NewUnaryHandler(statusReportProcedure, n.peers.handleStatusReport, statusHandlerOptions()...))
	return mux
}

// BenchmarkLeaderRound measures what a leader does to answer one status report of each node, without the network, and the
// mean bytes of an answer: at rest, and after eight instances of a group have changed, as nodes of this build and of
// the one before the packed answers.
func BenchmarkLeaderRound(b *testing.B) {
	for _, s := range fleetSizes {
		for _, changed := range []int{0, groupSize} {
			for _, version := range []int{protocolRateLimits, protocolPacked} {
				b.Run(fmt.Sprintf("%v/changed=%d/version=%d", s, changed, version), func(b *testing.B) { benchmarkRound(b, s, changed, version) })
			}
		}
	}
}

func benchmarkRound(b *testing.B, s fleetSize, changed, version int) {
	g := NewWithT(b)
	leader := leaderOf(g, s)
	clock := leader.clock.(*clockwork.FakeClock)
	clock.Advance(batchInterval)
	handler := statusHandler(leader)
	first := reportAsVersion(g, leader, leader, version)
	w := StatusReport{From: NodeEntry{Name: "node-1"}, Protocol: version, ConfigVersion: 1, Feed: first.Feed, FeedVersion: first.FeedVersion, NodeCount: leader.peers.nodeCount()}
	w.InProgress = leader.peers.statusReports["node-1"].report.InProgress
	generation, sent, answers := 0, 0, 0
	for b.Loop() {
		clock.Advance(DefaultPolicy().Node.StatusInterval)
		for name, r := range leader.peers.statusReports {
			r.receivedAt = clock.Now()
			leader.peers.statusReports[name] = r
		}
		for j := range changed {
			leader.roster.ApplyFreshEntry(s.member(j, generation+1), clock.Now())
		}
		generation++
		raw, err := json.Marshal(w)
		g.Expect(err).NotTo(HaveOccurred())
		for range s.nodes {
			req := httptest.NewRequest(http.MethodPost, statusReportProcedure, bytes.NewReader(raw))
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Accept-Encoding", "gzip")
			rec := httptest.NewRecorder()
			handler.ServeHTTP(rec, req)
			sent += rec.Body.Len()
			answers++
		}
		w.FeedVersion = leader.roster.Version()
		leader.recordStoreRead(clock.Now())
	}
	b.ReportMetric(float64(sent)/float64(answers), "answer-B")
}

// BenchmarkPlainNodeSecond measures what a node that does not lead does in a second without requests, apart
// from its status reports: at rest, and while groups of instances change ten times in the second.
func BenchmarkPlainNodeSecond(b *testing.B) {
	for _, s := range fleetSizes {
		for _, changing := range []bool{false, true} {
			b.Run(fmt.Sprintf("%v/changing=%t", s, changing), func(b *testing.B) {
				g := NewWithT(b)
				n := leaderOf(g, s)
				n.peers.setLeader(false)
				logged := &loggedState{instances: map[state.InstanceID]loggedInstance{}}
				var last candidateInputs
				generation := 0
				b.ReportAllocs()
				for b.Loop() {
					for tick := range 10 {
						if changing {
							generation++
							for j := range groupSize {
								n.roster.ApplyFreshEntry(s.member(j, generation), n.clock.Now())
							}
						}
						if in := n.candidateInputs(n.clock.Now()); in != last {
							last = in
							n.table.Update(in.catalog, n.roster.All(n.clock.Now()), n.isExcluded)
						}
						if tick%2 == 0 {
							n.logInstances(logged, n.clock.Now())
						}
					}
				}
			})
		}
	}
}

// BenchmarkPeersFor measures what a leader does for each status report of a node that needs peers, and the size of what it
// answers. Half of the nodes are partitioned.
func BenchmarkPeersFor(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			leader := leaderOf(NewWithT(b), s)
			pools := []dispatch.Pool{{Service: "lm", Model: "m"}, {Service: "lm", Model: "n"}, {Service: "plain"}}
			i := 0
			for name, r := range leader.peers.statusReports {
				r.report.Protocol = protocolForwarding
				if i%2 == 0 {
					r.report.Impaired = pools
				}
				leader.peers.statusReports[name] = r
				i++
			}
			node := NodeEntry{Address: testAddress(1).String(), Hall: "hall-1"}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				raw, err := json.Marshal(leader.peers.peersFor(&node, pools))
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "answer-bytes")
		})
	}
}

// BenchmarkReachedByPeer measures what a leader does when other nodes reach each of the instances, none of which answers it.
func BenchmarkReachedByPeer(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			leader := leaderOf(NewWithT(b), s)
			for b.Loop() {
				for range s.instances {
					leader.recordReachedByPeer("lm")
				}
			}
		})
	}
}
