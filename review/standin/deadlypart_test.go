package standin

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["deadly-part"] = deadlyPart }

// leader returns the machine whose log says that it leads, or nil.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		raw, err := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
		n.mu.Lock()
		isUp := n.cmd != nil
		n.mu.Unlock()
		if err != nil || !isUp {
			continue
		}
		text := string(raw)
		text = text[strings.LastIndex(text, `"message":"start"`)+1:]
		if strings.LastIndex(text, `"placing":true`) > strings.LastIndex(text, `"placing":false`) {
			return n
		}
	}
	return nil
}

// The part of prompts that crashes workers, and contact_ms.
const (
	fatalPart = "dead0001"
	touch     = 3 * time.Second
	// soundEvery and deadlyEvery are the mean times between two requests at a node.
	soundEvery, deadlyEvery = 1500 * time.Millisecond, 400 * time.Millisecond
)

// deadlyPart has requests come whose prompts share a part that crashes workers, and kills the node that gives orders.
func deadlyPart(e env) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	const host = "lab.example"
	zones := []string{"hall-a", "hall-b", "hall-c"}
	engine := map[string]any{
		"slots": 26, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000, "pairs_per_m": 0.7, "stride": 5, "chunk": 2048,
		"loads_per_s": 4, "loads_at_once": 6, "form_ms": 300, "report_lag_ms": 200, "usual": map[string]any{"prompt": 1400, "answer": 130},
		"models": []map[string]any{{"name": "m0", "size": 4, "share": 1.0, "pace": 1.0, "load_s": 0.6, "warm_s": 0.2}},
		"delays": []any{},
	}
	s.configure(configuration{
		version: 3, routes: []map[string]any{route("reports", host, "/reports/", "stream", "lm", 2)},
		services: []map[string]any{{"name": "lm", "max_conns": 474, "health_path": "/health", "engine": engine}}, keys: []string{"key-a"},
	})

	var mu sync.Mutex
	var crashes []time.Time
	late := map[string]bool{}
	sender, startedAt := map[string]string{}, map[string]time.Time{}
	soundRuns := 0
	onRun := func(w *worker, r *http.Request, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), fatalPart) {
			soundRuns++
			return
		}
		n := len(crashes)
		text := fmt.Sprintf("%d crashes so far", n)
		if n >= 5 {
			d := at.Sub(crashes[4])
			text = fmt.Sprintf("%.1f s after the fifth crash", d.Seconds())
			switch {
			case d <= touch:
			case at.Sub(startedAt[sender[id]]) <= touch+100*time.Millisecond:
				text += " (its machine is not in touch)"
			default:
				late[id] = true
				text += " (COUNTS)"
			}
		}
		rec("worker %s: %s with the deadly part arrives, sent to %s, %s", w.id, id, sender[id], text)
		if w.deadlyPart != "" {
			crashes = append(crashes, at)
		}
	}
	deadly := ""
	if e.trouble {
		deadly = fatalPart
	}
	for i := range 48 {
		z := zones[i/16]
		w := &worker{
			id: fmt.Sprintf("i-lm%02d", i), service: "lm", zone: z, domain: fmt.Sprintf("d%d", i/8), store: s, onRun: onRun, answerTime: 30 * time.Millisecond,
			deadlyPart: deadly, restart: 3 * time.Second, events: 3, eventTime: 10 * time.Millisecond,
		}
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
	time.Sleep(8 * time.Second)

	hc := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var count, served, asked atomic.Int64
	send := func(n *node, kind, part string) {
		i := count.Add(1)
		id := fmt.Sprintf("%s%06d", kind, i)
		req, _ := http.NewRequest(http.MethodPost, "http://"+n.front+"/reports/x", strings.NewReader("prompt "+id))
		req.Host = host
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", "6000")
		req.Header.Set("Authorization", "Bearer key-a")
		req.Header.Set("X-Model", "m0")
		req.Header.Set("X-Token-Count", "1460,80")
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s:40,%08x:1420", part, 0x10000000+i))
		mu.Lock()
		sender[id] = n.name
		mu.Unlock()
		resp, err := hc.Do(req)
		status, text := 0, "no answer"
		if err == nil {
			raw, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			status, text = resp.StatusCode, fmt.Sprintf("%d, %d bytes, %v", resp.StatusCode, len(raw), readErr)
		}
		if kind == "s" {
			rec("client: %s to %s answered %s", id, n.name, text)
			asked.Add(1)
			if status == http.StatusOK {
				served.Add(1)
			}
			return
		}
		rec("client: %s with the part to %s answered %s", id, n.name, text)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// every calls f at random times, d apart on average.
	every := func(d time.Duration, f func(i int)) {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(d))):
					go f(i)
				}
			}
		})
	}
	for _, n := range c.nodes {
		every(soundEvery, func(i int) { send(n, "s", fmt.Sprintf("50000%03d", i%20)) })
	}
	for limit := time.Now().Add(15 * time.Second); served.Load() < 10; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			return false, fmt.Errorf("sound requests are not served")
		}
	}
	for _, n := range c.nodes {
		every(deadlyEvery, func(int) { send(n, "d", fatalPart) })
	}
	rec("clients: requests with the part %s begin to come", fatalPart)
	time.Sleep(25 * time.Second)
	if e.trouble {
		if n := c.leader(); n != nil && os.Getenv("TROUBLE") != "part" {
			c.kill(n)
			time.Sleep(3500 * time.Millisecond)
			mu.Lock()
			startedAt[n.name] = time.Now()
			mu.Unlock()
			if err := c.start(n); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(30 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec("crashes %d; requests with the part that reached workers more than contact_ms after the fifth crash: %d; sound ones served %d of %d", len(crashes), len(late), served.Load(), asked.Load())
	return len(crashes) >= 5 && len(late) > 3, nil
}
