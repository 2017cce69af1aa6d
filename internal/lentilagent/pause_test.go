package lentilagent

import (
	"sync/atomic"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// TestRequestsAfterPause guards against an agent that was paused while its failure domain was taken out of service, and runs the
// requests that waited in its sockets before it hears of that. cancelled is what happens to such a request when the agent does
// hear of it and closes the caller's connection.
func TestRequestsAfterPause(t *testing.T) {
	for _, tt := range []struct {
		name      string
		pause     time.Duration
		tickFirst bool
		cancelled bool
		// atOnce and later are the orders right after the pause and a second later.
		atOnce, later order
	}{
		{"a short pause", 900 * time.Millisecond, false, false, orderRun, 0},
		{"a long pause", 5 * time.Second, false, false, 0, orderRun},
		{"a long pause, and the timer comes first", 5 * time.Second, true, false, 0, orderRun},
		{"out of service meanwhile", 5 * time.Second, false, true, 0, orderRefuse},
	} {
		for _, kind := range []lentilconfig.RequestKind{lentilconfig.KindStream, lentilconfig.KindRepeatable, lentilconfig.KindOnce} {
			t.Run(tt.name+", "+kind.String(), func(t *testing.T) {
				clock := &lentilclock.Fake{}
				clock.Advance(time.Hour)
				var published atomic.Pointer[snapshot]
				c := newCoordinator(&Options{Incarnation: 1, Service: testService, Clock: clock, Random: func() float64 { return 0.5 }}, &published)
				c.handleTick()
				ticket := c.issuer.Issue()
				attempt := func(id uint64) (x *exchange) {
					x = &exchange{id: id, kind: kind, replies: make(chan reply, replyQueueSize)}
					if kind == lentilconfig.KindOnce {
						c.presentTicket(ticketPresented{exchange: x, ticket: ticket})
					} else {
						c.admit(x)
					}
					return x
				}
				expect := func(when string, x *exchange, want order) {
					t.Helper()
					var r reply
					select {
					case r = <-x.replies:
					default:
					}
					if r.order != want {
						t.Errorf("%s: order %s, want %s", when, r.order, want)
					}
				}
				clock.Advance(tt.pause)
				if tt.tickFirst {
					c.handleTick()
				}
				x := attempt(1)
				expect("at once", x, tt.atOnce)
				if c.publishSnapshot(); published.Load().idle {
					t.Error("the agent counts as idle while it holds a request")
				}
				if tt.cancelled {
					c.cancel(x)
				}
				for range 50 {
					clock.Advance(tickInterval)
					c.handleTick()
				}
				expect("later", x, tt.later)
				if tt.cancelled {
					if !c.admitter.Idle() || len(c.exchanges) != 0 {
						t.Errorf("%d exchanges are left", len(c.exchanges))
					}
					expect("another attempt", attempt(2), orderRun)
				}
			})
		}
	}
}
