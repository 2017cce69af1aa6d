package lentillab

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"
)

// writeFakePrograms returns a directory with replacements for lentilstair and
// lentilstand. Each is a shell script whose first argument selects its behaviour.
func writeFakePrograms(t *testing.T) (directory string) {
	t.Helper()
	directory = t.TempDir()
	script := "#!/bin/sh\ncase $1 in\nprint) echo out; echo err >&2;;\nfail) echo why >&2; exit 3;;\nbadstop) trap 'exit 4' TERM; echo up >&2; while :; do sleep 0.05; done;;\nhang) trap '' TERM; while :; do sleep 0.05; done;;\nesac\n"
	for _, name := range []string{"lentilstair", "lentilstand"} {
		if err := os.WriteFile(directory+"/"+name, []byte(script), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return directory
}

func newLab(t *testing.T) *Lab {
	t.Helper()
	lab, err := New(writeFakePrograms(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lab.Close)
	return lab
}

func TestProcessOutput(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	lab := newLab(t)
	printProcess, err := lab.StartLentilstand("prints", "print")
	if err != nil {
		t.Fatal(err)
	}
	if out, err := printProcess.Output(ctx); err != nil || string(out) != "out\n" || printProcess.Stderr() != "err\n" {
		t.Errorf("got stdout %q, stderr %q, error %v", out, printProcess.Stderr(), err)
	}
	failProcess, err := lab.StartLentilstair("fails", "fail")
	if err != nil {
		t.Fatal(err)
	}
	if _, err = failProcess.Output(ctx); err == nil || failProcess.LastStderr() != "why" {
		t.Errorf("got stderr %q, error %v", failProcess.LastStderr(), err)
	}
	if failures := lab.Failures(); len(failures) != 1 {
		t.Errorf("got failures %q, want one", failures)
	}
}

// TestStopWithExitError checks that an error after a requested stop counts as a failure.
func TestStopWithExitError(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	lab := newLab(t)
	stopProcess, err := lab.StartLentilstand("stops", "badstop")
	if err != nil {
		t.Fatal(err)
	}
	err = Poll(ctx, func() (bool, error) { return stopProcess.Stderr() == "up\n", nil })
	if err != nil {
		t.Fatal(err)
	}
	stopProcess.Stop()
	if err = stopProcess.Wait(ctx); err != nil || len(lab.Failures()) != 1 {
		t.Errorf("got error %v and failures %q, want no error and one failure", err, lab.Failures())
	}
}

// TestCloseKillsProcessesAndRemovesFiles closes a lab twice while one of its processes
// ignores SIGTERM.
func TestCloseKillsProcessesAndRemovesFiles(t *testing.T) {
	lab := newLab(t)
	hangProcess, err := lab.StartLentilstand("hangs", "hang")
	if err != nil {
		t.Fatal(err)
	}
	path, err := lab.WriteFile("file", nil)
	if err != nil {
		t.Fatal(err)
	}
	hangProcess.Stop()
	lab.Close()
	lab.Close()
	if err = syscall.Kill(hangProcess.PID(), 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("process %d still exists after Close: %v", hangProcess.PID(), err)
	}
	if _, err = os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("file still exists after Close: %v", err)
	}
	if _, err = lab.StartLentilstand("late", "print"); err == nil {
		t.Error("a closed lab started a process")
	}
}

func TestLabsUseDistinctAddresses(t *testing.T) {
	first, second := newLab(t), newLab(t)
	if first.IP(1, 1) == second.IP(1, 1) {
		t.Errorf("both labs use %s", first.IP(1, 1))
	}
}
