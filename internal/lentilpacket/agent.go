package lentilpacket

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilframe"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilconntrack"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

const (
	// probeTimeout is how long an upstream on the same machine may take to accept a connection.
	probeTimeout = 250 * time.Millisecond
	// probeDelay is the time between the event that calls for a probe and the probe itself. It also spaces the
	// probes of an upstream that has deregistered and hasn't exited yet.
	probeDelay = 20 * time.Millisecond
	// lingerLimit is how long a stopped agent whose upstream has ended keeps resetting flows. It covers
	// the first retransmissions of clients.
	lingerLimit = 1500 * time.Millisecond
	// handoverDelay is how long a stopping agent keeps running, so balancers learn that it stops.
	handoverDelay = 100 * time.Millisecond
	// rejectedLineInterval is the time between two lines about rejected registrations after the first few. Upstreams
	// register about once a second.
	rejectedLineInterval = 10 * time.Second
)

// Agent runs the agent of packet flows beside its upstream.
type Agent struct {
	// Settings are validated. Codec reads and writes the packet format.
	Settings lentilsetting.PacketAgent
	Codec    lentilflow.Codec
	Store    Store
	Logger   lentilevent.Logger
	Counts   *Counts

	peerConn, outboundConn, upstreamConn *net.UDPConn

	mu sync.Mutex
	// configured is set once the tracker has its settings.
	configured  bool
	tracker     lentilconntrack.Tracker
	actions     []lentilconntrack.Action
	frameBuffer []byte
	logLimiter  logLimiter
	// registrationLimiter bounds the lines about rejected registrations. An upstream repeats them for as long as it runs.
	registrationLimiter lentilevent.RateLimiter
	era                 lentilera.Tracker
	// storeState has the latest state of the store that balancers have reported. storeCheckedAt is when a
	// process last read the store, as far as this agent knows.
	storeState     lentilflow.StoreState
	storeCheckedAt time.Time
	// reporter reports the ledger to the writer of the agent's group. Its Group is empty before the ledger was restored, and
	// if agents write their own.
	reporter lentilledger.Reporter
	// markerDue wakes maintainLedger for the run marker.
	markerDue chan struct{}
	// discover publishes the agent's entry and reads the list of balancers. confirm makes sure some time later that the entry
	// is still there.
	discover, confirm func()
	// discovering is set while rediscover publishes the entry and reads the list.
	discovering atomic.Bool
	workers     sync.WaitGroup
	// ctx ends probes. It is that of Run once the agent runs.
	ctx context.Context
}

// Run serves until graceful ends and the agent has handed over, or until forced ends.
func (a *Agent) Run(graceful, forced context.Context) (err error) {
	defer lentilerror.Annotate(&err, "run the agent")
	if err = a.open(); err != nil {
		return err
	}
	defer a.close()
	ctx, stop := context.WithCancel(forced)
	defer stop()
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	// The entry isn't published any more once the stop has marked or withdrawn it.
	entryCtx, stopPublishing := context.WithCancel(ctx)
	defer stopPublishing()
	self := a.entry()
	a.discover = func() { discoverPeers(entryCtx, a.Logger, a.Store.Agents, a.Store.Balancers, self, a.addPeers) }
	a.confirm = func() { confirmEntry(entryCtx, a.Logger, a.Store.Agents, self) }
	a.workers.Go(func() { lentilserver.ServeDatagrams(a.peerConn, make([]byte, readBufferSize), a.handlePeerMessage) })
	a.workers.Go(func() {
		lentilserver.ServeDatagrams(a.outboundConn, make([]byte, readBufferSize), a.handleUpstreamPacket)
	})
	a.workers.Go(func() { a.watchConnectionRefused() })
	a.workers.Go(func() { a.tick(ctx) })
	if a.Store.NotifyEra != nil {
		a.Store.NotifyEra(func(era uint64) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.observeEra(era, 0, eraFromStore)
		})
	}
	if a.Settings.FirstStart() {
		// No entry of the name can have been removed before.
		a.workers.Go(a.discover)
	} else {
		a.workers.Go(a.rediscover)
	}
	a.workers.Go(func() { a.maintainLedger(ctx) })
	<-graceful.Done()
	stopPublishing()
	a.stop(forced, self)
	stop()
	a.close()
	a.workers.Wait()
	return nil
}

// entry returns the agent's entry in its directory. The agent's sockets are open.
func (a *Agent) entry() Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Peer{
		Node:    lentilflow.Node{Name: a.Settings.Name(), Domain: a.Settings.Domain(), Address: lentilflow.EndpointOf(a.Settings.PeerAddress())},
		Service: a.Settings.Service(), RunID: a.tracker.RunID,
	}
}

// configureTracker passes the settings to the tracker, before its first event: the upstream may register before the agent has opened its
// sockets. The caller holds a.mu.
func (a *Agent) configureTracker() {
	if a.configured {
		return
	}
	a.configured = true
	a.tracker.Codec, a.tracker.RunID = a.Codec, rand.Uint64()
	a.tracker.Name, a.tracker.Domain, a.tracker.Service = a.Settings.Name(), a.Settings.Domain(), a.Settings.Service()
	a.tracker.Address = lentilflow.EndpointOf(a.Settings.PeerAddress())
	a.tracker.FlowsComplete, a.tracker.RenewInterval, a.tracker.IdleTimeout = a.Settings.FirstStart(), a.Settings.RenewInterval(), a.Settings.FlowIdleTimeout()
	a.tracker.AddressReuse, a.tracker.FairQueue = a.Settings.AddressReuse(), a.Settings.FairQueue()
	a.tracker.ColdFactor, a.tracker.ColdSlack = a.Settings.ColdFactor(), a.Settings.ColdSlack()
	a.tracker.MaxUnlisted, a.tracker.LedgerCovered = a.Settings.MaxUnlisted(), a.reporter.Covered
	a.tracker.Start()
	if a.ctx == nil {
		a.ctx = context.Background()
	}
}

func (a *Agent) open() (err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configureTracker()
	a.markerDue = make(chan struct{}, 1)
	defer func() {
		if err != nil {
			a.close()
		}
	}()
	if a.peerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.Settings.PeerAddress())); err != nil {
		return err
	}
	if a.outboundConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.Settings.OutboundAddress())); err != nil {
		return err
	}
	a.upstreamConn, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(a.Settings.UpstreamAddress()))
	return err
}

func (a *Agent) close() {
	for _, conn := range []*net.UDPConn{a.peerConn, a.outboundConn, a.upstreamConn} {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// Ready reports whether the agent accepts new flows, and the reason if it does not.
func (a *Agent) Ready() lentilmetric.Readiness {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.tracker.Stopping():
		return lentilmetric.Readiness{Reason: "stopping"}
	case a.tracker.Contested():
		return lentilmetric.Readiness{Reason: "upstreams of other services register at the upstream's address"}
	case a.tracker.Phase() != lentilflow.Ready:
		return lentilmetric.Readiness{Reason: "the upstream is not ready"}
	}
	return lentilmetric.Readiness{Ready: true}
}

// upstreamState returns the phase of the upstream, and whether it is known to have ended.
func (a *Agent) upstreamState() (phase lentilflow.Phase, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Phase(), a.tracker.UpstreamEnded()
}

var registrationErrors = errorx.NewNamespace("lentilpacket")

var (
	// ErrOtherUpstream means that a registration is of an upstream of another service, or at another address than the agent's.
	ErrOtherUpstream = registrationErrors.NewType("otherUpstream")
	// ErrNotInForce means that what a registration says isn't in force, so that it must not be acknowledged.
	ErrNotInForce = registrationErrors.NewType("notInForce")
)

// Register processes the registration of an upstream. If it returns no error, the registration may be acknowledged: what it says is in effect.
// Errors are of the types ErrOtherUpstream and ErrNotInForce.
func (a *Agent) Register(r lentilconntrack.Registration) (err error) {
	if own := a.Settings.UpstreamAddress(); !reaches(own, r.Address) {
		return ErrOtherUpstream.New("address %s is not the upstream's, %s", r.Address, own)
	}
	acknowledged := false
	a.handleEvent(func(actions []lentilconntrack.Action) []lentilconntrack.Action {
		actions = a.tracker.Register(r, actions)
		acknowledged = a.tracker.Acknowledges(r)
		return actions
	})
	switch own := a.Settings.Service(); {
	case r.Service != own:
		return ErrOtherUpstream.New("service %.80q is not the agent's service %q", r.Service, own)
	case !acknowledged:
		return ErrNotInForce.New("another run of the upstream is registered")
	}
	return nil
}

// reaches reports whether an upstream that names the address advertised may be the one at own. On the loopback address of the
// machine itself, only the port tells.
func reaches(own, advertised netip.AddrPort) bool {
	if !advertised.IsValid() {
		return true
	}
	isLocal := own.Addr() == netip.AddrFrom4([4]byte{127, 0, 0, 1}) || own.Addr() == netip.IPv6Loopback()
	return own.Port() == advertised.Port() && (isLocal || own.Addr().Unmap() == advertised.Addr().Unmap())
}

// Deregister processes the message of the upstream id that it is shutting down.
func (a *Agent) Deregister(id string) {
	a.handleEvent(func(actions []lentilconntrack.Action) []lentilconntrack.Action {
		return a.tracker.Deregister(id, actions)
	})
}

// handleEvent calls decide with the mutex held and performs the actions that it returns.
func (a *Agent) handleEvent(decide func([]lentilconntrack.Action) []lentilconntrack.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configureTracker()
	a.perform(decide(a.actions[:0]))
}

// addPeers adds the balancers that the store lists.
func (a *Agent) addPeers(peers []Peer) {
	a.handleEvent(func(actions []lentilconntrack.Action) []lentilconntrack.Action {
		for _, p := range peers {
			actions = a.tracker.AddPeer(p.Node, actions)
		}
		return actions
	})
	a.Logger.Write(lentilevent.PeersRead, lentilevent.Int("peers", len(peers)))
}

// handlePeerMessage processes a datagram from a balancer.
func (a *Agent) handlePeerMessage(data []byte, from netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sender, actions := lentilflow.EndpointOf(from), a.actions[:0]
	var err error
	switch lentilframe.KindOf(data) {
	case lentilframe.Carry:
		var m lentilflow.Carry
		a.Counts.Packets.Add(1)
		if m, err = lentilframe.ParseCarry(data); err == nil {
			actions, err = a.tracker.HandleCarry(sender, m, actions)
		}
	case lentilframe.Ask:
		var m lentilflow.Ask
		if m, err = lentilframe.ParseAsk(data); err == nil {
			actions = a.tracker.HandleAsk(sender, m, actions)
		}
	case lentilframe.Hello:
		var m lentilflow.Hello
		if m, err = lentilframe.ParseHello(data); err == nil {
			a.updateStoreState(m.Store)
			actions = a.tracker.HandleHello(sender, m, actions)
		}
	case lentilframe.LedgerAck:
		var m lentilledger.Ack
		if m, err = lentilframe.ParseLedgerAck(data); err == nil {
			a.reporter.HandleAck(sender, m)
		}
	case lentilframe.StopRequest:
		var m lentilflow.StopRequest
		if m, err = lentilframe.ParseStopRequest(data); err == nil {
			a.send(lentilframe.AppendStopAnswer(a.frameBuffer[:0], a.tracker.HandleStopRequest(m)), sender)
		}
	default:
		err = lentilframe.ErrFrame.New("agents do not accept frames of kind %d", lentilframe.KindOf(data))
	}
	if err != nil {
		a.Counts.Malformed.Add(1)
	}
	a.perform(actions)
}

// observeEra records an era of the store. After its return from an older copy, the agent writes its entry and its
// ledger again. The caller holds a.mu.
func (a *Agent) observeEra(era uint64, age time.Duration, source string) {
	if !observeEra(a.Logger, &a.era, era, age, source) {
		return
	}
	a.tracker.RenewLedger()
	balancers := a.tracker.BalancerCount()
	a.workers.Go(func() {
		renewEntry(a.ctx, a.Logger, era, balancers, a.discover)
		a.confirm()
	})
}

// rediscover publishes the agent's entry, which may have been removed. It does nothing while an earlier call still tries to.
func (a *Agent) rediscover() {
	if !a.discovering.CompareAndSwap(false, true) {
		return
	}
	a.discover()
	a.discovering.Store(false)
	a.confirm()
}

// updateStoreState merges the store state that a balancer reports. The agent passes it on with its status.
func (a *Agent) updateStoreState(state lentilflow.StoreState) {
	if state.Era > 0 {
		a.observeEra(state.Era, state.EraAge, eraFromPeer)
	}
	a.storeState = mergeStoreState(a.storeState, state)
	if state.Era < a.storeState.Era {
		return
	}
	if checkedAt := time.Now().Add(-state.CheckedAgo); checkedAt.After(a.storeCheckedAt) {
		a.storeCheckedAt = checkedAt
	}
}

// status returns the status for a balancer.
func (a *Agent) status(balancer lentilflow.Endpoint) lentilflow.Status {
	status := a.tracker.Status()
	status.Load = a.tracker.LoadFor(balancer)
	status.Store = a.storeState
	status.Store.CheckedAgo = time.Since(a.storeCheckedAt)
	status.ConfiguredBalancer = a.tracker.ConfiguredBalancer(balancer)
	status.Store.EraAge = 0
	switch {
	case !a.tracker.UnderstandsEra(balancer):
		status.Store.Era = 0
	case status.Store.Era == a.era.Era():
		status.Store.EraAge = a.era.Age()
	}
	return status
}

// handleUpstreamPacket processes a packet that the upstream sends to a client.
func (a *Agent) handleUpstreamPacket(data []byte, _ netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Counts.Packets.Add(1)
	actions, err := a.tracker.HandleUpstreamPacket(data, a.actions[:0])
	if err != nil {
		a.Counts.Malformed.Add(1)
		return
	}
	a.perform(actions)
}

// watchConnectionRefused reads the socket to the upstream for ECONNREFUSED, which means that nothing listens
// at the upstream's address.
func (a *Agent) watchConnectionRefused() {
	buffer := make([]byte, readBufferSize)
	for {
		_, err := a.upstreamConn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.handleEvent(a.tracker.HandlePacketRefused)
		}
	}
}

func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(agentTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.handleEvent(a.tracker.Tick)
		case <-ctx.Done():
			return
		}
	}
}

// perform executes the tracker's actions. The caller holds a.mu.
func (a *Agent) perform(actions []lentilconntrack.Action) {
	a.actions = actions
	connRefused := false
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case lentilconntrack.ToUpstream:
			if _, err := a.upstreamConn.Write(action.Packet); err != nil {
				a.Counts.Unsent.Add(1)
				// ECONNREFUSED reports that an earlier packet was refused.
				connRefused = connRefused || errors.Is(err, syscall.ECONNREFUSED)
			}
		case lentilconntrack.ToClient:
			a.Counts.recordAnswer(action.ResponseTime)
			a.write(action.Packet, a.clientAddress(action.Key))
		case lentilconntrack.ResetClient:
			a.Counts.Resets.Add(1)
			a.frameBuffer = a.Codec.AppendReset(a.frameBuffer[:0], action.Key, action.Sequence)
			a.write(a.frameBuffer, a.clientAddress(action.Key))
		case lentilconntrack.SendTaken:
			a.send(lentilframe.AppendTaken(a.frameBuffer[:0], lentilflow.Taken{Key: action.Key, Open: action.Open, Load: a.tracker.LoadFor(action.To)}), action.To)
		case lentilconntrack.SendRefused:
			a.Counts.Refused.Add(1)
			if action.Refusal == lentilflow.OtherService {
				a.Counts.RefusedOtherService.Add(1)
			}
			a.send(lentilframe.AppendRefused(a.frameBuffer[:0], lentilflow.Refused{Reason: action.Refusal, Load: a.tracker.LoadFor(action.To), Packet: action.Packet}), action.To)
		case lentilconntrack.SendDenied:
			a.send(lentilframe.AppendDenied(a.frameBuffer[:0], lentilflow.Denied{Keys: action.Keys, Unsure: action.Unsure}), action.To)
		case lentilconntrack.SendStatus:
			a.send(lentilframe.AppendStatus(a.frameBuffer[:0], a.status(action.To)), action.To)
		case lentilconntrack.ProbeUpstream:
			a.workers.Go(a.probeUpstream)
		case lentilconntrack.Rediscover:
			a.workers.Go(a.rediscover)
		case lentilconntrack.ReportStateChange, lentilconntrack.ReportQueueShare:
		}
		a.logAction(action)
	}
	a.Counts.CallersWaiting.Store(uint64(a.tracker.CallersWaiting()))
	a.Counts.RegistrationsIgnored.Store(a.tracker.IgnoredRegistrations())
	a.Counts.ServedOutOfOrder.Store(a.tracker.ServedOutOfOrder())
	if a.tracker.RunMarkerDue() {
		select {
		case a.markerDue <- struct{}{}:
		default:
		}
	}
	if connRefused {
		a.perform(a.tracker.HandlePacketRefused(a.actions[:0]))
	}
}

// clientAddress returns where packets for the client of a flow are sent: the client's IP address with the
// configured port. The port in the key is read from the packets and isn't a UDP port.
func (a *Agent) clientAddress(key lentilflow.Key) netip.AddrPort {
	return netip.AddrPortFrom(key.Client().AddrPort().Addr(), a.Settings.ClientPort())
}

func (a *Agent) send(frame []byte, to lentilflow.Endpoint) {
	a.frameBuffer = frame
	a.write(frame, to.AddrPort())
}

func (a *Agent) write(data []byte, to netip.AddrPort) {
	if _, err := a.peerConn.WriteToUDPAddrPort(data, to); err != nil {
		a.Counts.Unsent.Add(1)
	}
}
