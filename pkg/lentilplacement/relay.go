package lentilplacement

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// A balancer that starts while it can't reach the store has no configuration, but the routers may send it packets all
// the same: if no balancer of its failure domain is ready, they use all of them. Agents that find it in the list of
// balancers tell it of others that have a configuration, and it relays the packets to these.

const (
	// relayTimeout is how long a balancer that an agent has named is used.
	relayTimeout = 3 * time.Second
	// maxRelays bounds the balancers that are used, which spread the load.
	maxRelays = 16
)

// recordRelay records that an agent has named a balancer that has a configuration.
func (p *Placer) recordRelay(balancer lentilflow.Endpoint) {
	if balancer == (lentilflow.Endpoint{}) || p.configuration.Version() != 0 {
		return
	}
	now := p.now()
	for addr, namedAt := range p.relays {
		if now.Sub(namedAt) > relayTimeout {
			delete(p.relays, addr)
		}
	}
	if _, known := p.relays[balancer]; !known && len(p.relays) >= maxRelays {
		return
	}
	if p.relays == nil {
		p.relays = make(map[lentilflow.Endpoint]time.Time)
	}
	p.relays[balancer] = now
	p.heldPlacementsDue = true
}

// relayFor returns the balancer to which the packets of a flow are relayed. ok is false if the balancer has a
// configuration itself, or knows no other one that has. Rendezvous hashing sends the packets of a flow to the same one
// while the known balancers stay the same.
func (p *Placer) relayFor(now time.Time, key lentilflow.Key) (to lentilflow.Endpoint, ok bool) {
	if p.configuration.Version() != 0 {
		return to, false
	}
	var best uint64
	for addr, namedAt := range p.relays {
		if now.Sub(namedAt) > relayTimeout {
			continue
		}
		if hash := lentilflow.NewKey(key.Client(), addr).Hash(); !ok || hash > best {
			to, ok, best = addr, true, hash
		}
	}
	return to, ok
}
