package lentilpacketmodel

import (
	"slices"
	"time"
)

// The faults and planned changes that can be done to a world. Each says what it is done to by a
// number, counted around if it is too high.

// KillBalancer kills a balancer's process, which comes back after a moment, with nothing in its memory.
func (w *Simulation) KillBalancer(number int) { w.killBalancer(w.balancers[number%len(w.balancers)]) }

func (w *Simulation) killBalancer(b *balancer) {
	b.up, b.lastFaultAt = false, w.Clock.Now()
	w.After(restartDelay, func() {
		b.lastFaultAt = w.Clock.Now()
		b.start()
	})
}

// KillAgent kills an agent's process, which comes back after a moment. Its upstream goes on.
func (w *Simulation) KillAgent(number int) { w.killAgent(w.agents[number%len(w.agents)]) }

func (w *Simulation) killAgent(a *agent) {
	a.up, a.lastFaultAt = false, w.Clock.Now()
	w.After(restartDelay, func() {
		a.lastFaultAt = w.Clock.Now()
		a.start(false)
	})
}

// StopBalancer asks a balancer to end. It forwards for some time, and comes back later.
func (w *Simulation) StopBalancer(number int) {
	b := w.balancers[number%len(w.balancers)]
	const grace, away = 4 * time.Second, 500 * time.Millisecond
	b.stopping = true
	b.schedule(grace, func() {
		b.up, b.plannedStop = false, true
		w.After(away, func() {
			b.plannedStop = false
			b.start()
		})
	})
}

// StopAgent asks an agent to end while its upstream goes on, as for an upgrade of its VM.
func (w *Simulation) StopAgent(number int) {
	a := w.agents[number%len(w.agents)]
	const handover, away = 100 * time.Millisecond, 5500 * time.Millisecond
	a.perform(a.tracker.Stop(nil))
	a.schedule(storeDelay/10, func() { a.stopping = true })
	a.schedule(handover, func() {
		a.up, a.plannedStop = false, true
		w.After(away, func() {
			a.plannedStop = false
			a.start(false)
		})
	})
}

// AddBalancer adds a balancer to a failure domain.
func (w *Simulation) AddBalancer(domain int) { w.addBalancer(domain % w.Setup.Domains) }

// Freeze lets a process stand still for some time: one of the balancers, or beyond them one of the agents.
func (w *Simulation) Freeze(number int, d time.Duration) {
	p := w.processByNumber(number)
	p.frozen, p.lastFaultAt = true, w.Clock.Now()
	w.After(d, func() {
		p.frozen, p.lastFaultAt = false, w.Clock.Now()
		waiting := p.deferredEvents
		p.deferredEvents = nil
		for _, do := range waiting {
			do()
		}
	})
}

// Isolate cuts a process off from all others for some time, numbered as for Freeze.
func (w *Simulation) Isolate(number int, d time.Duration) {
	p := w.processByNumber(number)
	p.isolated, p.lastFaultAt = true, w.Clock.Now()
	w.After(d, func() { p.isolated, p.lastFaultAt = false, w.Clock.Now() })
}

// PartitionDomains lets two failure domains lose each other for some time; clients still reach both.
func (w *Simulation) PartitionDomains(a, b int, d time.Duration) {
	cut := domainPair(a%w.Setup.Domains, b%w.Setup.Domains)
	if cut[0] == cut[1] {
		return
	}
	w.partitions[cut] = true
	w.After(d, func() { delete(w.partitions, cut) })
}

func (w *Simulation) processByNumber(number int) *process {
	number %= len(w.balancers) + len(w.agents)
	if number < len(w.balancers) {
		return w.balancers[number].process
	}
	return w.agents[number-len(w.balancers)].process
}

// Crash ends an upstream without notice; another run of it begins after some time, or never if that is
// zero. A dark one doesn't refuse packets, but is silent.
func (w *Simulation) Crash(number int, dark bool, back time.Duration) {
	a := w.agents[number%len(w.agents)]
	u := a.upstream
	if u == nil || !u.alive() {
		return
	}
	u.unresponsive, u.ended = dark, true
	if back > 0 {
		w.After(back, func() { a.upstream = w.newUpstream(a) })
	}
}

// Drain lets an upstream announce that it leaves; it signs off and ends later.
func (w *Simulation) Drain(number int) {
	u := w.agents[number%len(w.agents)].upstream
	if u == nil || !u.alive() {
		return
	}
	u.draining = true
	const leave = 6 * time.Second
	w.After(leave, func() {
		if !u.alive() {
			return
		}
		if u.agent.up && !u.agent.frozen {
			u.agent.perform(u.agent.tracker.Deregister(u.id, nil))
		}
		u.ended = true
	})
}

// TakeDomainOut takes a failure domain out, and back after some time. Processes hear of it from the store.
func (w *Simulation) TakeDomainOut(domain int, d time.Duration) {
	domain %= w.Setup.Domains
	w.outSince[domain] = w.Clock.Now()
	w.After(storeDelay, w.notifyDomains)
	w.After(d, func() {
		delete(w.outSince, domain)
		w.After(storeDelay, w.notifyDomains)
	})
}

func (w *Simulation) notifyDomains() {
	out := w.domainsOut()
	for _, b := range w.balancers {
		b.deliver(b.run, func() { b.placer.SetOut(out) })
	}
	for _, a := range w.agents {
		a.deliver(a.run, func() { a.perform(a.tracker.SetOut(out[domainName(a.domain)], nil)) })
	}
}

// KillAll kills every process of the system at once; upstreams go on.
func (w *Simulation) KillAll() {
	for _, b := range w.balancers {
		w.killBalancer(b)
	}
	for _, a := range w.agents {
		w.killAgent(a)
	}
}

// PowerOff lets every machine lose its power at once, those of the upstreams too, and come back after some time.
func (w *Simulation) PowerOff(d time.Duration) {
	for _, b := range w.balancers {
		b.up, b.lastFaultAt = false, w.Clock.Now()
	}
	for _, a := range w.agents {
		a.up, a.lastFaultAt = false, w.Clock.Now()
		if a.upstream != nil {
			a.upstream.ended = true
		}
	}
	w.After(d, func() {
		for _, b := range slices.Clone(w.balancers) {
			b.lastFaultAt = w.Clock.Now()
			b.start()
		}
		for _, a := range w.agents {
			a.lastFaultAt = w.Clock.Now()
			a.start(false)
			a.upstream = w.newUpstream(a)
		}
	})
}

// SetLoss sets the share of datagrams that are lost.
func (w *Simulation) SetLoss(share float64) { w.loss = share }
