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

// faultTime is how long a fault of the wire lasts.
const faultTime = 4 * time.Second

// strike brings a fault about.
func (w *flowWorld) strike(fault Fault) {
	w.tracef("fault %v", fault)
	switch fault {
	case BalancerDies:
		w.balancers[w.random.IntN(len(w.balancers))].up = false
	case BalancerJoins:
		w.startBalancer()
	case AgentDies:
		w.eachVictim(w.kill)
	case AgentPaused:
		w.eachVictim(func(a *flowAgent) { w.pause(a, lease-1500*time.Millisecond) })
	case AgentPausedLong:
		w.eachVictim(func(a *flowAgent) { w.pause(a, lease+time.Second) })
	case ViewsUneven:
		w.skew = skewUneven
	case DomainGoesOut:
		w.turnDomain(domainCount, true)
		w.after(faultTime, func() { w.turnDomain(domainCount, false) })
	case CopyWithdrawn:
		w.eachVictim(w.withdraw)
	case CopyDrains:
		w.eachVictim(w.drain)
	case AddressReused:
		w.reuseAddresses()
	case KeysRotated:
		w.eachNode(func(n *node) { w.after(w.between(0, skewUneven), func() { n.rotate() }) })
	default:
		w.disturb(fault)
	}
}

// disturb brings about a fault of the wire.
func (w *flowWorld) disturb(fault Fault) {
	switch fault {
	case PacketsLost:
		w.loss = 0.1
	case PacketsDoubled:
		w.double = 0.33
	case PacketsReordered:
		w.late, w.lateness = max(w.late, 0.5), max(w.lateness, 5*time.Millisecond)
	case PacketsLate:
		w.late, w.lateness = max(w.late, 0.05), max(w.lateness, time.Second)
	}
	w.after(faultTime, func() { w.loss, w.double, w.late, w.lateness = 0, 0, 0, 0 })
}

// eachVictim does something to a random agent of each main service that gets new work.
func (w *flowWorld) eachVictim(do func(a *flowAgent)) {
	for _, service := range []lentilid.Service{quicService, datagramService} {
		var candidates []*flowAgent
		for _, a := range w.agents {
			if a.service == service && !a.dead && !a.paused && a.leavesAt == 0 {
				candidates = append(candidates, a)
			}
		}
		if len(candidates) > 1 {
			do(candidates[w.random.IntN(len(candidates))])
		}
	}
}

// drain tells a copy to leave.
func (w *flowWorld) drain(a *flowAgent) {
	a.leavesAt = w.now()
	w.change(func(d *lentilconfig.Document) {
		for i := range d.Copies {
			d.Copies[i].Draining = d.Copies[i].Draining || d.Copies[i].Name == a.owner.Copy
		}
	})
}

// withdraw removes a copy. Its agent ends when no flow is left.
func (w *flowWorld) withdraw(a *flowAgent) {
	a.leavesAt = max(a.leavesAt, w.now())
	w.change(func(d *lentilconfig.Document) {
		kept := []lentilconfig.CopyDoc{}
		for _, doc := range d.Copies {
			if doc.Name != a.owner.Copy {
				kept = append(kept, doc)
			}
		}
		d.Copies = kept
	})
	w.after(skewUneven, func() { w.endWhenEmpty(a) })
}

// endWhenEmpty ends the process of an agent once no flow is left.
func (w *flowWorld) endWhenEmpty(a *flowAgent) {
	for f := range a.flows {
		if f.ended || f.broken {
			delete(a.flows, f)
		}
	}
	if len(a.flows) == 0 && !a.paused {
		a.phase = lentilrecord.Gone
		w.announce(a)
		w.kill(a)
		return
	}
	w.after(sendEvery, func() { w.endWhenEmpty(a) })
}

// turnDomain takes a failure domain out, or back in with its copies cold.
func (w *flowWorld) turnDomain(number int, out bool) {
	domain := lentilid.Domain(number)
	w.out[domain] = out
	if out {
		w.lastOut[domain] = w.now()
	}
	w.change(func(d *lentilconfig.Document) { d.Domains[number-1].Out = out })
}

// reuseAddresses ends an agent of each service and starts one of another service
// at its address.
func (w *flowWorld) reuseAddresses() {
	w.eachVictim(func(a *flowAgent) {
		w.kill(a)
		name := "strange-" + a.owner.Copy
		w.change(func(d *lentilconfig.Document) {
			d.Copies = append(d.Copies, lentilconfig.CopyDoc{Name: name, Service: "strange", Domain: "domain1"})
		})
		address := a.place.Agent()
		w.after(sendEvery, func() { w.startAgent(name, strangeService, 1, address, fullWeight) })
		w.after(time.Second, func() { w.openFlow(strangeService, faultTime) })
	})
}

// rotate moves a node to a new key.
func (n *node) rotate() {
	n.view.Sealer = newSealer(2, 1)
}
