package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/entry"
)

// These tests guard against a query of death: a request that crashes each instance that runs
// it. Its attempt is retried at a second instance, which crashes too, 0.1 to 0.4 s later. Then
// callers send the request again, through another node, as a new attempt. The limit of two
// instances for an attempt and the retry budget of the service do not stop this, since they
// hold no state beyond one attempt and one node. In an incident of fifteen seconds, over forty
// instances crashed, each with five to thirty other requests in flight from up to nine nodes,
// and most callers of that kind of request got errors or late responses.

// deadly is the body of a request that crashes each instance that runs it.
const deadly = "deadly"

// Durations of the test.
const (
	// restartAfter is how long an instance takes to restart after a crash.
	restartAfter = 700 * time.Millisecond
	// serviceTime is how long an instance works on a request.
	serviceTime = 40 * time.Millisecond
	// deadlyInterval is the interval at which the deadly request is sent.
	deadlyInterval = 60 * time.Millisecond
	// propagationTime is how long it may take until all nodes know what any of them observed.
	propagationTime = 3 * time.Second
)

// maxLateSends is how often the deadly request may reach any instance after propagationTime.
const maxLateSends = 3

// crashingInstances is a set of instances that crash under the deadly request and restart.
type crashingInstances struct {
	// mode is how instances identify themselves after a restart.
	mode restartMode

	t            *testing.T
	s            *store
	mu           sync.Mutex
	incarnations []*incarnation
	crashes      []time.Time
	sends        []time.Time
	closed       bool
	active       sync.WaitGroup
}

// restartMode is the ID of an instance after a restart, and whether its entry has a start time.
type restartMode int

const (
	newID restartMode = iota
	sameIDLaterStart
	sameIDNoStart
)

// incarnation is one process of an instance.
type incarnation struct {
	srv  *http.Server
	once sync.Once
}

// newCrashingInstances starts a number of instances, which stop at the end of the test.
func newCrashingInstances(t *testing.T, s *store, instances int, mode restartMode) *crashingInstances {
	c := &crashingInstances{t: t, s: s, mode: mode}
	t.Cleanup(c.stop)
	for slot := range instances {
		c.startIncarnation(slot)
	}
	return c
}

// startIncarnation starts an incarnation of an instance and lists it.
func (c *crashingInstances) startIncarnation(slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	id, born := fmt.Sprintf("i%d-%d", slot, len(c.incarnations)), time.Time{}
	if c.mode != newID {
		id = fmt.Sprintf("i%d", slot)
	}
	if c.mode == sameIDLaterStart {
		born = time.Now().Truncate(time.Millisecond).UTC()
	}
	ln, err := net.Listen("tcp4", freeAddress(c.t).String())
	if err != nil {
		c.t.Error(err)
		return
	}
	inc := &incarnation{}
	c.incarnations = append(c.incarnations, inc)
	inc.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, slot, id, inc) })}
	c.active.Go(func() { _ = inc.srv.Serve(ln) })
	c.s.add(source.Instances, id, fleet.Instance{
		ID: state.InstanceID(id), Born: born, Service: "plain", Slots: 4, Hall: "hall", Address: netip.MustParseAddrPort(ln.Addr().String()),
	})
}

// serve answers a request, or crashes the incarnation if the request is the deadly one.
func (c *crashingInstances) serve(w http.ResponseWriter, r *http.Request, slot int, id string, inc *incarnation) {
	body, _ := io.ReadAll(r.Body)
	isDeadly := string(body) == deadly || slices.Contains(strings.Fields(r.Header.Get("Parts")), deadly)
	if isDeadly {
		c.recordTime(&c.sends)
	}
	time.Sleep(serviceTime)
	if isDeadly {
		inc.once.Do(func() { c.crash(slot, id, inc) })
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = w.Write(body)
}

// recordTime appends the current time to a list.
func (c *crashingInstances) recordTime(list *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, time.Now())
}

// crash ends an incarnation and its connections, and starts a new one after restartAfter.
func (c *crashingInstances) crash(slot int, id string, inc *incarnation) {
	c.recordTime(&c.crashes)
	_ = inc.srv.Close()
	c.active.Go(func() {
		time.Sleep(restartAfter)
		if c.mode == newID {
			c.s.drop(source.Instances, id)
		}
		c.startIncarnation(slot)
	})
}

// stop ends all incarnations and prevents further restarts.
func (c *crashingInstances) stop() {
	c.mu.Lock()
	c.closed = true
	for _, inc := range c.incarnations {
		_ = inc.srv.Close()
	}
	c.mu.Unlock()
	c.active.Wait()
}

// lateSends returns how often the deadly request reached an instance later than propagationTime
// after the third crash, and the total number of crashes.
func (c *crashingInstances) lateSends() (late, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		return 0, len(c.crashes)
	}
	for _, at := range c.sends {
		if at.Sub(c.crashes[2]) > propagationTime {
			late++
		}
	}
	return late, len(c.crashes)
}

// crashDecoder returns a configuration with one route whose requests may be retried once.
type crashDecoder struct{ decoder }

func (crashDecoder) Catalog([]byte) (*catalog.Catalog, error) {
	route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Safe, MaxAttempts: 2, Shares: []catalog.WeightedService{{Service: "plain", Weight: 1}}}
	return catalog.New(1, []catalog.Route{route}, []catalog.Service{{Name: "plain"}}, map[string]*catalog.Team{"k": {Name: "t"}}, catalog.Limits{}), nil
}

// dialTargets probes only whether the address of an instance accepts connections.
type dialTargets struct{ targets }

func (dialTargets) Report(ctx context.Context, at netip.AddrPort, _ state.InstanceID, _ entry.ConnectionReuse) (fleet.Report, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", at.String())
	if err != nil {
		return fleet.Report{}, err
	}
	_ = conn.Close()
	return fleet.Report{}, placement.ErrInvalidReport
}

// post sends a request with a body to a node and returns the status code and the response body.
func post(client *http.Client, at netip.AddrPort, id, body string) (int, string) {
	return postWithParts(client, at, id, body, "")
}

// postWithParts sends a request as post does, with the IDs of the parts of its prompt.
func postWithParts(client *http.Client, at netip.AddrPort, id, body, parts string) (int, string) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+at.String()+"/x", bytes.NewBufferString(body))
	req.Host = "h"
	req.Header.Set("Id", id)
	req.Header.Set("Key", "k")
	req.Header.Set("Parts", parts)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func TestQueryOfDeathIsStopped(t *testing.T) {
	testDeadlyRequests(t, newID)
}

func TestQueryOfDeathIsStoppedIfInstancesKeepIDs(t *testing.T) {
	testDeadlyRequests(t, sameIDLaterStart)
}

// An instance that restarts under the same ID and states no start time must not count as one
// that never ended, or its crash under the request is forgotten.
func TestQueryOfDeathIsStoppedIfInstancesStateNoStart(t *testing.T) {
	testDeadlyRequests(t, sameIDNoStart)
}

// testDeadlyRequests sends the deadly request repeatedly, and harmless requests afterwards.
func testDeadlyRequests(t *testing.T, mode restartMode) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	instances := newCrashingInstances(t, s, 8, mode)
	nodes := startCrashNodes(t, s, 3)
	client := &http.Client{Timeout: 2 * time.Second}

	var callers sync.WaitGroup
	end := time.Now().Add(propagationTime + 3*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		at := nodes[rand.N(len(nodes))].set.CallerAddress
		callers.Go(func() { post(client, at, fmt.Sprintf("d%d", n), deadly) })
		time.Sleep(deadlyInterval)
	}
	callers.Wait()
	late, crashes := instances.lateSends()
	t.Logf("%d crashes, %d late sends", crashes, late)
	g.Expect(crashes).To(BeNumerically(">=", 3), "too few crashes to identify the request as deadly")
	g.Expect(late).To(BeNumerically("<=", maxLateSends))

	// All nodes still serve harmless requests.
	time.Sleep(2 * restartAfter)
	for i := range 30 {
		code, text := post(client, nodes[i%len(nodes)].set.CallerAddress, fmt.Sprintf("s%d", i), fmt.Sprintf("sound %d", i))
		g.Expect(code).To(Equal(http.StatusOK), text)
	}
}

// startCrashNodes starts nodes that know each other, and waits until all of them serve.
func startCrashNodes(t *testing.T, s *store, count int) []*running {
	return startServing(t, s, count, func(string) entry.Ports {
		return entry.Ports{Decoder: crashDecoder{}, Target: dialTargets{}, HeaderCodec: codec{}}
	})
}
