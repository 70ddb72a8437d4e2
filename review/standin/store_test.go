package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// keyedRecord is one record of a keyed topic. A record without a value drops its key.
type keyedRecord struct {
	key   string
	value []byte
}

// store is the platform's metadata store: keyed topics of one partition.
type store struct {
	mu     sync.Mutex
	topics map[string][]keyedRecord
	era    int64
	away   bool
	grown  chan struct{}
	addr   string
}

// startStore serves a store on a free loopback port.
func startStore() (*store, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][]keyedRecord{}, era: 1, grown: make(chan struct{}), addr: ln.Addr().String()}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

// put appends a record and returns its offset.
func (s *store) put(topic, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], keyedRecord{key, value})
	s.wakeReaders()
	return int64(len(s.topics[topic])) - 1
}

// wakeReaders wakes all waiting reads. s.mu is held.
func (s *store) wakeReaders() {
	close(s.grown)
	s.grown = make(chan struct{})
}

// backup returns the number of records of each topic.
func (s *store) backup() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := map[string]int{}
	for topic, list := range s.topics {
		b[topic] = len(list)
	}
	return b
}

// setAway makes the store reset every connection without an answer, or ends that.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wakeReaders()
}

// isAway reports whether the store is away.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// restore brings the store back from a backup, in a new era.
func (s *store) restore(b map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic := range s.topics {
		s.topics[topic] = s.topics[topic][:b[topic]:b[topic]]
	}
	s.era++
	s.away = false
	s.wakeReaders()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	away := s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler) // the connection is reset without an answer
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, topic)
	case "/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveRead(w, r, topic, from, time.Duration(wait)*time.Millisecond)
	case "/log-newest":
		s.serveNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveAppend appends the record in the body.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 6 || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	text := body[4:]
	n := int(text[0])
	offset := s.put(topic, string(text[1:1+n]), append([]byte(nil), text[1+n:]...))
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset, "end": offset + 1})
}

// serveRead answers with the records from an offset on, as soon as there is one or the wait is over.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int64, wait time.Duration) {
	over := time.After(wait)
	for {
		s.mu.Lock()
		list, grown, away, era := s.topics[topic], s.grown, s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		end := int64(len(list))
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case from > end:
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		case from < end || wait == 0:
			raw := binary.BigEndian.AppendUint64(nil, uint64(end))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for _, rec := range list[from:] {
				raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
				raw = append(raw, byte(len(rec.key)))
				raw = append(append(raw, rec.key...), rec.value...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-over:
			wait = 0
		case <-grown:
		}
	}
}

// serveNewest answers with the newest record of each key.
func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	list := s.topics[topic]
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	last := map[string]int{}
	for i, rec := range list {
		last[rec.key] = i
	}
	items := []item{}
	for key, i := range last {
		if len(list[i].value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(list[i].value), int64(i)})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(list)})
}

// configuration is what the operator writes.
type configuration struct {
	version  int
	routes   []map[string]any
	services []map[string]any
	keys     []string
}

// configure writes a configuration and returns when the store had taken it.
func (s *store) configure(c configuration) time.Time {
	raw, err := json.Marshal(map[string]any{
		"version": c.version, "routes": c.routes, "services": c.services,
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants": []map[string]any{{"name": "tenant-a", "api_keys": c.keys}},
	})
	if err != nil {
		panic(err)
	}
	s.put("keyed.op", "config", raw)
	at := time.Now()
	rec("operator: configuration %d acknowledged, keys %v", c.version, c.keys)
	return at
}

// route returns a route of the configuration.
func route(name, host, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 4000, "goal_ms": 500,
		"gap_goal_ms": 400, "max_attempts": attempts, "resumable": kind == "stream", "priority": 1,
	}
}
