package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// beat is the time between two entries of a worker.
const beat = 1200 * time.Millisecond

// errRun means that a case could not run.
var errRun = errors.New("case could not run")

// lab is one play of a case: the platform's stand-in, the workers and the nodes.
type lab struct {
	dir, program string
	trouble      bool
	began        time.Time
	store        *store
	storeAddr    string
	workers      []*worker
	nodes        []*node

	// remote is where a worker process hands in its entry; empty in the process that has the store.
	remote string

	mu        sync.Mutex
	record    *os.File
	closing   bool
	processes []*workerProcess
	// runsAt is the worker process that has begun to run a request last, by the ID of the request.
	runsAt map[string]string
}

// newLab prepares a play and starts the store.
func newLab(program, recordFile string, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "troutmast-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, program: program, trouble: trouble, began: time.Now(), store: newStore(), record: record, runsAt: map[string]string{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAddr = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: l.store}).Serve(ln) }()
	return l, nil
}

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	if l.record == nil { // a worker process: the parent adds the time
		fmt.Printf(format+"\n", args...)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%7.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the nodes and removes the folder.
func (l *lab) close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	for _, n := range l.nodes {
		n.kill()
	}
	for _, p := range l.processes {
		p.kill()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

// configure has the operator write a configuration.
func (l *lab) configure(config map[string]any) {
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	l.store.put(topicOperator, "config", raw)
	l.note("operator: configuration %v is acknowledged", config["version"])
}

// addWorker starts a worker on an address of its own.
func (l *lab) addWorker(w *worker) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.lab = l
	l.workers = append(l.workers, w)
	w.start(ln)
	return nil
}

// node is one process of the system.
type node struct {
	lab                   *lab
	name, file            string
	ip                    string
	front, ready, control string
	zone                  string
	memoryMB, maxFDs      int
	contracts             string
	// bootstrap is true at the first start of the whole system.
	bootstrap bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// ends are the times at which processes of the node have ended by themselves.
	ends []time.Time
	// mostMB is the most memory that a process of the node has taken.
	mostMB float64
}

// The ports of a node, which are alike on all machines.
const (
	portFront   = 8227
	portReady   = 8220
	portControl = 8229
	portFirst   = 7340
	portLast    = 7355
)

// freeIP returns a loopback address at which all ports of a node are free.
func freeIP(number int) (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+rand.IntN(100), rand.IntN(250), number+1)
		if isFree(ip) {
			return ip, nil
		}
	}
	return "", fmt.Errorf("%w: no free address", errRun)
}

// isFree reports whether all ports of a node are free at an address.
func isFree(ip string) bool {
	for _, port := range []int{portFront, portReady, portControl, portFirst, portLast} {
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// addNode prepares a node.
func (l *lab) addNode(name string) (*node, error) {
	ip, err := freeIP(len(l.nodes))
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	n := &node{
		lab: l, name: name, zone: "yxe-hall", ip: ip, bootstrap: true, front: at(portFront), ready: at(portReady), control: at(portControl), memoryMB: 284, maxFDs: 4100,
		file:      filepath.Join(l.dir, name+".toml"),
		contracts: `"base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"`,
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

// settings returns the settings file of a node, like that of the deployment phcc-grid.
func (n *node) settings() string {
	var seeds []string
	for _, other := range n.lab.nodes[:min(len(n.lab.nodes), 3)] {
		seeds = append(seeds, other.control)
	}
	return fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "prairie-west"
port_range = [%d,%d]
seeds = ["%s"]
bootstrap = %t
counts_as_loss = false
discovery = "platform"
entry = "vip"
beat_ms = 1200
contracts = [%s]
[zones]
yxe-hall = "prairie-west"
yqr-hall = "prairie-west"
ywg-hall = "prairie-west"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 136
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 5000
require_fence = true
ceiling_window_s = 5
ceiling_excess = 1.1
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`, n.name, n.ip, n.zone, portFirst, portLast, strings.Join(seeds, `","`), n.bootstrap, n.contracts, n.front, n.ready, n.control, n.memoryMB, n.maxFDs, n.lab.storeAddr)
}

// start starts the process of the node, at the root of the repository as the deploy file says.
func (n *node) start() error {
	if err := os.WriteFile(n.file, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(n.file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lab.mu.Lock()
	closing := n.lab.closing
	n.lab.mu.Unlock()
	if closing {
		return errRun
	}
	cmd := exec.Command(n.lab.program)
	cmd.Dir = filepath.Dir(filepath.Dir(n.lab.program))
	cmd.Env = []string{"TROUTMAST_NODE_FILE=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.lab.note("platform: %s is started, process %d, front %s", n.name, cmd.Process.Pid, n.front)
	done := make(chan struct{})
	n.cmd, n.done, n.bootstrap = cmd, done, false
	go func() {
		err := cmd.Wait()
		n.lab.note("platform: process %d of %s has ended: %v", cmd.Process.Pid, n.name, err)
		_ = log.Close()
		close(done)
	}()
	return nil
}

// process returns the current process and a channel that is closed when it has ended.
func (n *node) process() (*os.Process, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil, nil
	}
	return n.cmd.Process, n.done
}

// kill ends the process.
func (n *node) kill() {
	if p, done := n.process(); p != nil {
		_ = p.Kill()
		<-done
	}
}

// restartDelay is the delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// supervise starts the process again whenever it has ended by itself, as the platform does, until the lab is closed.
func (n *node) supervise() {
	go func() {
		for {
			_, done := n.process()
			<-done
			n.mu.Lock()
			n.ends = append(n.ends, time.Now())
			n.mu.Unlock()
			time.Sleep(restartDelay)
			if n.start() != nil {
				return
			}
		}
	}()
}

// ownEnds returns how often a process of the node has ended by itself.
func (n *node) ownEnds() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ends)
}

// isReady reports whether the node says that it is ready.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits for a condition.
func await(what string, within time.Duration, holds func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s after %s", errRun, what, within)
}

// The deployment of the stand-ins.
const (
	host       = "ficu95.example"
	clientKey  = "n2ctnfzs989anu6wsjnb"
	tenant     = "hule930"
	model4     = "daka510000"
	model2     = "rada7437b5"
	engineName = "huvo11a"
	plainName  = "wuno96b"
)

// configuration returns a configuration like the one on the page of the wire.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 8000, "goal_ms": 500, "priority": 1, "service": service,
			"max_attempts": 2, "public": false, "sticky": true, "resumable": resumable, "gap_goal_ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-resumable", "/lohu930/", "stream", engineName, true),
			route("r-once", "/pufi791/", "stream", engineName, false),
			route("r-unsafe", "/puxa403/", "unsafe", plainName, false),
			route("r-safe", "/cufi504/", "safe", plainName, false),
		},
		"services": []any{
			map[string]any{
				"name": engineName, "health_path": "/health", "max_conns": 474, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 26, "kv_capacity": 1400000, "kv_bytes": 35136, "link_mbps": 400000.0, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241,
					"context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.0,
					"loads_at_once": 6, "delays": []any{}, "usual": map[string]any{"prompt": 1076, "answer": 116}, "retains": 1, "far_x": 3.0, "form_ms": 300.0,
					"models": []any{
						map[string]any{"name": model4, "size": 4, "share": 0.67, "pace": 1.0, "load_s": 2.0, "warm_s": 1.1},
						map[string]any{"name": model2, "size": 2, "share": 0.33, "pace": 0.6, "load_s": 2.0, "warm_s": 1.1},
					},
				},
			},
			map[string]any{"name": plainName, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{clientKey}, "priority": 1}},
	}
}
