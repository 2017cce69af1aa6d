package lentilplacement

import (
	"cmp"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestFlowsOfAnEarlierLifeAreSettled plays the seconds after all power was lost on 80 VMs: the
// clients of 3,000 flows that nobody holds any more send again and again. Each is told within the
// two seconds that the platform allows for an answer, so that it can connect anew.
func TestFlowsOfAnEarlierLifeAreSettled(t *testing.T) {
	const (
		many    = 3000
		agents  = 80
		step    = 10 * time.Millisecond
		within  = 2 * time.Second
		arrival = time.Second
	)
	b := fleet(t)
	type client struct{ began, next, gap time.Duration }
	open := make(map[int]*client)
	for n := range many {
		began := arrival * time.Duration(n) / many
		open[n] = &client{began: began, next: began, gap: 200 * time.Millisecond}
	}
	datagrams := 0
	answers := func(actions []Action) (replies []Action) {
		for _, a := range actions {
			switch a.Verb {
			case SendCarry:
				datagrams++
				replies = b.Denied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{a.Key}}, replies)
			case SendAsk:
				datagrams++
				replies = b.Denied(a.To, lentilflow.Denied{Keys: a.Keys}, replies)
			default:
				replies = append(replies, a)
			}
		}
		return replies
	}
	settled := make(map[lentilflow.Key]bool)
	settle := func(actions []Action) {
		for len(actions) > 0 {
			next := answers(actions)
			actions = nil
			for _, a := range next {
				switch a.Verb {
				case ResetClient:
					settled[a.Key] = true
				case SendCarry, SendAsk:
					actions = append(actions, a)
				}
			}
		}
	}
	for now := time.Duration(0); len(open) > 0; now += step {
		for n, c := range open {
			switch {
			case settled[flowOf(n)]:
				delete(open, n)
			case now-c.began > within:
				t.Fatalf("flow %d is not settled after %s, %d others neither", n, within, len(open)-1)
			case now >= c.next:
				c.next, c.gap = now+c.gap, 2*c.gap
				actions, err := b.Packet(later(n), nil)
				if err != nil {
					t.Fatal(err)
				}
				settle(actions)
			}
		}
		if now%(500*time.Millisecond) == 0 {
			for n := 1; n <= agents; n++ {
				b.status(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", "domain-0" })
			}
		}
		settle(b.Tick(nil))
		b.clock.Advance(step)
	}
	t.Logf("%d datagrams for %d flows", datagrams, many)
}

// TestDenialsAreNotAskedForAgain lets a client send twice while one agent, which has just become
// silent, keeps its flow from being reset.
func TestDenialsAreNotAskedForAgain(t *testing.T) {
	b := fleet(t)
	silent := b.likely(flowOf(7))[0]
	var last string
	tell := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			b.clock.Advance(100 * time.Millisecond)
			for n := 1; n <= fleetAgents; n++ {
				if agentEnd(n) != silent {
					b.status(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", "domain-1" })
				}
			}
			last = cmp.Or(show(b.Tick(nil)), last)
		}
	}
	send := func() (actions []Action) {
		actions, err := b.Packet(later(7), nil)
		if err != nil {
			t.Fatal(err)
		}
		return actions
	}
	deny := func(actions []Action) (replies []Action) {
		for _, a := range actions {
			if a.To != silent && (a.Verb == SendCarry || a.Verb == SendAsk) {
				replies = b.Denied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{flowOf(7)}}, replies)
			}
		}
		return replies
	}
	tell(2 * time.Second)
	if left := deny(deny(deny(send()))); len(left) > 0 {
		t.Fatalf("while one agent is silent: %s", show(left))
	}
	tell(200 * time.Millisecond)
	for _, a := range send() {
		if a.Verb == SendCarry && a.To != silent {
			t.Errorf("sought again at %s, which has just denied the flow", a.To)
		}
	}
	tell(500 * time.Millisecond)
	if last != "reset AllDenied 77" {
		t.Errorf("once the silent agent is gone: %q", last)
	}
}

// TestStoppedAgents seeks a flow that nobody holds while one agent is away because it was asked to end.
func TestStoppedAgents(t *testing.T) {
	for _, c := range []struct {
		name  string
		ended bool
		away  time.Duration
		want  string
	}{
		{"its upstream may live", false, 5 * time.Second, "ask 1"},
		{"its upstream has ended", true, 5 * time.Second, "reset AllDenied 77"},
		{"its upstream has ended a moment ago", true, 100 * time.Millisecond, "reset AllDenied 77"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.configure(1, "a")
			b.status(1, func(m *lentilflow.Status) { m.Stopping, m.UpstreamEnded = true, c.ended })
			b.pass(c.away, 2, 3, 4)
			b.packet(later(theFlow))
			var got string
			for _, n := range []int{2, 3, 4} {
				got = b.denied(n)
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
