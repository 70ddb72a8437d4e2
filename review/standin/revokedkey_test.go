package standin

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["revoked-key"] = revokedKey }

// revokedKey takes a key away, has the store come back from a copy made just before, and kills all nodes meanwhile.
func revokedKey(e env) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	const host = "lab.example"
	routes := []map[string]any{route("quotes", host, "/quotes/", "safe", "ctl", 2)}
	services := []map[string]any{{"name": "ctl", "max_conns": 110, "health_path": "/health"}}
	v1 := configuration{version: 3, routes: routes, services: services, keys: []string{"key-kept", "key-taken-away"}}
	v2 := v1
	v2.version, v2.keys = 7, []string{"key-kept"}
	s.configure(v1)

	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var ackedAt time.Time
	lateRuns, keptRuns := 0, 0
	onRun := func(w *worker, r *http.Request, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		if id[0] != 't' {
			keptRuns++
			rec("worker %s: runs %s with the other key", w.id, id)
			return
		}
		after := "before the key was taken away"
		if !ackedAt.IsZero() {
			d := sentAt[id].Sub(ackedAt)
			after = fmt.Sprintf("sent %.3f s after the acknowledgement", d.Seconds())
			if d > 5*time.Second {
				lateRuns++
				after += " (LATE)"
			}
		}
		rec("worker %s: runs %s with the taken key, %s", w.id, id, after)
	}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i, z := range zones {
		w := &worker{id: fmt.Sprintf("i-ctl%d", i), service: "ctl", zone: z, domain: "d" + z, store: s, onRun: onRun, answerTime: 20 * time.Millisecond}
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
	time.Sleep(3 * time.Second)

	var count atomic.Int64
	hc := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(n *node, kind, key string) int {
		id := fmt.Sprintf("%s%06d", kind, count.Add(1))
		req, _ := http.NewRequest(http.MethodGet, "http://"+n.front+"/quotes/rate", nil)
		req.Host = host
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "2000")
		req.Header.Set("Authorization", "Bearer "+key)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		rec("client: sends %s with %s to %s", id, key, n.name)
		resp, err := hc.Do(req)
		if err != nil {
			rec("client: %s got no answer: %v", id, err)
			return 0
		}
		defer resp.Body.Close()
		rec("client: %s answered %d", id, resp.StatusCode)
		return resp.StatusCode
	}
	for _, n := range c.nodes {
		limit := time.Now().Add(10 * time.Second)
		for status := 0; status != http.StatusOK; time.Sleep(100 * time.Millisecond) {
			if status = send(n, "t", "key-taken-away"); time.Now().After(limit) {
				return false, fmt.Errorf("a request with the key that is still valid was answered %d", status)
			}
		}
	}

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range c.nodes {
		for _, k := range []struct{ kind, key string }{{"t", "key-taken-away"}, {"k", "key-kept"}} {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					send(n, k.kind, k.key)
				}
			})
		}
	}

	backup := s.backup()
	rec("platform: the copy is made")
	time.Sleep(500 * time.Millisecond)
	at := s.configure(v2)
	mu.Lock()
	ackedAt = at
	mu.Unlock()
	time.Sleep(time.Until(at.Add(4500 * time.Millisecond)))
	// The two disruptions, also one at a time: TROUBLE=drill and TROUBLE=kill.
	drill, kill := e.trouble && os.Getenv("TROUBLE") != "kill", e.trouble && os.Getenv("TROUBLE") != "drill"
	if drill {
		s.setAway(true)
		rec("platform: the store is away")
	}
	time.Sleep(time.Until(at.Add(5200 * time.Millisecond)))
	if kill {
		for _, n := range c.nodes {
			c.kill(n)
		}
	}
	time.Sleep(time.Until(at.Add(5600 * time.Millisecond)))
	if drill {
		s.restore(backup)
		rec("platform: the store is back from the copy, which is 6.1 s old")
	}
	time.Sleep(100 * time.Millisecond)
	if kill {
		for _, n := range c.nodes {
			if err := c.start(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(at.Add(7400 * time.Millisecond)))
	if drill {
		s.configure(v2)
		rec("operator: has written its configuration again")
	}
	time.Sleep(time.Until(at.Add(12 * time.Second)))
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec("runs of requests with the taken key that were sent more than revoke_ms (5 s) after the acknowledgement: %d; runs with the other key: %d", lateRuns, keptRuns)
	if keptRuns == 0 {
		return false, fmt.Errorf("no request with the other key ran")
	}
	return lateRuns > 0, nil
}
