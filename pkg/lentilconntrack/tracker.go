// Package lentilconntrack is the connection tracking of an agent. It decides what the agent does with the packets of
// flows that are identified only by their two endpoints.
//
// The agent sees every packet between its upstream and the clients, so it alone has an exact list of the flows that
// its upstream holds. It also makes the final decision whether the upstream gets a new flow. Whatever the balancers
// assume, no new flow reaches an upstream that drains, whose failure domain is out of service, or that has just
// started and is at its current capacity.
//
// A restarted agent has lost the list of the flows that its upstream still holds. It forwards packets of unknown
// flows to the upstream and concludes from the upstream's reaction whether the upstream holds them. A flow is reset
// only if its upstream is gone or has itself returned a packet of the flow.
//
// The expected load is a few thousand flows for each agent and a few hundred new ones per second. When an upstream
// ends, all its flows have to be reset at once.
package lentilconntrack

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbreaker"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentildrain"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilflowqueue"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

const (
	// closedTimeout is how long a closed or lost flow stays in the table. Its last packets may be retransmitted
	// a few times, at most 1.6 s apart.
	closedTimeout = 4 * time.Second
	// halfOpenTimeout is how long a half-open or unverified flow stays in the table. Clients try to open a flow
	// for 1.4 s.
	halfOpenTimeout = 3 * time.Second
	// denialTTL is how long the Tracker keeps the result that its upstream doesn't hold a flow. It is also how
	// long it waits for such a result before it forwards another lookup packet of the flow.
	denialTTL = 3 * time.Second
	// unansweredTimeout is how long an upstream may leave packets unanswered before it is probed. Clients
	// retransmit for the first time after 200 ms.
	unansweredTimeout = 200 * time.Millisecond
	// minUnanswered is the number of unanswered packets that leads to a probe. A single packet may have been lost.
	minUnanswered = 2
	// pauseThreshold is the gap between two ticks above which the agent itself must have been paused.
	pauseThreshold = 300 * time.Millisecond
	// maxPause is the longest pause of the agent after which it admits new flows at once. After a longer one, its failure
	// domain may have been taken out of service, and first packets that have waited in its socket are old. A change of the failure
	// domain may take a few seconds to be in force.
	maxPause = time.Second
	// resumeTime is how long the agent then refuses new flows. By its end, it has read what waited, and balancers have
	// answered its status with the state of its failure domain.
	resumeTime = 300 * time.Millisecond
	// overdueIntervals is the number of renewal intervals after which a registration that wasn't renewed is
	// overdue.
	overdueIntervals = 2.5
	// reuseMargin is how long a packet may take from the agent's decision to the upstream, since a process with a CPU quota may be
	// paused for a tenth of a second. A renewal may be late by as much.
	reuseMargin = 100 * time.Millisecond
	// coldWindow is the sliding window in which new flows to a cold upstream are counted: one second, plus a
	// tenth for the transit time of the packets.
	coldWindow = 1100 * time.Millisecond
	// defaultSlots is assumed for an upstream that hasn't reported its slots.
	defaultSlots = 2
	// requestTimeout is how long a request without an answer counts as load. It is the longest deadline of the users'
	// requests; a client that has given up may not have closed its flow.
	requestTimeout = 10 * time.Second
	// idleFlowAge is how long an open flow must be unused to stop counting as load. Clients that go on with a flow
	// use it again within a few seconds; others leave it open until the upstream's idle limit.
	idleFlowAge = 5 * time.Second
	// sweepInterval is the time between two removals of expired flows.
	sweepInterval = time.Second
)

// Tracker tracks the flows of one agent and decides what happens to their packets. Its methods append the resulting
// actions to the given slice. Set the exported fields before the first use. A Tracker is not safe for concurrent use.
type Tracker struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock
	// Codec parses the packets.
	Codec lentilflow.Codec
	// Service is the service of the upstream.
	Service string
	// Name, Domain and RunID identify the agent in its statuses.
	Name   string
	Domain string
	RunID  uint64
	// Address is the address at which balancers reach the agent.
	Address lentilflow.Endpoint
	// FlowsComplete reports that the table lists every flow that the upstream holds, because no flow can have
	// opened there before this run of the agent. A flow that isn't listed is then denied without asking the
	// upstream. The Tracker sets it too, once a registration or ledger shows it.
	FlowsComplete bool
	// RenewInterval is the time between two renewals of the upstream's registration. With zero, a registration
	// is never overdue.
	RenewInterval time.Duration
	// AddressReuse is the least time after the end of an upstream until one of another service may have its address. The
	// upstream gets no new flows once nothing was heard of it for nearly as long, but until its next renewal is due in any case.
	// With zero, addresses aren't used again.
	AddressReuse time.Duration
	// ColdFactor and ColdSlack bound the new flows per second of a cold upstream: the configured rate times
	// ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
	// MaxFlows bounds the flows in the table; zero is lentilflow.DefaultMaxFlows.
	MaxFlows int
	// FairQueue makes the queue of new flows fair between callers.
	FairQueue bool
	// IdleTimeout is how long an open flow without packets stays in the table; zero is
	// lentilflow.DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxUnlisted is how long an open flow of a route whose requests may not be repeated may be missing in the ledger
	// before one is due. With zero, such flows are treated like all others.
	MaxUnlisted time.Duration
	// LedgerCovered reports whether a writer stores the agent's ledger with those of others, so that only run markers are
	// due. Nil means that none does.
	LedgerCovered func() bool

	upstream upstream
	// cadence has the last registrations of the agent's own service, also those that were ignored because of a contest.
	cadence cadence
	// contest is about other upstreams that register with the agent, and ignoredRegistrations counts those of the own one that were
	// ignored because of it.
	contest              contest
	ignoredRegistrations uint64
	// breaker stops new flows to an upstream that fails, and queue holds them until the upstream has room.
	breaker lentilbreaker.Breaker
	queue   lentilflowqueue.Queue
	flows   map[lentilflow.Key]*flow
	// denied holds the time at which the upstream was found not to hold a flow.
	denied           lentilflow.Table[time.Time]
	requestsInFlight int
	meter            meter
	// routes measures the flows by the address that they are for.
	routes        map[lentilflow.Endpoint]*route
	openFlows     int
	halfOpenFlows int
	// idleFlows is the number of open flows that were unused for idleFlowAge at the last sweep.
	idleFlows int
	out       bool
	// domainAsOf is the position of the store at which out was read by the balancer that reported it.
	domainAsOf lentilera.Position
	// unsettledEra is the last era in which the failure domain no longer seemed to be out of service, and settledAt
	// from when that counts.
	unsettledEra uint64
	settledAt    time.Time
	stopping     bool
	// coldRate is the rate of new flows for cold upstreams of the service, from the newest configuration version that a balancer
	// has used in an offer for that service.
	coldRate        float64
	coldRateVersion uint64
	// coldAccepted holds the times of the new flows that the cold upstream got within coldWindow.
	coldAccepted []time.Time
	startedAt    time.Time
	// unanswered counts the packets that need an answer and were forwarded since the upstream last sent a packet
	// or accepted a probe; unansweredSince is the time of the first one.
	unanswered      int
	unansweredSince time.Time
	// probing is set from a ProbeUpstream action until its result, or until another run of the upstream registers. upstreamRuns
	// counts the runs that have registered.
	probing      bool
	upstreamRuns uint64
	// refusedSince is when a probe was first refused since the last one that was accepted.
	refusedSince time.Time
	// lastCold is the value of Cold in the last tick.
	lastCold  bool
	balancers map[lentilflow.Endpoint]*balancer
	permits   lentildrain.Permits
	// lastStatusAt and lastIntroductionAt are when statuses were last sent to the balancers that run, and to those that are only listed.
	lastStatusAt, lastIntroductionAt time.Time
	lastHelloAt                      time.Time
	// rediscoveredAt is the time of the last Rediscover.
	rediscoveredAt time.Time
	statusSequence uint64
	// previousLedger is the ledger of an earlier run of the agent until the upstream has registered, else nil.
	// previousLedgerEra is the era of the store in which it was read.
	previousLedger    *lentilledger.Ledger
	previousLedgerEra uint64
	ledgerWrittenAt   time.Time
	// ledgerFlows has the flows of the last ledger.
	ledgerFlows map[lentilflow.Key]bool
	// runMarkerDue is set until DueLedger has returned the run marker of an upstream that has just started, or
	// until its registrations show that it hasn't just started.
	runMarkerDue bool
	// missingLedgerEra is the era in which no ledger of the upstream's run was found, while it isn't certain that the
	// store had not lost it; zero if there is no such doubt.
	missingLedgerEra uint64
	// churn counts the flows that opened or ended since the last ledger.
	churn     int
	lastTick  time.Time
	lastSweep time.Time
	// pausedAt and resumedAt are when the agent's last pause began and ended.
	pausedAt, resumedAt time.Time
}

// now returns the time, and records the time of its first call as the start of the agent.
func (t *Tracker) now() (now time.Time) {
	now = lentilclock.OrSystem(t.Clock).Now()
	if t.startedAt.IsZero() {
		t.startedAt = now
		t.breaker.Clock, t.queue.Clock, t.queue.Fair = t.Clock, t.Clock, t.FairQueue
	}
	return now
}

// Start records the start of the agent: from now on its sockets are open. Without Start, the agent starts with its first event.
func (t *Tracker) Start() { t.now() }

// HandleCarry handles a client's packet that a balancer forwarded.
func (t *Tracker) HandleCarry(from lentilflow.Endpoint, m lentilflow.Carry, actions []Action) (result []Action, err error) {
	packet, err := t.Codec.ParseClientPacket(m.Packet)
	if err != nil {
		return actions, err
	}
	if m.Purpose == lentilflow.Place && m.Service == t.Service && m.Version > t.coldRateVersion {
		t.coldRateVersion, t.coldRate = m.Version, float64(m.ColdRate)
	}
	now := t.now()
	t.observePause(now)
	t.meter.advance(now, t.requestsInFlight+t.queue.Waiting())
	if packet.OpensFlow() {
		return t.handleFirst(now, from, m, packet, actions), nil
	}
	return t.handleLater(now, from, m, packet, actions), nil
}

// handleFirst forwards or refuses the first packet of a flow, or a copy of that packet.
func (t *Tracker) handleFirst(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	f := t.flows[packet.Key]
	if f != nil && (f.state == halfOpen || f.state == open && f.openedBy(packet)) {
		if refusal := t.copyRefusal(now, m, f, packet); refusal != lentilflow.NotRefused {
			// The upstream may hold the flow all the same, so its entry stays.
			f.unconfirmed = f.unconfirmed || !f.isCopy(packet)
			return append(actions, Action{Kind: SendRefused, To: from, Key: packet.Key, Service: m.Service, Refusal: refusal, Packet: m.Packet})
		}
		f.balancer, f.lastUsed = from, now
		if f.waiting {
			// The client may have given up the attempt that waits and have begun another one.
			f.firstPacket, f.firstSequence = slices.Clone(m.Packet), packet.Sequence
		} else {
			if !t.isCopy(f, packet) {
				t.recordCold(now)
			}
			f.upstreamRun = t.upstreamRuns
			t.expectReply(now)
			actions = append(actions, Action{Kind: ToUpstream, Key: packet.Key, Packet: m.Packet})
		}
		return append(actions, Action{Kind: SendTaken, To: from, Key: packet.Key, Service: m.Service, Open: f.state == open})
	}
	t.removeFlow(packet.Key)
	refusal, wait := t.admission(now, m, packet)
	if share, ok := t.queue.TakeShare(); ok {
		actions = append(actions, Action{Kind: ReportQueueShare, Key: packet.Key, Share: share})
	}
	if refusal != lentilflow.NotRefused {
		return append(actions, Action{Kind: SendRefused, To: from, Key: packet.Key, Service: m.Service, Refusal: refusal, Packet: m.Packet})
	}
	f = &flow{
		balancer: from, lastUsed: now, firstPacket: slices.Clone(m.Packet), firstSequence: packet.Sequence, firstSeen: true, waiting: wait,
		nonRepeatable: m.Terms != lentilflow.Terms{} && !m.Terms.Repeatable,
	}
	t.addFlow(packet.Key, f)
	t.setState(f, halfOpen)
	if !wait {
		actions = t.openAtUpstream(now, packet.Key, f, actions)
	}
	return append(actions, Action{Kind: SendTaken, To: from, Key: packet.Key, Service: m.Service})
}

// handleLater handles a packet of a flow that the client considers open.
func (t *Tracker) handleLater(now time.Time, from lentilflow.Endpoint, m lentilflow.Carry, packet lentilflow.Packet, actions []Action) []Action {
	f := t.flows[packet.Key]
	if f == nil {
		return t.handleUnknown(now, from, m, packet, actions)
	}
	if (f.state == lost || f.state == closed) && f.differsFrom(packet) {
		// The first packet of a later flow at this upstream would have replaced the entry.
		return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}})
	}
	if f.state == lost {
		return append(actions, Action{Kind: ResetClient, Cause: FlowUnknown, Key: packet.Key, Sequence: packet.Acknowledged})
	}
	if f.state == unverified && m.Purpose == lentilflow.Lookup && now.Sub(f.lastUsed) < denialTTL {
		// One packet has already been forwarded for the lookup. If the upstream doesn't hold the flow, further
		// ones would be lost.
		return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}, Unsure: true})
	}
	if f.state == open && f.firstSeen && f.differsFrom(packet) {
		// It may also be a late packet of an earlier flow, so this doesn't show that the upstream lost its own.
		return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}, Unsure: true})
	}
	if f.state == halfOpen && packet.Flags.Has(lentilflow.Acknowledge) {
		if !f.upstreamAccepted || packet.Acknowledged-f.initialSequence > maxFirstAckOffset {
			// The acknowledgement is for another upstream, whose accept packet the client has used.
			return append(actions, Action{Kind: SendDenied, To: from, Keys: []lentilflow.Key{packet.Key}})
		}
		t.setState(f, open)
		actions = append(actions, Action{Kind: SendTaken, To: from, Key: packet.Key, Open: true})
	} else if m.Purpose == lentilflow.Lookup && f.state == open && !f.unconfirmed {
		actions = append(actions, Action{Kind: SendTaken, To: from, Key: packet.Key, Open: true})
	}
	f.lastUsed, f.balancer = now, from
	t.trackClientPacket(now, f, packet)
	return t.admitWaiting(now, append(actions, Action{Kind: ToUpstream, Key: packet.Key, Packet: m.Packet}))
}

// maxFirstAckOffset is how far the first acknowledgement of a client may be beyond the initial sequence number of the
// upstream that accepted the flow. It is the window of a flow, 16 packets of 1,200 bytes, plus one.
const maxFirstAckOffset = 16*1200 + 1

// trackClientPacket updates a flow for a client's packet that is forwarded to the upstream.
func (t *Tracker) trackClientPacket(now time.Time, f *flow, packet lentilflow.Packet) {
	if packet.Flags.Has(lentilflow.Acknowledge) {
		f.acknowledged = packet.Acknowledged
	}
	if packet.Length > 0 {
		t.trackRequestData(now, f, packet.Sequence)
	}
	if packet.Length > 0 && !f.requestInFlight {
		f.requestAt, f.requestLoad = now, t.requestsInFlight
		t.setRequestInFlight(f, true)
		f.countRequest(now)
		t.queue.Remove(packet.Key)
	}
	if packet.Length > 0 || packet.Flags.Has(lentilflow.Close) {
		t.expectReply(now)
	}
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		t.setState(f, closed)
	case packet.Flags.Has(lentilflow.Close):
		t.recordClose(f, closedByClient)
	}
}

// HandleUpstreamPacket handles a packet from the upstream: its own, or a client's packet that it returned.
func (t *Tracker) HandleUpstreamPacket(data []byte, actions []Action) (result []Action, err error) {
	packet, err := t.Codec.ParseUpstreamPacket(data)
	if err != nil {
		return actions, err
	}
	now := t.now()
	t.observePause(now)
	t.meter.advance(now, t.requestsInFlight+t.queue.Waiting())
	t.clearUnanswered()
	if packet.Flags.Has(lentilflow.Returned) {
		return t.handleReturned(now, packet, data, actions), nil
	}
	f := t.flows[packet.Key]
	if f == nil {
		f = &flow{state: unverified, lastUsed: now}
		t.addFlow(packet.Key, f)
	}
	asked := f.unconfirmed && f.balancer != (lentilflow.Endpoint{})
	if (f.state == unverified || f.state == open && asked) && packet.Flags.Has(lentilflow.Reset) {
		// An upstream that has just started, or whose flow has ended, also resets flows that another upstream holds.
		return t.denyFlow(now, packet.Key, f, actions), nil
	}
	if f.ofEarlierFlow(packet) {
		return actions, nil
	}
	if (f.state == halfOpen || f.state == open) && !packet.Flags.Has(lentilflow.Reset) && !f.addedAt.After(t.cadence.sentAt) {
		// An upstream of another service doesn't hold flows from before the own one last registered.
		t.recordSeen(now, now)
	}
	f.unconfirmed = false
	if f.state == open && asked {
		actions = append(actions, Action{Kind: SendTaken, To: f.balancer, Key: packet.Key, Open: true})
	}
	f.lastUsed, f.heardAt = now, now
	if packet.Flags.Has(lentilflow.Open) {
		f.initialSequence, f.upstreamAccepted, f.firstPacket = packet.Sequence, true, nil
		if f.state == unverified {
			// An earlier run of the agent forwarded the first packet.
			t.setState(f, halfOpen)
		}
	} else if f.state == unverified || f.state == halfOpen {
		if f.waiting {
			// An earlier run of the agent has let the flow open.
			f.waiting, f.firstPacket = false, nil
			t.queue.Remove(packet.Key)
		}
		t.setState(f, open)
		f.acknowledged = packet.Sequence
		if f.balancer != (lentilflow.Endpoint{}) {
			actions = append(actions, Action{Kind: SendTaken, To: f.balancer, Key: packet.Key, Open: true})
		}
	}
	responseTime := time.Duration(0)
	switch {
	case !f.requestInFlight:
	case packet.Length > 0:
		responseTime = now.Sub(f.requestAt)
		if f.foundSlot {
			t.meter.recordServiceTime(now.Sub(f.dataAt))
		}
		t.setRequestInFlight(f, false)
		t.queue.RecordResponse(responseTime, f.requestLoad+1)
		if t.breaker.RecordSuccess() {
			actions = append(actions, Action{Kind: ReportStateChange, Cause: UpstreamWorks})
		}
	case packet.Flags.Has(lentilflow.Reset) && f.closedBy&closedByClient == 0:
		// A Close doesn't count: it may overtake the answer before it.
		t.setRequestInFlight(f, false)
		if t.breaker.RecordFailure() {
			actions = append(actions, Action{Kind: ReportStateChange, Cause: UpstreamFails})
		}
	}
	switch {
	case packet.Flags.Has(lentilflow.Reset):
		t.setState(f, closed)
	case packet.Flags.Has(lentilflow.Close):
		t.recordClose(f, closedByUpstream)
	}
	return t.admitWaiting(now, append(actions, Action{Kind: ToClient, Key: packet.Key, Packet: data, ResponseTime: responseTime})), nil
}

// handleReturned handles a client's packet that the upstream returned, because it doesn't hold the flow or can't
// accept it.
func (t *Tracker) handleReturned(now time.Time, packet lentilflow.Packet, data []byte, actions []Action) []Action {
	t.Codec.ClearReturned(data)
	f := t.flows[packet.Key]
	if f == nil || f.state == closed || f.state == lost {
		return actions
	}
	if packet.OpensFlow() {
		if f.state != halfOpen || f.upstreamAccepted {
			return actions
		}
		t.removeFlow(packet.Key)
		return append(actions, Action{Kind: SendRefused, To: f.balancer, Key: packet.Key, Refusal: lentilflow.UpstreamFull, Packet: data})
	}
	if f.state == open && f.differsFrom(packet) || f.state == halfOpen && f.firstSeen {
		// It is of an earlier flow from the client's port, which the upstream doesn't hold any more.
		return actions
	}
	if f.state == open && !f.unconfirmed {
		t.setState(f, lost)
		return append(actions, Action{Kind: ResetClient, Cause: FlowUnknown, Key: packet.Key, Sequence: packet.Acknowledged})
	}
	return t.denyFlow(now, packet.Key, f, actions)
}
