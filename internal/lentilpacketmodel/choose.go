package lentilpacketmodel

import "lentilstair.example/lentilstair/pkg/lentilflow"

// Key identifies a flow by the endpoints of its client and its service.
type Key = lentilflow.Key

// The functions below are policies for Setup.ChooseAgent, to compare with the one of the balancers. They see
// the exact number of flows of every agent without delay, which no balancer does.

// ChooseByHash chooses an agent by the hash of the flow's key.
func ChooseByHash(sim *Simulation, key lentilflow.Key) (agent int) {
	return int(key.Hash() % uint64(len(sim.agents)))
}

// ChooseRoundRobin returns a policy that chooses the agents in turn.
func ChooseRoundRobin() func(sim *Simulation, key lentilflow.Key) (agent int) {
	next := 0
	return func(sim *Simulation, _ lentilflow.Key) int {
		next++
		return next % len(sim.agents)
	}
}

// ChooseLessLoadedOfTwo picks two agents at random and chooses the one with fewer open flows.
func ChooseLessLoadedOfTwo(sim *Simulation, _ lentilflow.Key) (agent int) {
	a, b := sim.Random.IntN(len(sim.agents)), sim.Random.IntN(len(sim.agents))
	if sim.agents[b].tracker.OpenFlows() < sim.agents[a].tracker.OpenFlows() {
		return b
	}
	return a
}

// ClientsForLoad returns the number of clients that load a site with the given share of its copies' capacity.
func (s Setup) ClientsForLoad(load float64) (clients int) {
	requestsPerSecond := float64(s.Domains*s.UpstreamsPerDomain*s.Slots) / s.ServiceTime.Seconds()
	secondsPerRequest := s.ThinkTime.Seconds() + s.ServiceTime.Seconds() + 2*clientDelay.Seconds()
	return int(load * requestsPerSecond * secondsPerRequest)
}
