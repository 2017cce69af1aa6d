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
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

const (
	// balancerTickInterval is how often the balancer looks for agents that owe an answer.
	balancerTickInterval = 50 * time.Millisecond
	// agentTickInterval is how often the agent looks at its upstream.
	agentTickInterval = 50 * time.Millisecond
	// startupStatusTimeout is how long a balancer that has just started waits for agents to answer before it
	// takes packets: some round trips between failure domains, and the time of a busy agent.
	startupStatusTimeout = 300 * time.Millisecond
	// readBufferSize is the size of a buffer for one datagram.
	readBufferSize = 2048
)

// Balancer runs the balancer of packet flows.
type Balancer struct {
	// Settings are the checked settings, Codec the format of the packets, Store the store.
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
	// sentStoreState is what agents were last sentStoreState of the store.
	sentStoreState lentilflow.StoreState
	agentsListedAt time.Time
	// stopping is set once a stop was asked for, leaving at its end.
	stopping   bool
	leaving    bool
	logLimiter logLimiter
}

// Run serves until some time after graceful ends, or until forced ends.
func (b *Balancer) Run(graceful, forced context.Context) (err error) {
	defer lentilerror.Annotate(&err, "run the balancer")
	if err = b.open(); err != nil {
		return err
	}
	defer func() { _ = b.ingressConn.Close() }()
	defer func() { _ = b.peerConn.Close() }()
	ctx, stop := context.WithCancel(forced)
	defer stop()
	var workers sync.WaitGroup
	workers.Go(func() { lentilserver.ServeDatagrams(b.ingressConn, make([]byte, readBufferSize), b.handleClientPacket) })
	workers.Go(func() { lentilserver.ServeDatagrams(b.peerConn, make([]byte, readBufferSize), b.handlePeerMessage) })
	workers.Go(func() { b.tick(ctx) })
	workers.Go(func() { b.configurations.Run(ctx) })
	workers.Go(func() { b.domains.Run(ctx) })
	workers.Go(func() { b.pollStore(ctx) })
	workers.Go(func() {
		self := Peer{Node: lentilflow.Node{Name: b.Settings.Name(), Domain: b.Settings.Domain(), Address: lentilflow.EndpointOf(b.Settings.PeerAddress())}}
		discoverPeers(ctx, b.Logger, b.Store.Balancers, b.Store.Agents, self, b.addAgents)
	})
	<-graceful.Done()
	b.beginStop()
	select {
	case <-time.After(b.Settings.StopGrace()):
	case <-forced.Done():
	}
	b.notifyLeaving()
	stop()
	_, _ = b.ingressConn.Close(), b.peerConn.Close()
	workers.Wait()
	return nil
}

func (b *Balancer) open() (err error) {
	b.runID = rand.Uint64()
	b.pollSchedule.Random = rand.Float64
	b.prepareReaders()
	b.placer.Codec, b.placer.Random, b.placer.Domain = b.Codec, rand.Float64, b.Settings.Domain()
	if b.ingressConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Settings.IngressAddress())); err != nil {
		return err
	}
	if b.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Settings.PeerAddress())); err != nil {
		_ = b.ingressConn.Close()
	}
	return err
}

// Ready says whether the fabric may hand packets over.
func (b *Balancer) Ready() lentilmetric.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, heard := b.placer.AgentCounts()
	switch {
	case b.stopping:
		return lentilmetric.State{Reason: "stopping"}
	case b.placer.Version() == 0:
		return lentilmetric.State{Reason: "no configuration yet"}
	case b.agentsListedAt.IsZero():
		return lentilmetric.State{Reason: "the list of agents is not read yet"}
	case heard < known && time.Since(b.agentsListedAt) < startupStatusTimeout:
		return lentilmetric.State{Reason: "some agents have not answered yet"}
	}
	return lentilmetric.State{Ready: true}
}

func (b *Balancer) handleClientPacket(data []byte, _ netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Counts.Packets.Add(1)
	actions, err := b.placer.HandlePacket(data, b.actions[:0])
	if err != nil {
		b.Counts.Malformed.Add(1)
		return
	}
	b.perform(actions)
}

func (b *Balancer) handlePeerMessage(data []byte, from netip.AddrPort) {
	var learned *lentilflow.Status
	defer func() {
		if learned != nil {
			b.updateFromStatus(*learned)
		}
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	end, actions := lentilflow.EndpointOf(from), b.actions[:0]
	var err error
	switch lentilframe.KindOf(data) {
	case lentilframe.Taken:
		var m lentilflow.Taken
		if m, err = lentilframe.ParseTaken(data); err == nil {
			actions = b.placer.HandleTaken(end, m, actions)
		}
	case lentilframe.Refused:
		var m lentilflow.Refused
		if m, err = lentilframe.ParseRefused(data); err == nil {
			actions, err = b.placer.HandleRefused(end, m, actions)
		}
	case lentilframe.Denied:
		var m lentilflow.Denied
		if m, err = lentilframe.ParseDenied(data); err == nil {
			actions = b.placer.HandleDenied(end, m, actions)
		}
	case lentilframe.Status:
		var m lentilflow.Status
		if m, err = lentilframe.ParseStatus(data); err == nil {
			actions = b.placer.HandleStatus(end, m, actions)
			// Readers are told outside of this event, since they hold their lock while they apply.
			learned = &m
		}
	default:
		err = lentilframe.ErrFrame.New("kind %d is not for balancers", lentilframe.KindOf(data))
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
		b.mu.Unlock()
	}
}

// perform does what was decided, while b.mu is held.
func (b *Balancer) perform(actions []lentilplacement.Action) {
	b.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case lentilplacement.SendCarry:
			b.send(lentilframe.AppendCarry(b.frameBuffer[:0], a.Carry), a.To)
		case lentilplacement.SendAsk:
			b.send(lentilframe.AppendAsk(b.frameBuffer[:0], lentilflow.Ask{Keys: a.Keys}), a.To)
		case lentilplacement.ResetClient:
			b.Counts.Resets.Add(1)
			b.frameBuffer = b.Codec.AppendReset(b.frameBuffer[:0], a.Key, a.Sequence)
			b.write(b.ingressConn, netip.AddrPortFrom(a.Key.Client().AddrPort().Addr(), b.Settings.IngressAddress().Port()))
		case lentilplacement.Drop:
			b.Counts.Dropped.Add(1)
		case lentilplacement.SendHello:
			b.sentStoreState.CheckedAgo = b.pollSchedule.CheckedAgo()
			b.send(lentilframe.AppendHello(b.frameBuffer[:0], b.hello(b.sentStoreState)), a.To)
		case lentilplacement.ReportPlaced:
			b.Counts.recordPlacing(a.Latency)
		case lentilplacement.ReportLookup, lentilplacement.ReportAgent:
		}
		b.logAction(a)
	}
}

func (b *Balancer) hello(knowledge lentilflow.StoreState) lentilflow.Hello {
	return lentilflow.Hello{Name: b.Settings.Name(), Domain: b.Settings.Domain(), RunID: b.runID, Stopping: b.leaving, Store: knowledge}
}

func (b *Balancer) send(frame []byte, to lentilflow.Endpoint) {
	b.frameBuffer = frame
	b.write(b.peerConn, to.AddrPort())
}

func (b *Balancer) write(conn *net.UDPConn, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(b.frameBuffer, to); err != nil {
		b.Counts.Unsent.Add(1)
	}
}

// addAgents takes the list of agents.
func (b *Balancer) addAgents(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := b.actions[:0]
	for _, p := range peers {
		actions = b.placer.AddPeer(p.Node, p.Service, p.Stopping, actions)
	}
	b.perform(actions)
	b.placer.SetAgentsComplete()
	b.agentsListedAt = time.Now()
	b.Logger.Write(lentilevent.PeersRead, lentilevent.Int("peers", len(peers)))
}

// notifyLeaving tells the agents that this balancer needs no status any more.
func (b *Balancer) notifyLeaving() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.sendHelloToAll()
}

func (b *Balancer) beginStop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping = true
}
