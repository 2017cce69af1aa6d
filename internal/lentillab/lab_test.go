package lentillab

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"
)

// programs returns a directory in which both programs are a shell script that does
// what its first argument says.
func programs(t *testing.T) (directory string) {
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
	lab, err := New(programs(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lab.Close)
	return lab
}

func TestOutput(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	lab := newLab(t)
	prints, err := lab.Stand("prints", "print")
	if err != nil {
		t.Fatal(err)
	}
	if out, err := prints.Output(ctx); err != nil || string(out) != "out\n" || prints.Log() != "err\n" {
		t.Errorf("got %q, %q, %v", out, prints.Log(), err)
	}
	fails, err := lab.Stair("fails", "fail")
	if err != nil {
		t.Fatal(err)
	}
	if _, err = fails.Output(ctx); err == nil || fails.LastOutput() != "why" {
		t.Errorf("got %q, %v", fails.LastOutput(), err)
	}
	if failed := lab.Failed(); len(failed) != 1 {
		t.Errorf("failed: %q", failed)
	}
}

// TestFailedStop stops a process that ends by an error then.
func TestFailedStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	lab := newLab(t)
	stops, err := lab.Stand("stops", "badstop")
	if err != nil {
		t.Fatal(err)
	}
	err = Poll(ctx, func() (bool, error) { return stops.Log() == "up\n", nil })
	if err != nil {
		t.Fatal(err)
	}
	stops.Stop()
	if err = stops.Wait(ctx); err != nil || len(lab.Failed()) != 1 {
		t.Errorf("%v, failed: %q", err, lab.Failed())
	}
}

// TestCloseLeavesNothing closes a lab whose process ignores SIGTERM.
func TestCloseLeavesNothing(t *testing.T) {
	lab := newLab(t)
	hangs, err := lab.Stand("hangs", "hang")
	if err != nil {
		t.Fatal(err)
	}
	path, err := lab.Write("file", nil)
	if err != nil {
		t.Fatal(err)
	}
	hangs.Stop()
	lab.Close()
	lab.Close()
	if err = syscall.Kill(hangs.ID(), 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("the process %d is still there: %v", hangs.ID(), err)
	}
	if _, err = os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file is still there: %v", err)
	}
	if _, err = lab.Stand("late", "print"); err == nil {
		t.Error("a closed lab starts processes")
	}
}

func TestLabsDoNotShareAddresses(t *testing.T) {
	one, other := newLab(t), newLab(t)
	if one.IP(1, 1) == other.IP(1, 1) {
		t.Errorf("both have %s", one.IP(1, 1))
	}
}
