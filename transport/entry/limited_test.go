package entry_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/entry"
	"github.com/troutmast/troutmast/transport/gateway"
)

// These tests guard against nodes that exceed the rate limit of an instance together. An
// overloaded instance states in its responses how many requests a second it accepts from all
// nodes together. When nodes ignored the limit, and did not divide it among themselves, two
// instances with limits of 2.2 and 1.5 a second still got 5 to 9 and 2 to 6 a second from nine
// nodes. All of these were first attempts: none failed and none was rejected. The remaining
// calls to the instances were the leader's probes.

// Durations of the test.
const (
	// limitWindow is the window in which requests to a limited instance are counted.
	limitWindow = 4 * time.Second
	// limitPropagation is how long after an instance first states its limit all nodes must keep to it.
	limitPropagation = 3 * time.Second
	// useWindows is the number of windows over which the use of a limit is measured. In a single
	// window, the random choice of nodes by callers decides too much: in simulations, 15 of 300
	// used less than half of a limit that is used to 0.9 over time.
	useWindows = 4
	// recoveryTime is how long an instance may take to get its full share again after its limit ends.
	recoveryTime = 20 * time.Second
	// maxRefusalTime is the longest time until a request that no instance can accept is refused.
	maxRefusalTime = 500 * time.Millisecond
)

// maxInWindow returns how many requests a limited instance may get in a window from all
// nodes together: half as much again as its limit, and five.
func maxInWindow(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// limitHeader is the header in which the fake instances state their limits.
const limitHeader = "Limit"

// limitOf reads the limit from the response of a fake instance.
func limitOf(h http.Header) fleet.RateLimit {
	if text := h.Get(limitHeader); text != "" {
		perSecond, err := strconv.ParseFloat(text, 64)
		return fleet.RateLimit{Said: err == nil, Limited: true, PerSecond: perSecond, Fault: err}
	}
	return fleet.Unlimited()
}

// limitDialect is a codec whose responses may carry limits.
type limitDialect struct{ nodeCodec }

func (limitDialect) ParseReply(_ int, h http.Header) gateway.ReplyInfo {
	return gateway.ReplyInfo{HasSeal: true, Notice: fleet.Notice{RateLimit: limitOf(h)}}
}

func (d limitDialect) ParseRequest(h http.Header) (gateway.RequestInfo, error) {
	c, err := d.nodeCodec.ParseRequest(h)
	c.Model = limitModel
	return c, err
}

// limitModel is the model of the fake groups.
const limitModel = "m"

// limitDecoder returns a configuration with a plain service, or with a service whose groups
// have one instance each.
type limitDecoder struct {
	decoder
	groups bool
}

func (d limitDecoder) Catalog([]byte) (*catalog.Catalog, error) {
	service := catalog.Service{Name: "lm"}
	if d.groups {
		service.Engine = &catalog.Engine{BatchSlots: 64, Models: []catalog.Model{{Name: limitModel, GroupSize: 1, TimeFactor: 1, ExpectedShare: 1}}}
	}
	route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Safe, MaxAttempts: 2, Shares: []catalog.WeightedService{{Service: "lm", Weight: 1}}}
	return catalog.New(1, []catalog.Route{route}, []catalog.Service{service}, map[string]*catalog.Team{"k": {Name: "t"}}, catalog.Limits{}), nil
}

// limitTargets probes instances over HTTP; the responses may carry limits.
type limitTargets struct{ targets }

func (limitTargets) Report(ctx context.Context, at netip.AddrPort, id state.InstanceID, _ entry.ConnectionReuse) (fleet.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/report", nil)
	if err != nil {
		return fleet.Report{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fleet.Report{}, err
	}
	_ = resp.Body.Close()
	return fleet.Report{
		Notice: fleet.Notice{RateLimit: limitOf(resp.Header)}, Membership: singletonGroup(id), Model: limitModel, Staged: []string{limitModel},
	}, nil
}

// singletonGroup returns the membership of an instance that is a group of its own.
func singletonGroup(id state.InstanceID) fleet.Membership {
	return fleet.Membership{Group: state.GroupName("g-" + id), Epoch: 1, State: fleet.Open}
}

// limitedInstances is a set of instances, some of which state a limit while it is enabled.
type limitedInstances struct {
	mu        sync.Mutex
	enabled   bool
	perSecond float64
	// statedAt is when the limit was first stated, arrivals are all calls by instance, including
	// probes, and probes counts the probes alone.
	statedAt time.Time
	arrivals map[string][]time.Time
	probes   map[string]int
}

// newLimitedInstances starts and lists instances, the first few of which may state a limit.
func newLimitedInstances(t *testing.T, s *store, instances, limited int, perSecond float64) *limitedInstances {
	set := &limitedInstances{perSecond: perSecond, arrivals: map[string][]time.Time{}, probes: map[string]int{}}
	for i := range instances {
		id := state.InstanceID(fmt.Sprintf("i%d", i))
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { set.serve(w, r, string(id), i < limited) }))
		t.Cleanup(srv.Close)
		s.add(source.Instances, string(id), fleet.Instance{
			ID: id, Service: "lm", Slots: 64, Hall: "hall", Domain: "d", Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
			Model: limitModel, Loaded: limitModel, Staged: []string{limitModel}, Membership: singletonGroup(id),
		})
	}
	return set
}

// serve answers a request or a probe, and states the limit if it is enabled.
func (l *limitedInstances) serve(w http.ResponseWriter, r *http.Request, id string, limited bool) {
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
	if r.URL.Path == "/report" {
		l.probes[id]++
	}
	if limited && l.enabled {
		if l.statedAt.IsZero() {
			l.statedAt = time.Now()
		}
		w.Header().Set(limitHeader, strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	}
	l.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = w.Write(body)
}

// setLimited turns the limit on or off.
func (l *limitedInstances) setLimited(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enabled = on
}

// mostInWindow returns the most calls that reached a limited instance in any window that ends
// at least limitPropagation after the limit was first stated.
func (l *limitedInstances) mostInWindow(limited int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i := range limited {
		list := l.arrivals[fmt.Sprintf("i%d", i)]
		for _, end := range list {
			if end.Sub(l.statedAt) >= limitPropagation {
				most = max(most, countInWindow(list, end))
			}
		}
	}
	return most
}

// leastUse returns the smallest number of calls a second that a limited instance got since the
// requests from before its limit left the window.
func (l *limitedInstances) leastUse(limited int, now time.Time) float64 {
	since := l.firstStatedAt().Add(limitWindow)
	least := math.Inf(1)
	for i := range limited {
		least = min(least, float64(l.callsSince(fmt.Sprintf("i%d", i), since))/now.Sub(since).Seconds())
	}
	return least
}

// firstStatedAt returns when the limit was first stated, or the zero time.
func (l *limitedInstances) firstStatedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statedAt
}

// countInWindow counts the times in the window that ends at a time.
func countInWindow(list []time.Time, end time.Time) int {
	n := 0
	for _, at := range list {
		if d := end.Sub(at); d >= 0 && d < limitWindow {
			n++
		}
	}
	return n
}

// callsSince returns the number of calls that an instance got after a time.
func (l *limitedInstances) callsSince(id string, at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := slices.IndexFunc(l.arrivals[id], func(a time.Time) bool { return a.After(at) })
	if first < 0 {
		return 0
	}
	return len(l.arrivals[id]) - first
}

// callerResults counts the status codes that callers got.
type callerResults struct {
	mu    sync.Mutex
	codes map[int]int
	// slowest is the longest time until a refusal.
	slowest time.Duration
}

// sendUneven sends perSecond requests a second for a time; choose picks the node that gets
// each of them.
func sendUneven(nodes []*running, perSecond int, d time.Duration, choose func(n int) int) *callerResults {
	client := &http.Client{Timeout: 2 * time.Second}
	out := &callerResults{codes: map[int]int{}}
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		at := nodes[choose(len(nodes))].set.CallerAddress
		callers.Go(func() {
			began := time.Now()
			code, _ := post(client, at, fmt.Sprintf("r%d", n), "x")
			out.mu.Lock()
			defer out.mu.Unlock()
			out.codes[code]++
			if code == http.StatusServiceUnavailable {
				out.slowest = max(out.slowest, time.Since(began))
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return out
}

// Distributions of callers over nodes.
func anyNode(n int) int { return rand.N(n) }
func firstNode(int) int { return 0 }
func mostlyTwoNodes(n int) int {
	if rand.N(10) == 0 {
		return rand.N(n)
	}
	return rand.N(min(2, n))
}

func TestNodesTogetherStayWithinRateLimit(t *testing.T) {
	for _, c := range []struct {
		name               string
		nodes              int
		instances, limited int
		perSecond          float64
		// ratePerInstance is the rate of requests from callers, per instance and second.
		ratePerInstance int
		groups          bool
		choose          func(n int) int
	}{
		{"one of three", 3, 3, 1, 2.2, 8, false, anyNode},
		{"one of three, many nodes", 9, 3, 1, 1.5, 8, false, anyNode},
		{"one of three, all callers at one node", 9, 3, 1, 2.2, 8, false, firstNode},
		{"all of three, most callers at two nodes", 9, 3, 3, 3, 8, false, mostlyTwoNodes},
		{"the only instance", 9, 1, 1, 4, 10, false, anyNode},
		{"two of twelve", 9, 12, 2, 1, 6, false, anyNode},
		{"two of six groups", 9, 6, 2, 2.2, 8, true, anyNode},
		{"limits of zero", 3, 3, 1, 0, 2, true, anyNode},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := &store{topics: map[source.Topic][]source.Item{}}
			s.add(source.Configuration, "config", 1)
			instances := newLimitedInstances(t, s, c.instances, c.limited, c.perSecond)
			nodes := startLimitNodes(t, s, c.nodes, c.groups)
			rate := c.ratePerInstance * c.instances
			sendUneven(nodes, rate, time.Second, c.choose)
			instances.setLimited(true)
			out := sendUneven(nodes, rate, limitPropagation+useWindows*limitWindow, c.choose)
			most, used := instances.mostInWindow(c.limited), instances.leastUse(c.limited, time.Now())
			t.Logf("at most %d calls in a window, %g allowed; %.2f a second used of %g; probes %v; status codes %v; slowest refusal %v",
				most, maxInWindow(c.perSecond), used, c.perSecond, instances.probes, out.codes, out.slowest)
			g.Expect(instances.firstStatedAt()).NotTo(BeZero(), "no instance stated a limit")
			g.Expect(float64(most)).To(BeNumerically("<=", maxInWindow(c.perSecond)))
			if c.limited < c.instances {
				g.Expect(out.codes).To(HaveLen(1), "the instances without a limit should absorb all requests")
			} else {
				g.Expect(used).To(BeNumerically(">=", c.perSecond/2), "the limits of the instances should be used at least half")
			}
			g.Expect(out.slowest).To(BeNumerically("<", maxRefusalTime))

			// Without a limit, the instance gets its full share again.
			instances.setLimited(false)
			ended := time.Now()
			g.Eventually(func() float64 {
				sendUneven(nodes, rate, time.Second, c.choose)
				return float64(instances.callsSince("i0", ended)) - c.perSecond*time.Since(ended).Seconds()
			}, recoveryTime, time.Millisecond).Should(BeNumerically(">", maxInWindow(0)))
		})
	}
}

// startLimitNodes starts nodes whose instances may state limits, and waits until all nodes serve.
func startLimitNodes(t *testing.T, s *store, count int, groups bool) []*running {
	return startServing(t, s, count, func(name string) entry.Ports {
		return entry.Ports{Decoder: limitDecoder{groups: groups}, Target: limitTargets{}, HeaderCodec: limitDialect{nodeCodec{id: name}}}
	})
}
