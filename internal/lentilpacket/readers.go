package lentilpacket

import (
	"context"
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilframe"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
)

// prepareReaders sets up the readers of the configuration and of the failure domains that are out of service.
func (b *Balancer) prepareReaders() {
	apply := func(changes []lentilfollow.Change[lentilflow.Configuration]) {
		for _, c := range changes {
			if !c.Removed {
				b.configure(c.Value)
			}
		}
	}
	b.configurations = lentilfollow.Reader[lentilflow.Configuration]{Source: b.Store.Configuration,
		Sink: withStoreLogging(b.Logger, "configuration", lentilfollow.Sink[lentilflow.Configuration]{Replace: apply, Apply: apply})}
	// The reader holds its lock when it calls the sink, and its follower already has the position of the new state.
	position := func() lentilera.Position { return b.domains.Follower.Position() }
	b.domains = lentilfollow.Reader[struct{}]{Source: b.Store.DomainsOut, Sink: domainSink(b.Logger, position, func(out map[string]bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.placer.SetOut(out)
		b.domainsAsOf = position()
	})}
	b.configurations.Source.List = noteFirstList(b, &b.configurationListedAt, b.configurations.Source.List)
	b.domains.Source.List = noteFirstList(b, &b.domainsListedAt, b.domains.Source.List)
	b.configurations.DeferWatch, b.domains.DeferWatch = b.deferWatch, b.deferWatch
	b.configurations.Watched, b.domains.Watched = b.sendHelloToAll, b.sendHelloToAll
}

// noteFirstList returns list, which records when the balancer has first listed a kind. Once it has listed both kinds, that
// counts as a poll of the store, so that balancers which start together don't all poll again a second later.
func noteFirstList[T any](b *Balancer, listedAt *time.Time, list func(context.Context) ([]lentilfollow.Change[T], lentilera.Position, error)) func(context.Context) ([]lentilfollow.Change[T], lentilera.Position, error) {
	return func(ctx context.Context) (all []lentilfollow.Change[T], position lentilera.Position, err error) {
		startedAt := time.Now()
		all, position, err = list(ctx)
		b.mu.Lock()
		defer b.mu.Unlock()
		if err != nil || !listedAt.IsZero() {
			return all, position, err
		}
		*listedAt = startedAt
		if earlier := b.configurationListedAt; !earlier.IsZero() && !b.domainsListedAt.IsZero() {
			if b.domainsListedAt.Before(earlier) {
				earlier = b.domainsListedAt
			}
			b.pollSchedule.RecordCheck(time.Since(earlier))
		}
		return all, position, err
	}
}

const (
	// watcherCount is the mean number of balancers that watch the store. The others learn of changes through the
	// agents. More than one keeps changes fast while a watcher is cut off from the store; polls find what all
	// of them miss.
	watcherCount = 4
	// watchTerm is the time after which a balancer that doesn't watch decides again. It is about as long as a
	// watch waits, so that the number of watchers stays the same.
	watchTerm = 28 * time.Second
	// countDelay is how long a balancer that has just started waits until agents have told it how many
	// balancers there are.
	countDelay = 2 * time.Second
)

// deferWatch decides whether this balancer watches the store. It returns zero if it does, or the time until the
// next decision.
func (b *Balancer) deferWatch() (wait time.Duration) {
	b.mu.Lock()
	balancers := b.pollSchedule.ProcessCount()
	b.mu.Unlock()
	switch {
	case balancers == 0:
		return countDelay
	case rand.Float64()*float64(balancers) < watcherCount:
		return 0
	}
	return watchTerm
}

// configure puts a configuration in force.
func (b *Balancer) configure(configuration lentilflow.Configuration) {
	b.mu.Lock()
	changed := b.placer.Configure(configuration)
	b.mu.Unlock()
	if changed {
		b.Logger.Write(lentilevent.ConfigurationInForce, lentilevent.Uint("version", configuration.Version()),
			lentilevent.Int("routes", configuration.RouteCount()))
	}
}

// pollStore reads the store whenever the poll schedule says that it is due, and sends the agents the result.
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
		// The result is sent even if only one of the two reads succeeded.
		configurationRead, domainsRead := b.configurations.Poll(ctx), b.domains.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		b.mu.Lock()
		b.pollSchedule.RecordAttempt(configurationRead && domainsRead)
		b.mu.Unlock()
		if configurationRead || domainsRead {
			b.sendHelloToAll()
			b.removeGoneAgents(ctx)
		}
	}
}

// removeGoneAgents withdraws the store entries of agents that have been gone for too long.
func (b *Balancer) removeGoneAgents(ctx context.Context) {
	b.mu.Lock()
	gone := b.placer.ExpireAgents()
	b.mu.Unlock()
	for _, p := range gone {
		b.Logger.Write(lentilevent.PeerForgotten, lentilevent.Str("peer", p.Node.Name))
		if err := b.Store.Agents.Withdraw(ctx, Peer{Node: p.Node, Service: p.Service, RunID: p.RunID}); err != nil {
			b.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", "withdraw"), lentilevent.Err(err))
		}
	}
}

// sendHelloToAll sends all agents the balancer's store state.
func (b *Balancer) sendHelloToAll() {
	state := b.storeState()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sentStoreState = state
	for _, agent := range b.placer.AgentAddresses() {
		b.send(lentilframe.AppendHello(b.frameBuffer[:0], b.hello(state, agent)), agent)
	}
}

// storeState returns the state of the store that this balancer has read and the age of the last read. It takes
// the readers' locks. These are held while b.mu is taken, so b.mu must not be held by the caller.
func (b *Balancer) storeState() (state lentilflow.StoreState) {
	configuration, domains := b.configurations.LastChange(), b.domains.LastChange()
	state.Era = max(configuration.Era, domains.Era)
	if configuration.Era == state.Era {
		state.ConfigurationRevision = configuration.Revision
	}
	if domains.Era == state.Era {
		state.DomainsRevision = domains.Revision
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	state.CheckedAgo = b.pollSchedule.CheckedAgo()
	if b.era.Era() == state.Era {
		state.EraAge = b.era.Age()
	}
	return state
}

// observeEra records an era of the store. After its return from an older copy, the balancer reads the store anew and
// writes its entry again. The caller holds neither b.mu nor the readers' locks.
func (b *Balancer) observeEra(era uint64, age time.Duration, source string) {
	b.mu.Lock()
	returned := observeEra(b.Logger, &b.era, era, age, source)
	if returned {
		b.ledgers.Renew()
	}
	balancers := b.pollSchedule.ProcessCount()
	b.mu.Unlock()
	if !returned {
		return
	}
	b.configurations.ObservePeer(lentilera.Position{Era: era})
	b.domains.ObservePeer(lentilera.Position{Era: era})
	b.renewEntry(era, balancers)
}

// updateFromStatus processes the store state and the number of balancers that an agent reports.
func (b *Balancer) updateFromStatus(status lentilflow.Status) {
	if status.Store.Era > 0 {
		b.observeEra(status.Store.Era, status.Store.EraAge, eraFromPeer)
	}
	b.configurations.ObservePeer(lentilera.Position{Era: status.Store.Era, Revision: status.Store.ConfigurationRevision})
	b.domains.ObservePeer(lentilera.Position{Era: status.Store.Era, Revision: status.Store.DomainsRevision})
	b.mu.Lock()
	defer b.mu.Unlock()
	if status.BalancerCount > 0 {
		b.pollSchedule.SetProcessCount(int(status.BalancerCount))
	}
	if status.Store.Era >= b.era.Era() {
		b.pollSchedule.RecordCheck(status.Store.CheckedAgo)
	}
}

// domainSink returns a sink that keeps the set of failure domains that are out of service. It logs each
// change and passes the new set to apply. position returns the position of the state that the sink gets.
func domainSink(logger lentilevent.Logger, position func() lentilera.Position, apply func(out map[string]bool)) lentilfollow.Sink[struct{}] {
	var survivors lentilera.Survivors
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
	return withStoreLogging(logger, "domains", lentilfollow.Sink[struct{}]{
		Replace: func(all []lentilfollow.Change[struct{}]) {
			listed := make(map[string]bool, len(all))
			for _, c := range all {
				listed[c.Name] = true
			}
			era := position().Era
			next, unconfirmed := survivors.Replace(era, listed)
			for domain := range unconfirmed {
				logger.Write(lentilevent.DomainKeptOut, lentilevent.Str("domain", domain), lentilevent.Uint("era", era))
			}
			replace(next)
		},
		Apply: func(changes []lentilfollow.Change[struct{}]) {
			next := out
			for _, c := range changes {
				next = survivors.Apply(c.Name, c.Removed)
			}
			replace(next)
		},
	})
}
