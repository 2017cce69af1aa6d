package lentilprocess

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilexit"
)

// returnOnGracefulStop returns when a graceful stop is requested, like a process without
// open work.
func returnOnGracefulStop(graceful, _ context.Context) error {
	<-graceful.Done()
	return nil
}

// returnOnForcedStop simulates a process whose open work never ends: it returns only when
// an immediate stop is requested.
func returnOnForcedStop(_, forced context.Context) error {
	<-forced.Done()
	return forced.Err()
}

func returnError(_, _ context.Context) error { return errors.New("socket closed") }

func TestRun(t *testing.T) {
	for _, tt := range []struct {
		name       string
		mainFunc   MainFunc
		signals    []os.Signal
		wantCode   lentilexit.Code
		wantEvents string
	}{
		{"graceful", returnOnGracefulStop, []os.Signal{syscall.SIGTERM}, lentilexit.OK, "LE2004 LE2006"},
		{"interrupt", returnOnGracefulStop, []os.Signal{syscall.SIGINT}, lentilexit.OK, "LE2004 LE2006"},
		{"second signal", returnOnForcedStop, []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, lentilexit.Failure, "LE2004 LE2005"},
		{"failure", returnError, nil, lentilexit.Failure, "LE2007"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			signals := make(chan os.Signal, len(tt.signals))
			for _, s := range tt.signals {
				signals <- s
			}
			err := runWithSignals(context.Background(), lentilevent.New(&out, lentilevent.Info), signals, tt.mainFunc)
			if got := lentilexit.Of(err); got != tt.wantCode {
				t.Errorf("got exit code %s (error %v), want %s", got, err, tt.wantCode)
			}
			if got := eventCodes(out.String()); got != tt.wantEvents {
				t.Errorf("got events %s, want %s", got, tt.wantEvents)
			}
		})
	}
}

// eventCodes returns the event codes of the lines of a log, separated by spaces.
func eventCodes(log string) string {
	var codes []string
	for line := range strings.Lines(log) {
		_, rest, _ := strings.Cut(line, `"event":"`)
		code, _, _ := strings.Cut(rest, `"`)
		codes = append(codes, code)
	}
	return strings.Join(codes, " ")
}
