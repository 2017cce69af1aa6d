package lentilplacement

import (
	"cmp"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestUnknownFlowsAreResetInTime plays the seconds after all power was lost on 80 VMs: the
// clients of 3,000 flows that nobody holds any more send again and again. Each is told within the
// two seconds that the platform allows for an answer, so that it can connect anew.
func TestUnknownFlowsAreResetInTime(t *testing.T) {
	const (
		many    = 3000
		agents  = 80
		step    = 10 * time.Millisecond
		within  = 2 * time.Second
		arrival = time.Second
	)
	b := newCluster(t)
	type client struct{ began, next, gap time.Duration }
	open := make(map[int]*client)
	for n := range many {
		began := arrival * time.Duration(n) / many
		open[n] = &client{began: began, next: began, gap: 200 * time.Millisecond}
	}
	datagrams := 0
	answers := func(actions []Action) (replies []Action) {
		for _, a := range actions {
			switch a.Kind {
			case SendCarry:
				datagrams++
				replies = b.HandleDenied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{a.Key}}, replies)
			case SendAsk:
				datagrams++
				replies = b.HandleDenied(a.To, lentilflow.Denied{Keys: a.Keys}, replies)
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
				switch a.Kind {
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
			case settled[flowKey(n)]:
				delete(open, n)
			case now-c.began > within:
				t.Fatalf("flow %d is not settled after %s, %d others neither", n, within, len(open)-1)
			case now >= c.next:
				c.next, c.gap = now+c.gap, 2*c.gap
				actions, err := b.HandlePacket(laterPacket(n), nil)
				if err != nil {
					t.Fatal(err)
				}
				settle(actions)
			}
		}
		if now%(500*time.Millisecond) == 0 {
			for n := 1; n <= agents; n++ {
				b.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", "domain-0" })
			}
		}
		settle(b.Tick(nil))
		b.clock.Advance(step)
	}
	t.Logf("%d datagrams for %d flows", datagrams, many)
}

// TestDenyingAgentsAreNotAskedAgain lets a client send twice while one agent, which has just become
// silent, keeps its flow from being reset.
func TestDenyingAgentsAreNotAskedAgain(t *testing.T) {
	b := newCluster(t)
	silent := b.preferredAgents(flowKey(7))[0]
	var last string
	tell := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			b.clock.Advance(100 * time.Millisecond)
			for n := 1; n <= clusterAgents; n++ {
				if agentAddress(n) != silent {
					b.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain = "a", "domain-1" })
				}
			}
			last = cmp.Or(describe(b.Tick(nil)), last)
		}
	}
	send := func() (actions []Action) {
		actions, err := b.HandlePacket(laterPacket(7), nil)
		if err != nil {
			t.Fatal(err)
		}
		return actions
	}
	deny := func(actions []Action) (replies []Action) {
		for _, a := range actions {
			if a.To != silent && (a.Kind == SendCarry || a.Kind == SendAsk) {
				replies = b.HandleDenied(a.To, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(7)}}, replies)
			}
		}
		return replies
	}
	tell(2 * time.Second)
	if left := deny(deny(deny(send()))); len(left) > 0 {
		t.Fatalf("while one agent is silent: %s", describe(left))
	}
	tell(200 * time.Millisecond)
	for _, a := range send() {
		if a.Kind == SendCarry && a.To != silent {
			t.Errorf("sought again at %s, which has just denied the flow", a.To)
		}
	}
	tell(500 * time.Millisecond)
	if last != "reset AllDenied 77" {
		t.Errorf("once the silent agent is gone: %q", last)
	}
}

// TestFlowResetWhileAgentIsStopped seeks a flow that nobody holds while one agent is away because it was asked to end.
func TestFlowResetWhileAgentIsStopped(t *testing.T) {
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
			b := newHarness(t)
			b.configure(1, "a")
			b.sendStatus(1, func(m *lentilflow.Status) { m.Stopping, m.UpstreamEnded = true, c.ended })
			b.advance(c.away, 2, 3, 4)
			b.sendPacket(laterPacket(testFlow))
			var got string
			for _, n := range []int{2, 3, 4} {
				got = b.answerDenied(n)
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
