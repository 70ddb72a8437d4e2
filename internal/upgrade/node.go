package upgrade

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// node is one machine and the process that runs on it.
type node struct {
	machine standin.Machine
	door    *standin.Door
	file    string

	mu    sync.Mutex
	build Build
	ex    *execution
	// crashes are the ends of processes that the run did not cause.
	crashes []crash
}

// execution is one life of a process; done is closed when it has ended. stopped is set before the run ends the process.
type execution struct {
	cmd     *exec.Cmd
	log     *os.File
	done    chan struct{}
	stopped atomic.Bool
}

// crash is the end of a process that the run did not cause.
type crash struct {
	at    time.Time
	state string
}

// start starts a build on the machine.
func (n *node) start(b Build) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.file+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrRun, err)
	}
	if err := os.WriteFile(n.file, []byte(n.machine.Settings()), 0o644); err != nil {
		return fmt.Errorf("%w: %w", ErrRun, err)
	}
	ex := &execution{cmd: exec.Command(b.Program), log: log, done: make(chan struct{})}
	ex.cmd.Env = []string{standin.SettingsVariable + "=" + n.file, "GOMAXPROCS=2"}
	ex.cmd.Stdout, ex.cmd.Stderr = log, log
	if err := ex.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrRun, b.Commit, err)
	}
	go func() {
		_ = ex.cmd.Wait()
		_ = log.Close()
		if !ex.stopped.Load() {
			n.recordCrash(ex)
		}
		close(ex.done)
	}()
	n.build, n.ex = b, ex
	return nil
}

// recordCrash records that a process ended by itself.
func (n *node) recordCrash(ex *execution) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashes = append(n.crashes, crash{at: time.Now(), state: ex.cmd.ProcessState.String()})
}

// crashed returns the ends of processes that the run did not cause.
func (n *node) crashed() []crash {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.crashes)
}

// life returns the process that runs or ran last, and its build.
func (n *node) life() (*execution, Build) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ex, n.build
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	ex, _ := n.life()
	_ = ex.cmd.Process.Signal(s)
}

// stop ends the process as planned, and by force once its time is over.
func (n *node) stop(ctx context.Context) {
	ex, _ := n.life()
	ex.stopped.Store(true)
	_ = ex.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ex.done:
	case <-ctx.Done():
		n.kill()
	case <-time.After(n.machine.Grace):
		n.kill()
	}
}

// kill ends the process at once, also a frozen one.
func (n *node) kill() {
	ex, _ := n.life()
	ex.kill()
}

// kill ends the process at once.
func (ex *execution) kill() {
	ex.stopped.Store(true)
	_ = ex.cmd.Process.Kill() // an error says that it has ended already
	<-ex.done
}

// ready reports whether the node says that it is ready.
func (n *node) ready(c *http.Client) bool {
	resp, err := c.Get("http://" + n.machine.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logText returns what the node's processes have written.
func (n *node) logText() []byte {
	text, err := os.ReadFile(n.file + ".log")
	if err != nil {
		return []byte(err.Error())
	}
	return bytes.TrimSpace(text)
}

// place gives the node of a number its addresses: an IP number of its own.
func place(number int, dir string, ip netip.Addr, store netip.AddrPort, door *standin.Door, seeds []netip.AddrPort) *node {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	m := standin.Machine{
		Name: fmt.Sprintf("node-%d", number), Hall: halls[number%len(halls)], Front: at(7001), Ready: at(7002), Control: at(7003), FirstPort: 7010,
		Store: store, Seeds: seeds, Grace: grace,
	}
	return &node{machine: m, door: door, file: filepath.Join(dir, m.Name+".toml")}
}
