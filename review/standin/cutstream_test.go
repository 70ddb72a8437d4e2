package standin

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cut-stream"] = cutStream }

// clientPatience is the gap after which a client gives a stream up: eight times the pause that its route allows.
const clientPatience = 2400 * time.Millisecond

// cutStream stops a node as planned while streams are in progress whose worker falls silent for about a second and goes on.
func cutStream(e env) (bool, error) {
	s, err := startStore()
	if err != nil {
		return false, err
	}
	const host = "lab.example"
	engine := map[string]any{
		"slots": 26, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000, "pairs_per_m": 0.7, "stride": 5, "chunk": 2048,
		"loads_per_s": 4, "loads_at_once": 6, "form_ms": 300, "report_lag_ms": 200, "usual": map[string]any{"prompt": 1400, "answer": 130},
		"models": []map[string]any{
			{"name": "m0", "size": 4, "share": 0.5, "pace": 1.0, "load_s": 0.6, "warm_s": 0.2}, {"name": "m1", "size": 4, "share": 0.5, "pace": 0.6, "load_s": 0.6, "warm_s": 0.2},
		},
		"delays": []any{},
	}
	r := route("reports", host, "/reports/", "stream", "lm", 2)
	r["timeout_ms"], r["gap_goal_ms"] = 8000, 300
	s.configure(configuration{
		version: 3, routes: []map[string]any{r}, keys: []string{"key-a"},
		services: []map[string]any{{"name": "lm", "max_conns": 474, "health_path": "/health", "engine": engine}},
	})
	var mu sync.Mutex
	var head *worker
	onRun := func(w *worker, r *http.Request, _ time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if r.Header.Get("X-Model") == "m0" {
			head = w
		}
		rec("worker %s: runs %s, Last-Event-Id %q", w.id, r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id"))
	}
	for i := range 8 {
		w := &worker{
			id: fmt.Sprintf("i-lm%02d", i), service: "lm", zone: "hall-a", domain: fmt.Sprintf("d%d", i/4), store: s, onRun: onRun, answerTime: 30 * time.Millisecond,
			events: 35, eventTime: 100 * time.Millisecond,
		}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	c, err := newCluster(e.dir, e.binary, []string{"hall-a", "hall-b", "hall-c"}, s)
	if err != nil {
		return false, err
	}
	defer c.stopAll()
	if err := c.startAll(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)

	hc := &http.Client{Transport: &http.Transport{}}
	stopped := c.nodes[1]
	whole, cut, other, gaveUp := 0, 0, 0, 0
	var streams sync.WaitGroup
	for i := range 48 {
		time.Sleep(10 * time.Millisecond)
		// Both models have streams, half of them at the machine that will be stopped.
		n, model := stopped, fmt.Sprintf("m%d", i/2%2)
		if i%2 == 1 {
			n = c.nodes[i/4%2*2]
		}
		streams.Go(func() {
			id := fmt.Sprintf("s%06d", i)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+"/reports/x", strings.NewReader("prompt "+id))
			req.Host = host
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("X-Deadline-Ms", "8000")
			req.Header.Set("Authorization", "Bearer key-a")
			req.Header.Set("X-Model", model)
			req.Header.Set("X-Token-Count", "1460,80")
			req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5000%04d:40,%08x:1420", i, 0x10000000+i))
			sent := time.Now()
			rec("client: sends %s for model %s to %s", id, model, n.name)
			resp, err := hc.Do(req)
			if err != nil {
				rec("client: %s: no answer: %v", id, err)
				if n == stopped && model == "m0" {
					mu.Lock()
					cut++
					mu.Unlock()
				}
				return
			}
			defer resp.Body.Close()
			events, last := 0, time.Now()
			patience := time.AfterFunc(clientPatience, cancel)
			in := bufio.NewScanner(resp.Body)
			for in.Scan() {
				if strings.HasPrefix(in.Text(), "id:") {
					events, last = events+1, time.Now()
					patience.Reset(clientPatience)
				}
			}
			rec("client: %s at %s: status %d, %d events, end after %.2f s, %.2f s after the last event, error %v", id, n.name, resp.StatusCode, events, time.Since(sent).Seconds(), time.Since(last).Seconds(), in.Err())
			if n != stopped || model != "m0" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.StatusCode == http.StatusOK && in.Err() == nil && events == 35:
				whole++
			case ctx.Err() != nil:
				gaveUp++
			case resp.StatusCode == http.StatusOK:
				cut++
			default:
				other++
			}
		})
	}
	time.Sleep(time.Second)
	isStopped := os.Getenv("TROUBLE") != "silence"
	if isStopped {
		stopped.mu.Lock()
		_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
		stopped.mu.Unlock()
		rec("node %s: SIGTERM", stopped.name)
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	w := head
	mu.Unlock()
	if w == nil {
		return false, fmt.Errorf("no stream has begun")
	}
	if e.trouble {
		w.fallSilent(time.Second)
	}
	streams.Wait()
	rec("streams of model m0 at the stopped machine that ended whole: %d; cut after they had been passed on to a worker: %d; given up by the client: %d; refused: %d", whole, cut, gaveUp, other)
	if whole+cut+gaveUp == 0 {
		return false, fmt.Errorf("all streams were refused")
	}
	return isStopped && cut > 0, nil
}
