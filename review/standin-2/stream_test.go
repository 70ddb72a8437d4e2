package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamEvents is the number of events of a stream.
const streamEvents = 12

// event returns an event of the stream for a request.
func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: {\"tokens\":\"%s-%d\"}\n\n", number, id, number)
}

// streamCut: a worker stops partway through an event, and its answer ends there.
func streamCut(l *lab) error {
	const cutAt = 5
	var mu sync.Mutex
	cut := map[string]bool{}
	run := func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("X-Request-Id")
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		mu.Lock()
		isCut := l.trouble && strings.HasPrefix(id, "cut-") && !cut[id]
		cut[id] = true
		mu.Unlock()
		rw.Header().Set("Content-Type", "text/event-stream")
		for number := first + 1; number <= streamEvents; number++ {
			text := event(id, number)
			if isCut && number == cutAt {
				text = text[:len(text)/2]
			}
			_, _ = rw.Write([]byte(text))
			_ = http.NewResponseController(rw).Flush()
			if isCut && number == cutAt {
				l.note("worker %s stops partway through event %d of %s", w.id, number, id)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if err := l.startEngines(8, run); err != nil {
		return err
	}
	if err := l.startPlain(2, echo); err != nil {
		return err
	}
	l.configure(configuration(7))
	if err := l.startNodes(3, "/lohu930/2f", "/pufi791/2f"); err != nil {
		return err
	}
	broken := 0
	for i := range 20 {
		n := l.nodes[i%len(l.nodes)]
		path := []string{"/lohu930/2f", "/pufi791/2f"}[i/2%2]
		q := &request{id: fmt.Sprintf("cut-%02d", i), path: path, deadline: 8 * time.Second, header: streamHeader(model4), body: []byte("{}")}
		l.note("client sends %s %s to %s", q.id, path, n.name)
		a := call(n.front, q)
		l.note("client got for %s: %s", q.id, a.String())
		time.Sleep(200 * time.Millisecond)
		ids, rest := eventIDs(string(a.body))
		if a.status == http.StatusOK && a.complete && (len(ids) < streamEvents || rest != "") {
			l.note("broken: %s looks complete, with %d of %d events and %q after them", q.id, len(ids), streamEvents, rest)
			broken++
		}
		if a.status == http.StatusOK && a.complete && len(ids) > streamEvents {
			l.note("broken: %s has %d events", q.id, len(ids))
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d of 20 streams ended as complete before their last event", errBroken, broken)
	}
	return nil
}
