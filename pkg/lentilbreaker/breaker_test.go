package lentilbreaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// TestBreaker runs sequences of events: "s" and "f" are a success and a failure, "r" and "u" ask whether a
// repeatable or another request is admitted, and record it if it is. A number advances the clock by so many
// milliseconds. Each "r" and "u" gives "+" or "-".
func TestBreaker(t *testing.T) {
	for _, c := range []struct{ name, events, want, state string }{
		{"a closed breaker admits everything", "r u s f s f s f r", "+++", "Closed"},
		{"four failures of eight open it", "f s f s f s f r u", "--", "Open"},
		{"failures that are far apart don't", "f s s s s s s s f f f r", "+", "Closed"},
		{"a trial after the open time, one at a time", "f f f f 499 r 1 r r", "-+-", "Trying"},
		{"a trial that fails opens it for longer", "f f f f 500 r f 999 r 1 r", "+-+", "Trying"},
		{"the open time is bounded", "f f f f 500 r f 1000 r f 2000 r f 4000 r f 4000 r", "+++++", "Trying"},
		{"three successful trials close it", "f f f f 500 r s r s r s r r", "+++++", "Closed"},
		{"a success before the last failure doesn't count", "f f f f 500 r s r s r f r", "+++-", "Open"},
		{"a trial without an outcome doesn't block for ever", "f f f f 500 r 999 r 1 r", "+-+", "Trying"},
		{"requests that may not be repeated are no trials at first", "f f f f 500 u r s 999 u 1 u", "-+-+", "Trying"},
		{"outcomes of requests from before it opened are ignored", "f f f f f f s s s r", "-", "Open"},
		{"an upstream that fails soon again is tried later", "f f f f 500 r s r s r s f f f f 999 r 1 r", "+++-+", "Trying"},
		{"after a long time it starts from the shortest open time", "f f f f 500 r s r s r s 10000 f f f f 500 r", "++++", "Trying"},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := &lentilclock.Fake{}
			b := &Breaker{Clock: clock}
			got := ""
			for event := range strings.FieldsSeq(c.events) {
				switch event {
				case "s":
					b.RecordSuccess()
				case "f":
					b.RecordFailure()
				case "r", "u":
					answer := "-"
					if b.Admits(event == "r") {
						b.RecordAdmitted()
						answer = "+"
					}
					got += answer
				default:
					var millis int
					if _, err := fmt.Sscan(event, &millis); err != nil {
						t.Fatal(err)
					}
					clock.Advance(time.Duration(millis) * time.Millisecond)
				}
			}
			if got != c.want || b.State().String() != c.state {
				t.Errorf("got %s and %s, want %s and %s", got, b.State(), c.want, c.state)
			}
		})
	}
}

// TestReset checks that another run of the upstream starts with a closed breaker.
func TestReset(t *testing.T) {
	b := &Breaker{Clock: &lentilclock.Fake{}}
	for range minFailures {
		b.RecordFailure()
	}
	b.Reset()
	if !b.Admits(false) || b.State() != Closed {
		t.Errorf("state %s after a reset", b.State())
	}
}
