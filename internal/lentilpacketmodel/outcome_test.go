package lentilpacketmodel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// deliveryOutcome is what happens to a datagram about a flow.
type deliveryOutcome uint8

const (
	onTime deliveryOutcome = iota
	// overtaken datagrams arrive after everything that was sent within a balancer's timeout for placing a flow.
	overtaken
	lost
	outcomeCount
)

const overtakenDelay = 130 * time.Millisecond

func (o deliveryOutcome) delivery() (extraDelay time.Duration, dropped bool) {
	if o == overtaken {
		return overtakenDelay, false
	}
	return 0, o == lost
}

// outcomeCases are the changes that are combined with delivery outcomes.
var outcomeCases = []struct {
	name string
	// outcomesFrom is when delivery outcomes begin: when the affected processes have restarted or learned of the
	// change.
	outcomesFrom time.Duration
	apply        func(sim *Simulation)
	// endsFlows is set if the change ends upstreams, and their flows with them.
	endsFlows bool
}{
	{name: "new flows", outcomesFrom: 3 * time.Second, apply: func(*Simulation) {}},
	{name: "every balancer restarts", outcomesFrom: 10 * time.Second, apply: func(sim *Simulation) { sim.StopBalancer(0); sim.StopBalancer(1) }},
	{name: "an agent restarts", outcomesFrom: 6 * time.Second, apply: func(sim *Simulation) { sim.StopAgent(flowAgent(sim)) }},
	{name: "an agent restarts, and its ledger is lost", outcomesFrom: 6 * time.Second, apply: func(sim *Simulation) {
		sim.StopAgent(flowAgent(sim))
		schedule(sim, 5*time.Second, func() { clear(sim.ledgers) })
	}},
	{name: "balancers and an agent restart, and its ledger is lost", outcomesFrom: 12 * time.Second, apply: func(sim *Simulation) {
		sim.StopAgent(flowAgent(sim))
		schedule(sim, 5*time.Second, func() { clear(sim.ledgers) })
		schedule(sim, 1500*time.Millisecond, func() { sim.StopBalancer(0); sim.StopBalancer(1) })
	}},
	{name: "balancers and an agent restart", outcomesFrom: 10 * time.Second, apply: func(sim *Simulation) {
		sim.StopBalancer(0)
		sim.StopBalancer(1)
		schedule(sim, 4*time.Second, func() { sim.StopAgent(flowAgent(sim)) })
	}},
	// The upstream ends 6 s later, with the flows that it still holds.
	{name: "an upstream drains", outcomesFrom: 6 * time.Second, apply: func(sim *Simulation) { sim.Drain(flowAgent(sim)) }, endsFlows: true},
	{name: "a domain is taken out", outcomesFrom: 6 * time.Second, apply: func(sim *Simulation) { sim.TakeDomainOut(0, 5*time.Second) }},
	{name: "an upstream crashes", outcomesFrom: 6 * time.Second, apply: func(sim *Simulation) { sim.Crash(flowAgent(sim), true, time.Second) }, endsFlows: true},
	{name: "power is lost", outcomesFrom: 6 * time.Second, apply: func(sim *Simulation) { sim.PowerOff(700 * time.Millisecond) }, endsFlows: true},
}

// tinySetup returns a site of one failure domain with three agents, two balancers and one client.
func tinySetup(outcome func(number int) (extraDelay time.Duration, lost bool)) Setup {
	return Setup{
		Seed: 1, Domains: 1, BalancersPerDomain: 2, UpstreamsPerDomain: 3, Clients: 1, Slots: 2, QueueLimit: 8, ServiceTime: 10 * time.Millisecond,
		ThinkTime: 300 * time.Millisecond, Deadline: 12 * time.Second, DeliveryOutcome: outcome,
	}
}

// flowAgent returns the number of the agent at which the client's flow is open.
func flowAgent(sim *Simulation) (number int) {
	u := sim.clients[0].flowUpstream
	return slices.IndexFunc(sim.agents, func(a *agent) bool { return u != nil && a.upstream == u })
}

// runWithOutcomes runs a change with the given delivery outcomes, and returns the simulation at its end.
func runWithOutcomes(change int, outcome func(number int) (extraDelay time.Duration, lost bool)) (sim *Simulation) {
	c := outcomeCases[change]
	sim = New(tinySetup(outcome))
	schedule(sim, 6*time.Second, func() { c.apply(sim) })
	schedule(sim, c.outcomesFrom, sim.ApplyDeliveryOutcomes)
	sim.Run(22 * time.Second)
	return sim
}

// TestEveryFate runs each change with every combination of delivery outcomes of the first datagrams about flows.
func TestEveryFate(t *testing.T) {
	depth := 4
	if *everything {
		depth = 8
	}
	for change, c := range outcomeCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			combinations := 1
			for range depth {
				combinations *= int(outcomeCount)
			}
			for combination := range combinations {
				sim := runWithOutcomes(change, func(number int) (time.Duration, bool) {
					rest := combination
					for range min(number, depth) {
						rest /= int(outcomeCount)
					}
					return deliveryOutcome(rest % int(outcomeCount)).delivery()
				})
				reportViolations(t, sim, fmt.Sprintf("combination %d", combination))
				checkServed(t, sim, c.endsFlows)
				if t.Failed() {
					return
				}
			}
		})
	}
}

// TestRandomDeliveryOutcomes draws the delivery outcomes of up to 60 datagrams at random.
func TestRandomDeliveryOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		change := rapid.IntRange(0, len(outcomeCases)-1).Draw(rt, "change")
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]deliveryOutcome{onTime, onTime, overtaken, lost}), 0, 60).Draw(rt, "fates")
		sim := runWithOutcomes(change, func(number int) (time.Duration, bool) {
			if number >= len(outcomes) {
				return 0, false
			}
			return outcomes[number].delivery()
		})
		if len(sim.Violations) > 0 {
			rt.Fatalf("%s: %s", outcomeCases[change].name, sim.Violations[0])
		}
	})
}

// checkServed checks that no client is left waiting beyond its deadline, and that no request was interrupted by a
// reset unless the change ends upstreams.
func checkServed(t *testing.T, sim *Simulation, endsFlows bool) {
	t.Helper()
	if sim.Stats.InterruptedRequests > 0 && !endsFlows {
		t.Errorf("%d requests were interrupted by a reset of their flow", sim.Stats.InterruptedRequests)
	}
	for _, c := range sim.clients {
		if c.state != thinking && sim.Clock.Now().Sub(c.requestedAt) > sim.Setup.Deadline {
			t.Errorf("client %d has waited %s for an answer", c.number, sim.Clock.Now().Sub(c.requestedAt))
		}
	}
}
