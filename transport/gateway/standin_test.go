package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/coordination/dispatch"
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

// dialect implements gateway.Dialect with short header names.
type dialect struct{}

func (dialect) Parse(h http.Header) (gateway.Claims, error) {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	c := gateway.Claims{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), LastEvent: h.Get("Last"), Patience: time.Duration(ms) * time.Millisecond}
	if c.ID == "" {
		return c, gateway.ErrNoID
	}
	return c, nil
}

func (dialect) Forward(h http.Header, f gateway.Forward) {
	h.Del("Key")
	h.Set("For", string(f.Instance))
	h.Set("Left", strconv.FormatInt(f.Left.Milliseconds(), 10))
	if f.LastEvent != "" {
		h.Set("Last", f.LastEvent)
	}
}

func (dialect) Belongs(h http.Header, id string) bool { return h.Get("Id") == id }

func (dialect) Verdict(status int, h http.Header) gateway.Verdict {
	v := gateway.Verdict{NotRun: h.Get("Not-Run") != "", Sealed: h.Get("Seal") != ""}
	v.Leaving = h.Get("Leaving") != ""
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil && status == http.StatusServiceUnavailable {
		v.Cooldown = time.Duration(seconds * float64(time.Second))
	}
	return v
}

func (dialect) ToCaller(_ int, h http.Header) { h.Del("Retry-After") }

func (dialect) Status(c gateway.Code) int {
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
	case gateway.CodeBroken:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func (dialect) RetryAfter(h http.Header, d time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
}

func (dialect) Echo(h http.Header, id string) { h.Set("Id", id) }

// knowledge implements gateway.Catalogs with a fixed catalog.
type knowledge struct {
	c     *catalog.Catalog
	stale atomic.Bool
}

func (k *knowledge) Catalog() *catalog.Catalog { return k.c }
func (k *knowledge) KeysFresh() bool           { return !k.stale.Load() }

// health implements gateway.Health and records failures and probe requests.
type health struct {
	mu        sync.Mutex
	failed    []state.InstanceID
	suspected int
}

func (h *health) Heard(state.InstanceID, time.Time) {}
func (h *health) Replaced(state.InstanceID)         {}
func (h *health) Failed(id state.InstanceID, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = append(h.failed, id)
}
func (h *health) Suspect(*dispatch.Candidate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.suspected++
}

// quarantined implements gateway.Quarantine. Tests set which requests it quarantines.
type quarantined struct {
	mu   sync.Mutex
	held map[quarantine.Fingerprint]bool
	// suspected holds requests that ended instances, but too few to be quarantined.
	suspected map[quarantine.Fingerprint]bool
	broken    []quarantine.Fingerprint
	answered  []quarantine.Fingerprint
	refused   []state.InstanceID
}

func (q *quarantined) HeldUntil(f quarantine.Fingerprint) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Now().Add(time.Minute), q.held[f]
}

func (q *quarantined) Suspected(f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspected[f]
}

func (q *quarantined) Broken(f quarantine.Fingerprint, _ []fleet.Instance, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken = append(q.broken, f)
}

func (q *quarantined) Answered(f quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answered = append(q.answered, f)
}

func (q *quarantined) Refused(c *dispatch.Candidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused = append(q.refused, c.ID)
}

// recorder implements gateway.Recorder and keeps the counters only.
type recorder struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *recorder) Count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}
func (r *recorder) Time(string, time.Duration) {}
func (r *recorder) Decide(event.Decision)      {}

// lab runs a gateway in front of fake instances.
type lab struct {
	t            *testing.T
	gate         *gateway.Gateway
	front        *httptest.Server
	table        *dispatch.Table
	know         *knowledge
	health       *health
	counts       *recorder
	quarantine   *quarantined
	backpressure *backpressure
	views        []roster.View
	journal      *journal
}

// journal records which instance received which request.
type journal struct {
	mu   sync.Mutex
	runs []run
}

type run struct {
	instance, id, last, body string
	header                   http.Header
}

func (j *journal) add(r run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

func (j *journal) all() []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]run(nil), j.runs...)
}

// newLab returns a lab with the routes /safe/, /unsafe/, /stream/, /once/ (a stream that cannot
// be resumed) and /public/.
func newLab(t *testing.T) *lab {
	route := func(name string, kind catalog.RouteKind, service state.ServiceName) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, MaxAttempts: 2,
			Shares: []catalog.Share{{Service: service, Weight: 1}}, Resumable: name == "stream",
		}
	}
	public := route("public", catalog.Safe, "plain")
	public.Public = true
	routes := []catalog.Route{
		route("safe", catalog.Safe, "plain"), route("unsafe", catalog.Unsafe, "plain"),
		route("stream", catalog.Stream, "lm"), route("once", catalog.Stream, "lm"), public,
	}
	engine := &catalog.Engine{Slots: 4, Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1}}}
	services := []catalog.Service{{Name: "plain"}, {Name: "lm", Engine: engine}}
	teams := map[string]*catalog.Team{"k": {Name: "team"}}
	l := &lab{
		t: t, know: &knowledge{c: catalog.New(1, routes, services, teams, catalog.Limits{BodyBytes: 1000})},
		health: &health{}, counts: &recorder{counts: map[string]int{}}, quarantine: &quarantined{held: map[quarantine.Fingerprint]bool{}, suspected: map[quarantine.Fingerprint]bool{}}, table: dispatch.NewTable("hall", dispatch.DefaultPolicy()), journal: &journal{}, backpressure: newBackpressure(),
	}
	clock := clockwork.NewRealClock()
	l.gate = gateway.New(gateway.Options{
		Demand: demand.NewMeter(demand.DefaultPolicy()), Policy: gateway.DefaultPolicy(),
		Clock: clock, Dialect: dialect{}, Catalogs: l.know, Table: l.table, Health: l.health, Recorder: l.counts, Quarantine: l.quarantine, Backpressure: l.backpressure,
		Pool:  direct.NewPool(direct.Dialer{Timeout: time.Second}, time.Now),
		Retry: retry.Bounds{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	})
	l.gate.SetNodes(1)
	l.front = httptest.NewServer(l.gate)
	t.Cleanup(l.front.Close)
	return l
}

// instance adds an instance with a handler. Before the handler is called, the request is recorded
// and its ID and a seal are set on the response.
func (l *lab) instance(id string, service state.ServiceName, answer http.HandlerFunc) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		l.journal.add(run{instance: id, id: r.Header.Get("Id"), last: r.Header.Get("Last"), body: string(body), header: r.Header.Clone()})
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "seal-of-"+id)
		answer(w, r)
	}))
	l.t.Cleanup(srv.Close)
	l.at(id, service, netip.MustParseAddrPort(srv.Listener.Addr().String()))
}

// at adds an instance with an address.
func (l *lab) at(id string, service state.ServiceName, at netip.AddrPort) {
	in := fleet.Instance{ID: state.InstanceID(id), Service: service, Address: at, Hall: "hall", Slots: 4}
	if service == "lm" {
		in.Model = "m"
		in.Membership = fleet.Membership{Group: state.GroupName("g-" + id), Epoch: 1, State: fleet.Open}
	}
	l.views = append(l.views, roster.View{Instance: in})
	l.table.Update(l.know.c, l.views, func(fleet.GroupKey) bool { return false })
}

// deadAddress returns an address that refuses connections.
func deadAddress(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request with a key and a model, and reads the complete response.
func (l *lab) call(method, path, body string, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return l.callWith(ctx, method, path, body, header)
}

func (l *lab) callWith(ctx context.Context, method, path, body string, header map[string]string) answer {
	var in io.Reader
	if body != "" {
		in = &onlyReader{s: body}
	}
	req, err := http.NewRequestWithContext(ctx, method, l.front.URL+path, in)
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(text), err}
}

// onlyReader hides the length of a body, so that net/http sends it chunked.
type onlyReader struct{ s string }

func (r *onlyReader) Read(p []byte) (int, error) {
	if r.s == "" {
		return 0, io.EOF
	}
	n := copy(p, r.s)
	r.s = r.s[n:]
	return n, nil
}

// events writes events with the IDs first to last and flushes each of them.
func events(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// cut closes the connection without completing the response.
func cut(w http.ResponseWriter) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = buf.Flush()
		_ = conn.Close()
	}
}
