package entry_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/entry"
	"github.com/troutmast/troutmast/transport/gateway"
)

// These tests guard against requests to an instance within the cooldown that it asked for. An
// overloaded instance refuses requests with 503 and asks each node for, say, 3 s without requests.
// If a refusal only raises the cost of the instance for a while, the instance still looks like the
// least loaded one, since it has no requests in progress. Nodes then select it again and again, for
// first attempts as well as for retries, and it cannot recover: two nodes sent it a third request
// within the 3 s.
//
// Such an instance refused 37 requests within 8 s, from all nodes and at random intervals. Of 144
// refused attempts, 130 were the first of their request, so retries alone are not the cause.

// Times of the test.
const (
	// requestedCooldown is the cooldown that a shedding instance asks for.
	requestedCooldown = 2 * time.Second
	// inFlightTime is how long after a refusal requests that were sent before it may still arrive.
	inFlightTime = 500 * time.Millisecond
	// shedDuration is how long instances shed load.
	shedDuration = 5 * time.Second
	// requestInterval is the interval between two requests of callers.
	requestInterval = 4 * time.Millisecond
)

// leavingInstanceID is the ID of the instance that announces that it leaves.
const leavingInstanceID = "i0"

// maxRequestsInCooldown is the maximum number of requests of one node that may reach an instance during
// its cooldown.
const maxRequestsInCooldown = 2

// Headers of nodeCodec.
const (
	headerNode     = "Node"
	headerNotRun   = "Not-Run"
	headerCooldown = "Cooldown"
	headerLeaving  = "Leaving"
)

// nodeCodec is a codec that sends the name of its node to instances.
type nodeCodec struct {
	codec
	id string
}

func (d nodeCodec) SetForwardHeaders(h http.Header, _ gateway.ForwardInfo) { h.Set(headerNode, d.id) }

func (d nodeCodec) ParseReply(_ int, h http.Header) gateway.ReplyInfo {
	seconds, _ := strconv.ParseFloat(h.Get(headerCooldown), 64)
	return gateway.ReplyInfo{HasSeal: true, NotRun: h.Get(headerNotRun) != "", Notice: fleet.Notice{
		Cooldown: time.Duration(seconds * float64(time.Second)), Leaving: h.Get(headerLeaving) != "",
	}}
}

// sheddingInstances is a set of instances of the plain service, some of which refuse all requests for a while.
type sheddingInstances struct {
	mu        sync.Mutex
	shedUntil time.Time
	isLeaving bool
	arrivals  map[sender][]time.Time
	refusals  map[sender][]time.Time
	// leaveNotices holds the times of the answers in which an instance announced that it leaves.
	leaveNotices map[sender][]time.Time
}

// sender is a pair of an instance and a node that sends to it.
type sender struct {
	instance, node string
}

// newSheddingInstances starts instances and adds them to the instance list. The first ones, as many as shed
// says, refuse requests after beginShedding.
func newSheddingInstances(t *testing.T, s *store, instances, shed int) *sheddingInstances {
	set := &sheddingInstances{arrivals: map[sender][]time.Time{}, refusals: map[sender][]time.Time{}, leaveNotices: map[sender][]time.Time{}}
	for i := range instances {
		id := fmt.Sprintf("i%d", i)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { set.serve(w, r, id, i < shed) }))
		t.Cleanup(srv.Close)
		s.add(source.Instances, id, fleet.Instance{
			ID: state.InstanceID(id), Service: "plain", Slots: 4, Hall: "hall", Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
		})
	}
	return set
}

// beginShedding makes the shedding instances refuse requests for d from now on.
func (s *sheddingInstances) beginShedding(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedUntil = time.Now().Add(d)
}

// serve answers a request, or refuses it and asks for a cooldown.
func (s *sheddingInstances) serve(w http.ResponseWriter, r *http.Request, id string, sheds bool) {
	body, _ := io.ReadAll(r.Body)
	from := sender{id, r.Header.Get(headerNode)}
	now := time.Now()
	s.mu.Lock()
	s.arrivals[from] = append(s.arrivals[from], now)
	if sheds = sheds && now.Before(s.shedUntil); sheds {
		s.refusals[from] = append(s.refusals[from], now)
	}
	if s.isLeaving && id == leavingInstanceID {
		s.leaveNotices[from] = append(s.leaveNotices[from], now)
		w.Header().Set(headerLeaving, "1")
	}
	s.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	if sheds {
		w.Header().Set(headerNotRun, "1")
		w.Header().Set(headerCooldown, strconv.FormatFloat(requestedCooldown.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(body)
}

// maxInCooldown returns the maximum number of requests that one node sent to an instance within the
// cooldown after one of its refusals, and the total number of refusals. Requests that may have been
// in flight at the refusal do not count.
func (s *sheddingInstances) maxInCooldown() (most, refusals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for from, list := range s.refusals {
		refusals += len(list)
		for _, at := range list {
			n := 0
			for _, a := range s.arrivals[from] {
				if d := a.Sub(at); d > inFlightTime && d <= requestedCooldown {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most, refusals
}

// announceLeaving makes the instance leavingInstanceID announce in its answers from now on that it leaves.
func (s *sheddingInstances) announceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLeaving = true
}

// afterLeaveNotice returns how many nodes received the announcement that the instance leaves, and how
// many requests they sent to it afterwards, without those that may have been in flight.
func (s *sheddingInstances) afterLeaveNotice() (notified, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for from, list := range s.leaveNotices {
		notified++
		for _, a := range s.arrivals[from] {
			if a.Sub(list[0]) > inFlightTime {
				late++
			}
		}
	}
	return notified, late
}

// arrivalsSince returns the number of requests after a time for each instance that got any.
func (s *sheddingInstances) arrivalsSince(at time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for from, list := range s.arrivals {
		for _, a := range list {
			if a.After(at) {
				counts[from.instance]++
			}
		}
	}
	return counts
}

// startNamedNodes starts nodes that send their names to instances, and waits until all of them serve.
func startNamedNodes(t *testing.T, s *store, count int) []*running {
	return startServing(t, s, count, func(name string) entry.Ports {
		return entry.Ports{Decoder: crashDecoder{}, Target: dialTargets{}, HeaderCodec: nodeCodec{id: name}}
	})
}

// startServing starts nodes with the ports that a function returns, and waits until all of them serve.
func startServing(t *testing.T, s *store, count int, ports func(name string) entry.Ports) []*running {
	return startServingTuned(t, s, count, ports, func(*entry.Settings) {})
}

// startServingTuned starts nodes as startServing does, after tune has changed their settings.
func startServingTuned(t *testing.T, s *store, count int, ports func(name string) entry.Ports, tune func(*entry.Settings)) []*running {
	var nodes []*running
	var seeds []netip.AddrPort
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		n := startTuned(t, s, ports(name), name, func(set *entry.Settings) {
			set.IsFirstStart = true
			tune(set)
		}, seeds...)
		nodes = append(nodes, n)
		seeds = append(seeds, n.set.PeerAddress)
	}
	for _, n := range nodes {
		serves := func() int {
			code, _ := post(http.DefaultClient, n.set.CallerAddress, "ready", "sound")
			return code
		}
		NewWithT(t).Eventually(serves, 10*time.Second).Should(Equal(http.StatusOK))
		NewWithT(t).Eventually(n.hasRetryShare, 10*time.Second).Should(BeTrue())
	}
	return nodes
}

// retryShare matches a gauge of a node's share of the slack of a retry budget, unless it is zero.
var retryShare = regexp.MustCompile(`retry-budget\.\S+\.share\s+value:\s+0*[1-9]`)

// hasRetryShare reports whether the node has a share of the slack of a retry budget. It has none before it knows the
// other nodes.
func (r *running) hasRetryShare() (bool, error) {
	resp, err := http.Get("http://" + r.set.MetricsAddress.String() + "/metrics")
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return retryShare.Match(body), err
}

// sendRequests sends requests to randomly selected nodes for d and returns the number of responses by status.
func sendRequests(nodes []*running, d time.Duration) map[int]int {
	client := &http.Client{Timeout: 2 * time.Second}
	var mu sync.Mutex
	counts := map[int]int{}
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		at := nodes[rand.N(len(nodes))].set.CallerAddress
		callers.Go(func() {
			code, _ := post(client, at, fmt.Sprintf("r%d", n), "x")
			mu.Lock()
			defer mu.Unlock()
			counts[code]++
		})
		time.Sleep(requestInterval)
	}
	callers.Wait()
	return counts
}

func TestInstanceGetsNoRequestsDuringCooldown(t *testing.T) {
	for _, c := range []struct {
		name            string
		instances, shed int
	}{
		{"one of three instances", 3, 1},
		{"two of three instances", 3, 2},
		{"all of three instances", 3, 3},
		{"the only instance", 1, 1},
		{"one of twelve instances", 12, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := &store{topics: map[source.Topic][]source.Item{}}
			s.add(source.Configuration, "config", 1)
			instances := newSheddingInstances(t, s, c.instances, c.shed)
			nodes := startNamedNodes(t, s, 3)
			instances.beginShedding(shedDuration)
			counts := sendRequests(nodes, shedDuration)
			most, refusals := instances.maxInCooldown()
			t.Logf("%d refusals, at most %d requests of one node in a cooldown, responses by status: %v", refusals, most, counts)
			g.Expect(refusals).To(BeNumerically(">", 0), "no instance asked for a cooldown")
			g.Expect(most).To(BeNumerically("<=", maxRequestsInCooldown))
			if c.shed < c.instances {
				g.Expect(counts[http.StatusOK]).To(BeNumerically(">", 0))
				g.Expect(counts).To(HaveLen(1), "the other instances serve all requests")
			}

			// Afterwards all instances serve again.
			time.Sleep(requestedCooldown)
			began := time.Now()
			g.Expect(sendRequests(nodes, time.Second)).To(HaveLen(1))
			g.Expect(instances.arrivalsSince(began)).To(HaveLen(c.instances))
		})
	}
}

// An instance may announce in its answers that it leaves while its entry in the list still says
// that it is ready. A node that relies on the list alone, and cannot read it, sends requests until
// the process of the instance ends.
func TestInstanceThatAnnouncesLeavingGetsNoFurtherRequests(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	instances := newSheddingInstances(t, s, 3, 0)
	nodes := startNamedNodes(t, s, 3)
	sendRequests(nodes, time.Second)
	nodes[0].view.setCut(true)
	instances.announceLeaving()
	counts := sendRequests(nodes, 3*time.Second)
	notified, late := instances.afterLeaveNotice()
	t.Logf("%d nodes got the announcement, %d late requests, responses by status: %v", notified, late, counts)
	g.Expect(notified).To(BeNumerically(">", 0))
	g.Expect(late).To(BeZero())
	g.Expect(counts).To(HaveLen(1))
}
