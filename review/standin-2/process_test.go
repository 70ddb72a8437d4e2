package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// workerProcess is a worker of the engine service that runs as a process of its own.
type workerProcess struct {
	lab    *lab
	id     string
	cmd    *exec.Cmd
	killed bool
}

// startWorkerProcess starts a worker as a process of its own. It writes its entries by way of this process, and its lines of the record
// to its standard output.
func (l *lab) startWorkerProcess(id string) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "worker", id, l.storeAddr)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	in, err := cmd.StdinPipe() // it ends with this process, and the worker with it
	if err != nil {
		return nil, err
	}
	_ = in
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &workerProcess{lab: l, id: id, cmd: cmd}
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			l.note("%s", lines.Text())
			if fields := strings.Fields(lines.Text()); len(fields) > 3 && fields[2] == "runs" {
				l.mu.Lock()
				l.runsAt[strings.TrimSuffix(fields[3], ":")] = id
				l.mu.Unlock()
			}
		}
	}()
	return p, nil
}

// kill ends the process at once.
func (p *workerProcess) kill() {
	if !p.killed {
		p.killed = true
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

// workerMain is the life of a worker process: its answers have neither a length nor chunks.
func workerMain(id, storeAddr string) {
	l := &lab{began: time.Now(), remote: "http://" + storeAddr + pathEntry}
	w := &worker{id: id, service: engineName, zone: "yxe-hall", domain: "d0", engine: true, slots: 26, run: unframedStream}
	w.lab = l
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		os.Exit(2)
	}
	w.start(ln)
	_, _ = os.Stdin.Read(make([]byte, 1)) // until the parent has ended
	os.Exit(0)
}

// pathEntry is where worker processes hand in their entries. It is no part of the platform's protocol.
const pathEntry = "/stand-in/entry"

// serveEntry writes the entry of a worker process.
func (s *store) serveEntry(r *http.Request) {
	var raw bytes.Buffer
	if _, err := raw.ReadFrom(r.Body); err == nil {
		s.put(topicWorkers, r.URL.Query().Get("id"), raw.Bytes())
	}
}

// putEntry writes the entry of a worker.
func (l *lab) putEntry(id string, raw []byte) {
	if l.remote == "" {
		l.store.put(topicWorkers, id, raw)
		return
	}
	resp, err := http.Post(l.remote+"?id="+id, "application/json", bytes.NewReader(raw))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// unframedStream answers with a whole stream that ends with its connection. Each event is written at once.
func unframedStream(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
	id := r.Header.Get("X-Request-Id")
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n")
	for _, name := range []string{"X-Request-Id", "X-Response-Seal", "X-Weight-Versions"} {
		fmt.Fprintf(&head, "%s: %s\r\n", name, rw.Header().Get(name))
	}
	_, _ = conn.Write([]byte(head.String() + "\r\n"))
	for number := first + 1; number <= streamEvents; number++ {
		if _, err := conn.Write([]byte(event(id, number))); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.lab.note("worker %s has written all %d events of %s", w.id, streamEvents, id)
}
