package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/internal/bounds"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// indirectProbeProcedure is the path of an indirect probe: a request to another node to probe an instance.
const indirectProbeProcedure = "/troutmast.Entry/Reach"

// IndirectProbeRequest asks a node to probe an instance that does not answer the sender.
type IndirectProbeRequest struct {
	Instance state.InstanceID `json:"i"`
}

// IndirectProbeAnswer is the result of an indirect probe: the instance's report if it answered.
type IndirectProbeAnswer struct {
	Reached bool         `json:"r,omitempty"`
	Report  fleet.Report `json:"report,omitzero"`
}

// handleIndirectProbe probes an instance on behalf of another node.
func (p *peers) handleIndirectProbe(ctx context.Context, req *connect.Request[IndirectProbeRequest]) (*connect.Response[IndirectProbeAnswer], error) {
	n := p.n
	startedAt := n.clock.Now()
	v, known := n.roster.Get(req.Msg.Instance, startedAt)
	if !known {
		return connect.NewResponse(&IndirectProbeAnswer{}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, n.policy.ProbeTimeout)
	defer cancel()
	n.Count("probes.indirect")
	rep, err := n.probe(ctx, v.Instance, startedAt)
	if err != nil {
		return connect.NewResponse(&IndirectProbeAnswer{}), nil
	}
	n.recordReport(v.Instance, rep)
	return connect.NewResponse(&IndirectProbeAnswer{Reached: true, Report: rep}), nil
}

// maxIndirectProbers is the number of other nodes that probe an instance on this node's behalf at once.
const maxIndirectProbers = 3

// probeIndirectly has other nodes probe an instance and records the first report that one of them gets, or
// the failure of all.
func (p *peers) probeIndirectly(ctx context.Context, m fleet.Instance, startedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, 2*p.n.policy.ProbeTimeout)
	defer cancel()
	nodes := p.indirectProbers(m, startedAt)
	type indirectReport struct {
		prober string
		report *fleet.Report
	}
	reports := make(chan indirectReport, len(nodes))
	for _, node := range nodes {
		go func() { reports <- indirectReport{node.Name, p.probeVia(ctx, node, m.ID)} }()
	}
	for range nodes {
		if w := <-reports; w.report != nil {
			w.report.Asked = startedAt
			p.n.roster.RecordIndirectReport(m.ID, *w.report, w.prober)
			p.n.Count("instances.far")
			p.n.recordReachedByPeer(m.Service)
			return
		}
	}
	p.n.roster.RecordIndirectFailure(m.ID, startedAt)
}

// probeVia has another node probe an instance and returns the report, or nil if there is none.
func (p *peers) probeVia(ctx context.Context, node NodeEntry, id state.InstanceID) *fleet.Report {
	c := connect.NewClient[IndirectProbeRequest, IndirectProbeAnswer](p.hc, "http://"+node.Address+indirectProbeProcedure, callOptions()...)
	resp, err := c.CallUnary(ctx, connect.NewRequest(&IndirectProbeRequest{Instance: id}))
	if err != nil || !resp.Msg.Reached {
		return nil // a node that is down, or of a version without indirect probes, counts as not reaching the instance
	}
	if err := resp.Msg.Report.Validate(); err != nil {
		p.n.recordMessageRange(fmt.Errorf("%w: report of %.40q: %w", bounds.ErrRange, id, err), node.Name)
		return nil
	}
	return &resp.Msg.Report
}

// indirectProbers returns the nodes to use for indirect probes of an instance, out of those that recently
// sent this node a status report and are not partitioned from the instance's service. The one that last
// reached the instance comes first, then others in random order.
func (p *peers) indirectProbers(m fleet.Instance, now time.Time) []NodeEntry {
	lastProber := p.n.roster.LastIndirectProber(m.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []NodeEntry
	for _, r := range p.statusReports {
		isPartitioned := slices.Contains(r.report.Partitioned, m.Service)
		if now.Sub(r.receivedAt) < p.n.policy.NodeTimeout && !isPartitioned {
			list = append(list, r.report.From)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if i := slices.IndexFunc(list, func(e NodeEntry) bool { return e.Name == lastProber }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	return list[:min(len(list), maxIndirectProbers)]
}
