package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Fault is what goes wrong in a cell about flows.
type Fault uint8

// The faults.
const (
	// NoFault leaves a planned change alone with views that differ for a moment.
	NoFault Fault = iota
	// BalancerDies ends a balancer with what it has in hand.
	BalancerDies
	// BalancerJoins adds a balancer that has caught up with its peers.
	BalancerJoins
	// AgentDies ends an agent of each service.
	AgentDies
	// AgentPaused stops an agent of each service for less than its lease.
	AgentPaused
	// AgentPausedLong stops an agent of each service for longer than its lease.
	AgentPausedLong
	// ViewsUneven makes control reach nodes up to two seconds apart.
	ViewsUneven
	// PacketsLost loses a tenth of all packets.
	PacketsLost
	// PacketsDoubled sends a third of all packets twice.
	PacketsDoubled
	// PacketsReordered holds half of all packets up for a few milliseconds.
	PacketsReordered
	// PacketsLate holds a twentieth of all packets up for up to a second.
	PacketsLate
	// DomainGoesOut takes a failure domain out, and back after four seconds.
	DomainGoesOut
	// CopyWithdrawn removes a copy of each service from configuration.
	CopyWithdrawn
	// CopyDrains drains a copy of each service.
	CopyDrains
	// AddressReused ends an agent of each service and starts another service's there.
	AddressReused
	// KeysRotated moves nodes to a new key at different times.
	KeysRotated
	// LastFault counts the faults.
	LastFault
)

// flowFaultDuration is how long a fault of the wire lasts.
const flowFaultDuration = 4 * time.Second

// injectFault brings a fault about.
func (w *flowSimulation) injectFault(fault Fault) {
	w.tracef("fault %v", fault)
	switch fault {
	case BalancerDies:
		w.balancers[w.random.IntN(len(w.balancers))].up = false
	case BalancerJoins:
		w.startBalancer()
	case AgentDies:
		w.forRandomAgents(w.killAgent)
	case AgentPaused:
		w.forRandomAgents(func(a *flowAgent) { w.pauseAgent(a, leaseDuration-1500*time.Millisecond) })
	case AgentPausedLong:
		w.forRandomAgents(func(a *flowAgent) { w.pauseAgent(a, leaseDuration+time.Second) })
	case ViewsUneven:
		w.maxControlDelay = unevenControlDelay
	case DomainGoesOut:
		w.setDomainOut(domainCount, true)
		w.after(flowFaultDuration, func() { w.setDomainOut(domainCount, false) })
	case CopyWithdrawn:
		w.forRandomAgents(w.withdrawCopy)
	case CopyDrains:
		w.forRandomAgents(w.drainCopy)
	case AddressReused:
		w.reuseAddresses()
	case KeysRotated:
		w.eachNode(func(n *node) { w.after(w.randomDuration(0, unevenControlDelay), func() { n.rotateKey() }) })
	default:
		w.injectNetworkFault(fault)
	}
}

// injectNetworkFault brings about a fault of the wire.
func (w *flowSimulation) injectNetworkFault(fault Fault) {
	switch fault {
	case PacketsLost:
		w.lossShare = 0.1
	case PacketsDoubled:
		w.duplicateShare = 0.33
	case PacketsReordered:
		w.delayedShare, w.maxExtraDelay = max(w.delayedShare, 0.5), max(w.maxExtraDelay, 5*time.Millisecond)
	case PacketsLate:
		w.delayedShare, w.maxExtraDelay = max(w.delayedShare, 0.05), max(w.maxExtraDelay, time.Second)
	}
	w.after(flowFaultDuration, func() { w.lossShare, w.duplicateShare, w.delayedShare, w.maxExtraDelay = 0, 0, 0, 0 })
}

// forRandomAgents does something to a random agent of each main service that gets new work.
func (w *flowSimulation) forRandomAgents(do func(a *flowAgent)) {
	for _, service := range []lentilid.Service{quicService, datagramService} {
		var candidates []*flowAgent
		for _, a := range w.agents {
			if a.service == service && !a.dead && !a.paused && a.leavingSince == 0 {
				candidates = append(candidates, a)
			}
		}
		if len(candidates) > 1 {
			do(candidates[w.random.IntN(len(candidates))])
		}
	}
}

// drainCopy tells a copy to leave.
func (w *flowSimulation) drainCopy(a *flowAgent) {
	a.leavingSince = w.now()
	w.changeConfiguration(func(d *lentilconfig.Document) {
		for i := range d.Copies {
			d.Copies[i].Draining = d.Copies[i].Draining || d.Copies[i].Name == a.owner.Copy
		}
	})
}

// withdrawCopy removes a copy. Its agent ends when no flow is left.
func (w *flowSimulation) withdrawCopy(a *flowAgent) {
	a.leavingSince = max(a.leavingSince, w.now())
	w.changeConfiguration(func(d *lentilconfig.Document) {
		kept := []lentilconfig.CopyDoc{}
		for _, doc := range d.Copies {
			if doc.Name != a.owner.Copy {
				kept = append(kept, doc)
			}
		}
		d.Copies = kept
	})
	w.after(unevenControlDelay, func() { w.stopWhenEmpty(a) })
}

// stopWhenEmpty ends the process of an agent once no flow is left.
func (w *flowSimulation) stopWhenEmpty(a *flowAgent) {
	for f := range a.connections {
		if f.ended || f.broken {
			delete(a.connections, f)
		}
	}
	if len(a.connections) == 0 && !a.paused {
		a.phase = lentilrecord.Gone
		w.announce(a)
		w.killAgent(a)
		return
	}
	w.after(sendInterval, func() { w.stopWhenEmpty(a) })
}

// setDomainOut takes a failure domain out, or back in with its copies cold.
func (w *flowSimulation) setDomainOut(number int, out bool) {
	domain := lentilid.Domain(number)
	w.out[domain] = out
	if out {
		w.lastOutAt[domain] = w.now()
	}
	w.changeConfiguration(func(d *lentilconfig.Document) { d.Domains[number-1].Out = out })
}

// reuseAddresses ends an agent of each service and starts one of another service
// at its address.
func (w *flowSimulation) reuseAddresses() {
	w.forRandomAgents(func(a *flowAgent) {
		w.killAgent(a)
		name := "strange-" + a.owner.Copy
		w.changeConfiguration(func(d *lentilconfig.Document) {
			d.Copies = append(d.Copies, lentilconfig.CopyDoc{Name: name, Service: "strange", Domain: "domain1"})
		})
		address := a.place.Agent()
		w.after(sendInterval, func() { w.startAgent(name, otherService, 1, address, fullWeight) })
		w.after(time.Second, func() { w.openFlow(otherService, flowFaultDuration) })
	})
}

// rotateKey moves a node to a new key.
func (n *node) rotateKey() {
	n.view.Sealer = newSealer(2, 1)
}
