package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// workerCrash: a worker whose streams have neither a length nor chunks crashes while it answers.
func workerCrash(l *lab) error {
	const streams, rounds = 6, 2
	workers := map[string]*workerProcess{}
	for i := range 12 {
		id := fmt.Sprintf("i-%08x", 0x7f3a0000+i)
		p, err := l.startWorkerProcess(id)
		if err != nil {
			return err
		}
		workers[id] = p
	}
	if err := l.startPlain(2, echo); err != nil {
		return err
	}
	l.configure(configuration(7))
	if err := l.startNodes(3, "/lohu930/2f"); err != nil {
		return err
	}
	broken, cut := 0, 0
	for round := range rounds {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range streams {
			wg.Go(func() {
				n := l.nodes[i%len(l.nodes)]
				const path = "/lohu930/2f"
				q := &request{id: fmt.Sprintf("crash-%d-%d", round, i), path: path, deadline: 8 * time.Second, header: streamHeader(model4), body: []byte("{}")}
				l.note("client sends %s %s to %s", q.id, path, n.name)
				a := call(n.front, q)
				l.note("client got for %s: %s", q.id, a.String())
				ids, rest := eventIDs(string(a.body))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.status == http.StatusOK && a.complete && (len(ids) != streamEvents || rest != ""):
					l.note("broken: %s looks complete, with %d of %d events", q.id, len(ids), streamEvents)
					broken++
				case a.status == http.StatusOK && !a.complete:
					cut++
				}
			})
		}
		time.Sleep(550 * time.Millisecond)
		if id := l.busiest(fmt.Sprintf("crash-%d-", round)); l.trouble && workers[id] != nil {
			l.note("platform: the process of worker %s, which answers, is killed", id)
			workers[id].kill()
		}
		wg.Wait()
		l.note("streams cut off without the end of a complete answer so far: %d", cut)
		time.Sleep(6 * time.Second)
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d of %d streams ended as complete before their last event", errBroken, broken, streams*rounds)
	}
	return nil
}

// busiest returns the worker process that has begun to run the most of the requests whose IDs begin with a prefix.
func (l *lab) busiest(prefix string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	best := ""
	for id, worker := range l.runsAt {
		if strings.HasPrefix(id, prefix) {
			counts[worker]++
			if counts[worker] > counts[best] || counts[worker] == counts[best] && worker < best {
				best = worker
			}
		}
	}
	return best
}
