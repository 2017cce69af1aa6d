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

// flowTracker decides what to do with each tunnel packet. It serializes access to the
// table of flows, the hand-off chooser and the router, since several goroutines read from
// the tunnel.
type flowTracker struct {
	agent  *Agent
	sealer *lentilid.Sealer

	mu         sync.Mutex
	table      lentilpin.Table
	chooser    lentilhandoff.Chooser
	view       lentilview.View
	router     *lentilroute.Router
	knownPeers map[lentilrecord.Owner]bool
}

// newFlowTracker returns the tracker of an agent's flows.
func newFlowTracker(a *Agent, sealer *lentilid.Sealer) (f *flowTracker) {
	owner := a.owner()
	f = &flowTracker{
		agent:      a,
		sealer:     sealer,
		chooser:    lentilhandoff.Chooser{Clock: a.options.Clock, Random: a.options.Random, Self: owner},
		view:       lentilview.View{Clock: a.options.Clock, Sealer: sealer, Self: owner},
		router:     lentilroute.NewBuilder(nil).Build(),
		knownPeers: make(map[lentilrecord.Owner]bool),
	}
	f.table = lentilpin.Table{
		Self:                a.place(),
		Protocol:            lentilroute.QUIC,
		Clock:               a.options.Clock,
		PreferredCandidates: f.preferredCandidates,
		FallbackCandidates:  func() []lentilid.Place { return f.router.FallbackCandidates(a.options.Service, a.options.Clock.Now()) },
		HandOffPeer:         f.handOffPeer,
		RefusesNewFlows:     func() bool { return a.snapshot.Load().draining },
		Out:                 func(domain lentilid.Domain) bool { return f.router.Out(domain) },
		Gone:                func(place lentilid.Place) bool { return f.router.Gone(place) },
	}
	f.chooser.Out = f.table.Out
	return f
}

// decide returns the action for a tunnel packet.
func (f *flowTracker) decide(header *lentiltunnel.Header, payload []byte) (action lentilpin.Action) {
	packet := lentilpin.Packet{
		Service: header.Service,
		Hop:     lentilpin.Hop(header.Hop),
		From:    header.From,
		Flow:    lentilroute.Classify(f.sealer, lentilroute.QUIC, payload, header.Caller),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Decide(&packet)
}

// handleNotice records the place of a flow that another agent has reported.
func (f *flowTracker) handleNotice(notice lentilpin.Notice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.HandleNotice(notice)
}

// preferredCandidates appends the places that are likely to hold a flow to dst. The
// calling function holds f.mu.
func (f *flowTracker) preferredCandidates(hash uint64, dst []lentilid.Place) (places []lentilid.Place) {
	return f.router.PreferredCandidates(f.agent.options.Service, hash, f.agent.options.Clock.Now(), dst)
}

// handOffPeer chooses a peer for a new flow, or returns false if the flow is opened here.
// The calling function holds f.mu.
func (f *flowTracker) handOffPeer(hops int) (peer lentilid.Place, ok bool) {
	current := f.agent.snapshot.Load()
	if f.agent.options.DisableHandOff && !current.draining {
		return lentilid.Place{}, false
	}
	own := lentilhandoff.Load{Smoothed: current.load, Demand: current.demand, Capacity: current.capacity}
	if current.draining {
		own.Capacity = 0
	}
	record, ok := f.chooser.ChooseForPacket(own, hops)
	if !ok {
		return lentilid.Place{}, false
	}
	f.chooser.RecordSentPacket(record.Owner())
	return record.Place(), true
}

// configure applies a configuration. It forgets all flows if the agent's failure domain
// is out of service.
func (f *flowTracker) configure(configuration lentilconfig.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.ApplyConfiguration(configuration)
	f.router = f.view.Router()
	if f.router.Out(f.agent.options.Domain) {
		f.table.Clear()
	}
}

// setPeers replaces the records of the other agents of the service. Agents without a
// record in records are forgotten.
func (f *flowTracker) setPeers(records []lentilrecord.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[lentilrecord.Owner]bool, len(records))
	for _, r := range records {
		if r.Service() != f.agent.options.Service || r.Owner() == f.view.Self {
			continue
		}
		seen[r.Owner()] = true
		f.view.ApplyRecord(r)
		f.chooser.ApplyRecord(r)
	}
	for owner := range f.knownPeers {
		if !seen[owner] {
			f.view.RemoveRecord(owner)
			f.chooser.RemoveRecord(owner)
		}
	}
	f.knownPeers = seen
	f.router = f.view.Router()
}

// observeOwnRecord applies the agent's own record to the router.
func (f *flowTracker) observeOwnRecord(record lentilrecord.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.ApplyRecord(record)
	f.router = f.view.Router()
}
