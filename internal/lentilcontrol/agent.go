package lentilcontrol

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// heartbeatCheckInterval is how often an agent checks whether a heartbeat is due.
const heartbeatCheckInterval = 100 * time.Millisecond

// Agent is the control plane of an agent process. Set the fields, call Announce, then Start.
// The callbacks run one at a time and must not block.
type Agent struct {
	// Clock is the time source; nil means the system clock.
	Clock lentilclock.Clock
	// Seeds are control addresses of the balancers to contact first.
	Seeds []netip.AddrPort
	// ClientTLS is the TLS configuration for control connections. Nil means no TLS, for tests.
	ClientTLS *tls.Config
	// HeartbeatInterval is the time between heartbeats; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// OnConfiguration is called with the agent's service part of each newer configuration.
	OnConfiguration func(lentilconfig.Configuration)
	// OnPeers is called with the other agents of the service and their loads.
	OnPeers func([]lentilrecord.Record)
	// OnBalancers is called with the control addresses of the lease holders and spares.
	OnBalancers func([]netip.AddrPort)

	mu        sync.Mutex
	announcer Announcer
	// callbackMu serializes the callbacks.
	callbackMu sync.Mutex
	prepared   bool
	dialer     *Dialer
	calls      sync.WaitGroup
	context    context.Context
}

// Announce sets the record to announce from now on. Its version is ignored.
func (a *Agent) Announce(doc lentilrecord.Doc) {
	a.mu.Lock()
	a.prepare()
	a.announcer.SetRecord(doc)
	running := a.context != nil
	a.mu.Unlock()
	if running {
		a.step()
	}
}

func (a *Agent) prepare() {
	if a.prepared {
		return
	}
	a.prepared = true
	a.announcer.Clock = a.Clock
	a.announcer.Seeds = a.Seeds
	a.announcer.HeartbeatInterval = a.HeartbeatInterval
	a.dialer = &Dialer{TLS: a.ClientTLS}
}

// Start begins to send heartbeats, until ctx ends.
func (a *Agent) Start(ctx context.Context) {
	a.mu.Lock()
	a.prepare()
	a.context = ctx
	a.mu.Unlock()
	go a.run()
}

func (a *Agent) run() {
	ticker := time.NewTicker(heartbeatCheckInterval)
	defer ticker.Stop()
	for {
		a.step()
		select {
		case <-a.context.Done():
			a.calls.Wait()
			a.dialer.Close()
			return
		case <-ticker.C:
		}
	}
}

// step sends the heartbeats that are due.
func (a *Agent) step() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.context.Err() != nil {
		return
	}
	for _, heartbeat := range a.announcer.Tick() {
		a.calls.Add(1)
		go a.send(heartbeat)
	}
}

func (a *Agent) send(heartbeat Heartbeat) {
	defer a.calls.Done()
	ctx, cancel := context.WithTimeout(a.context, callTimeout)
	defer cancel()
	response, err := a.dialer.Client(heartbeat.To).Announce(ctx, connect.NewRequest(heartbeat.Request))
	a.callbackMu.Lock()
	defer a.callbackMu.Unlock()
	if err != nil {
		a.handleResponse(heartbeat, nil)
		return
	}
	a.handleResponse(heartbeat, response.Msg)
}

// handleResponse processes an answer, which is nil after a failure. It calls the callbacks
// without holding mu, so that they may call Announce.
func (a *Agent) handleResponse(heartbeat Heartbeat, response *lentilcontrolpb.AnnounceResponse) {
	a.mu.Lock()
	a.announcer.HandleOutcome(heartbeat, response)
	changes := a.announcer.TakeChanges()
	configuration := a.announcer.Configuration()
	peers := a.announcer.Peers()
	balancers := a.announcer.Balancers()
	a.mu.Unlock()
	if changes.Configuration && a.OnConfiguration != nil {
		a.OnConfiguration(configuration)
	}
	if changes.Peers && a.OnPeers != nil {
		a.OnPeers(peers)
	}
	if changes.Balancers && a.OnBalancers != nil {
		a.OnBalancers(balancers)
	}
}

// Leave announces that the copy has ended and waits until a balancer acknowledges this or ctx
// ends. Call it before the context of Start ends.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	doc := a.announcer.doc
	doc.Phase = lentilrecord.Gone
	doc.Weight = 0
	a.announcer.SetRecord(doc)
	a.mu.Unlock()
	a.step()
	ticker := time.NewTicker(heartbeatCheckInterval)
	defer ticker.Stop()
	for !a.acknowledged() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) acknowledged() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcer.Acknowledged()
}

// Version returns the version of the configuration in force here.
func (a *Agent) Version() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcer.Version()
}

// Bytes returns how many bytes control connections have transferred in both directions,
// including TLS overhead but not TCP headers.
func (a *Agent) Bytes() uint64 {
	a.mu.Lock()
	dialer := a.dialer
	a.mu.Unlock()
	if dialer == nil {
		return 0
	}
	return dialer.Bytes()
}
