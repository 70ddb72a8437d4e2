package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// reachProcedure is the path of an indirect probe: a request to another node to probe an instance.
const reachProcedure = "/troutmast.Entry/Reach"

// ReachRequest asks a node to probe an instance that does not answer the sender.
type ReachRequest struct {
	Instance state.InstanceID `json:"i"`
}

// ReachAnswer is the result of an indirect probe: the instance's report if it answered.
type ReachAnswer struct {
	Reached bool         `json:"r,omitempty"`
	Report  fleet.Report `json:"report,omitzero"`
}

// reach handles an indirect probe: it probes an instance on behalf of another node.
func (p *peers) reach(ctx context.Context, req *connect.Request[ReachRequest]) (*connect.Response[ReachAnswer], error) {
	n := p.n
	startedAt := n.clock.Now()
	v, known := n.roster.Get(req.Msg.Instance, startedAt)
	if !known {
		return connect.NewResponse(&ReachAnswer{}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, n.policy.ProbeTimeout)
	defer cancel()
	n.Count("probes.indirect")
	rep, err := n.question(ctx, v.Instance, startedAt)
	if err != nil {
		return connect.NewResponse(&ReachAnswer{}), nil
	}
	n.reported(v.Instance, rep)
	return connect.NewResponse(&ReachAnswer{Reached: true, Report: rep}), nil
}

// indirectNodes is the number of other nodes that probe an instance on this node's behalf at once.
const indirectNodes = 3

// askAbout has other nodes probe an instance and records the first report that one of them gets, or
// the failure of all.
func (p *peers) askAbout(ctx context.Context, m fleet.Instance, startedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, 2*p.n.policy.ProbeTimeout)
	defer cancel()
	nodes := p.witnesses(m, startedAt)
	type indirectReport struct {
		prober string
		report *fleet.Report
	}
	reports := make(chan indirectReport, len(nodes))
	for _, node := range nodes {
		go func() { reports <- indirectReport{node.Name, p.reportBy(ctx, node, m.ID)} }()
	}
	for range nodes {
		if w := <-reports; w.report != nil {
			w.report.Asked = startedAt
			p.n.roster.RecordIndirectReport(m.ID, *w.report, w.prober)
			p.n.Count("instances.far")
			return
		}
	}
	p.n.roster.RecordIndirectFailure(m.ID, startedAt)
}

// reportBy has another node probe an instance and returns the report, or nil if there is none.
func (p *peers) reportBy(ctx context.Context, node NodeEntry, id state.InstanceID) *fleet.Report {
	c := connect.NewClient[ReachRequest, ReachAnswer](p.hc, "http://"+node.Address+reachProcedure, connect.WithCodec(peer.JSONCodec{}))
	resp, err := c.CallUnary(ctx, connect.NewRequest(&ReachRequest{Instance: id}))
	if err != nil || !resp.Msg.Reached {
		return nil // a node that is down, or of a version without indirect probes, counts as not reaching the instance
	}
	return &resp.Msg.Report
}

// witnesses returns the nodes to use for indirect probes of an instance, out of those that recently
// sent this node a status report. The one that last reached the instance comes first, then others
// in random order.
func (p *peers) witnesses(m fleet.Instance, now time.Time) []NodeEntry {
	lastProber := p.n.roster.LastIndirectProber(m.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []NodeEntry
	for _, r := range p.words {
		if now.Sub(r.at) < p.n.policy.NodeTimeout {
			list = append(list, r.word.From)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if i := slices.IndexFunc(list, func(e NodeEntry) bool { return e.Name == lastProber }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	return list[:min(len(list), indirectNodes)]
}
