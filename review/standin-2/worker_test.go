package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// membership is the group that a worker belongs to.
type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// worker is a stand-in of one worker. Those of an engine service take orders and run requests only as the head of an
// open group.
type worker struct {
	id, service, zone, domain string
	engine                    bool
	slots                     int
	// run answers a request that the worker runs.
	run func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)

	lab  *lab
	addr string
	born int64
	srv  *http.Server
	// busy holds a value for each request that the worker works on.
	busy chan struct{}

	mu      sync.Mutex
	seq     int64
	seen    uint64
	model   string
	staged  []string
	group   *membership
	members []string
	running int
	waiting int
	ended   bool
}

// start has the worker listen and write its entry about every beat.
func (w *worker) start(ln net.Listener) {
	w.addr, w.born, w.busy = ln.Addr().String(), time.Now().UnixMilli(), make(chan struct{}, w.slots)
	w.srv = &http.Server{Handler: w}
	go func() { _ = w.srv.Serve(ln) }()
	go func() {
		for {
			w.mu.Lock()
			ended := w.ended
			w.mu.Unlock()
			if ended {
				return
			}
			w.publish()
			time.Sleep(beat)
		}
	}()
}

// about returns what the worker says of itself. The caller holds mu.
func (w *worker) about() map[string]any {
	a := map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "cold_left_ms": 0,
		"seq": w.seq, "born": w.born,
	}
	if w.engine {
		models := []map[string]any{}
		if w.model != "" {
			models = append(models, map[string]any{"name": w.model, "version": 1, "adapters": []string{}})
		}
		staged := w.staged
		if staged == nil {
			staged = []string{}
		}
		a["stage"], a["models"], a["domain"], a["staged"] = "mixed", models, w.domain, staged
		if w.group != nil {
			a["group"] = *w.group
		}
	}
	return a
}

// publish writes the worker's entry into the store.
func (w *worker) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write()
}

// write writes the entry. The caller holds mu.
func (w *worker) write() {
	if w.ended {
		return
	}
	raw, err := json.Marshal(w.about())
	if err != nil {
		panic(err)
	}
	w.lab.putEntry(w.id, raw)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		w.turnAway(rw, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		w.mu.Lock()
		a := w.about()
		a["busy"], a["waiting"], a["running"], a["kv_used"], a["kv_total"], a["handles"] = false, w.waiting, w.running, 0, 1400000, 0
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(a)
		return
	case "/order":
		w.obey(rw, r)
		return
	case "/health":
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		w.turnAway(rw, http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.engine && (w.group == nil || w.group.Rank != 0) {
		w.mu.Unlock()
		w.turnAway(rw, http.StatusMisdirectedRequest)
		return
	}
	if w.engine && w.group.State != "open" {
		w.mu.Unlock()
		w.turnAway(rw, http.StatusServiceUnavailable)
		return
	}
	if !w.engine && w.waiting >= plainQueue {
		w.mu.Unlock()
		w.turnAway(rw, http.StatusServiceUnavailable)
		return
	}
	w.waiting++
	w.mu.Unlock()
	begins := w.takeSlot(r)
	w.mu.Lock()
	w.waiting--
	if begins {
		w.running++
	}
	w.mu.Unlock()
	if !begins {
		return // the caller has closed its connection
	}
	defer func() {
		<-w.busy
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	w.lab.note("worker %s runs %s: %s %s, tenant %q, %d bytes", w.id, id, r.Method, r.RequestURI, r.Header.Get("X-Tenant"), len(body))
	rw.Header().Set("X-Response-Seal", fmt.Sprintf("seal.%s.%s", w.id, id))
	if w.engine {
		rw.Header().Set("X-Weight-Versions", "1")
	}
	w.run(w, rw, r, body)
}

// plainQueue is the number of requests that wait at a worker of the plain service.
const plainQueue = 24

// takeSlot waits until the worker can work on a request, and reports false if its caller leaves before.
func (w *worker) takeSlot(r *http.Request) bool {
	select {
	case w.busy <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// turnAway tells that the worker has not run the request.
func (w *worker) turnAway(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(status)
}

// order is the body of an order.
type order struct {
	Op        string   `json:"op"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Method    string   `json:"method"`
	ExpectRev *int64   `json:"expect_rev"`
}

// obey carries an order out.
func (w *worker) obey(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := w.carryOut(&o)
	if status == http.StatusAccepted || o.Op == "leave" {
		w.write()
	}
	rw.WriteHeader(status)
}

// Times of orders.
const (
	joinTime  = 200 * time.Millisecond
	warmTime  = 1100 * time.Millisecond
	stageTime = 2 * time.Second
	formTime  = 300 * time.Millisecond
)

// carryOut begins an order and returns the status of its answer. The caller holds mu.
func (w *worker) carryOut(o *order) int {
	if o.ExpectRev != nil && *o.ExpectRev != w.seq {
		return http.StatusConflict
	}
	isOwn := w.group != nil && w.group.Name == o.Group && w.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		if isOwn && fmt.Sprint(w.members) == fmt.Sprint(o.Members) {
			return http.StatusOK
		}
		if isOwn || o.Epoch < w.seen {
			return http.StatusPreconditionFailed
		}
		rank := -1
		for i, id := range o.Members {
			if id == w.id {
				rank = i
			}
		}
		if rank < 0 {
			return http.StatusConflict
		}
		after := joinTime
		if w.model != o.Model {
			after = warmTime
		}
		w.seen, w.members, w.model = o.Epoch, o.Members, ""
		w.group = &membership{o.Group, o.Epoch, rank, "joining"}
		w.later(after, w.group, func() {
			w.model, w.group.State = o.Model, "ready"
			w.staged = []string{o.Model}
		})
	case "open":
		switch {
		case isOwn && w.group.State == "open":
			return http.StatusOK
		case !isOwn || w.group.Rank != 0 || w.group.State != "ready":
			return http.StatusConflict
		}
		w.later(formTime, w.group, func() { w.group.State = "open" })
	case "close":
		switch {
		case isOwn && w.group.State == "ready":
			return http.StatusOK
		case !isOwn || w.group.State != "open":
			return http.StatusConflict
		}
		w.group.State = "closing"
		w.awaitIdle(w.group)
	case "leave":
		if isOwn {
			w.group, w.members = nil, nil
			w.seq++
		}
		return http.StatusOK
	case "stage":
		w.later(stageTime, nil, func() { w.staged = []string{o.Model} })
	default:
		return http.StatusBadRequest
	}
	w.seq++
	return http.StatusAccepted
}

// later changes the worker after a time, unless its membership is another one by then.
func (w *worker) later(after time.Duration, g *membership, change func()) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if g == nil || w.group == g {
			change()
			w.write()
		}
	})
}

// awaitIdle closes a head once it has no more requests.
func (w *worker) awaitIdle(g *membership) {
	w.later(20*time.Millisecond, g, func() {
		if w.running > 0 {
			w.awaitIdle(g)
			return
		}
		g.State = "ready"
	})
}
