package lentilpacket

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilframe"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentildrain"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
	"lentilstair.example/lentilstair/pkg/lentillink"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

const (
	// balancerTickInterval is how often the balancer checks for agents whose answer is overdue.
	balancerTickInterval = 50 * time.Millisecond
	// agentTickInterval is how often the agent checks its upstream.
	agentTickInterval = 50 * time.Millisecond
	// startupStatusTimeout is how long a balancer that has just started waits for the statuses of agents
	// before it accepts packets. It covers some round trips between failure domains and the delay of a
	// busy agent.
	startupStatusTimeout = 300 * time.Millisecond
	// readBufferSize is the buffer size for one datagram, in bytes.
	readBufferSize = 2048
)

// Balancer runs a balancer of packet flows.
type Balancer struct {
	// Settings are validated. Codec reads and writes the packet format.
	Settings lentilsetting.PacketBalancer
	Codec    lentilflow.Codec
	Store    Store
	Logger   lentilevent.Logger
	Counts   *Counts

	ingressConn, peerConn *net.UDPConn
	runID                 uint64
	configurations        lentilfollow.Reader[lentilflow.Configuration]
	domains               lentilfollow.Reader[struct{}]

	mu           sync.Mutex
	placer       lentilplacement.Placer
	actions      []lentilplacement.Action
	frameBuffer  []byte
	pollSchedule lentilfollow.PollSchedule
	era          lentilera.Tracker
	// domainsAsOf is the position of the store at which the failure domains that are out of service were read.
	domainsAsOf lentilera.Position
	// sentStoreState is the store state that was last sent to agents.
	sentStoreState lentilflow.StoreState
	// configurationListedAt and domainsListedAt are when the first list of each was asked for; zero before it has succeeded.
	configurationListedAt, domainsListedAt time.Time
	// agentsListedAt is when the list of agents was read; zero before that.
	agentsListedAt time.Time
	// ledgers are those that agents report to this balancer.
	ledgers lentilledger.Writer
	// drain is the graceful stop. leaving is set at its end.
	drain   lentildrain.Drain
	leaving bool
	// probeMachine starts a probe of an agent's machine.
	probeMachine func(agent lentilflow.Endpoint)
	// renewEntry writes the balancer's entry again, and reads the list of agents.
	renewEntry func(era uint64, balancers int)
	logLimiter logLimiter
	// link decides when datagrams are sent. linkQueued wakes serveLink after a datagram was queued.
	link       lentillink.Scheduler
	classifier lentillink.Classifier
	linkQueued chan struct{}
	// hedgeTimer runs tickHedges when a flow is due to be offered to a second agent; nil before the first one.
	hedgeTimer *time.Timer
}

// Run serves until graceful ends and the balancer has left the routers' rotation, or until forced ends.
func (b *Balancer) Run(graceful, forced context.Context) (err error) {
	defer lentilerror.Annotate(&err, "run the balancer")
	if err = b.open(); err != nil {
		return err
	}
	defer func() { _ = b.ingressConn.Close() }()
	defer func() { _ = b.peerConn.Close() }()
	ctx, stop := context.WithCancel(forced)
	defer stop()
	if b.Store.NotifyEra != nil {
		b.Store.NotifyEra(func(era uint64) { b.observeEra(era, 0, eraFromStore) })
	}
	var workers sync.WaitGroup
	self := Peer{
		Node:  lentilflow.Node{Name: b.Settings.Name(), Domain: b.Settings.Domain(), Address: lentilflow.EndpointOf(b.Settings.PeerAddress())},
		RunID: b.runID,
	}
	discover := func() {
		discoverPeers(ctx, b.Logger, b.Store.Balancers, b.Store.Agents, self, b.addAgents)
	}
	b.renewEntry = func(era uint64, balancers int) {
		workers.Go(func() { renewEntry(ctx, b.Logger, era, balancers, discover) })
	}
	b.probeMachine = func(agent lentilflow.Endpoint) {
		workers.Go(func() {
			answered := machineAnswers(ctx, agent)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.perform(b.placer.HandleProbeResult(agent, answered, b.actions[:0]))
		})
	}
	b.SetHedgePercent(b.Settings.HedgePercent())
	workers.Go(func() { lentilserver.ServeDatagrams(b.ingressConn, make([]byte, readBufferSize), b.handleClientPacket) })
	workers.Go(func() { lentilserver.ServeDatagrams(b.peerConn, make([]byte, readBufferSize), b.handlePeerMessage) })
	workers.Go(func() { b.tick(ctx) })
	if b.limited() {
		workers.Go(func() { b.serveLink(ctx) })
	}
	workers.Go(func() { b.configurations.Run(ctx) })
	workers.Go(func() { b.domains.Run(ctx) })
	workers.Go(func() { b.pollStore(ctx) })
	workers.Go(func() { b.writeGroups(ctx) })
	workers.Go(discover)
	<-graceful.Done()
	b.runDrain(forced)
	b.notifyLeaving()
	b.flushLink(forced)
	stop()
	_, _ = b.ingressConn.Close(), b.peerConn.Close()
	workers.Wait()
	b.withdrawEntry(forced, self)
	return nil
}

func (b *Balancer) open() (err error) {
	b.runID = rand.Uint64()
	b.pollSchedule.Random = rand.Float64
	b.link.BytesPerSecond, b.linkQueued = b.Settings.LinkBytesPerSecond(), make(chan struct{}, 1)
	b.placer.LinkBytesPerSecond = b.Settings.LinkBytesPerSecond()
	b.drain.Grace, b.drain.KillAfter = b.Settings.StopGrace(), b.Settings.KillAfter()
	b.prepareReaders()
	b.placer.Codec, b.placer.Random, b.placer.Domain = b.Codec, rand.Float64, b.Settings.Domain()
	if b.Settings.ByExpectedWait() {
		b.placer.ChooseBy = lentilplacement.ByExpectedWait
	}
	if b.ingressConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Settings.IngressAddress())); err != nil {
		return err
	}
	if b.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Settings.PeerAddress())); err != nil {
		_ = b.ingressConn.Close()
	}
	return err
}

// HandleProbe answers a probe of the network fabric: whether it may route packets to this balancer, and the reason if it
// may not. A stopping balancer counts its answers, after which the fabric takes it out of rotation.
func (b *Balancer) HandleProbe() lentilmetric.Readiness {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain.RecordProbe()
	return b.readiness()
}

// readiness returns whether the balancer may get packets. The caller holds b.mu.
func (b *Balancer) readiness() lentilmetric.Readiness {
	known, responsive := b.placer.AgentCounts()
	switch {
	case !b.drain.Ready():
		return lentilmetric.Readiness{Reason: "stopping"}
	case b.placer.Version() == 0:
		return lentilmetric.Readiness{Reason: "no configuration yet"}
	case b.agentsListedAt.IsZero():
		return lentilmetric.Readiness{Reason: "the list of agents has not been read yet"}
	case responsive < known && time.Since(b.agentsListedAt) < startupStatusTimeout:
		return lentilmetric.Readiness{Reason: "some agents have not answered yet"}
	}
	return lentilmetric.Readiness{Ready: true}
}

func (b *Balancer) handleClientPacket(data []byte, _ netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Counts.Packets.Add(1)
	b.drain.RecordPacket()
	actions, err := b.placer.HandlePacket(data, b.actions[:0])
	if err != nil {
		b.Counts.Malformed.Add(1)
		return
	}
	b.perform(actions)
}

// handlePeerMessage processes a datagram from an agent.
func (b *Balancer) handlePeerMessage(data []byte, from netip.AddrPort) {
	var status *lentilflow.Status
	// The readers hold their own locks while their sinks take b.mu, so they are called after b.mu is released.
	defer func() {
		if status != nil {
			b.updateFromStatus(*status)
		}
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	sender, actions := lentilflow.EndpointOf(from), b.actions[:0]
	var err error
	switch lentilframe.KindOf(data) {
	case lentilframe.Taken:
		var m lentilflow.Taken
		if m, err = lentilframe.ParseTaken(data); err == nil {
			actions = b.placer.HandleTaken(sender, m, actions)
		}
	case lentilframe.Refused:
		var m lentilflow.Refused
		if m, err = lentilframe.ParseRefused(data); err == nil {
			actions, err = b.placer.HandleRefused(sender, m, actions)
		}
	case lentilframe.Denied:
		var m lentilflow.Denied
		if m, err = lentilframe.ParseDenied(data); err == nil {
			actions = b.placer.HandleDenied(sender, m, actions)
		}
	case lentilframe.Relay:
		var m lentilflow.Relay
		if m, err = lentilframe.ParseRelay(data); err == nil {
			actions, err = b.placer.HandleRelayed(m, actions)
		}
	case lentilframe.Status:
		var m lentilflow.Status
		if m, err = lentilframe.ParseStatus(data); err == nil {
			actions = b.placer.HandleStatus(sender, m, actions)
			status = &m
		}
	case lentilframe.LedgerReport:
		var m lentilledger.Report
		if m, err = lentilframe.ParseLedgerReport(data); err == nil {
			if ack, reply := b.ledgers.HandleReport(sender, m); reply {
				b.send(lentilframe.AppendLedgerAck(b.frameBuffer[:0], ack), sender)
			}
		}
	case lentilframe.StopAnswer:
		var m lentilflow.StopAnswer
		if m, err = lentilframe.ParseStopAnswer(data); err == nil && m.RunID == b.runID {
			b.drain.RecordAnswer(m.Granted)
		}
	default:
		err = lentilframe.ErrFrame.New("balancers do not accept frames of kind %d", lentilframe.KindOf(data))
	}
	if err != nil {
		b.Counts.Malformed.Add(1)
	}
	b.perform(actions)
}

func (b *Balancer) tick(ctx context.Context) {
	ticker := time.NewTicker(balancerTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		b.mu.Lock()
		b.perform(b.placer.Tick(b.actions[:0]))
		b.observeLink()
		b.mu.Unlock()
	}
}

// SetHedgePercent sets the highest number of extra offers per hundred new flows, as in the settings.
func (b *Balancer) SetHedgePercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.placer.SetHedgePercent(percent)
	b.Counts.recordHedges(b.placer.HedgeCounts(), b.placer.HedgeShare())
}

// tickHedges offers flows that are due to second agents.
func (b *Balancer) tickHedges() {
	b.mu.Lock()
	defer b.mu.Unlock()
	// After the grace period the socket is closed.
	if !b.leaving {
		b.perform(b.placer.TickHedges(b.actions[:0]))
	}
}

// scheduleHedges records the counts of extra offers, and sets the timer to the time at which the
// next flow is due. The caller holds b.mu.
func (b *Balancer) scheduleHedges() {
	if !b.placer.Hedging() {
		return
	}
	b.Counts.recordHedges(b.placer.HedgeCounts(), b.placer.HedgeShare())
	at, ok := b.placer.NextHedge()
	switch {
	case !ok:
	case b.hedgeTimer == nil:
		b.hedgeTimer = time.AfterFunc(time.Until(at), b.tickHedges)
	default:
		b.hedgeTimer.Reset(time.Until(at))
	}
}

// perform executes the placer's actions. The caller holds b.mu.
func (b *Balancer) perform(actions []lentilplacement.Action) {
	b.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case lentilplacement.SendCarry:
			if a.Cause == lentilplacement.Remembered {
				b.Counts.Remembered.Add(1)
			}
			b.frameBuffer = lentilframe.AppendCarry(b.frameBuffer[:0], a.Carry)
			b.transmit(b.packetDatagram(a))
		case lentilplacement.SendRelay:
			b.send(lentilframe.AppendRelay(b.frameBuffer[:0], lentilflow.Relay{Packet: a.Carry.Packet}), a.To)
		case lentilplacement.SendAsk:
			b.send(lentilframe.AppendAsk(b.frameBuffer[:0], lentilflow.Ask{Keys: a.Keys}), a.To)
		case lentilplacement.ResetClient:
			b.Counts.Resets.Add(1)
			b.frameBuffer = b.Codec.AppendReset(b.frameBuffer[:0], a.Key, a.Sequence)
			// The port in the key is read from the packets. Clients use the balancer's UDP port.
			client := netip.AddrPortFrom(a.Key.Client().AddrPort().Addr(), b.Settings.IngressAddress().Port())
			b.transmit(lentillink.Datagram{Class: lentillink.Control, To: client, Socket: ingressSocket})
		case lentilplacement.Drop:
			b.Counts.Dropped.Add(1)
		case lentilplacement.SendHello:
			b.sentStoreState.CheckedAgo = b.pollSchedule.CheckedAgo()
			b.send(lentilframe.AppendHello(b.frameBuffer[:0], b.hello(b.sentStoreState, a.To)), a.To)
		case lentilplacement.ProbeMachine:
			b.probeMachine(a.To)
		case lentilplacement.ReportPlaced:
			b.Counts.recordPlacing(a.Latency)
		case lentilplacement.ReportLookup:
			if a.Cause == lentilplacement.SoughtByKey {
				b.Counts.SoughtByKey.Add(1)
			}
		case lentilplacement.ReportAgent:
			if a.Cause == lentilplacement.AgentReplaced {
				b.Counts.AgentsReplaced.Add(1)
			}
		case lentilplacement.Hold, lentilplacement.ReportHedge:
		}
		b.logAction(a)
	}
	b.scheduleHedges()
}

// hello returns the Hello for an agent.
func (b *Balancer) hello(state lentilflow.StoreState, agent lentilflow.Endpoint) (m lentilflow.Hello) {
	m = lentilflow.Hello{
		Name: b.Settings.Name(), Domain: b.Settings.Domain(), RunID: b.runID, Stopping: b.leaving, UnderstandsEra: true, Relays: true, UnderstandsWait: true,
		Configured: b.placer.Version() != 0 && b.drain.Ready(), Store: state,
	}
	if out, known := b.placer.DomainOutOf(agent); known && b.domainsAsOf.Era == state.Era {
		m.DomainState = lentilflow.DomainState{AsOf: b.domainsAsOf.Revision, Out: out}
	}
	if !b.placer.UnderstandsEra(agent) {
		m.Store.Era, m.Store.EraAge = 0, 0
	}
	return m
}

// send sends a control message. The caller holds b.mu.
func (b *Balancer) send(frame []byte, to lentilflow.Endpoint) {
	b.frameBuffer = frame
	b.transmit(lentillink.Datagram{Class: lentillink.Control, To: to.AddrPort()})
}

// addAgents adds the agents that the store lists.
func (b *Balancer) addAgents(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := b.actions[:0]
	for _, p := range peers {
		actions = b.placer.AddPeer(lentilplacement.Peer{Node: p.Node, Service: p.Service, Stopping: p.Stopping, RunID: p.RunID}, actions)
	}
	b.perform(actions)
	b.placer.SetAgentsComplete()
	if b.agentsListedAt.IsZero() {
		b.agentsListedAt = time.Now()
	}
	b.Logger.Write(lentilevent.PeersRead, lentilevent.Int("peers", len(peers)))
}

// notifyLeaving notifies the agents that this balancer no longer needs their statuses.
func (b *Balancer) notifyLeaving() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.sendHelloToAll()
}
