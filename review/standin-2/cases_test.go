package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// startEngines starts the workers of the engine service in one domain.
func (l *lab) startEngines(n int, run func(*worker, http.ResponseWriter, *http.Request, []byte)) error {
	for i := range n {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), service: engineName, zone: "yxe-hall", domain: "d0", engine: true, slots: 26, run: run}
		if err := l.addWorker(w); err != nil {
			return err
		}
	}
	return nil
}

// startPlain starts the workers of the plain service.
func (l *lab) startPlain(n int, run func(*worker, http.ResponseWriter, *http.Request, []byte)) error {
	for i := range n {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x02d90000+i), service: plainName, zone: "yxe-hall", slots: 6, run: run}
		if err := l.addWorker(w); err != nil {
			return err
		}
	}
	return nil
}

// echo answers with the body of the request.
func echo(_ *worker, rw http.ResponseWriter, _ *http.Request, body []byte) {
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(body)
}

// startNodes starts nodes and waits until each serves a request on each path.
func (l *lab) startNodes(count int, paths ...string) error {
	for i := range count {
		if _, err := l.addNode(fmt.Sprintf("front-yxe-hall-%d", i+1)); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		for _, path := range paths {
			tries := 0
			err := await(n.name+" serves "+path, 20*time.Second, func() bool {
				tries++
				q := &request{id: fmt.Sprintf("first-%s-%s-%d", n.name, strings.Trim(path, "/2f"), tries), path: path, deadline: 4 * time.Second, header: streamHeader(model4), body: []byte("{}")}
				a := call(n.front, q)
				return a.status == http.StatusOK && a.complete
			})
			if err != nil {
				return err
			}
		}
	}
	l.note("all nodes serve")
	return nil
}
