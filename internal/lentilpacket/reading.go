package lentilpacket

import (
	"context"
	"maps"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilframe"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
)

// prepareReaders sets up what is read from the store.
func (b *Balancer) prepareReaders() {
	take := func(changes []lentilfollow.Change[lentilflow.Configuration]) {
		for _, c := range changes {
			if !c.Removed {
				b.configure(c.Value)
			}
		}
	}
	b.configurations = lentilfollow.Reader[lentilflow.Configuration]{Source: b.Store.Configuration,
		Sink: withStoreLogging(b.Logger, "configuration", lentilfollow.Sink[lentilflow.Configuration]{Replace: take, Apply: take})}
	b.domains = lentilfollow.Reader[struct{}]{Source: b.Store.DomainsOut, Sink: domainSink(b.Logger, func(out map[string]bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.placer.SetOut(out)
	})}
}

func (b *Balancer) configure(configuration lentilflow.Configuration) {
	b.mu.Lock()
	changed := b.placer.Configure(configuration)
	b.mu.Unlock()
	if changed {
		b.Logger.Write(lentilevent.ConfigurationInForce, lentilevent.Uint("version", configuration.Version()),
			lentilevent.Int("routes", configuration.RouteCount()))
	}
}

// pollStore reads the store from time to time, as the share decides, and tells the agents what it found.
func (b *Balancer) pollStore(ctx context.Context) {
	for {
		b.mu.Lock()
		due := b.pollSchedule.UntilDue()
		b.mu.Unlock()
		if due > 0 {
			select {
			case <-time.After(due):
			case <-ctx.Done():
				return
			}
			continue
		}
		// What is found is told even if only one of the two has answered.
		first, second := b.configurations.Poll(ctx), b.domains.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		b.mu.Lock()
		b.pollSchedule.RecordAttempt(first && second)
		b.mu.Unlock()
		if first || second {
			b.sendHelloToAll()
			b.removeGoneAgents(ctx)
		}
	}
}

// removeGoneAgents removes the entries of agents that have been gone for long.
func (b *Balancer) removeGoneAgents(ctx context.Context) {
	b.mu.Lock()
	names := b.placer.ExpireAgents()
	b.mu.Unlock()
	for _, name := range names {
		b.Logger.Write(lentilevent.PeerForgotten, lentilevent.Str("peer", name))
		if err := b.Store.Agents.Withdraw(ctx, name); err != nil {
			b.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", "withdraw"), lentilevent.Err(err))
		}
	}
}

// sendHelloToAll tells all agents what this balancer knows.
func (b *Balancer) sendHelloToAll() {
	knowledge := b.storeState()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentStoreState = knowledge
	for _, end := range b.placer.AgentAddresses() {
		b.send(lentilframe.AppendHello(b.frameBuffer[:0], b.hello(knowledge)), end)
	}
}

// storeState returns what this balancer knows of the store. It takes locks that are held while
// b.mu is taken, so it must not be called with b.mu held.
func (b *Balancer) storeState() lentilflow.StoreState {
	k := lentilflow.StoreState{ConfigurationRevision: b.configurations.LastChangeRevision(), DomainsRevision: b.domains.LastChangeRevision()}
	b.mu.Lock()
	defer b.mu.Unlock()
	k.CheckedAgo = b.pollSchedule.CheckedAgo()
	return k
}

// updateFromStatus takes what an agent knows of the store.
func (b *Balancer) updateFromStatus(m lentilflow.Status) {
	b.configurations.ObservePeerRevision(m.Store.ConfigurationRevision)
	b.domains.ObservePeerRevision(m.Store.DomainsRevision)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pollSchedule.ProcessCount = int(m.BalancerCount)
	b.pollSchedule.RecordCheck(m.Store.CheckedAgo)
}

// domainSink returns the sink that keeps the set of failure domains that are out.
func domainSink(logger lentilevent.Logger, apply func(out map[string]bool)) lentilfollow.Sink[struct{}] {
	out := make(map[string]bool)
	replace := func(next map[string]bool) {
		for domain := range next {
			if !out[domain] {
				logger.Write(lentilevent.DomainOut, lentilevent.Str("domain", domain))
			}
		}
		for domain := range out {
			if !next[domain] {
				logger.Write(lentilevent.DomainBack, lentilevent.Str("domain", domain))
			}
		}
		out = next
		apply(out)
	}
	change := func(next map[string]bool, changes []lentilfollow.Change[struct{}]) {
		for _, c := range changes {
			if c.Removed {
				delete(next, c.Name)
			} else {
				next[c.Name] = true
			}
		}
		replace(next)
	}
	return withStoreLogging(logger, "domains", lentilfollow.Sink[struct{}]{
		Replace: func(all []lentilfollow.Change[struct{}]) { change(make(map[string]bool), all) },
		Apply:   func(changes []lentilfollow.Change[struct{}]) { change(maps.Clone(out), changes) },
	})
}
