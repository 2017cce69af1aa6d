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

// returnOnGracefulStop ends when a graceful stop is asked for, as a shell with nothing open.
func returnOnGracefulStop(graceful, _ context.Context) error {
	<-graceful.Done()
	return nil
}

// returnOnForcedStop has work open that never ends.
func returnOnForcedStop(_, forced context.Context) error {
	<-forced.Done()
	return forced.Err()
}

func returnError(_, _ context.Context) error { return errors.New("the socket is gone") }

func TestRun(t *testing.T) {
	for _, tt := range []struct {
		name    string
		shell   MainFunc
		signals []os.Signal
		code    lentilexit.Code
		events  string
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
			err := runWithSignals(context.Background(), lentilevent.New(&out, lentilevent.Info), signals, tt.shell)
			if got := lentilexit.Of(err); got != tt.code {
				t.Errorf("ended with %s (%v), want %s", got, err, tt.code)
			}
			if got := eventCodes(out.String()); got != tt.events {
				t.Errorf("logged %s, want %s", got, tt.events)
			}
		})
	}
}

func eventCodes(log string) string {
	var found []string
	for line := range strings.Lines(log) {
		_, rest, _ := strings.Cut(line, `"event":"`)
		code, _, _ := strings.Cut(rest, `"`)
		found = append(found, code)
	}
	return strings.Join(found, " ")
}
