package lentilpacketmodel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// deliveryOutcome is what becomes of a datagram in an exploration.
type deliveryOutcome uint8

const (
	onTime deliveryOutcome = iota
	// overtaken datagrams arrive after everything that was sent within the patience of a balancer.
	overtaken
	lost
	outcomeCount
)

const overtakenDelay = 130 * time.Millisecond

func (f deliveryOutcome) delivery() (late time.Duration, gone bool) {
	if f == overtaken {
		return overtakenDelay, false
	}
	return 0, f == lost
}

// outcomeCases are changes during which the first datagrams meet every combination of fates. Each has the
// moment from which on they do: when the processes that the change concerns are back or told.
var outcomeCases = []struct {
	name string
	from time.Duration
	play func(w *Simulation)
	// failing is whether the change ends flows with their upstreams.
	failing bool
}{
	{name: "new flows", from: 3 * time.Second, play: func(*Simulation) {}},
	{name: "every balancer is new", from: 10 * time.Second, play: func(w *Simulation) { w.StopBalancer(0); w.StopBalancer(1) }},
	{name: "an agent is new", from: 6 * time.Second, play: func(w *Simulation) { w.StopAgent(flowAgent(w)) }},
	{name: "an agent is new, and what it wrote is lost", from: 6 * time.Second, play: func(w *Simulation) {
		w.StopAgent(flowAgent(w))
		schedule(w, 5*time.Second, func() { clear(w.ledgers) })
	}},
	{name: "balancers and an agent are new, and what it wrote is lost", from: 12 * time.Second, play: func(w *Simulation) {
		w.StopAgent(flowAgent(w))
		schedule(w, 5*time.Second, func() { clear(w.ledgers) })
		schedule(w, 1500*time.Millisecond, func() { w.StopBalancer(0); w.StopBalancer(1) })
	}},
	{name: "balancers and an agent are new", from: 10 * time.Second, play: func(w *Simulation) {
		w.StopBalancer(0)
		w.StopBalancer(1)
		schedule(w, 4*time.Second, func() { w.StopAgent(flowAgent(w)) })
	}},
	// The upstream ends 6 s later with what flows it has left.
	{name: "an upstream drains", from: 6 * time.Second, play: func(w *Simulation) { w.Drain(flowAgent(w)) }, failing: true},
	{name: "a domain is taken out", from: 6 * time.Second, play: func(w *Simulation) { w.TakeDomainOut(0, 5*time.Second) }},
	{name: "an upstream crashes", from: 6 * time.Second, play: func(w *Simulation) { w.Crash(flowAgent(w), true, time.Second) }, failing: true},
	{name: "power is lost", from: 6 * time.Second, play: func(w *Simulation) { w.PowerOff(700 * time.Millisecond) }, failing: true},
}

// tinySetup is a site of three machines with agents, two with balancers, and one client.
func tinySetup(decide func(number int) (late time.Duration, lost bool)) Setup {
	return Setup{
		Seed: 1, Domains: 1, BalancersPerDomain: 2, UpstreamsPerDomain: 3, Clients: 1, Slots: 2, QueueLimit: 8, ServiceTime: 10 * time.Millisecond,
		ThinkTime: 300 * time.Millisecond, Deadline: 12 * time.Second, DeliveryOutcome: decide,
	}
}

// flowAgent returns the number of the agent at which the client's flow is open.
func flowAgent(w *Simulation) (number int) {
	u := w.clients[0].flowUpstream
	return slices.IndexFunc(w.agents, func(a *agent) bool { return u != nil && a.upstream == u })
}

// runWithOutcomes plays a change with some fates, and returns the world at its end.
func runWithOutcomes(change int, decide func(number int) (late time.Duration, lost bool)) (w *Simulation) {
	c := outcomeCases[change]
	w = New(tinySetup(decide))
	schedule(w, 6*time.Second, func() { c.play(w) })
	schedule(w, c.from, w.ApplyDeliveryOutcomes)
	w.Run(22 * time.Second)
	return w
}

// TestEveryFate plays each change with every combination of fates of the first datagrams about flows.
func TestEveryFate(t *testing.T) {
	depth := 4
	if *everything {
		depth = 8
	}
	for change, c := range outcomeCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			all := 1
			for range depth {
				all *= int(outcomeCount)
			}
			for combination := range all {
				w := runWithOutcomes(change, func(number int) (time.Duration, bool) {
					left := combination
					for range min(number, depth) {
						left /= int(outcomeCount)
					}
					return deliveryOutcome(left % int(outcomeCount)).delivery()
				})
				reportViolations(t, w, fmt.Sprintf("combination %d", combination))
				checkServed(t, w, c.failing)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// TestRandomDeliveryOutcomes draws the fates of more datagrams.
func TestRandomDeliveryOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		change := rapid.IntRange(0, len(outcomeCases)-1).Draw(rt, "change")
		drawn := rapid.SliceOfN(rapid.SampledFrom([]deliveryOutcome{onTime, onTime, overtaken, lost}), 0, 60).Draw(rt, "fates")
		w := runWithOutcomes(change, func(number int) (time.Duration, bool) {
			if number >= len(drawn) {
				return 0, false
			}
			return drawn[number].delivery()
		})
		if len(w.Violations) > 0 {
			rt.Fatalf("%s: %s", outcomeCases[change].name, w.Violations[0])
		}
	})
}

// checkServed looks whether clients were served in the end, and no flow was cut unless its upstream ended.
func checkServed(t *testing.T, w *Simulation, failing bool) {
	t.Helper()
	if w.Stats.InterruptedRequests > 0 && !failing {
		t.Errorf("%d requests were cut", w.Stats.InterruptedRequests)
	}
	for _, c := range w.clients {
		if c.state != thinking && w.Clock.Now().Sub(c.requestedAt) > w.Setup.Deadline {
			t.Errorf("client %d has waited for %s", c.number, w.Clock.Now().Sub(c.requestedAt))
		}
	}
}
