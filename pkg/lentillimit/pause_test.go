package lentillimit

import (
	"fmt"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// TestPauseDoesNotWarm guards against a cold copy that is taken for warmer because its agent was paused: without requests that
// complete, nothing shows that the copy bears more.
func TestPauseDoesNotWarm(t *testing.T) {
	for _, c := range []struct{ duration, pause time.Duration }{
		{30 * time.Millisecond, 5 * time.Second},
		{300 * time.Millisecond, 3 * time.Second},
		{time.Second, 5 * time.Second},
		{time.Second, 15 * time.Second},
	} {
		t.Run(fmt.Sprintf("requests of %v, a pause of %v", c.duration, c.pause), func(t *testing.T) {
			clock := &lentilclock.Fake{}
			clock.Advance(time.Hour)
			l := Limiter{Clock: clock, Slots: 4, TypicalDuration: c.duration}
			step := func(d time.Duration) {
				for ; d > 0; d -= 20 * time.Millisecond {
					clock.Advance(20 * time.Millisecond)
					l.Tick()
				}
			}
			for id := range uint64(6) {
				for !l.CanSend() {
					step(20 * time.Millisecond)
				}
				l.Started(id)
				step(c.duration)
				l.Ended(id, OutcomeDone)
			}
			before := l.Capacity()
			clock.Advance(c.pause)
			l.Tick()
			if after := l.Capacity(); float64(after) > 1.15*float64(before) {
				t.Errorf("capacity %d before the pause and %d after it", before, after)
			}
			sent := 0
			for id := uint64(100); l.CanSend(); id++ {
				l.Started(id)
				sent++
			}
			if sent > int(l.Capacity())/Slot+1 {
				t.Errorf("%d requests at once after the pause with a capacity of %d", sent, l.Capacity())
			}
		})
	}
}
