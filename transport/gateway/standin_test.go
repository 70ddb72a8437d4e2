package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/coordination/breaker"
	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/coordination/forwarding"
	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/event"
	"github.com/troutmast/troutmast/transport/gateway"
)

// testDialect implements gateway.HeaderCodec with short header names.
type testDialect struct{}

func (testDialect) ParseRequest(h http.Header) (gateway.RequestInfo, error) {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	c := gateway.RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), LastEventID: h.Get("Last"), Timeout: time.Duration(ms) * time.Millisecond}
	if c.ID == "" {
		return c, gateway.ErrNoID
	}
	return c, nil
}

func (testDialect) SetForwardHeaders(h http.Header, f gateway.ForwardInfo) {
	h.Del("Key")
	h.Set("For", string(f.Instance))
	h.Set("Left", strconv.FormatInt(f.TimeLeft.Milliseconds(), 10))
	if f.LastEventID != "" {
		h.Set("Last", f.LastEventID)
	}
	if f.Priority >= 0 {
		h.Set("Rank", strconv.Itoa(f.Priority))
	}
}

func (testDialect) ResponseID(h http.Header) string { return h.Get("Id") }

// promisingStatuses tell callers that a request has not run.
var promisingStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

func (testDialect) ParseReply(status int, h http.Header) gateway.ReplyInfo {
	v := gateway.ReplyInfo{NotRun: h.Get("Not-Run") != "", HasSeal: h.Get("Seal") != "", PromisesNotRun: slices.Contains(promisingStatuses, status)}
	v.Leaving = h.Get("Leaving") != ""
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil && status == http.StatusServiceUnavailable {
		v.Cooldown = time.Duration(seconds * float64(time.Second))
	}
	return v
}

func (testDialect) RemoveNodeHeaders(_ int, h http.Header) { h.Del("Retry-After") }

func (testDialect) StatusCode(c gateway.Code) int {
	switch c {
	case gateway.CodeBadRequest:
		return http.StatusBadRequest
	case gateway.CodeNoRoute:
		return http.StatusNotFound
	case gateway.CodeBadKey:
		return http.StatusUnauthorized
	case gateway.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case gateway.CodeTimeout:
		return http.StatusGatewayTimeout
	case gateway.CodeResponseLost:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func (testDialect) SetRetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

func (testDialect) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// fixedCatalogs implements gateway.CatalogSource with a fixed catalog.
type fixedCatalogs struct {
	current *catalog.Catalog
	stale   atomic.Bool
}

func (f *fixedCatalogs) Catalog() *catalog.Catalog { return f.current }
func (f *fixedCatalogs) KeysFresh() bool           { return !f.stale.Load() }

// fakeHealth implements gateway.FailureDetector and records failures and probe requests.
type fakeHealth struct {
	mu        sync.Mutex
	failed    []state.InstanceID
	suspected int
}

func (h *fakeHealth) RecordResponse(state.InstanceID, time.Time) {}
func (h *fakeHealth) RecordReplaced(state.InstanceID)            {}
func (h *fakeHealth) RecordFailure(id state.InstanceID, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = append(h.failed, id)
}
func (h *fakeHealth) ProbeGroup(*dispatch.Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected++
}

// fakeQuarantine implements gateway.Quarantine. Tests set which requests it quarantines.
type fakeQuarantine struct {
	mu   sync.Mutex
	held map[quarantine.Fingerprint]bool
	// suspected holds requests that ended instances, but too few to be quarantined.
	suspected map[quarantine.Fingerprint]bool
	// holdsInterrupted quarantines each request whose response is interrupted.
	holdsInterrupted bool
	broken           []quarantine.Fingerprint
	answered         []quarantine.Fingerprint
	unconfirmed      []quarantine.Fingerprint
	alive            []state.InstanceID
	refused          []state.InstanceID
}

func (q *fakeQuarantine) QuarantinedUntil(r quarantine.Request) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Now().Add(time.Minute), q.held[r.Fingerprint]
}

func (q *fakeQuarantine) Admit(r quarantine.Request) (time.Time, bool) { return q.QuarantinedUntil(r) }

func (q *fakeQuarantine) IsSuspected(r quarantine.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspected[r.Fingerprint]
}

func (q *fakeQuarantine) RecordInterruption(r quarantine.Request, _ []fleet.Instance, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = append(q.broken, r.Fingerprint)
	q.held[r.Fingerprint] = q.held[r.Fingerprint] || q.holdsInterrupted
}

func (q *fakeQuarantine) RecordComplete(r quarantine.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered = append(q.answered, r.Fingerprint)
}

func (q *fakeQuarantine) RecordUnconfirmed(r quarantine.Request, _ fleet.Instance, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unconfirmed = append(q.unconfirmed, r.Fingerprint)
}

func (q *fakeQuarantine) RecordAlive(instance fleet.Instance, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.alive = append(q.alive, instance.ID)
}

func (q *fakeQuarantine) RecordConnectionRefused(c *dispatch.Candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused = append(q.refused, c.ID)
}

// breakers implements gateway.Breakers with the breakers of a node.
type breakers struct{ *breaker.Set }

func (b breakers) RecordInvalidResponse(in *fleet.Instance, sent time.Time) {
	b.RecordInvalid(in.Incarnation(), sent, time.Now())
}

func (b breakers) SuspectInvalidResponse(in *fleet.Instance, after time.Duration) {
	b.Suspect(in.Incarnation(), time.Now().Add(after))
}

func (b breakers) RecordValidResponse(in *fleet.Instance, sent time.Time) {
	b.RecordValid(in.Incarnation(), sent)
}

func (b breakers) HasOpenBreakers() bool { return b.HasOpen() }

func (b breakers) IsBreakerOpen(in *fleet.Instance) bool {
	return b.IsOpen(in.Incarnation(), time.Now())
}

func (b breakers) TryTrial(in *fleet.Instance, isRepeatable bool) bool {
	return b.Set.TryTrial(in.Incarnation(), isRepeatable, time.Now())
}

// fakeRecorder implements gateway.Recorder and keeps the counters only.
type fakeRecorder struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *fakeRecorder) Count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}
func (r *fakeRecorder) ObserveDuration(string, time.Duration) {}
func (r *fakeRecorder) LogDecision(event.Decision)            {}

// fakePeers implements gateway.Peers with fixed peers, which it returns one after another.
type fakePeers struct {
	mu          sync.Mutex
	partitioned bool
	peers       []forwarding.Peer
	inFlight    int
	outcomes    []forwarding.Outcome
}

func (f *fakePeers) IsPartitioned(state.ServiceName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned
}

func (f *fakePeers) AcquirePeer(_ dispatch.Pool, isAllowed func(forwarding.Peer) bool) (forwarding.Peer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.peers, isAllowed)
	if i < 0 {
		return forwarding.Peer{}, forwarding.ErrNoPeer
	}
	p := f.peers[i]
	f.peers = append(slices.Delete(f.peers, i, i+1), p)
	f.inFlight++
	return p, nil
}

func (f *fakePeers) ReleasePeer(_ forwarding.Peer, _ dispatch.Pool, o forwarding.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	f.outcomes = append(f.outcomes, o)
}

// flying returns the number of requests in flight to peers.
func (f *fakePeers) flying() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}

// harness runs a gateway in front of fake instances.
type harness struct {
	// hallDelay is the delay between halls that setPriorities states.
	hallDelay    time.Duration
	t            testing.TB
	gateway      *gateway.Gateway
	server       *httptest.Server
	table        *dispatch.Table
	catalogs     *fixedCatalogs
	health       *fakeHealth
	recorder     *fakeRecorder
	quarantine   *fakeQuarantine
	backpressure *fakeBackpressure
	peers        *fakePeers
	traffic      *fakeTraffic
	instances    []roster.View
	runLog       *runLog
}

// runLog records which instance received which request.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

type run struct {
	instance, id, last, body string
	header                   http.Header
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// newHarness returns a harness with the routes /safe/, /unsafe/, /stream/, /once/ (a stream that cannot
// be resumed) and /public/.
func newHarness(t testing.TB) *harness {
	route := func(name string, kind catalog.RouteKind, service state.ServiceName) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, MaxAttempts: 2,
			Shares: []catalog.WeightedService{{Service: service, Weight: 1}}, Resumable: name == "stream",
		}
	}
	public := route("public", catalog.Safe, "plain")
	public.Public = true
	routes := []catalog.Route{
		route("safe", catalog.Safe, "plain"), route("unsafe", catalog.Unsafe, "plain"),
		route("stream", catalog.Stream, "lm"), route("once", catalog.Stream, "lm"), public,
	}
	engine := &catalog.Engine{BatchSlots: 4, Models: []catalog.Model{{Name: "m", GroupSize: 1, TimeFactor: 1}}}
	services := []catalog.Service{{Name: "plain"}, {Name: "lm", Engine: engine}}
	teams := map[string]*catalog.Team{"k": {Name: "team"}}
	h := &harness{
		t: t, catalogs: &fixedCatalogs{current: catalog.New(1, routes, services, teams, catalog.Limits{BodyBytes: 1000})},
		health: &fakeHealth{}, recorder: &fakeRecorder{counts: map[string]int{}}, quarantine: &fakeQuarantine{held: map[quarantine.Fingerprint]bool{}, suspected: map[quarantine.Fingerprint]bool{}}, table: dispatch.NewTable("hall", dispatch.DefaultPolicy()), runLog: &runLog{}, backpressure: newFakeBackpressure(), peers: &fakePeers{}, traffic: &fakeTraffic{crossings: map[gateway.CrossHallReason]int{}},
	}
	clock := clockwork.NewRealClock()
	h.gateway = gateway.New(gateway.Options{
		Demand: demand.NewMeter(demand.DefaultPolicy()), Policy: gateway.DefaultPolicy(),
		Clock: clock, Codec: testDialect{}, Catalogs: h.catalogs, Table: h.table, FailureDetector: h.health, Recorder: h.recorder, Quarantine: h.quarantine, Backpressure: h.backpressure, Breakers: breakers{breaker.NewSet(breaker.DefaultPolicy())},
		Pool: direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now),
		Name: "node", Hall: "hall", Regions: testRegions, HallTraffic: h.traffic, Peers: h.peers, PeerPool: direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now), Receiver: forwarding.NewReceiver(forwarding.DefaultPolicy()),
		Retry: retry.SharedBudgetConfig{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	})
	h.gateway.SetNodes(1)
	h.server = httptest.NewServer(h.gateway)
	t.Cleanup(h.server.Close)
	return h
}

// addInstance adds an instance with a handler. Before the handler is called, the request is recorded
// and its ID and a seal are set on the response.
func (h *harness) addInstance(id string, service state.ServiceName, handler http.HandlerFunc) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h.runLog.add(run{instance: id, id: r.Header.Get("Id"), last: r.Header.Get("Last"), body: string(body), header: r.Header.Clone()})
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "seal-of-"+id)
		handler(w, r)
	}))
	h.t.Cleanup(srv.Close)
	h.addInstanceAt(id, service, netip.MustParseAddrPort(srv.Listener.Addr().String()))
}

// addInstanceAt adds an instance with an address.
func (h *harness) addInstanceAt(id string, service state.ServiceName, address netip.AddrPort) {
	in := fleet.Instance{ID: state.InstanceID(id), Service: service, Address: address, Hall: "hall", Slots: 4}
	if service == "lm" {
		in.Model = "m"
		in.Membership = fleet.Membership{Group: state.GroupName("g-" + id), Epoch: 1, State: fleet.Open}
	}
	h.instances = append(h.instances, roster.View{Instance: in})
	h.table.Update(h.catalogs.current, h.instances, func(fleet.GroupKey) bool { return false })
}

// addUnreachableInstances adds an instance of each service that is listed and that the node does not reach.
func (h *harness) addUnreachableInstances() {
	for _, service := range []state.ServiceName{"plain", "lm"} {
		h.addInstanceAt("unreachable "+string(service), service, refusingAddress(h.t))
		h.instances[len(h.instances)-1].Unreachable = true
	}
	h.table.Update(h.catalogs.current, h.instances, func(fleet.GroupKey) bool { return false })
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t testing.TB) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// callResponse is the response that a caller received.
type callResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request with a key and a model, and reads the complete response.
func (h *harness) call(method, path, body string, header map[string]string) callResponse {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return h.callWith(ctx, method, path, body, header)
}

func (h *harness) callWith(ctx context.Context, method, path, body string, header map[string]string) callResponse {
	var in io.Reader
	if body != "" {
		in = &unsizedReader{s: body}
	}
	req, err := http.NewRequestWithContext(ctx, method, h.server.URL+path, in)
	if err != nil {
		return callResponse{err: err}
	}
	req.Host = "h"
	for name, value := range map[string]string{"Id": "r1", "Key": "k", "Model": "m", "Patience": "2000"} {
		req.Header.Set(name, value)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return callResponse{resp.StatusCode, resp.Header, string(text), err}
}

// unsizedReader hides the length of a body, so that net/http sends it chunked.
type unsizedReader struct{ s string }

func (r *unsizedReader) Read(p []byte) (int, error) {
	if r.s == "" {
		return 0, io.EOF
	}
	n := copy(p, r.s)
	r.s = r.s[n:]
	return n, nil
}

// writeEvents writes events with the IDs first to last and flushes each of them.
func writeEvents(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// closeConnection closes the connection without completing the response.
func closeConnection(w http.ResponseWriter) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = buf.Flush()
		_ = conn.Close()
	}
}
