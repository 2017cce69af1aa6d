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
	// maxStderrBytes bounds the kept output of a process, in bytes; the end is kept.
	maxStderrBytes = 1 << 20
	// lastStderrBytes is how much of it LastOutput returns, in bytes.
	lastStderrBytes = 600
)

// Process is a process of a lab.
type Process struct {
	name    string
	command *exec.Cmd
	stdout  bytes.Buffer
	stderr  tailBuffer
	done    chan struct{}

	mu      sync.Mutex
	killed  bool
	exitErr error
}

func newProcess(name, program string, args []string) *Process {
	// A lab ends its processes itself, and starts its own programs only.
	command := exec.CommandContext(context.Background(), program, args...) // #nosec G204
	p := &Process{name: name, command: command, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.stdout, &p.stderr
	return p
}

// Name returns the name that the lab gave the process.
func (p *Process) Name() string { return p.name }

// PID returns the system's number of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
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
	case <-p.done:
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
	case <-p.done:
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
	if p.exitErr != nil {
		return p.stdout.Bytes(), errorx.Decorate(p.exitErr, "%s: %s", p.name, p.LastStderr())
	}
	return p.stdout.Bytes(), nil
}

// Failure returns the error by which the process ended, or nil if it runs, has
// ended well, or was killed on purpose. A stop that was asked for has to end well.
func (p *Process) Failure() error {
	select {
	case <-p.done:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return nil
	}
	return p.exitErr
}

// Stderr returns the end of the process's standard error.
func (p *Process) Stderr() string { return p.stderr.String() }

// LastStderr returns the last lines of the process's standard error.
func (p *Process) LastStderr() string {
	log := strings.TrimSpace(p.stderr.String())
	return log[max(0, len(log)-lastStderrBytes):]
}

// awaitExit notes the end of the process.
func (p *Process) awaitExit() {
	err := p.command.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
	close(p.done)
}

// tailBuffer keeps the end of what is written to it.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

// Write keeps p and forgets the oldest bytes.
func (t *tailBuffer) Write(p []byte) (n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if extra := len(t.data) - maxStderrBytes; extra > 0 {
		t.data = append(t.data[:0], t.data[extra:]...)
	}
	return len(p), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}
