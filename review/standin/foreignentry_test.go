package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// restartEnded starts the processes again that end by themselves, as the platform does, and counts these ends.
func (c *cluster) restartEnded(ends *atomic.Int64) {
	for _, n := range c.nodes {
		go func() {
			for {
				n.mu.Lock()
				cmd := n.cmd
				n.mu.Unlock()
				if cmd == nil {
					return
				}
				err := cmd.Wait()
				n.mu.Lock()
				byItself := n.cmd == cmd
				n.mu.Unlock()
				if !byItself {
					return
				}
				ends.Add(1)
				rec("node %s: its process has ended by itself: %v", n.name, err)
				time.Sleep(500 * time.Millisecond)
				if err := c.start(n); err != nil {
					rec("node %s: does not start: %v", n.name, err)
					return
				}
			}
		}()
	}
}

// foreignEntry has another writer put one entry into the list of workers.
func foreignEntry(e env) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	const host = "lab.example"
	engine := map[string]any{
		"slots": 26, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000, "pairs_per_m": 0.7, "stride": 5, "chunk": 2048,
		"loads_per_s": 4, "loads_at_once": 6, "form_ms": 300, "report_lag_ms": 200, "usual": map[string]any{"prompt": 1400, "answer": 130},
		"models": []map[string]any{{"name": "m0", "size": 4, "share": 1.0, "pace": 1.0, "load_s": 0.6, "warm_s": 0.2}},
		"delays": []any{},
	}
	s.configure(configuration{
		version: 3, keys: []string{"key-a"},
		routes:   []map[string]any{route("reports", host, "/reports/", "stream", "lm", 2), route("pushes", host, "/pushes/", "unsafe", "ctl", 1)},
		services: []map[string]any{{"name": "lm", "max_conns": 474, "health_path": "/health", "engine": engine}, {"name": "ctl", "max_conns": 110, "health_path": "/health"}},
	})
	var mu sync.Mutex
	ran := map[string]bool{}
	onRun := func(w *worker, r *http.Request, _ time.Time) {
		mu.Lock()
		defer mu.Unlock()
		ran[r.Header.Get("X-Request-Id")] = true
		rec("worker %s: runs %s", w.id, r.Header.Get("X-Request-Id"))
	}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var all []*worker
	for i := range 24 {
		all = append(all, &worker{id: fmt.Sprintf("i-lm%02d", i), service: "lm", zone: zones[i/8], domain: fmt.Sprintf("d%d", i/8)})
	}
	for i, z := range zones {
		all = append(all, &worker{id: fmt.Sprintf("i-ctl%d", i), service: "ctl", zone: z, domain: "c" + z})
	}
	for _, w := range all {
		w.store, w.onRun, w.answerTime = s, onRun, 200*time.Millisecond
		if err := w.start(); err != nil {
			return false, err
		}
	}
	c, err := newCluster(e.dir, e.binary, zones, s)
	if err != nil {
		return false, err
	}
	defer c.stopAll()
	if err := c.startAll(); err != nil {
		return false, err
	}
	var ends atomic.Int64
	c.restartEnded(&ends)
	time.Sleep(6 * time.Second)

	var count, answered, refused, lost, unread atomic.Int64
	// lostFirst counts, for each machine, the requests that were lost as its first process ended.
	lostFirst := map[string]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 18 {
		n := c.nodes[i%3]
		clients.Go(func() {
			hc := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("p%06d", count.Add(1))
				req, _ := http.NewRequest(http.MethodPost, "http://"+n.front+"/pushes/x", nil)
				kept := false
				req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}))
				req.Host = host
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Deadline-Ms", "4000")
				req.Header.Set("Authorization", "Bearer key-a")
				rec("client: sends %s to %s", id, n.name)
				resp, err := hc.Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				if err == nil {
					rec("client: %s answered %d", id, resp.StatusCode)
				} else {
					rec("client: %s got no answer: %v", id, err)
				}
				mu.Lock()
				hasRun := ran[id]
				mu.Unlock()
				switch {
				case err == nil && resp.StatusCode == http.StatusOK:
					answered.Add(1)
				case err == nil:
					refused.Add(1)
					time.Sleep(200 * time.Millisecond)
				case kept && hasRun: // LOST counts these, at machines in touch: a process that ends by itself counts as running
					lost.Add(1)
					if n.starts.Load() == 1 {
						mu.Lock()
						lostFirst[n.name]++
						mu.Unlock()
					}
					rec("client: %s to %s is lost: on a kept connection, run by a worker, not answered", id, n.name)
				default:
					unread.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if answered.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	if ends.Load() > 0 {
		return false, fmt.Errorf("a process has ended before the disruption")
	}
	before := answered.Load()
	if e.trouble {
		rank := -1
		if os.Getenv("TROUBLE") == "rank0" {
			rank = 0
		}
		entry := map[string]any{
			"service": "lm", "address": "127.0.0.1:9", "zone": "hall-a", "version": "7", "slots": 26, "state": "ready", "cold_left_ms": 0, "seq": 1, "models": []any{},
			"group": map[string]any{"name": "spare", "rank": rank, "state": "ready"},
		}
		raw, err := json.Marshal(entry)
		if err != nil {
			return false, err
		}
		s.put("keyed.servers", "other-1", raw)
		rec("another writer: puts the entry other-1, without born, domain, staged and the epoch of its group: %s", raw)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	clients.Wait()
	rec("requests answered before the entry (4 s): %d; after it (15 s): %d; refused %d; no connection or not run %d", before, answered.Load()-before, refused.Load(), unread.Load())
	rec("processes that ended by themselves: %d; requests on kept connections that a sound worker ran and that got no answer: %d; of these, as the first process of a machine ended: %v", ends.Load(), lost.Load(), lostFirst)
	for _, lost := range lostFirst {
		if lost > 3 {
			return true, nil
		}
	}
	return false, nil
}
