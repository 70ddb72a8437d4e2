package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/entry"
	"github.com/troutmast/troutmast/transport/gateway"
)

// store is an in-memory stand-in for the platform's store. Each node reads it through a view,
// which can be disconnected.
type store struct {
	mu     sync.Mutex
	topics map[source.Topic][]source.Item
	era    int64
}

// copied is a backup of a store: the number of records of each topic.
type copied map[source.Topic]int

// copy takes a backup of the store.
func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copied{}
	for topic, items := range s.topics {
		c[topic] = len(items)
	}
	return c
}

// restore replaces the contents of the store by a backup. It begins a new era, in which the
// offsets after the backup are assigned again.
func (s *store) restore(c copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic := range s.topics {
		s.topics[topic] = s.topics[topic][:c[topic]:c[topic]]
	}
	s.era++
}

func (s *store) add(topic source.Topic, key string, value any) int64 {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], source.Item{Key: key, Value: raw, Offset: offset})
	return offset
}

// drop appends a tombstone for a key of a topic.
func (s *store) drop(topic source.Topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], source.Item{Key: key, Offset: int64(len(s.topics[topic]))})
}

// view is the connection of one node to the store.
type view struct {
	*store
	mu           sync.Mutex
	disconnected bool
	reads        map[source.Topic]int
}

func (v *view) setCut(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disconnected = on
}

func (v *view) isDisconnected() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disconnected
}

func (v *view) Newest(ctx context.Context, topic source.Topic) (source.ReadResult, error) {
	return v.Read(ctx, topic, 0, 0)
}

func (v *view) Read(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.ReadResult, error) {
	v.count(topic)
	timeout := time.After(wait)
	for {
		if v.isDisconnected() {
			return source.ReadResult{}, source.ErrUnavailable
		}
		v.store.mu.Lock()
		era, all := v.era, v.topics[topic]
		if from > int64(len(all)) {
			v.store.mu.Unlock()
			return source.ReadResult{}, source.ErrTrimmed
		}
		items := append([]source.Item(nil), all[from:]...)
		v.store.mu.Unlock()
		if len(items) > 0 || wait == 0 {
			return source.ReadResult{Era: era, Items: items, NextOffset: from + int64(len(items)), AtEnd: true}, nil
		}
		select {
		case <-ctx.Done():
			return source.ReadResult{}, source.ErrUnavailable
		case <-timeout:
			return source.ReadResult{Era: era, NextOffset: from, AtEnd: true}, nil
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// count records a read of a topic.
func (v *view) count(topic source.Topic) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reads == nil {
		v.reads = map[source.Topic]int{}
	}
	v.reads[topic]++
}

// readCount returns how often a topic has been read.
func (v *view) readCount(topic source.Topic) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reads[topic]
}

func (v *view) Append(_ context.Context, topic source.Topic, key string, value []byte) (source.RecordPosition, error) {
	if v.isDisconnected() {
		return source.RecordPosition{}, source.ErrUnavailable
	}
	offset := v.add(topic, key, json.RawMessage(value))
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	return source.RecordPosition{Era: v.era, Offset: offset}, nil
}

// decoder decodes the records of store. A configuration record consists of its version only.
type decoder struct{}

func (decoder) Catalog(raw []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return nil, errors.New("unreadable")
	}
	route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Safe, MaxAttempts: 1, Shares: []catalog.WeightedService{{Service: "plain", Weight: 1}}}
	return catalog.New(version, []catalog.Route{route}, []catalog.Service{{Name: "plain"}}, map[string]*catalog.Team{"k": {Name: "t"}}, catalog.Limits{}), nil
}

func (decoder) Instance(_ string, raw []byte) (fleet.Instance, error) {
	var in fleet.Instance
	return in, json.Unmarshal(raw, &in)
}

// targets fails every probe and every order: the tests run no engines.
type targets struct{}

func (targets) Report(context.Context, netip.AddrPort, state.InstanceID, entry.ConnectionReuse) (fleet.Report, error) {
	return fleet.Report{}, errors.New("no engine")
}

func (targets) Order(context.Context, placement.Order) (entry.OrderResult, error) {
	return entry.OrderResult{Reply: placement.Unanswered}, errors.New("no engine")
}

// codec is the header codec of the tests.
type codec struct{}

func (codec) ParseRequest(h http.Header) (gateway.RequestInfo, error) {
	return gateway.RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Timeout: 2 * time.Second, PromptParts: strings.Fields(h.Get("Parts"))}, nil
}
func (codec) SetForwardHeaders(http.Header, gateway.ForwardInfo) {}
func (codec) ResponseID(h http.Header) string                    { return h.Get("Id") }
func (codec) ParseReply(int, http.Header) gateway.ReplyInfo      { return gateway.ReplyInfo{HasSeal: true} }
func (codec) RemoveNodeHeaders(int, http.Header)                 {}
func (codec) SetRetryAfter(h http.Header, d time.Duration)       { h.Set("Retry-After", d.String()) }
func (codec) SetRequestID(h http.Header, id string)              { h.Set("Id", id) }
func (codec) StatusCode(c gateway.Code) int {
	if c == gateway.CodeBadKey {
		return http.StatusUnauthorized
	}
	return http.StatusServiceUnavailable
}

// running is a node under test.
type running struct {
	set  *entry.Settings
	view *view
	stop context.CancelFunc
	done chan error
}

// start runs a node on loopback addresses.
func start(t *testing.T, s *store, name string, seeds ...netip.AddrPort) *running {
	return startWith(t, s, entry.Ports{Decoder: decoder{}, Target: targets{}, HeaderCodec: codec{}}, name, seeds...)
}

// startWith runs a node on loopback addresses with the given ports. It sets the Store port to a
// view of s.
func startWith(t *testing.T, s *store, ports entry.Ports, name string, seeds ...netip.AddrPort) *running {
	return startTuned(t, s, ports, name, func(*entry.Settings) {}, seeds...)
}

// startTuned runs a node as startWith does, after tune has changed its settings.
func startTuned(t *testing.T, s *store, ports entry.Ports, name string, tune func(*entry.Settings), seeds ...netip.AddrPort) *running {
	return startPrepared(t, s, ports, name, tune, func(*entry.Node) {}, seeds...)
}

// startPrepared runs a node as startTuned does, after prepare has changed the node.
func startPrepared(t *testing.T, s *store, ports entry.Ports, name string, tune func(*entry.Settings), prepare func(*entry.Node), seeds ...netip.AddrPort) *running {
	set := &entry.Settings{
		Policy: entry.DefaultPolicy(),
		Name:   name, Hall: "hall", CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t), PeerAddress: freeAddress(t), MetricsAddress: freeAddress(t), Seeds: seeds,
		HeartbeatInterval: time.Second, StopTimeout: time.Second, LeaveTimeout: 2 * time.Second, StallTimeout: 4 * time.Second,
		StrictKeys: true, MaxKeyAge: 3 * time.Second, Retry: retry.SharedBudgetConfig{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	}
	tune(set)
	r := &running{set: set, view: &view{store: s}, done: make(chan error, 1)}
	ports.Store = r.view
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	node := entry.New(set, ports, clockwork.NewRealClock(), &log.Logger{Handler: discard.New(), Level: log.InfoLevel})
	prepare(node)
	go func() { r.done <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-r.done; err != nil {
			t.Errorf("node %s: Run returned an error: %v", name, err)
		}
	})
	return r
}

// addressCount counts the loopback addresses that freeAddress has returned.
var addressCount atomic.Int32

// freeAddress returns a free port on a loopback IP address that no other caller gets. Outgoing
// connections use ports of 127.0.0.1, so they cannot take the port before the node listens on it.
func freeAddress(t *testing.T) netip.AddrPort {
	n := addressCount.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 1 + byte(os.Getpid()%250), byte(n >> 8), 1 + byte(n%250)})
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// status sends a request to an address and returns the response status, 0 if there is no response.
func status(at netip.AddrPort, key string) int {
	code, _ := answer(at, key)
	return code
}

// answer sends a request to an address and returns the status and the body of the response, 0 if there is no response.
func answer(at netip.AddrPort, key string) (int, string) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+at.String()+"/x", nil)
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func TestNodeIsReadyOnceItHasAConfiguration(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	n := start(t, s, "a")
	g.Eventually(func() int { return status(n.set.ReadyAddress, "") }, 10*time.Second).Should(Equal(http.StatusServiceUnavailable))
	g.Expect(status(n.set.CallerAddress, "k")).To(Equal(http.StatusServiceUnavailable))
	s.add(source.Configuration, "config", 1)
	g.Eventually(func() int { return status(n.set.ReadyAddress, "") }, 10*time.Second).Should(Equal(http.StatusOK))
	g.Expect(status(n.set.CallerAddress, "other")).To(Equal(http.StatusUnauthorized))
	g.Expect(status(n.set.MetricsAddress, "")).NotTo(BeZero())
}

func TestNodeWithoutStoreServesConfigurationOfPeer(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	a := start(t, s, "a")
	b := start(t, s, "b", a.set.PeerAddress)
	for _, n := range []*running{a, b} {
		g.Eventually(func() int { return status(n.set.CallerAddress, "other") }, 10*time.Second).Should(Equal(http.StatusUnauthorized))
	}
	for _, disconnected := range []*running{a, b} {
		disconnected.view.setCut(true)
		// Well beyond MaxKeyAge the node still accepts the keys: its peer confirms them.
		g.Consistently(func() int { return status(disconnected.set.CallerAddress, "other") }, 4*time.Second, 50*time.Millisecond).
			Should(Equal(http.StatusUnauthorized))
		disconnected.view.setCut(false)
		time.Sleep(100 * time.Millisecond)
	}
}

func TestKeysExpireWithoutConfirmationByStore(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	n := start(t, s, "a")
	g.Eventually(func() int { return status(n.set.CallerAddress, "other") }, 10*time.Second).Should(Equal(http.StatusUnauthorized))
	n.view.setCut(true)
	g.Eventually(func() int { return status(n.set.CallerAddress, "other") }, 10*time.Second).Should(Equal(http.StatusServiceUnavailable))
	n.view.setCut(false)
	g.Eventually(func() int { return status(n.set.CallerAddress, "other") }, 10*time.Second).Should(Equal(http.StatusUnauthorized))
}

func TestStoppingNodeIsNotReadyAndEnds(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	n := start(t, s, "a")
	g.Eventually(func() int { return status(n.set.ReadyAddress, "") }, 10*time.Second).Should(Equal(http.StatusOK))
	n.stop()
	g.Eventually(func() int { return status(n.set.ReadyAddress, "") }, 10*time.Second).ShouldNot(Equal(http.StatusOK))
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.done <- nil
}

func TestConfigStateKeepsNewestConfiguration(t *testing.T) {
	g := NewWithT(t)
	k := entry.NewConfigState(decoder{}, true, 5*time.Second, clockwork.NewFakeClock())
	for _, c := range []struct {
		raw     string
		newer   bool
		fails   bool
		version int64
	}{
		{"3", true, false, 3}, {"2", false, false, 3}, {"x", false, true, 3}, {"3", false, false, 3}, {"7", true, false, 7},
	} {
		newer, err := k.Apply([]byte(c.raw))
		g.Expect(newer).To(Equal(c.newer), c.raw)
		g.Expect(err != nil).To(Equal(c.fails), c.raw)
		_, version := k.Encoded()
		g.Expect(version).To(Equal(c.version), c.raw)
	}
}

func TestConfigStateAgeCountsFromStartOfRead(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	k := entry.NewConfigState(decoder{}, true, 5*time.Second, clock)
	g.Expect(k.KeysFresh()).To(BeFalse())
	requested := clock.Now()
	clock.Advance(3 * time.Second) // the response is delayed
	k.RecordConfirmation(requested)
	g.Expect(k.KeysFresh()).To(BeTrue())
	clock.Advance(1500 * time.Millisecond)
	g.Expect(k.KeysFresh()).To(BeTrue())
	clock.Advance(200 * time.Millisecond)
	g.Expect(k.KeysFresh()).To(BeFalse())
	k.RecordConfirmation(requested.Add(-time.Second)) // an older confirmation has no effect
	g.Expect(k.KeysFresh()).To(BeFalse())
	k.SetMaxKeyAge(false, 0)
	g.Expect(k.KeysFresh()).To(BeTrue())
}

// startPlainInstance starts an instance of the plain service whose requests are served by answer.
// list writes its entry to the store, received returns how many requests it has received.
func startPlainInstance(t *testing.T, s *store, id string, answer http.HandlerFunc) (list func(change func(*fleet.Instance)), received func() int) {
	var mu sync.Mutex
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n++
		mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		answer(w, r)
	}))
	t.Cleanup(srv.Close)
	in := fleet.Instance{ID: state.InstanceID(id), Service: "plain", Slots: 4, Hall: "hall", Address: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	list = func(change func(*fleet.Instance)) {
		changed := in
		change(&changed)
		s.add(source.Instances, id, changed)
	}
	received = func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
	return list, received
}

// unchanged leaves the entry of an instance as it is.
func unchanged(*fleet.Instance) {}

// answerOK answers 200 with an empty body.
func answerOK(http.ResponseWriter, *http.Request) {}

func TestLeavingInstanceGetsNoNewRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(s *store, list func(func(*fleet.Instance)))
	}{
		{"its entry says that it drains", func(_ *store, list func(func(*fleet.Instance))) {
			list(func(in *fleet.Instance) { in.Draining = true })
		}},
		{"its entry is deleted", func(s *store, _ func(func(*fleet.Instance))) { s.drop(source.Instances, "i1") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := &store{topics: map[source.Topic][]source.Item{}}
			s.add(source.Configuration, "config", 1)
			n := start(t, s, "a")
			list, received := startPlainInstance(t, s, "i1", answerOK)
			list(unchanged)
			g.Eventually(func() int { return status(n.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusOK))
			c.leave(s, list)
			g.Eventually(func() int { return status(n.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusServiceUnavailable))
			before := received()
			for range 20 {
				g.Expect(status(n.set.CallerAddress, "k")).To(Equal(http.StatusServiceUnavailable))
			}
			g.Expect(received()).To(Equal(before))
			list(unchanged) // the instance returns
			g.Eventually(func() int { return status(n.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusOK))
		})
	}
}

// Another writer may overwrite the entry of an instance with a value that cannot be decoded. The
// instance gets no requests until it writes its entry again. Other instances are not affected.
func TestInstanceWithUnreadableEntryGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	a := start(t, s, "a")
	b := start(t, s, "b", a.set.PeerAddress)
	list1, received1 := startPlainInstance(t, s, "i1", answerOK)
	list2, received2 := startPlainInstance(t, s, "i2", answerOK)
	list1(unchanged)
	list2(unchanged)
	for _, n := range []*running{a, b} {
		g.Eventually(func() int { return status(n.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusOK))
	}
	serves := func(received func() int) func() bool {
		return func() bool {
			before := received()
			for _, n := range []*running{a, b} {
				for range 8 {
					g.Expect(status(n.set.CallerAddress, "k")).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
				}
			}
			return received() > before
		}
	}
	g.Eventually(serves(received1), 10*time.Second).Should(BeTrue())
	s.add(source.Instances, "i1", "no entry")
	// Eight requests of a node may all go to the other instance by chance: once in 256 draws.
	servesWithin := func(draws int) func() bool {
		return func() bool {
			for range draws {
				if serves(received1)() {
					return true
				}
			}
			return false
		}
	}
	g.Eventually(servesWithin(6), 10*time.Second).Should(BeFalse())
	g.Consistently(serves(received1), time.Second).Should(BeFalse())
	g.Expect(serves(received2)()).To(BeTrue())
	list1(unchanged)
	g.Eventually(serves(received1), 10*time.Second).Should(BeTrue())
}

func TestPlannedStopCompletesRequestsInProgress(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	n := start(t, s, "a")
	started, finish := make(chan struct{}), make(chan struct{})
	var once sync.Once
	list, _ := startPlainInstance(t, s, "i1", func(http.ResponseWriter, *http.Request) {
		once.Do(func() { close(started) })
		<-finish
	})
	list(unchanged)
	got := make(chan int, 1)
	go func() {
		for {
			if code := status(n.set.CallerAddress, "k"); code != http.StatusServiceUnavailable && code != 0 {
				got <- code
				return
			}
		}
	}()
	g.Eventually(started, 10*time.Second).Should(BeClosed())
	n.stop()
	g.Eventually(func() int { return status(n.set.ReadyAddress, "") }, 10*time.Second).ShouldNot(Equal(http.StatusOK))
	close(finish)
	g.Eventually(got, 10*time.Second).Should(Receive(Equal(http.StatusOK)))
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.done <- nil
}

// Guards against a stop that breaks the connections of callers whose requests take longer than the node lives: they learn nothing of
// their requests. The node answers that the result is unknown.
func TestPlannedStopAnswersRequestsThatOutliveIt(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	n := start(t, s, "a")
	var isSlow atomic.Bool
	started := make(chan struct{}, 10)
	list, _ := startPlainInstance(t, s, "i1", func(_ http.ResponseWriter, r *http.Request) {
		if isSlow.Load() {
			started <- struct{}{}
			<-r.Context().Done()
		}
	})
	list(unchanged)
	g.Eventually(func() int { return status(n.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusOK))
	isSlow.Store(true)
	const callers = 3
	got := make(chan string, callers)
	for range callers {
		go func() {
			_, text := answer(n.set.CallerAddress, "k")
			got <- text
		}()
	}
	for range callers {
		g.Eventually(started, 10*time.Second).Should(Receive())
	}
	n.stop()
	for range callers {
		g.Eventually(got, 10*time.Second).Should(Receive(Equal(string(gateway.CodeResponseLost) + "\n")))
	}
	g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
	n.done <- nil
}

func TestNewNodesServeFromStoreAlone(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	list, _ := startPlainInstance(t, s, "i1", answerOK)
	list(unchanged)
	for _, name := range []string{"a", "b"} {
		n := start(t, s, name)
		g.Eventually(func() int { return status(n.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusOK))
		n.stop()
		g.Eventually(n.done, 10*time.Second).Should(Receive(BeNil()))
		n.done <- nil
	}
}

// When many nodes start together, none of them may read the list of nodes once for every node that
// joins: reads would grow with the square of the number of nodes.
func TestNodeListReadsDoNotGrowWithEveryEntry(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	n := start(t, s, "a")
	g.Eventually(func() int { return n.view.readCount(source.Nodes) }, 10*time.Second).Should(BeNumerically(">", 0))
	const others = 40
	before := n.view.readCount(source.Nodes)
	for i := range others {
		s.add(source.Nodes, strconv.Itoa(i), entry.NodeEntry{Name: "n" + strconv.Itoa(i), Address: "127.0.0.1:1"})
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(n.view.readCount(source.Nodes) - before).To(BeNumerically("<", others/4))
}

// A node that receives the instance list from the leader does not read it from the store. It
// reads the store itself once the leader has stopped.
func TestOnlyLeaderReadsInstanceList(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	a := start(t, s, "a")
	b := start(t, s, "b", a.set.PeerAddress)
	reads := func(n *running) func() int { return func() int { return n.view.readCount(source.Instances) } }
	var leader, follower *running
	g.Eventually(func() bool {
		beforeA, beforeB := reads(a)(), reads(b)()
		time.Sleep(time.Second)
		leader, follower = a, b
		if reads(b)() > beforeB {
			leader, follower = b, a
		}
		return reads(follower)() == map[*running]int{a: beforeA, b: beforeB}[follower] && reads(leader)() > map[*running]int{a: beforeA, b: beforeB}[leader]
	}, 20*time.Second).Should(BeTrue())
	list, _ := startPlainInstance(t, s, "i2", answerOK)
	list(unchanged)
	g.Eventually(func() int { return status(follower.set.CallerAddress, "k") }, 10*time.Second).Should(Equal(http.StatusOK))
	leader.stop()
	before := reads(follower)()
	g.Eventually(reads(follower), 10*time.Second).Should(BeNumerically(">", before))
}
