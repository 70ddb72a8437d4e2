package main

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

// storeRecord is one record of a topic. A record without a value drops its key.
type storeRecord struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's metadata store: topics of one partition, which are all keyed.
type store struct {
	mu     sync.Mutex
	topics map[string][]storeRecord
	grown  chan struct{}
}

func newStore() *store {
	return &store{topics: map[string][]storeRecord{}, grown: make(chan struct{})}
}

// put appends a record and returns its offset.
func (s *store) put(topic, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.grown)
	s.grown = make(chan struct{})
	return int64(len(s.topics[topic])) - 1
}

// from returns the records of a topic from an offset on, its end, and a channel that is closed with the next record.
func (s *store) from(topic string, offset int64) ([]storeRecord, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[topic]
	return all[min(offset, int64(len(all))):], int64(len(all)), s.grown
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Store-Era", "0")
	switch r.URL.Path {
	case pathEntry:
		s.serveEntry(r)
	case "/log-append":
		s.serveAppend(w, r, q.Get("topic"))
	case "/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveRead(w, r, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case "/log-newest":
		s.serveNewest(w, q.Get("topic"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveAppend takes one record.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || topic == topicWorkers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	text := body[4:]
	n := 1 + int(text[0])
	offset := s.put(topic, string(text[1:n]), text[n:])
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": offset, "end": offset + 1})
}

// serveRead answers as soon as there is a record, or once the time is over.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int64, wait time.Duration) {
	over := time.After(wait)
	for {
		list, end, grown := s.from(topic, from)
		if len(list) > 0 || wait == 0 {
			raw := binary.BigEndian.AppendUint64(nil, uint64(end))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for _, rec := range list {
				raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
				raw = append(append(append(raw, byte(len(rec.key))), rec.key...), rec.value...)
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

// serveNewest answers with the newest record of each key, on one page.
func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	list, end, _ := s.from(topic, 0)
	newest := map[string]int64{}
	for i, rec := range list {
		newest[rec.key] = int64(i)
	}
	items := []item{}
	for key, offset := range newest {
		if value := list[offset].value; len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": end})
}

// The platform's topics that the stand-ins write.
const (
	topicOperator = "keyed.op"
	topicWorkers  = "keyed.servers"
)
