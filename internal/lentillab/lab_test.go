package lentillab

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"
)

// writeFakePrograms returns a directory in which both writeFakePrograms are a shell script that does
// what its first argument says.
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
	prints, err := lab.StartLentilstand("prints", "print")
	if err != nil {
		t.Fatal(err)
	}
	if out, err := prints.Output(ctx); err != nil || string(out) != "out\n" || prints.Stderr() != "err\n" {
		t.Errorf("got %q, %q, %v", out, prints.Stderr(), err)
	}
	fails, err := lab.StartLentilstair("fails", "fail")
	if err != nil {
		t.Fatal(err)
	}
	if _, err = fails.Output(ctx); err == nil || fails.LastStderr() != "why" {
		t.Errorf("got %q, %v", fails.LastStderr(), err)
	}
	if failed := lab.Failures(); len(failed) != 1 {
		t.Errorf("failed: %q", failed)
	}
}

// TestStopWithExitError stops a process that ends by an error then.
func TestStopWithExitError(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	lab := newLab(t)
	stops, err := lab.StartLentilstand("stops", "badstop")
	if err != nil {
		t.Fatal(err)
	}
	err = Poll(ctx, func() (bool, error) { return stops.Stderr() == "up\n", nil })
	if err != nil {
		t.Fatal(err)
	}
	stops.Stop()
	if err = stops.Wait(ctx); err != nil || len(lab.Failures()) != 1 {
		t.Errorf("%v, failed: %q", err, lab.Failures())
	}
}

// TestCloseKillsProcessesAndRemovesFiles closes a lab whose process ignores SIGTERM.
func TestCloseKillsProcessesAndRemovesFiles(t *testing.T) {
	lab := newLab(t)
	hangs, err := lab.StartLentilstand("hangs", "hang")
	if err != nil {
		t.Fatal(err)
	}
	path, err := lab.WriteFile("file", nil)
	if err != nil {
		t.Fatal(err)
	}
	hangs.Stop()
	lab.Close()
	lab.Close()
	if err = syscall.Kill(hangs.PID(), 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("the process %d is still there: %v", hangs.PID(), err)
	}
	if _, err = os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file is still there: %v", err)
	}
	if _, err = lab.StartLentilstand("late", "print"); err == nil {
		t.Error("a closed lab starts processes")
	}
}

func TestLabsUseDistinctAddresses(t *testing.T) {
	one, other := newLab(t), newLab(t)
	if one.IP(1, 1) == other.IP(1, 1) {
		t.Errorf("both have %s", one.IP(1, 1))
	}
}
