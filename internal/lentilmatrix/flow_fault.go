package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Fault is a fault that a FlowRun injects.
type Fault uint8

// The faults.
const (
	// NoFault injects nothing: only the usual control delay makes the views of nodes differ for a
	// moment during a planned change.
	NoFault Fault = iota
	// BalancerDies kills a balancer. Packets on the way to it are lost.
	BalancerDies
	// BalancerJoins starts a balancer that has the configuration and records of its peers.
	BalancerJoins
	// AgentDies kills an agent of each service.
	AgentDies
	// AgentPaused suspends an agent of each service for less than its lease.
	AgentPaused
	// AgentPausedLong suspends an agent of each service for longer than its lease.
	AgentPausedLong
	// ViewsUneven delays configurations and records by up to two seconds, differently for each node.
	ViewsUneven
	// PacketsLost loses a tenth of all packets.
	PacketsLost
	// PacketsDoubled sends a third of all packets twice.
	PacketsDoubled
	// PacketsReordered delays half of all packets by up to 5 milliseconds.
	PacketsReordered
	// PacketsLate delays a twentieth of all packets by up to a second.
	PacketsLate
	// DomainGoesOut takes a failure domain out of service, and puts it back after four seconds.
	DomainGoesOut
	// CopyWithdrawn removes a copy of each service from the configuration.
	CopyWithdrawn
	// CopyDrains drains a copy of each service.
	CopyDrains
	// AddressReused kills an agent of each service and starts an agent of otherService at its
	// address.
	AddressReused
	// KeysRotated makes nodes seal with a new key, each from a different time.
	KeysRotated
	// LastFault is the number of faults.
	LastFault
)

// flowFaultDuration is how long a network fault or DomainGoesOut lasts.
const flowFaultDuration = 4 * time.Second

// injectFault injects a fault now.
func (s *flowSimulation) injectFault(fault Fault) {
	s.tracef("fault %v", fault)
	switch fault {
	case BalancerDies:
		s.balancers[s.random.IntN(len(s.balancers))].up = false
	case BalancerJoins:
		s.startBalancer()
	case AgentDies:
		s.forRandomAgents(s.killAgent)
	case AgentPaused:
		s.forRandomAgents(func(a *flowAgent) { s.pauseAgent(a, leaseDuration-1500*time.Millisecond) })
	case AgentPausedLong:
		s.forRandomAgents(func(a *flowAgent) { s.pauseAgent(a, leaseDuration+time.Second) })
	case ViewsUneven:
		s.maxControlDelay = unevenControlDelay
	case DomainGoesOut:
		s.setDomainOut(domainCount, true)
		s.after(flowFaultDuration, func() { s.setDomainOut(domainCount, false) })
	case CopyWithdrawn:
		s.forRandomAgents(s.withdrawCopy)
	case CopyDrains:
		s.forRandomAgents(s.drainCopy)
	case AddressReused:
		s.reuseAddresses()
	case KeysRotated:
		s.eachNode(func(n *node) { s.after(s.randomDuration(0, unevenControlDelay), func() { n.rotateKey() }) })
	default:
		s.injectNetworkFault(fault)
	}
}

// injectNetworkFault makes the network lose, duplicate or delay packets for flowFaultDuration.
func (s *flowSimulation) injectNetworkFault(fault Fault) {
	switch fault {
	case PacketsLost:
		s.lossShare = 0.1
	case PacketsDoubled:
		s.duplicateShare = 0.33
	case PacketsReordered:
		s.delayedShare, s.maxExtraDelay = max(s.delayedShare, 0.5), max(s.maxExtraDelay, 5*time.Millisecond)
	case PacketsLate:
		s.delayedShare, s.maxExtraDelay = max(s.delayedShare, 0.05), max(s.maxExtraDelay, time.Second)
	}
	s.after(flowFaultDuration, func() { s.lossShare, s.duplicateShare, s.delayedShare, s.maxExtraDelay = 0, 0, 0, 0 })
}

// forRandomAgents calls inject with a random agent of the QUIC and of the datagram service. It chooses
// among agents that take new flows. It skips a service with only one of them, so that each service
// keeps an agent for new flows.
func (s *flowSimulation) forRandomAgents(inject func(a *flowAgent)) {
	for _, service := range []lentilid.Service{quicService, datagramService} {
		var candidates []*flowAgent
		for _, a := range s.agents {
			if a.service == service && !a.dead && !a.paused && a.leavingSince == 0 {
				candidates = append(candidates, a)
			}
		}
		if len(candidates) > 1 {
			inject(candidates[s.random.IntN(len(candidates))])
		}
	}
}

// drainCopy marks the copy of an agent as draining in the configuration.
func (s *flowSimulation) drainCopy(a *flowAgent) {
	a.leavingSince = s.now()
	s.changeConfiguration(func(d *lentilconfig.Document) {
		for i := range d.Copies {
			d.Copies[i].Draining = d.Copies[i].Draining || d.Copies[i].Name == a.owner.Copy
		}
	})
}

// withdrawCopy removes the copy of an agent from the configuration. The agent ends when no flow is
// left, but not before unevenControlDelay, by which every node has applied the configuration.
func (s *flowSimulation) withdrawCopy(a *flowAgent) {
	a.leavingSince = max(a.leavingSince, s.now())
	s.changeConfiguration(func(d *lentilconfig.Document) {
		kept := []lentilconfig.CopyDoc{}
		for _, doc := range d.Copies {
			if doc.Name != a.owner.Copy {
				kept = append(kept, doc)
			}
		}
		d.Copies = kept
	})
	s.after(unevenControlDelay, func() { s.stopWhenEmpty(a) })
}

// stopWhenEmpty announces that an agent is gone and ends its process, once no flow is left.
func (s *flowSimulation) stopWhenEmpty(a *flowAgent) {
	for f := range a.connections {
		if f.ended || f.broken {
			delete(a.connections, f)
		}
	}
	if len(a.connections) == 0 && !a.paused {
		a.phase = lentilrecord.Gone
		s.announce(a)
		s.killAgent(a)
		return
	}
	s.after(sendInterval, func() { s.stopWhenEmpty(a) })
}

// setDomainOut takes a failure domain out of service, or puts it back.
func (s *flowSimulation) setDomainOut(number int, out bool) {
	domain := lentilid.Domain(number)
	s.out[domain] = out
	if out {
		s.lastOutAt[domain] = s.now()
	}
	s.changeConfiguration(func(d *lentilconfig.Document) { d.Domains[number-1].Out = out })
}

// reuseAddresses kills an agent of each service and starts an agent of otherService at its
// address.
func (s *flowSimulation) reuseAddresses() {
	s.forRandomAgents(func(a *flowAgent) {
		s.killAgent(a)
		name := "strange-" + a.owner.Copy
		s.changeConfiguration(func(d *lentilconfig.Document) {
			d.Copies = append(d.Copies, lentilconfig.CopyDoc{Name: name, Service: "strange", Domain: "domain1"})
		})
		address := a.place.Agent()
		s.after(sendInterval, func() { s.startAgent(name, otherService, 1, address, fullWeight) })
		s.after(time.Second, func() { s.openFlow(otherService, flowFaultDuration) })
	})
}

// rotateKey makes a node seal with a new key. The previous key still opens connection IDs.
func (n *node) rotateKey() {
	n.view.Sealer = newSealer(2, 1)
}
