package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is one worker of the deployment. It writes its entry into the store every beat.
type worker struct {
	id, service, zone, domain string
	store                     *store
	// deadlyPart is the part of a prompt that crashes the worker once it begins to write an answer; empty if none does.
	deadlyPart string
	// onRun is called when the worker begins to work on a request.
	onRun func(w *worker, r *http.Request, at time.Time)
	// answerTime is how long a plain request takes.
	answerTime time.Duration
	restart    time.Duration
	// events is the number of events of a stream, eventTime the time between two of them.
	events    int
	eventTime time.Duration

	addr string

	mu      sync.Mutex
	srv     *http.Server
	up      bool
	born    int64
	seq     int64
	beats   int64
	model   string
	staged  []string
	group   string
	epoch   uint64
	seen    uint64
	rank    int
	members []string
	readyAt time.Time
	opened  bool
	// closing is set once the head takes nothing new, running is the number of requests that it works on.
	closing bool
	running int
	crashes int
	// silentUntil is when the worker goes on after it fell silent.
	silentUntil time.Time
	// brokenAt is when the group is broken that stands still, or zero.
	brokenAt time.Time
}

// fallSilent makes the worker say nothing for a while. It then goes on where it was.
func (w *worker) fallSilent(d time.Duration) {
	rec("worker %s: falls silent for %.1f s", w.id, d.Seconds())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = time.Now().Add(d)
}

// awaitVoice waits while the worker is silent.
func (w *worker) awaitVoice() {
	w.mu.Lock()
	until := w.silentUntil
	w.mu.Unlock()
	time.Sleep(time.Until(until))
}

// stallTime is stall_ms: how long a group stands still for want of a member until it is broken.
const stallTime = 5 * time.Second

// fleet holds all workers by id.
var (
	fleetMu sync.Mutex
	fleet   = map[string]*worker{}
)

// isIn reports whether the worker belongs to a group.
func (w *worker) isIn(group string, epoch uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.group == group && w.epoch == epoch
}

// isWhole reports whether all members of the worker's group belong to it.
func (w *worker) isWhole() bool {
	w.mu.Lock()
	group, epoch, members := w.group, w.epoch, w.members
	w.mu.Unlock()
	fleetMu.Lock()
	defer fleetMu.Unlock()
	for _, id := range members {
		if m := fleet[id]; m == nil || m != w && !m.isIn(group, epoch) {
			return false
		}
	}
	return true
}

// awaitGroup waits while the worker is silent or its group lacks a member. It reports false if the group is broken or the
// worker has left it.
func (w *worker) awaitGroup(group string, epoch uint64) bool {
	w.awaitVoice()
	for !w.isWhole() || !w.isIn(group, epoch) {
		w.mu.Lock()
		if w.brokenAt.IsZero() {
			w.brokenAt = time.Now().Add(stallTime)
			rec("worker %s: its group lacks a member and stands still", w.id)
		}
		over := time.Now().After(w.brokenAt) || w.group != group || w.epoch != epoch
		w.mu.Unlock()
		if over {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// beat is the interval at which a worker writes its entry.
const beat = 1200 * time.Millisecond

// start starts the worker at a free port, or again at its former one.
func (w *worker) start() error {
	listen := listenFree
	if w.addr != "" {
		listen = func() (net.Listener, error) { return net.Listen("tcp4", w.addr) }
	}
	ln, err := listen()
	if err != nil {
		return err
	}
	fleetMu.Lock()
	fleet[w.id] = w
	fleetMu.Unlock()
	w.mu.Lock()
	w.addr = ln.Addr().String()
	w.up, w.born = true, time.Now().UnixMilli()
	w.seq, w.model, w.group, w.epoch, w.seen, w.opened, w.closing, w.running, w.members, w.brokenAt = 0, "", "", 0, 0, false, false, 0, nil, time.Time{}
	w.srv = &http.Server{Handler: w}
	srv, born := w.srv, w.born
	w.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go func() {
		for {
			w.mu.Lock()
			if !w.up || w.born != born {
				w.mu.Unlock()
				return
			}
			w.publish()
			w.mu.Unlock()
			time.Sleep(beat)
		}
	}()
	return nil
}

// crash ends the worker with all its connections. It starts again under its id after a while.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	w.crashes++
	srv := w.srv
	w.mu.Unlock()
	rec("worker %s: crashed", w.id)
	go func() {
		_ = srv.Close()
		time.Sleep(w.restart)
		for w.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		rec("worker %s: started again", w.id)
	}()
}

// about returns what the worker says of itself. w.mu is held.
func (w *worker) about() map[string]any {
	w.beats++
	models := []map[string]any{}
	if w.model != "" && w.state() != "joining" {
		models = append(models, map[string]any{"name": w.model, "version": 1, "adapters": []string{}})
	}
	staged := w.staged
	if staged == nil {
		staged = []string{}
	}
	a := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "1", "slots": 26, "state": "ready", "cold_left_ms": 0,
		"seq": w.beats, "born": w.born, "domain": w.domain, "staged": staged, "models": models,
	}
	if w.group != "" {
		a["group"] = map[string]any{"name": w.group, "epoch": w.epoch, "rank": w.rank, "state": w.state()}
	}
	return a
}

// state returns the state of the membership. w.mu is held.
func (w *worker) state() string {
	switch {
	case !w.brokenAt.IsZero() && time.Now().After(w.brokenAt):
		return "broken"
	case time.Now().Before(w.readyAt):
		return "joining"
	case w.opened && !w.closing:
		return "open"
	case w.opened && w.running > 0:
		return "closing"
	}
	return "ready"
}

// publish writes the worker's entry unless the store is away. w.mu is held.
func (w *worker) publish() {
	if !w.up || w.store.isAway() {
		return
	}
	raw, err := json.Marshal(w.about())
	if err != nil {
		panic(err)
	}
	w.store.put("keyed.servers", w.id, raw)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	at := time.Now()
	w.awaitVoice()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("X-Instance-Id", w.id)
	rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	rw.Header().Set("X-Weight-Versions", "1")
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.mu.Lock()
		a := w.about()
		a["stage"], a["busy"], a["seq"], a["waiting"], a["running"], a["kv_used"], a["kv_total"], a["handles"] = "mixed", false, w.seq, 0, w.running, 0, 1400000, 0
		w.mu.Unlock()
		_ = json.NewEncoder(rw).Encode(a)
	case "/order":
		w.obey(rw, body)
	default:
		w.serve(rw, r, at)
	}
}

// serve works on a client's request.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, at time.Time) {
	w.mu.Lock()
	isHead := w.group == "" || w.rank == 0 && w.opened && !w.closing
	plain := r.Header.Get("X-Model") == ""
	group, epoch := w.group, w.epoch
	w.mu.Unlock()
	if !plain && (!isHead || w.group == "") {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !plain && !w.awaitGroup(group, epoch) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.Header().Set("At-Server", w.addr)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running = max(w.running-1, 0); w.running == 0 && w.closing {
			w.publish()
		}
	}()
	w.onRun(w, r, at)
	if w.deadlyPart != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), w.deadlyPart+":") {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(w.answerTime)
	rw.Header().Set("X-Response-Seal", "seal."+w.id+"."+r.Header.Get("X-Request-Id"))
	if plain {
		_, _ = io.WriteString(rw, "answer of "+w.id)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= w.events; i++ {
		if !w.awaitGroup(group, epoch) {
			rec("worker %s: breaks off %s before event %d of %d", w.id, r.Header.Get("X-Request-Id"), i, w.events)
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece\n\n", i); err != nil || r.Context().Err() != nil {
			rec("worker %s: %s is cut by its caller before event %d of %d", w.id, r.Header.Get("X-Request-Id"), i, w.events)
			return
		}
		rw.(http.Flusher).Flush()
		time.Sleep(w.eventTime)
	}
	rec("worker %s: %s has been answered whole", w.id, r.Header.Get("X-Request-Id"))
}

// obey carries out an order.
func (w *worker) obey(rw http.ResponseWriter, body []byte) {
	var o struct {
		Op        string   `json:"op"`
		Group     string   `json:"group"`
		Epoch     uint64   `json:"epoch"`
		Model     string   `json:"model"`
		Method    string   `json:"method"`
		Members   []string `json:"members"`
		ExpectRev *int64   `json:"expect_rev"`
	}
	if err := json.Unmarshal(body, &o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusAccepted
	mine := w.group == o.Group && w.epoch == o.Epoch
	switch {
	case o.ExpectRev != nil && *o.ExpectRev != w.seq:
		status = http.StatusConflict
	case o.Op == "join" && mine:
		status = http.StatusOK
	case o.Op == "join" && o.Epoch < w.seen:
		status = http.StatusPreconditionFailed
	case o.Op == "join":
		w.group, w.epoch, w.seen, w.members, w.opened, w.closing, w.brokenAt = o.Group, o.Epoch, o.Epoch, o.Members, false, false, time.Time{}
		for i, id := range o.Members {
			if id == w.id {
				w.rank = i
			}
		}
		took := 600 * time.Millisecond
		if w.model == o.Model || contains(w.staged, o.Model) {
			took = 200 * time.Millisecond
		}
		w.model, w.staged, w.readyAt = o.Model, []string{o.Model}, time.Now().Add(took)
	case o.Op == "open" && (!mine || w.rank != 0 || w.state() == "joining"):
		status = http.StatusConflict
	case o.Op == "open" && w.state() == "open":
		status = http.StatusOK
	case o.Op == "open":
		w.opened, w.closing = true, false
	case o.Op == "close" && !mine:
		status = http.StatusConflict
	case o.Op == "close" && o.Method == "abort":
		w.opened = false // streams are broken off, as the group is not open any more
	case o.Op == "close":
		w.closing = true
	case o.Op == "leave" && !mine:
		status = http.StatusConflict
	case o.Op == "leave":
		w.group, w.epoch, w.opened, w.closing, w.members, w.rank, w.brokenAt = "", 0, false, false, nil, 0, time.Time{}
		status = http.StatusOK
	case o.Op == "stage":
		w.staged = []string{o.Model}
	default:
		status = http.StatusBadRequest
	}
	if status == http.StatusAccepted || o.Op == "leave" && status == http.StatusOK {
		w.seq++
		w.publish()
		until := time.Until(w.readyAt)
		if o.Op == "join" {
			time.AfterFunc(until+5*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.publish()
			})
		}
	}
	rec("worker %s: order %s group %s epoch %d answered %d", w.id, o.Op, o.Group, o.Epoch, status)
	rw.WriteHeader(status)
}

// contains reports whether a list contains a text.
func contains(list []string, text string) bool {
	for _, s := range list {
		if s == text {
			return true
		}
	}
	return false
}
