package lentilconntrack

import (
	"fmt"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestEntriesOfEndedBalancers guards against entries of balancers that are no more and count like running ones: statuses then come seldom,
// balancers look for changes too seldom, and all balancers of a failure domain may leave the rotation at a time.
func TestEntriesOfEndedBalancers(t *testing.T) {
	const ended, running, step = 120, 3, 50 * time.Millisecond
	h := newHarness(t)
	h.Start()
	var actions []Action
	for n := range ended + running {
		address := lentilflow.NewEndpoint([4]byte{10, 0, 0, byte(n + 1)}, 7720)
		actions = h.AddPeer(lentilflow.Node{Name: fmt.Sprint("balancer-", n), Domain: "d", Address: address}, actions)
	}
	hello := func(n int) lentilflow.Status {
		address := lentilflow.NewEndpoint([4]byte{10, 0, 0, byte(n + 1)}, 7720)
		h.HandleHello(address, lentilflow.Hello{Name: fmt.Sprint("balancer-", n), Domain: "d", RunID: 1, Configured: true}, nil)
		return h.Status()
	}
	// A balancer answers the first status.
	for n := range running {
		if got := hello(n); got.BalancerCount != 0 {
			t.Errorf("right after the start: %d balancers are reported, want none yet", got.BalancerCount)
		}
	}
	statuses := make(map[lentilflow.Endpoint]int)
	const watched = 15 * time.Second
	for now := step; now <= watched; now += step {
		h.clock.Advance(step)
		if now%(5*time.Second) == 0 {
			for n := range running {
				hello(n)
			}
		}
		for _, a := range h.Tick(nil) {
			if a.Kind == SendStatus {
				statuses[a.To]++
			}
		}
		if got := h.Status(); now > 2*time.Second && (got.BalancerCount != running || got.Interval != minStatusInterval) {
			t.Fatalf("after %s: %d balancers are reported and a status each %s, want %d and %s", now, got.BalancerCount, got.Interval, running, minStatusInterval)
		}
	}
	total := 0
	for address, count := range statuses {
		total += count
		if n := int(address.Address()[3]) - 1; n < running && count < int(watched/minStatusInterval) {
			t.Errorf("balancer %d got %d statuses in %s", n, count, watched)
		}
	}
	if limit := 2 * maxStatusesPerSecond * int(watched/time.Second); total > limit {
		t.Errorf("%d statuses in %s, limit %d", total, watched, limit)
	}
	granted := 0
	for n := range running {
		if h.HandleStopRequest(lentilflow.StopRequest{Name: fmt.Sprint("balancer-", n), Domain: "d", RunID: 1}).Granted {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d of %d balancers may leave the rotation at a time, want 1", granted, running)
	}
}

// TestListedBalancerIsIntroduced guards against a balancer that never learns of an agent, since the agent's first statuses to it are lost.
func TestListedBalancerIsIntroduced(t *testing.T) {
	h := newHarness(t)
	h.Start()
	h.HandleHello(peer1, lentilflow.Hello{Name: "balancer-1", Domain: "d", RunID: 1}, nil)
	h.AddPeer(lentilflow.Node{Name: "balancer-2", Domain: "d", Address: peer2}, nil)
	count := 0
	for range 100 {
		h.clock.Advance(50 * time.Millisecond)
		for _, a := range h.Tick(nil) {
			if a.Kind == SendStatus && a.To == peer2 {
				count++
			}
		}
	}
	if want := int(5 * time.Second / minStatusInterval); count < want {
		t.Errorf("%d statuses in 5 s, want %d", count, want)
	}
}

// TestStatusIntervalAtStart guards against an agent that seems unresponsive right after its start, since its first statuses announce a
// shorter interval than that in which the next ones come.
func TestStatusIntervalAtStart(t *testing.T) {
	const balancers, step = 60, 50 * time.Millisecond
	h := newHarness(t)
	h.Start()
	address := func(n int) lentilflow.Endpoint { return lentilflow.NewEndpoint([4]byte{10, 0, 0, byte(n + 1)}, 7720) }
	announced, sentAt := make(map[lentilflow.Endpoint]time.Duration), make(map[lentilflow.Endpoint]time.Time)
	perform := func(actions []Action) {
		for _, a := range actions {
			if a.Kind != SendStatus {
				continue
			}
			now := h.clock.Now()
			if at, ok := sentAt[a.To]; ok && now.Sub(at) > 3*announced[a.To] {
				t.Fatalf("%s gets a status %s after one that announced %s", a.To, now.Sub(at), announced[a.To])
			}
			sentAt[a.To], announced[a.To] = now, h.Status().Interval
		}
	}
	for n := range balancers {
		perform(h.AddPeer(lentilflow.Node{Name: fmt.Sprint("balancer-", n), Domain: "d", Address: address(n)}, nil))
	}
	for now := time.Duration(0); now < 15*time.Second; now += step {
		if n := int(now / (5 * time.Millisecond)); now%(5*time.Second) < 200*time.Millisecond {
			for i := range 10 {
				if n := n%1000 + i; n < balancers {
					perform(h.HandleHello(address(n), lentilflow.Hello{Name: fmt.Sprint("balancer-", n), Domain: "d", RunID: 1}, nil))
				}
			}
		}
		h.clock.Advance(step)
		perform(h.Tick(nil))
	}
}
