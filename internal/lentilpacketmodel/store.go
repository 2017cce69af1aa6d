package lentilpacketmodel

import (
	"maps"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// storeCopy is what the store held at a time.
type storeCopy struct {
	at      time.Time
	ledgers map[string]savedLedger
	out     map[string]bool
}

const (
	// copyRetention is how long copies of the store are kept.
	copyRetention = 10 * time.Second
	// learnDelay is the longest time that a balancer takes to learn of a new era.
	learnDelay = time.Second
)

// keepCopy keeps a copy of the store before a change.
func (s *Simulation) keepCopy() {
	taken := storeCopy{at: s.Clock.Now(), ledgers: maps.Clone(s.ledgers), out: s.domainsInStore()}
	s.storeCopies = append(s.storeCopies, taken)
	for len(s.storeCopies) > 1 && s.Clock.Now().Sub(s.storeCopies[1].at) > copyRetention {
		s.storeCopies = s.storeCopies[1:]
	}
}

// domainsInStore returns the failure domains that are out of service according to the store.
func (s *Simulation) domainsInStore() map[string]bool {
	if s.returnedOut != nil {
		return maps.Clone(s.returnedOut)
	}
	return s.domainsOut()
}

// saveLedger stores an agent's ledger.
func (s *Simulation) saveLedger(name string, saved savedLedger) {
	s.keepCopy()
	s.ledgers[name] = saved
}

// ReturnStore lets the store return from a copy of some time ago. The operators write the failure domains that are out
// of service again after rewriteDelay.
func (s *Simulation) ReturnStore(copyAge, rewriteDelay time.Duration) {
	now := s.Clock.Now()
	returned := storeCopy{ledgers: make(map[string]savedLedger), out: make(map[string]bool)}
	for _, c := range s.storeCopies {
		if now.Sub(c.at) >= copyAge {
			returned = c
		}
	}
	s.era, s.eraSince, s.storeCopies = s.era+1, now, nil
	s.ledgers, s.returnedOut = maps.Clone(returned.ledgers), maps.Clone(returned.out)
	s.domainsRevision /= 2
	for _, b := range s.balancers {
		learn := time.Duration(s.Random.Float64() * float64(learnDelay))
		for _, delay := range []time.Duration{learn, learn + lentilera.SettleTime + tickInterval} {
			b.schedule(delay, func() {
				b.readDomains()
				b.sendHellos()
			})
		}
	}
	era := s.era
	s.After(rewriteDelay, func() {
		if s.era == era {
			s.returnedOut = nil
			s.notifyDomains()
		}
	})
}

// readDomains reads the failure domains that are out of service from the store.
func (b *balancer) readDomains() {
	out, _ := b.survivors.Replace(b.sim.era, b.sim.domainsInStore())
	b.placer.SetOut(out)
	b.domainsAsOf = lentilera.Position{Era: b.sim.era, Revision: b.sim.domainsRevision + 1}
}

// storeState returns the state of the store as the balancer has read it.
func (b *balancer) storeState() (state lentilflow.StoreState) {
	state.Era = b.domainsAsOf.Era
	if state.Era == b.sim.era {
		state.EraAge = b.sim.Clock.Now().Sub(b.sim.eraSince)
	}
	return state
}

func (b *balancer) sendHellos() {
	for _, addr := range b.placer.AgentAddresses() {
		b.sendHello(addr)
	}
}

// handleHello handles a balancer's Hello. The agent writes its ledger again when it learns of a new era.
func (a *agent) handleHello(from lentilflow.Endpoint, m lentilflow.Hello) {
	if a.era.Observe(m.Store.Era, m.Store.EraAge) {
		a.tracker.RenewLedger()
	}
	a.perform(a.tracker.HandleHello(from, m, nil))
}
