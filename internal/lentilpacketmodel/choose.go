package lentilpacketmodel

import "lentilstair.example/lentilstair/pkg/lentilflow"

// Key names a flow.
type Key = lentilflow.Key

// Ways of choosing an agent, to compare the product's with. All of them know every agent's flows exactly
// and at once, which no balancer does.

// ChooseByHash picks by the flow's name alone.
func ChooseByHash(w *Simulation, key lentilflow.Key) (agent int) {
	return int(key.Hash() % uint64(len(w.agents)))
}

// ChooseRoundRobin returns a choice that picks one after the other.
func ChooseRoundRobin() func(w *Simulation, key lentilflow.Key) (agent int) {
	next := 0
	return func(w *Simulation, _ lentilflow.Key) int {
		next++
		return next % len(w.agents)
	}
}

// ChooseLessLoadedOfTwo picks the one of two at random that has fewer flows.
func ChooseLessLoadedOfTwo(w *Simulation, _ lentilflow.Key) (agent int) {
	a, b := w.Random.IntN(len(w.agents)), w.Random.IntN(len(w.agents))
	if w.agents[b].tracker.OpenFlows() < w.agents[a].tracker.OpenFlows() {
		return b
	}
	return a
}

// ClientsForLoad returns how many clients load a site with the given share of what its copies bear.
func (s Setup) ClientsForLoad(load float64) (clients int) {
	bears := float64(s.Domains*s.UpstreamsPerDomain*s.Slots) / s.ServiceTime.Seconds()
	cycle := s.ThinkTime.Seconds() + s.ServiceTime.Seconds() + 2*clientDelay.Seconds()
	return int(load * bears * cycle)
}
