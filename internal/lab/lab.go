// Package lab starts the programs of this repository as separate processes on
// loopback, for the first run and for process tests.
package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/troutmast/troutmast/internal/relay"
	"github.com/troutmast/troutmast/internal/standin"
	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/ctl"
)

// Secrets of every lab.
const (
	OperatorSecret = "operator-secret"
	PeerSecret     = "peer-secret"
)

// startTimeout bounds the wait for a process to answer.
const startTimeout = 20 * time.Second

// Node is a running entry node.
type Node struct {
	*Process
	Operator netip.AddrPort
	Peer     netip.AddrPort
	Hall     string
	// relay is what the other nodes connect to.
	relay *relay.Relay
	flags []string
}

// Lab holds the processes of one run.
type Lab struct {
	// standin is the path of the stand-ins' program.
	standin string
	// Daemon is the path of the program that nodes are started with.
	Daemon string
	// Platform is the stand-in of the platform.
	Platform *Process
	Nodes    []*Node
	Targets  map[string]*Process

	relays []*relay.Relay
	tls    *TLSFiles

	mu  sync.Mutex
	all []*execution
}

// New returns a Lab that runs the programs in a directory, with a platform running.
func New(bin string) (*Lab, error) {
	l := &Lab{standin: filepath.Join(bin, "troutmast-standin"), Daemon: filepath.Join(bin, "troutmastd"), Targets: map[string]*Process{}}
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	l.Platform, err = l.start("platform", addr, l.standin, "platform", "--addr", addr.String())
	if err != nil {
		return nil, err
	}
	return l, l.await(l.Platform, "/v1/instances")
}

// Build builds the programs into a directory.
func Build(dir string) error {
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "github.com/troutmast/troutmast/cmd/...")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("lab: build: %w: %s", err, out)
	}
	return nil
}

// Ports below those that the system hands to outgoing connections, so that no
// connection takes a port between its choice and its use.
const (
	firstPort = 12000
	lastPort  = 31000
)

// nextPort is the offset of the next port to try.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// FreeAddr returns a loopback address that is free now and is not returned again soon.
func FreeAddr() (netip.AddrPort, error) { return freeAddrOn("127.0.0.1") }

// freeAddrOn returns a free address on a loopback IP number.
func freeAddrOn(ip string) (netip.AddrPort, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return netip.AddrPort{}, err
		}
		return netip.ParseAddrPort(addr)
	}
	return netip.AddrPort{}, errors.New("lab: no free port")
}

// start starts the program at a path.
func (l *Lab) start(name string, addr netip.AddrPort, program string, args ...string) (*Process, error) {
	ex := &execution{log: &bytes.Buffer{}, done: make(chan struct{})}
	ex.cmd = exec.Command(program, args...)
	ex.cmd.Stdout, ex.cmd.Stderr = ex.log, ex.log
	if err := ex.cmd.Start(); err != nil {
		return nil, fmt.Errorf("lab: %s: %w", name, err)
	}
	go func() {
		ex.err = ex.cmd.Wait()
		close(ex.done)
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, ex)
	return &Process{Name: name, Addr: addr, ex: ex}, nil
}

// await waits until a process answers a path with 200.
func (l *Lab) await(p *Process, path string) error {
	ex := p.execution()
	return Eventually(startTimeout, func() error {
		select {
		case <-ex.done:
			return fmt.Errorf("lab: %s ended: %w: %s", p.Name, ex.err, ex.log)
		default:
		}
		resp, err := p.Client().Get(p.URL() + path)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			text, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("lab: %s: %s: %s", p.Name, resp.Status, text)
		}
		return nil
	})
}

// Eventually calls fn until it succeeds or the time is over, and returns its last error.
func Eventually(limit time.Duration, fn func() error) error {
	end := time.Now().Add(limit)
	for {
		err := fn()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// StartTarget starts a target in a hall and fabric domain.
func (l *Lab) StartTarget(id, hall, domain string, flags ...string) error {
	addr, err := FreeAddr()
	if err != nil {
		return err
	}
	return l.startTargetAt(addr, id, hall, domain, flags...)
}

// startTargetAt starts a target at an address.
func (l *Lab) startTargetAt(addr netip.AddrPort, id, hall, domain string, flags ...string) error {
	args := []string{"target", "--addr", addr.String(), "--platform", l.Platform.Addr.String(), "--id", id, "--hall", hall, "--domain", domain}
	p, err := l.start(id, addr, l.standin, append(args, flags...)...)
	if err != nil {
		return err
	}
	l.Targets[id] = p
	return l.await(p, "/v1/report")
}

// RestartTarget starts a target again at its old address.
func (l *Lab) RestartTarget(id, hall, domain string, flags ...string) error {
	return l.startTargetAt(l.Targets[id].Addr, id, hall, domain, flags...)
}

// StartNodes starts one node for each hall named; they know each other from the start.
func (l *Lab) StartNodes(halls []string, flags ...string) error {
	nodes := make([]*Node, len(halls))
	peers := make([]string, len(halls))
	for i, hall := range halls {
		n := &Node{Hall: hall, flags: flags, Process: &Process{Name: fmt.Sprintf("node-%d", len(l.Nodes)+i+1)}}
		n.tls = l.tls
		if err := l.place(n, len(l.Nodes)+i); err != nil {
			return err
		}
		nodes[i], peers[i] = n, n.relay.Addr().String()
	}
	for _, n := range nodes {
		n.flags = append([]string{"--peers", strings.Join(peers, ",")}, flags...)
		if err := l.StartNode(n); err != nil {
			return err
		}
		l.Nodes = append(l.Nodes, n)
	}
	return nil
}

// place gives a node its addresses: an IP number of its own, by which relays know it.
func (l *Lab) place(n *Node, index int) error {
	ip := fmt.Sprintf("127.0.1.%d", 1+index)
	for _, a := range []*netip.AddrPort{&n.Addr, &n.Operator, &n.Peer} {
		var err error
		if *a, err = freeAddrOn(ip); err != nil {
			return err
		}
	}
	var err error
	n.relay, err = relay.New(netip.MustParseAddr("127.0.0.1"), n.Peer)
	if err == nil {
		l.relays = append(l.relays, n.relay)
	}
	return err
}

// StartNode starts a node, or starts it again after its end.
func (l *Lab) StartNode(n *Node) error {
	args := []string{
		"--name", n.Name, "--hall", n.Hall, "--callers", n.Addr.String(), "--operator", n.Operator.String(),
		"--peer", n.Peer.String(), "--advertise", n.relay.Addr().String(), "--platform", l.Platform.Addr.String(),
		"--operator-secret", OperatorSecret, "--peer-secret", PeerSecret, "--stop-lag", "300ms",
	}
	if l.tls != nil {
		args = append(args, "--tls-cert", l.tls.Cert, "--tls-key", l.tls.Key, "--tls-ca", l.tls.CA)
	}
	p, err := l.start(n.Name, n.Addr, l.Daemon, append(args, n.flags...)...)
	if err != nil {
		return err
	}
	n.setExecution(p.execution())
	return l.await(n.Process, "/livez")
}

// AwaitReady waits until every node is ready.
func (l *Lab) AwaitReady() error {
	for _, n := range l.Nodes {
		if err := l.await(n.Process, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Ctl runs troutctl against a node and returns its output.
func (l *Lab) Ctl(n *Node, words ...string) (string, int) {
	var out bytes.Buffer
	args := []string{"--addr", n.Operator.String(), "--secret", OperatorSecret, "--user", "lab"}
	if l.tls != nil {
		args = append(args, "--ca", l.tls.CA)
	}
	args = append(args, words...)
	code := ctl.Run(args, func(string) (string, bool) { return "", false }, &out, &out)
	return out.String(), code
}

// PlatformFault switches the faults of the platform.
func (l *Lab) PlatformFault(f standin.PlatformFaults) error { return l.fault(l.Platform, f) }

// TargetFault switches the faults of a target.
func (l *Lab) TargetFault(id string, f standin.TargetFaults) error { return l.fault(l.Targets[id], f) }

// fault posts faults to a stand-in.
func (l *Lab) fault(p *Process, f any) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+p.Addr.String()+"/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ListLeaving changes the platform's entry of a target to leaving.
func (l *Lab) ListLeaving(id, hall, domain string) error {
	data, err := json.Marshal(platform.Instance{ID: state.InstanceID(id), Hall: state.HallName(hall), Domain: domain, Address: l.Targets[id].Addr, Leaving: true})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+l.Platform.Addr.String()+"/v1/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Journal returns what a target has run.
func (l *Lab) Journal(id string) ([]standin.JournalEntry, error) {
	var list []standin.JournalEntry
	err := l.show(id, "/journal", &list)
	return list, err
}

// Refusals returns when a target has refused requests.
func (l *Lab) Refusals(id string) ([]time.Time, error) {
	var list []time.Time
	err := l.show(id, "/refusals", &list)
	return list, err
}

// show reads what a target shows at a path.
func (l *Lab) show(id, path string, out any) error {
	resp, err := http.Get("http://" + l.Targets[id].Addr.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// Cut cuts two nodes off from each other, in both directions, or joins them again.
func Cut(a, b *Node, cut bool) {
	a.relay.Cut(b.Peer.Addr(), cut)
	b.relay.Cut(a.Peer.Addr(), cut)
}

// Close ends every process that the lab has started.
func (l *Lab) Close() {
	for _, r := range l.relays {
		_ = r.Close() // nothing is left to be done with it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ex := range l.all {
		_ = ex.cmd.Process.Signal(syscall.SIGCONT)
		_ = ex.cmd.Process.Signal(os.Kill)
		<-ex.done
	}
}
