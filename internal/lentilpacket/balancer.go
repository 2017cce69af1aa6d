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
	// balancerTick is how often the balancer looks for agents that owe an answer.
	balancerTick = 50 * time.Millisecond
	// agentTick is how often the agent looks at its upstream.
	agentTick = 50 * time.Millisecond
	// meetingLimit is how long a balancer that has just started waits for agents to answer before it
	// takes packets: some round trips between failure domains, and the time of a busy agent.
	meetingLimit = 300 * time.Millisecond
	// readBuffer is the size of a buffer for one datagram.
	readBuffer = 2048
)

// Balancer runs the balancer of packet flows.
type Balancer struct {
	// Settings are the checked settings, Codec the format of the packets, Store the store.
	Settings lentilsetting.PacketBalancer
	Codec    lentilflow.Codec
	Store    Store
	Logger   lentilevent.Logger
	Counts   *Counts

	ingress, peers *net.UDPConn
	run            uint64
	configurations lentilfollow.Reader[lentilflow.Configuration]
	domains        lentilfollow.Reader[struct{}]

	mu      sync.Mutex
	placer  lentilplacement.Placer
	actions []lentilplacement.Action
	frame   []byte
	share   lentilfollow.PollSchedule
	// told is what agents were last told of the store.
	told  lentilflow.StoreState
	metAt time.Time
	// stopping is set once a stop was asked for, leaving at its end.
	stopping bool
	leaving  bool
	budget   lineBudget
}

// Run serves until some time after graceful ends, or until forced ends.
func (b *Balancer) Run(graceful, forced context.Context) (err error) {
	defer lentilerror.Annotate(&err, "run the balancer")
	if err = b.open(); err != nil {
		return err
	}
	defer func() { _ = b.ingress.Close() }()
	defer func() { _ = b.peers.Close() }()
	ctx, stop := context.WithCancel(forced)
	defer stop()
	var workers sync.WaitGroup
	workers.Go(func() { lentilserver.ServeDatagrams(b.ingress, make([]byte, readBuffer), b.fromClient) })
	workers.Go(func() { lentilserver.ServeDatagrams(b.peers, make([]byte, readBuffer), b.fromPeer) })
	workers.Go(func() { b.tick(ctx) })
	workers.Go(func() { b.configurations.Run(ctx) })
	workers.Go(func() { b.domains.Run(ctx) })
	workers.Go(func() { b.poll(ctx) })
	workers.Go(func() {
		self := Peer{Node: lentilflow.Node{Name: b.Settings.Name(), Domain: b.Settings.Domain(), Address: lentilflow.EndpointOf(b.Settings.PeerAddress())}}
		meet(ctx, b.Logger, b.Store.Balancers, b.Store.Agents, self, b.meet)
	})
	<-graceful.Done()
	b.beginStop()
	select {
	case <-time.After(b.Settings.StopGrace()):
	case <-forced.Done():
	}
	b.leave()
	stop()
	_, _ = b.ingress.Close(), b.peers.Close()
	workers.Wait()
	return nil
}

func (b *Balancer) open() (err error) {
	b.run = rand.Uint64()
	b.share.Random = rand.Float64
	b.prepareReaders()
	b.placer.Codec, b.placer.Random, b.placer.Domain = b.Codec, rand.Float64, b.Settings.Domain()
	if b.ingress, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Settings.IngressAddress())); err != nil {
		return err
	}
	if b.peers, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.Settings.PeerAddress())); err != nil {
		_ = b.ingress.Close()
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
	case b.metAt.IsZero():
		return lentilmetric.State{Reason: "the list of agents is not read yet"}
	case heard < known && time.Since(b.metAt) < meetingLimit:
		return lentilmetric.State{Reason: "some agents have not answered yet"}
	}
	return lentilmetric.State{Ready: true}
}

func (b *Balancer) fromClient(data []byte, _ netip.AddrPort) {
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

func (b *Balancer) fromPeer(data []byte, from netip.AddrPort) {
	var learned *lentilflow.Status
	defer func() {
		if learned != nil {
			b.learn(*learned)
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
	ticker := time.NewTicker(balancerTick)
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
			b.send(lentilframe.AppendCarry(b.frame[:0], a.Carry), a.To)
		case lentilplacement.SendAsk:
			b.send(lentilframe.AppendAsk(b.frame[:0], lentilflow.Ask{Keys: a.Keys}), a.To)
		case lentilplacement.ResetClient:
			b.Counts.Resets.Add(1)
			b.frame = b.Codec.AppendReset(b.frame[:0], a.Key, a.Sequence)
			b.write(b.ingress, netip.AddrPortFrom(a.Key.Client().AddrPort().Addr(), b.Settings.IngressAddress().Port()))
		case lentilplacement.Drop:
			b.Counts.Dropped.Add(1)
		case lentilplacement.SendHello:
			b.told.CheckedAgo = b.share.CheckedAgo()
			b.send(lentilframe.AppendHello(b.frame[:0], b.hello(b.told)), a.To)
		case lentilplacement.NotePlaced:
			b.Counts.placed(a.Latency)
		case lentilplacement.NoteSought, lentilplacement.NoteAgent:
		}
		b.log(a)
	}
}

func (b *Balancer) hello(knowledge lentilflow.StoreState) lentilflow.Hello {
	return lentilflow.Hello{Name: b.Settings.Name(), Domain: b.Settings.Domain(), RunID: b.run, Stopping: b.leaving, Store: knowledge}
}

func (b *Balancer) send(frame []byte, to lentilflow.Endpoint) {
	b.frame = frame
	b.write(b.peers, to.AddrPort())
}

func (b *Balancer) write(conn *net.UDPConn, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(b.frame, to); err != nil {
		b.Counts.Unsent.Add(1)
	}
}

// meet takes the list of agents.
func (b *Balancer) meet(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	actions := b.actions[:0]
	for _, p := range peers {
		actions = b.placer.AddPeer(p.Node, p.Service, p.Stopping, actions)
	}
	b.perform(actions)
	b.placer.SetAgentsComplete()
	b.metAt = time.Now()
	b.Logger.Write(lentilevent.PeersRead, lentilevent.Int("peers", len(peers)))
}

// leave tells the agents that this balancer needs no status any more.
func (b *Balancer) leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
	b.greetAll()
}

func (b *Balancer) beginStop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping = true
}
