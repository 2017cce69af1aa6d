package lentilplacement

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// A balancer that has just started, as after an outage of the whole site, gets first packets before it knows an agent
// for them. Clients send only two copies of a first packet, and most have sent one already, so the balancer holds the
// packets of the flows that it can offer within a moment.

// maxHeldPlacements bounds the first packets that are held: 150 KB. They arrive within some tenths of a second.
const maxHeldPlacements = 1024

// expectsAgents reports whether an agent for the flow may become known within a moment: the list of agents hasn't been
// read yet, or it names one that hasn't answered yet, or whose upstream hasn't registered since the agent started.
func (p *Placer) expectsAgents(now time.Time, key lentilflow.Key) bool {
	if !p.agentsComplete {
		return true
	}
	for _, b := range p.configuration.Backends(key.Service()) {
		for _, addr := range p.agentsOfService(b.Service) {
			if a := p.agents[addr]; !a.seen() && now.Sub(a.addedAt) < lentilflow.OpeningTimeout {
				return true
			}
		}
	}
	return p.awaitsUpstream(now, key)
}

// awaitsUpstream reports whether an agent for the flow has started so recently that its upstream may still be about to register.
func (p *Placer) awaitsUpstream(now time.Time, key lentilflow.Key) bool {
	for _, b := range p.configuration.Backends(key.Service()) {
		for _, addr := range p.agentsOfService(b.Service) {
			a := p.agents[addr]
			s := a.status
			if a.seen() && s.Phase == lentilflow.Unheard && !s.Stopping && !s.Out && now.Sub(a.runSeenAt) < lentilflow.OpeningTimeout {
				return true
			}
		}
	}
	return false
}

// holdPlacement holds the first packet of a flow until an agent for it may be known.
func (p *Placer) holdPlacement(key lentilflow.Key, f *flow, cause Cause, actions []Action) []Action {
	if p.heldPlacements == nil {
		p.heldPlacements = make(map[lentilflow.Key]*flow)
	}
	p.heldPlacements[key] = f
	return append(actions, Action{Kind: Hold, Cause: cause, Key: key})
}

// tickHeldPlacements offers the held flows if an agent for them may have become known, and ends those whose clients
// have given up.
func (p *Placer) tickHeldPlacements(now time.Time, actions []Action) []Action {
	for key, f := range p.heldPlacements {
		if p.flows.Get(now, key) != f {
			delete(p.heldPlacements, key)
			continue
		}
		if to, ok := p.relayFor(now, key); ok && now.Sub(f.since) <= lentilflow.OpeningPatience {
			delete(p.heldPlacements, key)
			p.flows.Delete(key)
			actions = append(actions, Action{Kind: SendRelay, Cause: NoConfiguration, To: to, Key: key, Carry: lentilflow.Carry{Packet: f.firstPacket}})
			continue
		}
		if p.heldPlacementsDue || now.Sub(f.since) > lentilflow.OpeningPatience {
			actions = p.place(now, key, f, Chosen, actions)
		}
	}
	p.heldPlacementsDue = false
	return actions
}
