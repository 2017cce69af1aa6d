package lentilpacketmodel

import (
	"slices"
	"time"
)

// The faults and planned changes that can be done to a world. Each says what it is done to by a
// number, counted around if it is too high.

// KillBalancer kills a balancer's process, which comes back after a moment, with nothing in its memory.
func (w *World) KillBalancer(number int) { w.killBalancer(w.balancers[number%len(w.balancers)]) }

func (w *World) killBalancer(b *balancer) {
	b.up, b.troubled = false, w.Clock.Now()
	w.After(restartDelay, func() {
		b.troubled = w.Clock.Now()
		b.begin()
	})
}

// KillAgent kills an agent's process, which comes back after a moment. Its upstream goes on.
func (w *World) KillAgent(number int) { w.killAgent(w.agents[number%len(w.agents)]) }

func (w *World) killAgent(a *agent) {
	a.up, a.troubled = false, w.Clock.Now()
	w.After(restartDelay, func() {
		a.troubled = w.Clock.Now()
		a.begin(false)
	})
}

// StopBalancer asks a balancer to end. It forwards for some time, and comes back later.
func (w *World) StopBalancer(number int) {
	b := w.balancers[number%len(w.balancers)]
	const grace, away = 4 * time.Second, 500 * time.Millisecond
	b.stopped = true
	b.soon(grace, func() {
		b.up, b.planned = false, true
		w.After(away, func() {
			b.planned = false
			b.begin()
		})
	})
}

// StopAgent asks an agent to end while its upstream goes on, as for an upgrade of its VM.
func (w *World) StopAgent(number int) {
	a := w.agents[number%len(w.agents)]
	const handover, away = 100 * time.Millisecond, 5500 * time.Millisecond
	a.perform(a.custodian.Stop(nil))
	a.soon(storeDelay/10, func() { a.stopping = true })
	a.soon(handover, func() {
		a.up, a.planned = false, true
		w.After(away, func() {
			a.planned = false
			a.begin(false)
		})
	})
}

// AddBalancer adds a balancer to a failure domain.
func (w *World) AddBalancer(domain int) { w.addBalancer(domain % w.Setup.Domains) }

// Freeze lets a process stand still for some time: one of the balancers, or beyond them one of the agents.
func (w *World) Freeze(number int, d time.Duration) {
	p := w.process(number)
	p.frozen, p.troubled = true, w.Clock.Now()
	w.After(d, func() {
		p.frozen, p.troubled = false, w.Clock.Now()
		waiting := p.waiting
		p.waiting = nil
		for _, do := range waiting {
			do()
		}
	})
}

// Cut cuts a process off from all others for some time, numbered as for Freeze.
func (w *World) Cut(number int, d time.Duration) {
	p := w.process(number)
	p.cut, p.troubled = true, w.Clock.Now()
	w.After(d, func() { p.cut, p.troubled = false, w.Clock.Now() })
}

// CutDomains lets two failure domains lose each other for some time; clients still reach both.
func (w *World) CutDomains(a, b int, d time.Duration) {
	cut := pair(a%w.Setup.Domains, b%w.Setup.Domains)
	if cut[0] == cut[1] {
		return
	}
	w.cuts[cut] = true
	w.After(d, func() { delete(w.cuts, cut) })
}

func (w *World) process(number int) *process {
	number %= len(w.balancers) + len(w.agents)
	if number < len(w.balancers) {
		return w.balancers[number].process
	}
	return w.agents[number-len(w.balancers)].process
}

// Crash ends an upstream without notice; another run of it begins after some time, or never if that is
// zero. A dark one doesn't refuse packets, but is silent.
func (w *World) Crash(number int, dark bool, back time.Duration) {
	a := w.agents[number%len(w.agents)]
	u := a.upstream
	if u == nil || !u.alive() {
		return
	}
	u.dark, u.ended = dark, true
	if back > 0 {
		w.After(back, func() { a.upstream = w.newUpstream(a) })
	}
}

// Drain lets an upstream announce that it leaves; it signs off and ends later.
func (w *World) Drain(number int) {
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
			u.agent.perform(u.agent.custodian.Deregister(u.id, nil))
		}
		u.ended = true
	})
}

// TakeOut takes a failure domain out, and back after some time. Processes hear of it from the store.
func (w *World) TakeOut(domain int, d time.Duration) {
	domain %= w.Setup.Domains
	w.out[domain] = w.Clock.Now()
	w.After(storeDelay, w.tellDomains)
	w.After(d, func() {
		delete(w.out, domain)
		w.After(storeDelay, w.tellDomains)
	})
}

func (w *World) tellDomains() {
	out := w.domainsOut()
	for _, b := range w.balancers {
		b.enter(b.run, func() { b.placer.SetOut(out) })
	}
	for _, a := range w.agents {
		a.enter(a.run, func() { a.perform(a.custodian.SetOut(out[domainName(a.domain)], nil)) })
	}
}

// KillAll kills every process of the system at once; upstreams go on.
func (w *World) KillAll() {
	for _, b := range w.balancers {
		w.killBalancer(b)
	}
	for _, a := range w.agents {
		w.killAgent(a)
	}
}

// PowerOff lets every machine lose its power at once, those of the upstreams too, and come back after some time.
func (w *World) PowerOff(d time.Duration) {
	for _, b := range w.balancers {
		b.up, b.troubled = false, w.Clock.Now()
	}
	for _, a := range w.agents {
		a.up, a.troubled = false, w.Clock.Now()
		if a.upstream != nil {
			a.upstream.ended = true
		}
	}
	w.After(d, func() {
		for _, b := range slices.Clone(w.balancers) {
			b.troubled = w.Clock.Now()
			b.begin()
		}
		for _, a := range w.agents {
			a.troubled = w.Clock.Now()
			a.begin(false)
			a.upstream = w.newUpstream(a)
		}
	})
}

// SetLoss sets the share of datagrams that are lost.
func (w *World) SetLoss(share float64) { w.loss = share }
