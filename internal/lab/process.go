package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
)

// Process is one process that the lab has started.
type Process struct {
	Name string
	Addr netip.AddrPort
	tls  *TLSFiles

	mu sync.Mutex
	ex *execution
}

// execution is one life of a process; err is set when done is closed.
type execution struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer
	done chan struct{}
	err  error
}

// execution returns the present or last life of the process.
func (p *Process) execution() *execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ex
}

// setExecution gives the process a new life.
func (p *Process) setExecution(ex *execution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ex = ex
}

// Signal sends a signal to a process that the lab has started.
func (p *Process) Signal(s syscall.Signal) error { return p.execution().cmd.Process.Signal(s) }

// Kill ends a process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Stop asks a process to end, waits, and returns its exit error.
func (p *Process) Stop(ctx context.Context) error {
	ex := p.execution()
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-ex.done:
		return ex.err
	case <-ctx.Done():
		return errors.Join(ctx.Err(), fmt.Errorf("lab: %s does not end", p.Name))
	}
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.execution().done }

// Log returns what a process has printed; it must have ended.
func (p *Process) Log() string { return p.execution().log.String() }

// PID returns the process id.
func (p *Process) PID() int { return p.execution().cmd.Process.Pid }
