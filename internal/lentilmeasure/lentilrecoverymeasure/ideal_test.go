package lentilrecoverymeasure

import (
	"testing"
	"time"
)

// TestIdealSite checks the outcomes of an ideal site where they are known beforehand.
func TestIdealSite(t *testing.T) {
	const smallLoad = 0.05
	for _, c := range []struct {
		name               string
		down               time.Duration
		knowsTrueAge       bool
		maxUnservedAfter   float64
		minUnservedInTotal float64
	}{
		{"a short loss of power at a small load", 300 * time.Millisecond, false, 0, 0},
		{"the same, with the age of requests known", 300 * time.Millisecond, true, 0, 0},
		{"a loss of power for longer than clients wait", 2 * deadline, false, 0, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			outage, afterwards := newIdealSite(1, smallLoad, c.down, c.knowsTrueAge).run()
			unserved := func(c counts) float64 { return c.share(c.due - c.inTime - c.late) }
			if outage.due == 0 || afterwards.due == 0 {
				t.Fatalf("requests: %+v, %+v", outage, afterwards)
			}
			if got := unserved(afterwards); got > c.maxUnservedAfter {
				t.Errorf("%.3f of the requests after the return are unserved", got)
			}
			if got := unserved(outage); got < c.minUnservedInTotal {
				t.Errorf("%.3f of the requests of the outage are unserved, want at least %.3f", got, c.minUnservedInTotal)
			}
		})
	}
}
