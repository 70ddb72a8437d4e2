package peer

import (
	"net/netip"
	"time"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/state"
)

// CeilMilliseconds returns a duration in whole milliseconds. It rounds up, so that an age is never
// understated.
func CeilMilliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d+time.Millisecond-1)/time.Millisecond))
}

// FromMilliseconds returns a number of milliseconds as a time.Duration.
func FromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// EncodeNode returns a node's status as a message; age is the age of that status.
func EncodeNode(n membership.Node, age time.Duration) *rpc.Node {
	return &rpc.Node{
		Name:        n.Name,
		Hall:        string(n.Hall),
		Address:     n.Address.String(),
		Incarnation: n.Incarnation,
		Applied:     uint64(n.Applied),
		Ready:       n.Ready,
		Stopping:    n.Stopping,
		LogAgeMs:    CeilMilliseconds(n.LogLag),
		Held:        uint32(max(0, n.InFlight)),
		Demand:      uint32(max(0, n.RequestRate)),
		AgeMs:       CeilMilliseconds(age),
		Models:      n.Models,
	}
}

// DecodeNode returns the node status in a message; requestedAt is the time of the request that
// the message answers.
func DecodeNode(m *rpc.Node, requestedAt time.Time) (membership.Node, error) {
	addr, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return membership.Node{}, err
	}
	return membership.Node{
		Name:        m.GetName(),
		Hall:        state.HallName(m.GetHall()),
		Address:     addr,
		Incarnation: m.GetIncarnation(),
		Applied:     state.Offset(m.GetApplied()),
		Ready:       m.GetReady(),
		Stopping:    m.GetStopping(),
		LogLag:      FromMilliseconds(m.GetLogAgeMs()),
		InFlight:    int(m.GetHeld()),
		RequestRate: int(m.GetDemand()),
		Models:      m.GetModels(),
		RequestedAt: requestedAt.Add(-FromMilliseconds(m.GetAgeMs())),
	}, nil
}

// EncodeReport returns a report as a message; age is the time since the probe that it answers.
func EncodeReport(r evidence.Report, age time.Duration) *rpc.Report {
	return &rpc.Report{
		Instance:    string(r.Instance),
		Incarnation: r.Incarnation,
		Group:       string(r.Group),
		Epoch:       uint64(r.Epoch),
		Rank:        uint32(r.Rank),
		Phase:       string(r.Phase),
		Leaving:     r.Leaving,
		Held:        uint32(r.Load.InFlight),
		Tokens:      uint64(r.Load.Tokens),
		Slots:       uint32(r.Load.BatchSlots),
		AgeMs:       CeilMilliseconds(age),
	}
}

// decodeReport returns the report in a message, without its age.
func decodeReport(m *rpc.Report) evidence.Report {
	return evidence.Report{
		Instance:    state.InstanceID(m.GetInstance()),
		Incarnation: m.GetIncarnation(),
		Group:       state.GroupName(m.GetGroup()),
		Epoch:       state.Epoch(m.GetEpoch()),
		Rank:        int(m.GetRank()),
		Phase:       evidence.Phase(m.GetPhase()),
		Leaving:     m.GetLeaving(),
		Load:        evidence.Load{InFlight: int(m.GetHeld()), Tokens: int64(m.GetTokens()), BatchSlots: int(m.GetSlots())},
	}
}

// DecodeDelta returns the instance reports that changed or expired according to a response, and
// the age of each changed report.
func DecodeDelta(m *rpc.ExchangeResponse) (evidence.Delta, []time.Duration) {
	d := evidence.Delta{Version: m.GetVersion()}
	ages := make([]time.Duration, 0, len(m.GetChanged()))
	for _, r := range m.GetChanged() {
		d.Changed = append(d.Changed, evidence.TimedReport{Report: decodeReport(r)})
		ages = append(ages, FromMilliseconds(r.GetAgeMs()))
	}
	for _, id := range m.GetLost() {
		d.Expired = append(d.Expired, state.InstanceID(id))
	}
	return d, ages
}
