package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// newModel is the model that takes the place of model4.
const newModel = "daka520000"

// plainStream answers with a whole stream.
func plainStream(_ *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= streamEvents; number++ {
		_, _ = rw.Write([]byte(event(r.Header.Get("X-Request-Id"), number)))
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// withNewModel returns a configuration in which newModel takes the place of model4.
func withNewModel(version int) map[string]any {
	c := configuration(version)
	engine := c["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	engine["models"].([]any)[0].(map[string]any)["name"] = newModel
	return c
}

// modelReplaced: the operator replaces one of the models of a service by another one.
func modelReplaced(l *lab) error {
	const watch, mostEnds, leastNodes = 45 * time.Second, 3, 2
	if err := l.startEngines(16, plainStream); err != nil {
		return err
	}
	if err := l.startPlain(3, echo); err != nil {
		return err
	}
	l.configure(configuration(7))
	if err := l.startNodes(3, "/cufi504/2f", "/lohu930/2f"); err != nil {
		return err
	}
	for _, n := range l.nodes {
		n.supervise()
	}
	began := time.Now()
	var mu sync.Mutex
	sent, unserved := 0, 0
	var clients sync.WaitGroup
	for i, n := range l.nodes {
		clients.Go(func() {
			c := &client{address: n.front}
			defer c.close()
			for number := 0; time.Since(began) < watch; number++ {
				id := fmt.Sprintf("read-%d-%d", i+1, number)
				l.note("client sends %s to %s", id, n.name)
				a := c.call(&request{id: id, path: "/cufi504/2f", deadline: 4 * time.Second, body: []byte("{}")})
				l.note("client got for %s: %s", id, a.String())
				mu.Lock()
				sent++
				if a.status != http.StatusOK || !a.complete {
					unserved++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if l.trouble {
		l.configure(withNewModel(9))
	} else {
		l.configure(configuration(9))
	}
	clients.Wait()
	often := 0
	for _, n := range l.nodes {
		l.note("judge: processes of %s have ended by themselves %d times", n.name, n.ownEnds())
		if n.ownEnds() >= mostEnds {
			often++
		}
	}
	l.note("judge: %d of %d requests for the other service were not served", unserved, sent)
	if often >= leastNodes {
		return fmt.Errorf("%w: on %d of %d machines processes have ended by themselves %d times or more, and %d of %d requests were not served",
			errBroken, often, len(l.nodes), mostEnds, unserved, sent)
	}
	return nil
}
