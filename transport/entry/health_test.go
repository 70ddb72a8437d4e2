package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// failingTargets fails the probes of some instances and answers all others.
type failingTargets struct {
	proofs
	errs map[state.InstanceID]error
}

func (f failingTargets) Report(_ context.Context, _ netip.AddrPort, id state.InstanceID, _ ConnectionReuse) (fleet.Report, error) {
	return f.rep, f.errs[id]
}

// Guards against a node that cancels the requests at a group because a member does not answer two probes: it may only pause.
func TestOnlyEvidenceOfAnEndCancelsRequestsOfGroup(t *testing.T) {
	refused := os.NewSyscallError("connect", syscall.ECONNREFUSED)
	for _, c := range []struct {
		name          string
		errs          map[state.InstanceID]error
		silent, ended int64
	}{
		{"all members answer", nil, 0, 0},
		{"the head is silent", map[state.InstanceID]error{"0": context.DeadlineExceeded}, 1, 0},
		{"another member is silent", map[state.InstanceID]error{"1": context.DeadlineExceeded}, 1, 0},
		{"both are silent", map[state.InstanceID]error{"0": context.DeadlineExceeded, "1": os.ErrDeadlineExceeded}, 1, 0},
		{"a member refuses connections", map[state.InstanceID]error{"1": refused}, 0, 1},
		{"a member refuses connections, the head is silent", map[state.InstanceID]error{"0": context.DeadlineExceeded, "1": refused}, 0, 1},
		{"another process answers at the address of a member", map[state.InstanceID]error{"1": placement.ErrAddressReused}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			clock := clockwork.NewRealClock()
			n := newProbingNode("node", clock, failingTargets{errs: c.errs})
			catalog, _ := engineConfiguration{}.Catalog(nil)
			now := clock.Now()
			for i, id := range []state.InstanceID{"0", "1"} {
				n.roster.ApplyFreshEntry(fleet.Instance{
					ID: id, Service: "lm", Model: "m", Address: testAddress(100 + i), Hall: "hall",
					Membership: fleet.Membership{Group: "g", Epoch: 1, Rank: i, State: []fleet.MemberState{fleet.Open, fleet.Ready}[i]},
				}, now)
			}
			n.roster.RecordListRead(now)
			n.table.Update(catalog, n.roster.All(now), n.isExcluded)
			count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, n.metrics).Count() }
			for range 3 { // each probe of the group is two of a member that fails
				n.ProbeGroup(n.table.Candidates("lm", "m")[0])
				g.Eventually(func() int64 { return count("probes") }, time.Second).Should(BeNumerically(">=", 2))
				time.Sleep(50 * time.Millisecond)
			}
			g.Expect(count("group.silent") > 0).To(Equal(c.silent > 0))
			g.Expect(count("group.ended") > 0).To(Equal(c.ended > 0))
		})
	}
}

// silentListener accepts connections of the kernel's queue only: a paused process.
func silentListener(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// httpTargets probes instances by HTTP, over connections that dial opens.
type httpTargets struct {
	proofs
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (h httpTargets) Report(ctx context.Context, at netip.AddrPort, _ state.InstanceID, _ ConnectionReuse) (fleet.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String(), nil)
	if err != nil {
		return fleet.Report{}, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DialContext: h.dial}}).Do(req)
	if err != nil {
		return fleet.Report{}, err
	}
	return fleet.Report{}, resp.Body.Close()
}

// A process that pauses accepts connections and says nothing; a machine that is gone accepts none. A probe must tell them apart,
// since only the second may end a group early.
func TestProbeTellsPausedInstanceFromOneThatIsGone(t *testing.T) {
	hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, c := range []struct {
		name string
		dial func(ctx context.Context, network, address string) (net.Conn, error)
		want error
	}{
		{"it pauses", (&net.Dialer{}).DialContext, errUnanswered},
		{"it is gone", hang, errUnconnected},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newProbingNode("node", clockwork.NewRealClock(), httpTargets{dial: c.dial})
			ctx, cancel := context.WithTimeout(t.Context(), n.policy.ProbeTimeout)
			defer cancel()
			in := n.instance("i")
			in.Address = silentListener(t)
			_, err := n.probe(ctx, in, n.clock.Now())
			g.Expect(err).To(MatchError(c.want))
		})
	}
}
