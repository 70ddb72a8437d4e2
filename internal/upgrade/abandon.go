package upgrade

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// abandonment is a freeze of a node during which callers send it requests and close their connections. The node has not read the
// requests, so the callers repeat them at other nodes, even those that must not run twice.
type abandonment struct {
	at   time.Duration
	node int
	// frozen is how long the freeze lasts. killed reports whether the node is killed at its end.
	frozen time.Duration
	killed bool
	// resets reports whether the callers reset their connections instead of closing them.
	resets bool
}

// Times and sizes of abandonments.
const (
	abandonedRequests = 12
	abandonAfter      = 60 * time.Millisecond
	leastFrozen       = 200 * time.Millisecond
	frozenSpread      = 600 * time.Millisecond
	leastAbandonGap   = 1500 * time.Millisecond
	abandonGapSpread  = 2500 * time.Millisecond
	// After one in killedOneIn abandonments the node is killed.
	killedOneIn = 4
)

// hasAbandonments reports whether callers abandon requests in the run.
func (o *Options) hasAbandonments() bool { return o.Abandons || o.Soak && o.Seed%3 == 2 }

// soakMemoryMB is the memory of a node in half of the soaks: that of the platform's smaller machines.
const soakMemoryMB = 284

// memoryMB returns the memory of a node in megabytes, 0 if the node does not bound what it holds for its callers.
func (o *Options) memoryMB() int {
	if o.Soak && o.Seed%4 >= 2 {
		return soakMemoryMB
	}
	return o.MemoryMB
}

// newAbandonments draws a series of abandonments. It draws from a source of its own, so that the plan of a seed stays.
func newAbandonments(seed uint64, nodes int) []abandonment {
	rng := rand.New(rand.NewPCG(seed, 5))
	var list []abandonment
	for at := firstTrouble; at < lastTrouble; at += leastAbandonGap + time.Duration(rng.Int64N(int64(abandonGapSpread))) {
		list = append(list, abandonment{
			at: at, node: rng.IntN(nodes), frozen: leastFrozen + time.Duration(rng.Int64N(int64(frozenSpread))),
			killed: rng.IntN(killedOneIn) == 0, resets: rng.IntN(2) == 0,
		})
	}
	return list
}

// abandonRequests has callers abandon requests as planned.
func (r *run) abandonRequests(ctx context.Context) {
	for _, a := range r.abandonments {
		sleep(ctx, time.Until(r.began.Add(calmBefore+a.at)))
		if ctx.Err() != nil {
			return
		}
		r.abandon(a)
	}
}

// abandon freezes a node while callers send and abandon requests, and has them repeat the requests elsewhere.
func (r *run) abandon(a abandonment) {
	n := r.nodes[a.node]
	ex, b := n.life()
	callers := r.callers.connect(n)
	if !ex.freeze() {
		return // it has just ended
	}
	r.note(change{until: time.Now().Add(a.frozen + troubleTime), what: "frozen while callers leave", node: n, trouble: freezeNode})
	for _, w := range callers {
		w.send()
	}
	time.Sleep(abandonAfter)
	for _, w := range callers {
		w.leave(a.resets)
	}
	time.Sleep(a.frozen)
	if a.killed {
		ex.kill()
		r.restart(n, ex, b)
	} else {
		_ = ex.cmd.Process.Signal(syscall.SIGCONT) // a planned stop may have killed it meanwhile
	}
	for _, w := range callers {
		r.callers.active.Go(func() { w.repeatElsewhere() })
	}
}

// leavingCaller is a caller with a connection of its own.
type leavingCaller struct {
	callers *callers
	conn    *net.TCPConn
	attempt attempt
}

// connect opens connections to a node, of which every other one has served a request before. Those that fail are left out: the
// node may be down at the moment.
func (c *callers) connect(n *node) []*leavingCaller {
	var list []*leavingCaller
	for i := range abandonedRequests {
		conn, err := net.DialTimeout("tcp4", n.machine.Front.String(), time.Second)
		if err != nil {
			continue
		}
		if i%2 == 0 && c.serveFirst(n, conn) != nil {
			_ = conn.Close()
			continue
		}
		path := standin.UnsafePath
		if i%3 == 0 {
			path = standin.OncePath
		}
		list = append(list, &leavingCaller{callers: c, conn: conn.(*net.TCPConn), attempt: c.newAttempt(n, path, "x", standin.Key)})
	}
	return list
}

// serveFirst makes the first request of a kept connection.
func (c *callers) serveFirst(n *node, conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(callTime))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	a := c.newAttempt(n, standin.SafePath, "x", standin.Key)
	req, err := a.request(n.machine.Front)
	if err != nil {
		return err
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// send sends the request.
func (w *leavingCaller) send() {
	w.attempt.began = time.Now()
	req, err := w.attempt.request(w.attempt.node.machine.Front)
	if err != nil {
		w.attempt.wrong = err.Error()
		return
	}
	_ = req.Write(w.conn) // it fails if the node has closed the connection, and so cannot have read the request
}

// leave closes the connection, or resets it.
func (w *leavingCaller) leave(resets bool) {
	if resets {
		_ = w.conn.SetLinger(0)
	}
	_ = w.conn.Close()
	w.attempt.took, w.attempt.outcome = time.Since(w.attempt.began), left
	w.callers.record(w.attempt)
}

// repeatElsewhere sends the request to another node.
func (w *leavingCaller) repeatElsewhere() {
	for range 10 {
		if n, _ := w.callers.choose(); n != nil && n != w.attempt.node {
			w.callers.repeat(n, w.attempt)
			return
		}
	}
}

// freeze sends SIGSTOP and waits until the process is stopped. It reports false if the process has ended.
func (ex *execution) freeze() bool {
	if ex.cmd.Process.Signal(syscall.SIGSTOP) != nil {
		return false
	}
	for {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", ex.cmd.Process.Pid))
		if err != nil {
			return false
		}
		_, state, _ := bytes.Cut(stat, []byte(") "))
		switch {
		case bytes.HasPrefix(state, []byte("T")):
			return true
		case bytes.HasPrefix(state, []byte("Z")):
			return false
		}
		time.Sleep(time.Millisecond)
	}
}
