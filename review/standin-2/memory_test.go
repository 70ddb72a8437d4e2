package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// residentMB returns the memory that a process takes, in units of a million bytes.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages*os.Getpagesize()) / 1e6
}

// watchMemory kills each process of the node that takes more than its memory, as the platform does, until the channel is closed.
func (n *node) watchMemory(until <-chan struct{}) {
	for {
		select {
		case <-until:
			return
		case <-time.After(5 * time.Millisecond):
		}
		p, done := n.process()
		used := residentMB(p.Pid)
		n.mu.Lock()
		n.mostMB = max(n.mostMB, used)
		n.mu.Unlock()
		if used > float64(n.memoryMB) {
			n.lab.note("platform: process %d of %s takes %.0f MB of %d and is killed", p.Pid, n.name, used, n.memoryMB)
			_ = p.Kill()
			<-done
		}
	}
}

// seen is what became of the requests of the memory case.
type seen struct {
	mu sync.Mutex
	// ran are the requests that workers ran, cut those whose connections ended without an answer.
	ran, cut map[string]bool
}

// memory: clients whose bodies are as large as the configuration allows are all handed to one node for some seconds.
func memory(l *lab) error {
	const (
		nodes, clients, bodyBytes = 9, 91, 4194304
		workTime                  = 60 * time.Millisecond
		spell                     = 6 * time.Second
		spells                    = 6
		mostEnds, leastNodes      = 3, 2
		mostCut                   = 3
	)
	s := &seen{ran: map[string]bool{}, cut: map[string]bool{}}
	run := func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
		s.mu.Lock()
		s.ran[r.Header.Get("X-Request-Id")] = true
		s.mu.Unlock()
		time.Sleep(workTime)
		echo(w, rw, r, []byte("{}"))
	}
	if err := l.startPlain(3, run); err != nil {
		return err
	}
	l.configure(configuration(7))
	if err := l.startNodes(nodes, "/cufi504/2f"); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, n := range l.nodes {
		n.supervise()
		go n.watchMemory(stop)
	}
	body := make([]byte, bodyBytes)
	for number := range spells {
		crowded := l.nodes[number%2]
		if l.trouble {
			l.note("platform: for %s most new connections are handed to %s", spell, crowded.name)
		}
		end := time.Now().Add(spell)
		var wg sync.WaitGroup
		for i := range clients {
			n := l.nodes[i%nodes]
			if l.trouble && i%10 != 0 {
				n = crowded
			}
			wg.Go(func() { s.client(l, n, fmt.Sprintf("%d-%02d", number, i), body, end) })
		}
		wg.Wait()
	}
	often := 0
	for _, n := range l.nodes {
		n.mu.Lock()
		l.note("judge: %s took %.0f MB at most, its processes have ended %d times", n.name, n.mostMB, len(n.ends))
		if len(n.ends) >= mostEnds {
			often++
		}
		n.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for id := range s.cut {
		if s.ran[id] {
			lost++
		}
	}
	l.note("judge: %d requests that arrived on kept connections ran, and their connections ended without an answer", lost)
	if often >= leastNodes || lost > mostCut {
		return fmt.Errorf("%w: on %d machines processes have gone over their memory %d times or more; %d requests on kept connections ran and got no answer", errBroken, often, mostEnds, lost)
	}
	return nil
}

// client sends a small request, and then large ones on the same connection, until a time; after a refusal it comes back when it is told to.
func (s *seen) client(l *lab, n *node, name string, body []byte, end time.Time) {
	c := &client{address: n.front}
	defer c.close()
	for number := 0; time.Now().Before(end); number++ {
		q := &request{id: fmt.Sprintf("%s-%d", name, number), path: "/cufi504/2f", deadline: 4 * time.Second}
		isKept := c.conn != nil
		if isKept {
			q.body = body
		}
		l.note("client sends %s to %s, %d bytes, on a kept connection: %t", q.id, n.name, len(q.body), isKept)
		a := c.call(q)
		l.note("client got for %s: %s", q.id, a.String())
		if a.status == 0 && isKept && a.took < q.deadline {
			s.mu.Lock()
			s.cut[q.id] = true
			s.mu.Unlock()
		}
		pause := 300 * time.Millisecond
		if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			pause = time.Duration(seconds * float64(time.Second))
		}
		time.Sleep(pause)
	}
}
