package lentillab

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"github.com/joomcode/errorx"
)

const (
	stopSignal = syscall.SIGTERM
	// maxOutput bounds the kept output of a process, in bytes; the end is kept.
	maxOutput = 1 << 20
	// lastOutput is how much of it LastOutput returns, in bytes.
	lastOutput = 600
)

// Process is a process of a lab.
type Process struct {
	name    string
	command *exec.Cmd
	out     bytes.Buffer
	err     tail
	ended   chan struct{}

	mu      sync.Mutex
	killed  bool
	outcome error
}

func newProcess(name, program string, args []string) *Process {
	// A lab ends its processes itself, and starts its own programs only.
	command := exec.CommandContext(context.Background(), program, args...) // #nosec G204
	p := &Process{name: name, command: command, ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.out, &p.err
	return p
}

// Name returns the name that the lab gave the process.
func (p *Process) Name() string { return p.name }

// ID returns the system's number of the process.
func (p *Process) ID() int { return p.command.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Over reports whether the process has ended.
func (p *Process) Over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(signal os.Signal) {
	p.mu.Lock()
	p.killed = p.killed || signal == syscall.SIGKILL
	p.mu.Unlock()
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// Stop asks for a graceful stop; Wait waits for it.
func (p *Process) Stop() { p.Signal(stopSignal) }

// Kill ends the process without any chance to clean up.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// Pause stops the process from running until Resume, as when its VM is paused.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process. The error is that of ctx if it ends first.
func (p *Process) Wait(ctx context.Context) (err error) {
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return errorx.Decorate(ctx.Err(), "%s still runs", p.name)
	}
}

// Output waits for the end of the process and returns its standard output, or an
// error if it ended with one.
func (p *Process) Output(ctx context.Context) (out []byte, err error) {
	if err = p.Wait(ctx); err != nil {
		return nil, err
	}
	if p.outcome != nil {
		return p.out.Bytes(), errorx.Decorate(p.outcome, "%s: %s", p.name, p.LastOutput())
	}
	return p.out.Bytes(), nil
}

// Failure returns the error by which the process ended, or nil if it runs, has
// ended well, or was killed on purpose. A stop that was asked for has to end well.
func (p *Process) Failure() error {
	select {
	case <-p.ended:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return nil
	}
	return p.outcome
}

// Log returns the end of the process's standard error.
func (p *Process) Log() string { return p.err.String() }

// LastOutput returns the last lines of the process's standard error.
func (p *Process) LastOutput() string {
	log := strings.TrimSpace(p.err.String())
	return log[max(0, len(log)-lastOutput):]
}

// await notes the end of the process.
func (p *Process) await() {
	err := p.command.Wait()
	p.mu.Lock()
	p.outcome = err
	p.mu.Unlock()
	close(p.ended)
}

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	data []byte
}

// Write keeps p and forgets the oldest bytes.
func (t *tail) Write(p []byte) (n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if extra := len(t.data) - maxOutput; extra > 0 {
		t.data = append(t.data[:0], t.data[extra:]...)
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}
