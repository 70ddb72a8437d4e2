package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/protocol/target"
	"github.com/troutmast/troutmast/state"
)

// TargetConfig describes a stand-in target.
type TargetConfig struct {
	ID state.InstanceID
	// Service makes the target a plain service instead of an engine.
	Service bool
	// ChecksFences makes the target refuse orders older than the last it obeyed.
	ChecksFences bool
	// LoadTime is how long an order to load takes.
	LoadTime time.Duration
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	// Slots is the number of requests that the engine batches.
	Slots int
	// CrashOn, when set, is a text in a completion under which the process ends by Crash.
	CrashOn string
	Crash   func()
}

// TargetFaults are the faults of a target; the zero value is none.
type TargetFaults struct {
	// Leaving makes the target report that it is leaving.
	Leaving bool `json:"leaving"`
	// Refuse makes the target refuse requests before it runs them, and, when above zero, ask
	// for a cooldown of Cooldown milliseconds.
	Refuse   bool `json:"refuse"`
	Cooldown int  `json:"cooldown_ms"`
	// Swap makes the target answer with its previous answer, under that one's id.
	Swap bool `json:"swap"`
	// Truncate cuts the answer off half-way.
	Truncate bool `json:"truncate"`
	// LoseAnswer runs the request and cuts the connection.
	LoseAnswer bool `json:"lose_answer"`
	// Delay is waited before a request is answered, in milliseconds.
	Delay int `json:"delay_ms"`
	// StopAfter cuts a stream after that many tokens, when above zero.
	StopAfter int `json:"stop_after"`
}

// JournalEntry is one request that the target has run.
type JournalEntry struct {
	RequestID string    `json:"request_id"`
	Key       string    `json:"key,omitempty"`
	Path      string    `json:"path"`
	At        time.Time `json:"at"`
}

// Target is a stand-in engine or plain service.
type Target struct {
	cfg         TargetConfig
	incarnation string

	mu      sync.Mutex
	order   target.Order
	fence   state.Epoch
	ready   time.Time
	held    int
	faults  TargetFaults
	journal []JournalEntry
	// refusals are the times of the requests that were refused.
	refusals []time.Time
	// last is the last answer and the id of its request.
	lastID string
	last   []byte
}

// NewTarget returns a Target that holds no group.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg, incarnation: uuid.NewString()}
}

// Handler returns the routes of the target, and those to switch faults and read the journal.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", t.report)
	mux.HandleFunc("POST /v1/order", t.obey)
	mux.HandleFunc("POST /v1/chat/completions", t.complete)
	mux.HandleFunc("POST /v1/completions", t.complete)
	mux.HandleFunc("/svc/{service}/", t.serve)
	mux.HandleFunc("POST /fault", faultHandler(t.setFaults))
	mux.HandleFunc("GET /journal", t.showJournal)
	mux.HandleFunc("GET /refusals", t.showRefusals)
	return mux
}

// setFaults replaces the faults.
func (t *Target) setFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// showJournal returns what the target has run.
func (t *Target) showJournal(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, append([]JournalEntry{}, t.journal...))
}

// showRefusals returns when the target has refused requests.
func (t *Target) showRefusals(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, append([]time.Time{}, t.refusals...))
}

// phase returns how far the target has come with its order; the caller holds mu.
func (t *Target) phase() evidence.Phase {
	switch {
	case t.cfg.Service:
		return evidence.PhaseReady
	case t.order.Group == "":
		return evidence.PhaseIdle
	case time.Now().Before(t.ready):
		return evidence.PhaseLoading
	}
	return evidence.PhaseReady
}

// report answers a probe.
func (t *Target) report(w http.ResponseWriter, req *http.Request) {
	t.mu.Lock()
	r := target.Report{
		Instance:    t.cfg.ID,
		Incarnation: t.incarnation,
		Group:       t.order.Group,
		Epoch:       t.order.Epoch,
		Rank:        t.order.Rank,
		Phase:       t.phase(),
		Leaving:     t.faults.Leaving,
		InFlight:    t.held,
		BatchSlots:  t.cfg.Slots,
	}
	t.mu.Unlock()
	w.Header().Set(target.HeaderExchange, req.Header.Get(target.HeaderExchange))
	writeTagged(w, req, r)
}

// obey takes an order; a target that checks fences refuses a stale one.
func (t *Target) obey(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cfg.ChecksFences && o.Epoch < t.fence {
		http.Error(w, "stale order", http.StatusConflict)
		return
	}
	t.fence = max(t.fence, o.Epoch)
	t.order = o
	t.ready = time.Now().Add(t.cfg.LoadTime)
}

// admit counts a request in, unless it is refused; it returns the faults in force.
func (t *Target) admit(w http.ResponseWriter, r *http.Request) (f TargetFaults, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := r.Header.Get(target.HeaderRequestID)
	w.Header().Set(target.HeaderRequestID, id)
	w.Header().Set(target.HeaderExchange, r.Header.Get(target.HeaderExchange))
	epoch, _ := strconv.ParseUint(r.Header.Get(target.HeaderEpoch), 10, 64)
	wrongGroup := !t.cfg.Service && (state.GroupName(r.Header.Get(target.HeaderGroup)) != t.order.Group || state.Epoch(epoch) != t.order.Epoch)
	if t.faults.Refuse || wrongGroup || t.phase() != evidence.PhaseReady {
		t.refusals = append(t.refusals, time.Now())
		w.Header().Set(target.HeaderNotRun, "1")
		if t.faults.Cooldown > 0 {
			w.Header().Set(target.HeaderRetryAfter, strconv.FormatFloat(float64(t.faults.Cooldown)/1000, 'f', 3, 64))
		}
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return t.faults, false
	}
	t.held++
	t.journal = append(t.journal, JournalEntry{RequestID: id, Key: r.Header.Get(target.HeaderIdempotencyKey), Path: r.URL.Path, At: time.Now()})
	return t.faults, true
}

// leave counts a request out.
func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held--
}
