package lentilpacketmodel

import (
	"slices"
	"time"
)

// The methods below inject faults and planned changes. They identify the balancer, agent, process or failure
// domain by a number, taken modulo how many exist.

// KillBalancer kills a balancer's process, which restarts after restartDelay without its previous state.
func (s *Simulation) KillBalancer(number int) {
	s.killBalancer(s.balancers[number%len(s.balancers)], restartDelay)
}

// KillBalancerFor kills a balancer's process, which restarts after the given time without its previous state.
func (s *Simulation) KillBalancerFor(number int, down time.Duration) {
	s.killBalancer(s.balancers[number%len(s.balancers)], down)
}

func (s *Simulation) killBalancer(b *balancer, down time.Duration) {
	b.up, b.lastFaultAt = false, s.Clock.Now()
	s.After(down, func() {
		b.lastFaultAt = s.Clock.Now()
		b.start()
	})
}

// KillAgent kills an agent's process, which restarts after restartDelay. Its upstream keeps running.
func (s *Simulation) KillAgent(number int) { s.killAgent(s.agents[number%len(s.agents)]) }

func (s *Simulation) killAgent(a *agent) {
	a.up, a.lastFaultAt = false, s.Clock.Now()
	s.After(restartDelay, func() {
		a.lastFaultAt = s.Clock.Now()
		a.start(false)
	})
}

// StopBalancer asks a balancer to stop. It forwards packets for a grace period, ends, and starts again later.
func (s *Simulation) StopBalancer(number int) {
	b := s.balancers[number%len(s.balancers)]
	const grace, downtime = 4 * time.Second, 500 * time.Millisecond
	b.stopping = true
	b.schedule(grace, func() {
		b.up, b.plannedStop = false, true
		s.After(downtime, func() {
			b.plannedStop = false
			b.start()
		})
	})
}

// StopAgent asks an agent to stop while its upstream keeps running, as for an upgrade of its VM. The agent starts
// again later.
func (s *Simulation) StopAgent(number int) {
	a := s.agents[number%len(s.agents)]
	const handover, downtime = 100 * time.Millisecond, 5500 * time.Millisecond
	a.perform(a.tracker.Stop(nil))
	a.schedule(storeDelay/10, func() { a.stopping = true })
	a.schedule(handover, func() {
		a.up, a.plannedStop = false, true
		s.After(downtime, func() {
			a.plannedStop = false
			a.start(false)
		})
	})
}

// AddBalancer adds a balancer to a failure domain.
func (s *Simulation) AddBalancer(domain int) { s.addBalancer(domain % s.Setup.Domains) }

// Freeze suspends a process for some time. Its events are delivered afterwards. Numbers count the balancers first
// and then the agents.
func (s *Simulation) Freeze(number int, duration time.Duration) {
	p := s.processByNumber(number)
	p.frozen, p.lastFaultAt = true, s.Clock.Now()
	s.After(duration, func() {
		p.frozen, p.lastFaultAt = false, s.Clock.Now()
		events := p.deferredEvents
		p.deferredEvents = nil
		for _, deliver := range events {
			deliver()
		}
	})
}

// Isolate cuts a process off from all others for some time, and drops its packets to clients. Numbers are those
// of Freeze.
func (s *Simulation) Isolate(number int, duration time.Duration) {
	p := s.processByNumber(number)
	p.isolated, p.lastFaultAt = true, s.Clock.Now()
	s.After(duration, func() { p.isolated, p.lastFaultAt = false, s.Clock.Now() })
}

// PartitionDomains cuts the connection between two failure domains for some time. Clients still reach both.
func (s *Simulation) PartitionDomains(a, b int, duration time.Duration) {
	domains := domainPair(a%s.Setup.Domains, b%s.Setup.Domains)
	if domains[0] == domains[1] {
		return
	}
	s.partitions[domains] = true
	s.After(duration, func() { delete(s.partitions, domains) })
}

// processByNumber returns a balancer's or an agent's process. Numbers count the balancers first.
func (s *Simulation) processByNumber(number int) *process {
	number %= len(s.balancers) + len(s.agents)
	if number < len(s.balancers) {
		return s.balancers[number].process
	}
	return s.agents[number-len(s.balancers)].process
}

// Crash ends an upstream without notice. A new run of it starts after restartAfter, or never if that is zero. An
// unresponsive upstream does not answer at all, where another one would refuse packets and connections.
func (s *Simulation) Crash(number int, unresponsive bool, restartAfter time.Duration) {
	a := s.agents[number%len(s.agents)]
	u := a.upstream
	if u == nil || !u.alive() {
		return
	}
	u.unresponsive, u.ended = unresponsive, true
	if restartAfter > 0 {
		s.After(restartAfter, func() { a.upstream = s.newUpstream(a) })
	}
}

// Drain makes an upstream register as draining. Later, it deregisters and ends.
func (s *Simulation) Drain(number int) {
	u := s.agents[number%len(s.agents)].upstream
	if u == nil || !u.alive() {
		return
	}
	u.draining = true
	const timeToLeave = 6 * time.Second
	s.After(timeToLeave, func() {
		if !u.alive() {
			return
		}
		if u.agent.up && !u.agent.frozen {
			u.agent.perform(u.agent.tracker.Deregister(u.id, nil))
		}
		u.ended = true
	})
}

// TakeDomainOut takes a failure domain out of service for some time. Processes learn about both changes from the
// store, after storeDelay.
func (s *Simulation) TakeDomainOut(domain int, duration time.Duration) {
	domain %= s.Setup.Domains
	s.keepCopy()
	s.outSince[domain] = s.Clock.Now()
	s.After(storeDelay, s.notifyDomains)
	s.After(duration, func() {
		s.keepCopy()
		delete(s.outSince, domain)
		s.After(storeDelay, s.notifyDomains)
	})
}

// notifyDomains sends all balancers the failure domains that are out of service. One of them tells the agents at
// once.
func (s *Simulation) notifyDomains() {
	s.domainsRevision++
	informed := false
	for _, b := range s.balancers {
		b.deliver(b.runNumber, func() {
			b.readDomains()
			if !informed {
				informed = true
				b.sendHellos()
			}
		})
	}
}

// Fail makes an upstream reset every flow on which a request arrives, for some time.
func (s *Simulation) Fail(number int, duration time.Duration) {
	u := s.agents[number%len(s.agents)].upstream
	u.failing = true
	s.After(duration, func() { u.failing = false })
}

// KillAll kills all balancers and agents at once. Upstreams keep running.
func (s *Simulation) KillAll() {
	for _, b := range s.balancers {
		s.killBalancer(b, restartDelay)
	}
	for _, a := range s.agents {
		s.killAgent(a)
	}
}

// PowerOff cuts the power of all machines at once, including those of the upstreams, and restores it after some
// time.
func (s *Simulation) PowerOff(duration time.Duration) {
	for _, b := range s.balancers {
		b.up, b.lastFaultAt = false, s.Clock.Now()
	}
	for _, a := range s.agents {
		a.up, a.powerless, a.lastFaultAt = false, true, s.Clock.Now()
		if a.upstream != nil {
			a.upstream.ended = true
		}
	}
	s.After(duration, func() {
		for _, b := range slices.Clone(s.balancers) {
			b.lastFaultAt = s.Clock.Now()
			b.start()
		}
		for _, a := range s.agents {
			a.powerless, a.lastFaultAt = false, s.Clock.Now()
			a.start(false)
			a.upstream = s.newUpstream(a)
		}
	})
}

// SetLoss sets the share of datagrams between processes that the network loses.
func (s *Simulation) SetLoss(share float64) { s.loss = share }
