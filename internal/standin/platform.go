// Package standin holds small stand-ins for what troutmast meets outside: the
// users' platform and target instances, with faults that can be switched on.
// They serve tests and the first run only.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/state"
)

// maxRecordBytes bounds one record of the stand-in's log.
const maxRecordBytes = 16 << 20

// PlatformFaults are the faults of the platform; the zero value is none.
type PlatformFaults struct {
	// Outage refuses everything with 503.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of appends that take effect but are not answered.
	LoseAnswers int `json:"lose_answers"`
	// Duplicates is the number of appends that take effect twice.
	Duplicates int `json:"duplicates"`
	// Delay is waited before every append takes effect, in milliseconds.
	Delay int `json:"delay_ms"`
	// TrimBefore drops the records before an offset.
	TrimBefore state.Offset `json:"trim_before"`
	// ListLag is how old the instance list is, in milliseconds.
	ListLag int `json:"list_lag_ms"`
	// Restore has the platform come back from an older copy, which lacks this number of the newest
	// records: offsets are given out again, and the era of the log rises.
	Restore int `json:"restore"`
	// CutFrom refuses readers and writers whose address is in the list.
	CutFrom []string `json:"cut_from"`
	// Partitioned are the readers that reach no instance: the list that they get names PartitionAddress
	// as the address of each.
	Partitioned      []string       `json:"partitioned"`
	PartitionAddress netip.AddrPort `json:"partition_address"`
}

// listed is one state of an instance's entry and since when it has held.
type listed struct {
	since time.Time
	entry platform.Instance
}

// Platform is the stand-in of the log and of the instance list.
type Platform struct {
	mu        sync.Mutex
	first     state.Offset
	era       int64
	entries   []platform.Entry
	grown     chan struct{}
	instances map[state.InstanceID][]listed
	faults    PlatformFaults
}

// NewPlatform returns an empty Platform.
func NewPlatform() *Platform {
	return &Platform{first: 1, grown: make(chan struct{}), instances: map[state.InstanceID][]listed{}}
}

// Handler returns the routes of the platform, and those to switch faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log", p.append)
	mux.HandleFunc("GET /v1/log", p.read)
	mux.HandleFunc("GET /v1/instances", p.list)
	mux.HandleFunc("PUT /v1/instances/{id}", p.register)
	mux.HandleFunc("POST /fault", faultHandler(p.setFaults))
	return mux
}

// setFaults replaces the faults.
func (p *Platform) setFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if f.TrimBefore > p.first {
		n := min(int(f.TrimBefore-p.first), len(p.entries))
		p.entries = slices.Clone(p.entries[n:])
		p.first += state.Offset(n)
	}
	if f.Restore > 0 {
		p.entries = slices.Clone(p.entries[:max(len(p.entries)-f.Restore, 0)])
		p.era++
	}
}

// current returns the faults in force for a request.
func (p *Platform) current(r *http.Request) (f PlatformFaults, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.faults.Outage || slices.Contains(p.faults.CutFrom, r.Header.Get("User-Agent"))
}

// append adds a record.
func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	f, down := p.current(r)
	if down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(f.Delay) * time.Millisecond)
	offset, lose := p.store(data)
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platform.Appended{Offset: offset})
}

// store appends data, twice if a duplicate is due; it reports whether the answer is to be lost.
func (p *Platform) store(data []byte) (offset state.Offset, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	times := 1
	if p.faults.Duplicates > 0 {
		p.faults.Duplicates--
		times = 2
	}
	for range times {
		offset = p.first + state.Offset(len(p.entries))
		p.entries = append(p.entries, platform.Entry{Offset: offset, Time: time.Now().UTC(), Data: data})
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		lose = true
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return offset, lose
}

// read returns records from an offset on, waiting for the first if asked to.
func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "bad from", http.StatusBadRequest)
		return
	}
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if _, down := p.current(r); down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		page, grown := p.page(state.Offset(from), most)
		if len(page.Entries) > 0 || page.First > state.Offset(from) || wait == 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the records held from an offset on, and a channel closed at the next append.
func (p *Platform) page(from state.Offset, most int) (platform.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := platform.Page{Era: p.era, First: p.first, Head: p.first + state.Offset(len(p.entries)) - 1}
	if from >= p.first && from <= page.Head {
		i := int(from - p.first)
		page.Entries = slices.Clone(p.entries[i:min(i+most, len(p.entries))])
	}
	return page, p.grown
}

// register puts an instance into the list.
func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var i platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil || string(i.ID) != r.PathValue("id") {
		http.Error(w, "bad instance", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	history := p.instances[i.ID]
	if len(history) == 0 || history[len(history)-1].entry != i {
		p.instances[i.ID] = append(history, listed{since: time.Now(), entry: i})
	}
}

// list returns the instances as they were some time ago.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	f, down := p.current(r)
	if down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	seen := time.Now().Add(-time.Duration(f.ListLag) * time.Millisecond)
	p.mu.Lock()
	list := []platform.Instance{}
	for _, history := range p.instances {
		for _, l := range slices.Backward(history) {
			if !l.since.After(seen) {
				list = append(list, f.readBy(r, l.entry))
				break
			}
		}
	}
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b platform.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	writeTagged(w, r, list)
}

// readBy returns an entry of the list as the sender of a request is to see it.
func (f *PlatformFaults) readBy(r *http.Request, i platform.Instance) platform.Instance {
	if slices.Contains(f.Partitioned, r.Header.Get("User-Agent")) {
		i.Address = f.PartitionAddress
	}
	return i
}

// writeTagged answers with a value as JSON, or with 304 when the client already holds it.
func writeTagged(w http.ResponseWriter, r *http.Request, v any) {
	sum := fnv.New64a()
	_ = json.NewEncoder(sum).Encode(v)
	etag := fmt.Sprintf("\"%x\"", sum.Sum64())
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, v)
}

// writeJSON answers with a value as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
