package lentilagent

import (
	"sync"

	"lentilstair.example/lentilstair/internal/lentiltunnel"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilpin"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilroute"
	"lentilstair.example/lentilstair/pkg/lentilview"
)

// flowKeeper guards the decisions about packets, which several readers need.
type flowKeeper struct {
	agent  *Agent
	sealer *lentilid.Sealer

	mu      sync.Mutex
	keeper  lentilpin.Table
	chooser lentilhandoff.Chooser
	view    lentilview.View
	router  *lentilroute.Router
	known   map[lentilrecord.Owner]bool
}

// newFlowKeeper returns the keeper of an agent's flows.
func newFlowKeeper(a *Agent, sealer *lentilid.Sealer) (f *flowKeeper) {
	owner := a.owner()
	f = &flowKeeper{
		agent:   a,
		sealer:  sealer,
		chooser: lentilhandoff.Chooser{Clock: a.options.Clock, Random: a.options.Random, Self: owner},
		view:    lentilview.View{Clock: a.options.Clock, Sealer: sealer, Self: owner},
		router:  lentilroute.NewBuilder(nil).Build(),
		known:   make(map[lentilrecord.Owner]bool),
	}
	f.keeper = lentilpin.Table{
		Self:                a.place(),
		Protocol:            lentilroute.QUIC,
		Clock:               a.options.Clock,
		PreferredCandidates: f.owners,
		FallbackCandidates:  func() []lentilid.Place { return f.router.FallbackCandidates(a.options.Service, a.options.Clock.Now()) },
		HandOffPeer:         f.handOff,
		RefusesNewFlows:     func() bool { return a.shown.Load().draining },
		Out:                 func(domain lentilid.Domain) bool { return f.router.Out(domain) },
		Gone:                func(place lentilid.Place) bool { return f.router.Gone(place) },
	}
	f.chooser.Out = f.keeper.Out
	return f
}

// decide says what to do with a tunnel packet.
func (f *flowKeeper) decide(header *lentiltunnel.Header, payload []byte) (action lentilpin.Action) {
	arrival := lentilpin.Packet{
		Service: header.Service,
		Hop:     lentilpin.Hop(header.Hop),
		From:    header.From,
		Flow:    lentilroute.Classify(f.sealer, lentilroute.QUIC, payload, header.Caller),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keeper.Decide(&arrival)
}

// notify takes in where a flow lives.
func (f *flowKeeper) notify(notice lentilpin.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keeper.HandleNotice(notice)
}

// owners returns who may hold a flow. The caller holds the lock.
func (f *flowKeeper) owners(hash uint64, dst []lentilid.Place) (places []lentilid.Place) {
	return f.router.PreferredCandidates(f.agent.options.Service, hash, f.agent.options.Clock.Now(), dst)
}

// handOff chooses a peer for a new flow. The caller holds the lock.
func (f *flowKeeper) handOff(hops int) (peer lentilid.Place, ok bool) {
	shown := f.agent.shown.Load()
	if f.agent.options.KeepPlaced && !shown.draining {
		return lentilid.Place{}, false
	}
	own := lentilhandoff.Load{Busy: shown.load, Now: shown.pressing, Bears: shown.bears}
	if shown.draining {
		own.Bears = 0
	}
	record, ok := f.chooser.ForPacket(own, hops)
	if !ok {
		return lentilid.Place{}, false
	}
	f.chooser.SentPacket(record.Owner())
	return record.Place(), true
}

// configure takes in a configuration.
func (f *flowKeeper) configure(configuration lentilconfig.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.ApplyConfiguration(configuration)
	f.router = f.view.Router()
	if f.router.Out(f.agent.options.Domain) {
		f.keeper.Clear()
	}
}

// learn takes in the records of the other agents; those that are not among them
// are forgotten.
func (f *flowKeeper) learn(records []lentilrecord.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[lentilrecord.Owner]bool, len(records))
	for _, r := range records {
		if r.Service() != f.agent.options.Service || r.Owner() == f.view.Self {
			continue
		}
		seen[r.Owner()] = true
		f.view.ApplyRecord(r)
		f.chooser.Learn(r)
	}
	for owner := range f.known {
		if !seen[owner] {
			f.view.RemoveRecord(owner)
			f.chooser.Forget(owner)
		}
	}
	f.known = seen
	f.router = f.view.Router()
}

// observe takes in the agent's own record.
func (f *flowKeeper) observe(record lentilrecord.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.ApplyRecord(record)
	f.router = f.view.Router()
}
