package standin

import (
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
	"sync/atomic"
	"syscall"
	"time"
)

// node is one machine of the system, with its process.
type node struct {
	name, zone            string
	front, ready, control string
	first                 int
	settings              string
	started               bool
	// starts counts the processes started.
	starts atomic.Int64

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
}

// cluster is all machines of the system.
type cluster struct {
	dir, binary string
	zones       []string
	nodes       []*node
	store       *store
	extra       string
}

// Ports below those that a system gives to outgoing connections, which could take a free one before a process listens on it.
const (
	firstPort = 11000
	portCount = 20000
)

// nextPort is the port that is tried next. It only rises, so that no port of a run is given out twice.
var nextPort atomic.Int64

func init() { nextPort.Store(firstPort + rand.Int64N(portCount)) }

// listenFree listens on a free loopback port.
func listenFree() (net.Listener, error) {
	var err error
	for range 200 {
		var ln net.Listener
		if ln, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))); err == nil {
			return ln, nil
		}
	}
	return nil, err
}

// freePorts returns the first of a number of consecutive free loopback ports.
func freePorts(count int) (int, error) {
	for range 200 {
		base := int(nextPort.Add(int64(count))) - count + 1
		free := 0
		for ; free < count; free++ {
			ln, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", base+free))
			if err != nil {
				break
			}
			_ = ln.Close()
		}
		if free == count {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// newCluster lays out one machine for each zone name in zones.
func newCluster(dir, binary string, zones []string, s *store) (*cluster, error) {
	c := &cluster{dir: dir, binary: binary, zones: zones, store: s}
	for i, zone := range zones {
		p, err := freePorts(5)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, &node{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: fmt.Sprintf("127.0.0.1:%d", p), ready: fmt.Sprintf("127.0.0.1:%d", p+1),
			control: fmt.Sprintf("127.0.0.1:%d", p+2), first: p + 3,
		})
	}
	return c, nil
}

// text returns the settings file of a machine.
func (c *cluster) text(n *node, bootstrap bool) string {
	var seeds, zones []string
	for _, o := range c.nodes[:min(3, len(c.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", o.control))
	}
	seen := map[string]bool{}
	for _, z := range c.zones {
		if !seen[z] {
			seen[z] = true
			zones = append(zones, fmt.Sprintf("%s = \"region-a\"", z))
		}
	}
	return fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front", "control"]
ip = "127.0.0.1"
zone = %q
region = "region-a"
port_range = [%d, %d]
seeds = [%s]
bootstrap = %t
counts_as_loss = false
discovery = "platform"
entry = "vip"
beat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "gangs"]
[zones]
%s
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
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
`, n.name, n.zone, n.first, n.first+1, strings.Join(seeds, ", "), bootstrap, strings.Join(zones, "\n"), n.front, n.ready, n.control, c.store.addr)
}

// start starts the process of a machine.
func (c *cluster) start(n *node) error {
	path := filepath.Join(c.dir, n.name+".toml")
	if err := os.WriteFile(path, []byte(c.text(n, !n.started)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TROUTMAST_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd, n.started = cmd, true
	n.starts.Add(1)
	n.mu.Unlock()
	rec("node %s: process started", n.name)
	return nil
}

// kill ends the process of a machine at once.
func (c *cluster) kill(n *node) {
	n.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	_ = out(cmd)
	rec("node %s: killed", n.name)
}

// out closes the log of a process.
func out(cmd *exec.Cmd) error {
	if f, ok := cmd.Stdout.(*os.File); ok {
		return f.Close()
	}
	return nil
}

// startAll starts all machines and waits until they are ready.
func (c *cluster) startAll() error {
	for _, n := range c.nodes {
		if err := c.start(n); err != nil {
			return err
		}
	}
	limit := time.Now().Add(20 * time.Second)
	for _, n := range c.nodes {
		for !isReady(n) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stopAll ends all processes.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		c.kill(n)
	}
}

// isReady asks a machine whether it is ready.
func isReady(n *node) bool {
	hc := http.Client{Timeout: time.Second}
	resp, err := hc.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
