package lentilpacketmodel

import "lentilstair.example/lentilstair/pkg/lentilflow"

// Key names a flow.
type Key = lentilflow.Key

// Ways of choosing an agent, to compare the product's with. All of them know every agent's flows exactly
// and at once, which no balancer does.

// HashChoice picks by the flow's name alone.
func HashChoice(w *World, key lentilflow.Key) (agent int) {
	return int(key.Hash() % uint64(len(w.agents)))
}

// RoundRobinChoice returns a choice that picks one after the other.
func RoundRobinChoice() func(w *World, key lentilflow.Key) (agent int) {
	next := 0
	return func(w *World, _ lentilflow.Key) int {
		next++
		return next % len(w.agents)
	}
}

// TwoChoice picks the one of two at random that has fewer flows.
func TwoChoice(w *World, _ lentilflow.Key) (agent int) {
	a, b := w.Random.IntN(len(w.agents)), w.Random.IntN(len(w.agents))
	if w.agents[b].custodian.OpenFlows() < w.agents[a].custodian.OpenFlows() {
		return b
	}
	return a
}

// ClientsFor returns how many clients load a site with the given share of what its copies bear.
func (s Setup) ClientsFor(load float64) (clients int) {
	bears := float64(s.Domains*s.UpstreamsEach*s.Slots) / s.Work.Seconds()
	cycle := s.Pause.Seconds() + s.Work.Seconds() + 2*clientDelay.Seconds()
	return int(load * bears * cycle)
}
