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
	// maxStderrBytes bounds how much of a process's standard error is kept. The
	// oldest bytes are dropped.
	maxStderrBytes = 1 << 20
	// lastStderrBytes bounds the result of LastStderr.
	lastStderrBytes = 600
)

// Process is a process that was started by a lab.
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
	// The context has no deadline, since the lab ends its processes itself. The
	// program is one of the lab's own.
	command := exec.CommandContext(context.Background(), program, args...) // #nosec G204
	p := &Process{name: name, command: command, done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.stdout, &p.stderr
	return p
}

// Name returns the name that the lab gave the process.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exited reports whether the process has exited.
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

// Stop requests a graceful stop, and doesn't wait for it. Use Wait for that.
func (p *Process) Stop() { p.Signal(stopSignal) }

// Kill ends the process at once, without cleanup.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// Pause suspends the process until Resume. It simulates a paused VM.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Wait waits until the process exits. It returns the error of ctx if ctx ends first.
func (p *Process) Wait(ctx context.Context) (err error) {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return errorx.Decorate(ctx.Err(), "%s still runs", p.name)
	}
}

// Output waits until the process exits and returns its standard output. It returns an
// error if the process failed.
func (p *Process) Output(ctx context.Context) (out []byte, err error) {
	if err = p.Wait(ctx); err != nil {
		return nil, err
	}
	if p.exitErr != nil {
		return p.stdout.Bytes(), errorx.Decorate(p.exitErr, "%s: %s", p.name, p.LastStderr())
	}
	return p.stdout.Bytes(), nil
}

// Failure returns the error with which the process exited. It returns nil if the
// process runs, has exited without error, or was killed by Kill. An error after a
// requested graceful stop counts as a failure.
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

// Stderr returns the process's standard error, up to its last maxStderrBytes.
func (p *Process) Stderr() string { return p.stderr.String() }

// LastStderr returns the last part of the process's standard error.
func (p *Process) LastStderr() string {
	text := strings.TrimSpace(p.stderr.String())
	return text[max(0, len(text)-lastStderrBytes):]
}

// awaitExit waits until the process exits and records its exit error.
func (p *Process) awaitExit() {
	err := p.command.Wait()
	p.mu.Lock()
	p.exitErr = err
	p.mu.Unlock()
	close(p.done)
}

// tailBuffer keeps the last maxStderrBytes that were written to it.
type tailBuffer struct {
	mu   sync.Mutex
	data []byte
}

// Write appends p and drops the oldest bytes beyond the limit.
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
