package lentilconntrack

import (
	"fmt"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// recoverBound is recoverS of the users.
const recoverBound = 12 * time.Second

// TestOtherServicesKeepUpstreamOut guards against an upstream that gets no flows after a restart of its agent, since registrations of
// other services go on.
func TestOtherServicesKeepUpstreamOut(t *testing.T) {
	const own = 1200 * time.Millisecond
	for _, c := range []struct {
		name     string
		interval time.Duration
		// other changes the nth registration of the other writer, which is read at a time since the start of the agent.
		other func(r *Registration, n int, sinceStart time.Duration)
	}{
		{"of one run", 250 * time.Millisecond, func(*Registration, int, time.Duration) {}},
		{"of one run, once a second", time.Second, func(*Registration, int, time.Duration) {}},
		{"of one run, in the upstream's rhythm", own, func(*Registration, int, time.Duration) {}},
		{"of a run that doesn't tell its start", 250 * time.Millisecond, func(r *Registration, _ int, _ time.Duration) { r.Incarnation = 0 }},
		{"of a new run each time", 250 * time.Millisecond, func(r *Registration, n int, sinceStart time.Duration) {
			r.ID, r.Incarnation, r.Sequence = fmt.Sprint("w-", n), r.Incarnation+sinceStart.Milliseconds(), 1
		}},
		{"of a new service each time", 250 * time.Millisecond, func(r *Registration, n int, sinceStart time.Duration) {
			r.Service, r.Incarnation = fmt.Sprint("nobody-", n), r.Incarnation+sinceStart.Milliseconds()
		}},
		{"of a new service now and then", 250 * time.Millisecond, func(r *Registration, n int, _ time.Duration) { r.Service = fmt.Sprint("nobody-", n/16) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.Start()
			h.lastSequence = 40
			const step = 50 * time.Millisecond
			for d := step; d <= recoverBound; d += step {
				h.run(step)
				if d%c.interval == 0 {
					n := int(d / c.interval)
					other := Registration{ID: "w", Incarnation: h.createdAt.UnixMilli(), Sequence: int64(n), Service: "nobody", Slots: 2}
					c.other(&other, n, d)
					h.Register(other, nil)
				}
				if d%own == 0 {
					h.register("u", func(r *Registration) { r.Incarnation = -60_000 })
				}
			}
			if got := h.Phase(); got != lentilflow.Ready {
				t.Errorf("the upstream is %s after %s", got, recoverBound)
			}
		})
	}
}
