package lentilpacket

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilframe"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilcustody"
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilfollow"
)

const (
	// checkTimeout is how long an upstream on the same machine may take to accept a connection.
	checkTimeout = 250 * time.Millisecond
	// checkPause is the time between an occasion for a check and the check.
	checkPause = 20 * time.Millisecond
	// lingerLimit is how long an agent whose upstream has ended goes on resetting flows when it is
	// stopped: the first retransmissions of clients.
	lingerLimit = 1500 * time.Millisecond
	// ledgerTick is how often the agent looks whether its ledger is to be written.
	ledgerTick = time.Second
	// handoverPause lets balancers learn that the agent stops.
	handoverPause = 100 * time.Millisecond
)

// Agent runs the agent of packet flows.
type Agent struct {
	// Settings are the checked settings, Codec the format of the packets, Store the store.
	Settings lentilsetting.PacketAgent
	Codec    lentilflow.Codec
	Store    Store
	Logger   lentilevent.Logger
	Counts   *Counts

	peers, outbound, upstream *net.UDPConn
	domains                   lentilfollow.Reader[struct{}]

	mu        sync.Mutex
	custodian lentilcustody.Tracker
	actions   []lentilcustody.Action
	frame     []byte
	budget    lineBudget
	// knowledge is the latest of what balancers have told, and checkedAt when the store was looked at.
	knowledge lentilflow.StoreState
	checkedAt time.Time
	rejoin    func()
	workers   sync.WaitGroup
	ctx       context.Context
}

// Run serves until some time after graceful ends, or until forced ends.
func (a *Agent) Run(graceful, forced context.Context) (err error) {
	defer lentilerror.Annotate(&err, "run the agent")
	if err = a.open(); err != nil {
		return err
	}
	defer a.close()
	ctx, stop := context.WithCancel(forced)
	defer stop()
	a.ctx = ctx
	self := Peer{
		Node:    lentilflow.Node{Name: a.Settings.Name(), Domain: a.Settings.Domain(), Address: lentilflow.EndpointOf(a.Settings.PeerAddress())},
		Service: a.Settings.Service(),
	}
	a.workers.Go(func() { lentilserver.ServeDatagrams(a.peers, make([]byte, readBuffer), a.fromPeer) })
	a.workers.Go(func() { lentilserver.ServeDatagrams(a.outbound, make([]byte, readBuffer), a.fromUpstream) })
	a.workers.Go(func() { a.watchRefusals() })
	a.workers.Go(func() { a.tick(ctx) })
	a.domains = lentilfollow.Reader[struct{}]{Source: a.Store.DomainsOut, Sink: domainSink(a.Logger, func(out map[string]bool) {
		a.do(func(actions []lentilcustody.Action) []lentilcustody.Action {
			return a.custodian.SetOut(out[a.Settings.Domain()], actions)
		})
	})}
	a.workers.Go(func() { a.domains.Run(ctx) })
	a.rejoin = func() { meet(ctx, a.Logger, a.Store.Agents, a.Store.Balancers, self, a.meet) }
	a.workers.Go(a.rejoin)
	a.workers.Go(func() { a.keepLedger(ctx) })
	<-graceful.Done()
	a.stop(forced, self)
	stop()
	a.close()
	a.workers.Wait()
	return nil
}

func (a *Agent) open() (err error) {
	a.custodian.Codec, a.custodian.RunID = a.Codec, rand.Uint64()
	a.custodian.Name, a.custodian.Domain, a.custodian.Service = a.Settings.Name(), a.Settings.Domain(), a.Settings.Service()
	a.custodian.Address = lentilflow.EndpointOf(a.Settings.PeerAddress())
	a.custodian.FlowsComplete, a.custodian.RenewInterval, a.custodian.IdleTimeout = a.Settings.FirstStart(), a.Settings.RenewInterval(), a.Settings.FlowLife()
	a.custodian.ColdFactor, a.custodian.ColdSlack = a.Settings.ColdFactor(), a.Settings.ColdSlack()
	defer func() {
		if err != nil {
			a.close()
		}
	}()
	if a.peers, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.Settings.PeerAddress())); err != nil {
		return err
	}
	if a.outbound, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.Settings.OutboundAddress())); err != nil {
		return err
	}
	a.upstream, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.Settings.UpstreamAddress()))
	return err
}

func (a *Agent) close() {
	for _, conn := range []*net.UDPConn{a.peers, a.outbound, a.upstream} {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// Ready says whether the agent takes new flows.
func (a *Agent) Ready() lentilmetric.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.custodian.Stopping():
		return lentilmetric.State{Reason: "stopping"}
	case a.custodian.Phase() != lentilflow.Ready:
		return lentilmetric.State{Reason: "the upstream is not ready"}
	}
	return lentilmetric.State{Ready: true}
}

func (a *Agent) phase() lentilflow.Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.custodian.Phase()
}

// Register takes an upstream's registration. What it says is in force when Register returns.
func (a *Agent) Register(r lentilcustody.Registration) {
	a.do(func(actions []lentilcustody.Action) []lentilcustody.Action { return a.custodian.Register(r, actions) })
}

// Leave takes the sign-off of an upstream.
func (a *Agent) Leave(id string) {
	a.do(func(actions []lentilcustody.Action) []lentilcustody.Action {
		return a.custodian.Deregister(id, actions)
	})
}

// do lets the custodian decide about an event and does what it asks for.
func (a *Agent) do(decide func([]lentilcustody.Action) []lentilcustody.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(decide(a.actions[:0]))
}

// keepLedger takes what an earlier run has left, and then writes the list of flows from time to time.
func (a *Agent) keepLedger(ctx context.Context) {
	if !a.Settings.FirstStart() {
		retry(ctx, a.Logger, "ledger", func() error {
			ledger, err := a.Store.Ledgers.Load(ctx, a.Settings.Name())
			if err == nil {
				a.do(func(actions []lentilcustody.Action) []lentilcustody.Action {
					return a.custodian.Restore(ledger, actions)
				})
			}
			return err
		})
	}
	ticker := time.NewTicker(ledgerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		a.mu.Lock()
		ledger, due := a.custodian.DueLedger()
		a.mu.Unlock()
		if !due {
			continue
		}
		// The next one replaces a ledger that couldn't be written.
		if err := a.Store.Ledgers.Save(ctx, a.Settings.Name(), ledger); err != nil && ctx.Err() == nil {
			a.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", "ledger"), lentilevent.Err(err))
		}
	}
}

func (a *Agent) meet(peers []Peer) {
	a.do(func(actions []lentilcustody.Action) []lentilcustody.Action {
		for _, p := range peers {
			actions = a.custodian.AddPeer(p.Node, actions)
		}
		return actions
	})
	a.Logger.Write(lentilevent.PeersRead, lentilevent.Int("peers", len(peers)))
}

func (a *Agent) fromPeer(data []byte, from netip.AddrPort) {
	var learned uint64
	// The reader is told outside of this event, since it holds its lock while it applies.
	defer func() {
		if learned > 0 {
			a.domains.ObservePeerRevision(learned)
		}
	}()
	a.mu.Lock()
	defer a.mu.Unlock()
	end, actions := lentilflow.EndpointOf(from), a.actions[:0]
	var err error
	switch lentilframe.KindOf(data) {
	case lentilframe.Carry:
		var m lentilflow.Carry
		a.Counts.Packets.Add(1)
		if m, err = lentilframe.ParseCarry(data); err == nil {
			actions, err = a.custodian.HandleCarry(end, m, actions)
		}
	case lentilframe.Ask:
		var m lentilflow.Ask
		if m, err = lentilframe.ParseAsk(data); err == nil {
			actions = a.custodian.HandleAsk(end, m, actions)
		}
	case lentilframe.Hello:
		var m lentilflow.Hello
		if m, err = lentilframe.ParseHello(data); err == nil {
			a.learn(m.Store)
			learned = m.Store.DomainsRevision
			actions = a.custodian.HandleHello(end, m, actions)
		}
	default:
		err = lentilframe.ErrFrame.New("kind %d is not for agents", lentilframe.KindOf(data))
	}
	if err != nil {
		a.Counts.Malformed.Add(1)
	}
	a.perform(actions)
}

// learn takes what a balancer knows of the store, to pass it on with the status.
func (a *Agent) learn(k lentilflow.StoreState) {
	a.knowledge.ConfigurationRevision = max(a.knowledge.ConfigurationRevision, k.ConfigurationRevision)
	a.knowledge.DomainsRevision = max(a.knowledge.DomainsRevision, k.DomainsRevision)
	if at := time.Now().Add(-k.CheckedAgo); at.After(a.checkedAt) {
		a.checkedAt = at
	}
}

func (a *Agent) status() lentilflow.Status {
	status := a.custodian.Status()
	status.Store = a.knowledge
	status.Store.CheckedAgo = time.Since(a.checkedAt)
	return status
}

func (a *Agent) fromUpstream(data []byte, _ netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Counts.Packets.Add(1)
	actions, err := a.custodian.HandleUpstreamPacket(data, a.actions[:0])
	if err != nil {
		a.Counts.Malformed.Add(1)
		return
	}
	a.perform(actions)
}

// watchRefusals reads what the upstream's machine says about packets that nobody took.
func (a *Agent) watchRefusals() {
	buffer := make([]byte, readBuffer)
	for {
		_, err := a.upstream.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.do(a.custodian.HandlePacketRefused)
		}
	}
}

func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.do(a.custodian.Tick)
		case <-ctx.Done():
			return
		}
	}
}

// perform does what was decided, while a.mu is held.
func (a *Agent) perform(actions []lentilcustody.Action) {
	a.actions = actions
	refused := false
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case lentilcustody.ToUpstream:
			if _, err := a.upstream.Write(action.Packet); err != nil {
				a.Counts.Unsent.Add(1)
				// The error is about an earlier packet.
				refused = refused || errors.Is(err, syscall.ECONNREFUSED)
			}
		case lentilcustody.ToClient:
			a.Counts.answered(action.ResponseTime)
			a.write(action.Packet, a.clientAddress(action.Key))
		case lentilcustody.ResetClient:
			a.Counts.Resets.Add(1)
			a.frame = a.Codec.AppendReset(a.frame[:0], action.Key, action.Sequence)
			a.write(a.frame, a.clientAddress(action.Key))
		case lentilcustody.SendTaken:
			a.send(lentilframe.AppendTaken(a.frame[:0], lentilflow.Taken{Key: action.Key, Open: action.Open, Load: a.custodian.Load()}), action.To)
		case lentilcustody.SendRefused:
			a.Counts.Refused.Add(1)
			a.send(lentilframe.AppendRefused(a.frame[:0], lentilflow.Refused{Reason: action.Refusal, Load: a.custodian.Load(), Packet: action.Packet}), action.To)
		case lentilcustody.SendDenied:
			a.send(lentilframe.AppendDenied(a.frame[:0], lentilflow.Denied{Keys: action.Keys, Unsure: action.Unsure}), action.To)
		case lentilcustody.SendStatus:
			a.send(lentilframe.AppendStatus(a.frame[:0], a.status()), action.To)
		case lentilcustody.Check:
			a.workers.Go(a.check)
		case lentilcustody.Rejoin:
			a.workers.Go(a.rejoin)
		case lentilcustody.Note:
		}
		a.log(action)
	}
	if refused {
		a.perform(a.custodian.HandlePacketRefused(a.actions[:0]))
	}
}

func (a *Agent) clientAddress(key lentilflow.Key) netip.AddrPort {
	return netip.AddrPortFrom(key.Client().AddrPort().Addr(), a.Settings.ClientPort())
}

func (a *Agent) send(frame []byte, to lentilflow.Endpoint) {
	a.frame = frame
	a.write(frame, to.AddrPort())
}

func (a *Agent) write(data []byte, to netip.AddrPort) {
	if _, err := a.peers.WriteToUDPAddrPort(data, to); err != nil {
		a.Counts.Unsent.Add(1)
	}
}
