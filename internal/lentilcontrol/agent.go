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

// heartbeatCheckInterval is how often an agent looks whether a heartbeat is due.
const heartbeatCheckInterval = 100 * time.Millisecond

// Agent is the control side of an agent process. Set the fields, call Announce,
// then Start. The callbacks are called one at a time and must not block.
type Agent struct {
	// Clock tells the time; nil means the machine's.
	Clock lentilclock.Clock
	// Seeds are control addresses of balancers to begin with.
	Seeds []netip.AddrPort
	// ClientTLS is for control connections; nil means none, which is for tests.
	ClientTLS *tls.Config
	// HeartbeatInterval is the time between heartbeats; 0 means DefaultHeartbeat.
	HeartbeatInterval time.Duration
	// OnConfiguration is called with the agent's part of each newer configuration.
	OnConfiguration func(lentilconfig.Configuration)
	// OnPeers is called with the other agents of the service and their loads.
	OnPeers func([]lentilrecord.Record)
	// OnBalancers is called with the balancers to turn to.
	OnBalancers func([]netip.AddrPort)

	mu         sync.Mutex
	announcer  Announcer
	callbackMu sync.Mutex
	prepared   bool
	dialer     *Dialer
	calls      sync.WaitGroup
	context    context.Context
}

// Announce sets what is announced from now on. The version is ignored.
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

// Start begins to announce, until ctx ends.
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
	for _, beat := range a.announcer.Tick() {
		a.calls.Add(1)
		go a.send(beat)
	}
}

func (a *Agent) send(beat Heartbeat) {
	defer a.calls.Done()
	ctx, cancel := context.WithTimeout(a.context, callTimeout)
	defer cancel()
	response, err := a.dialer.Client(beat.To).Announce(ctx, connect.NewRequest(beat.Request))
	a.callbackMu.Lock()
	defer a.callbackMu.Unlock()
	if err != nil {
		a.handleResponse(beat, nil)
		return
	}
	a.handleResponse(beat, response.Msg)
}

// handleResponse takes in an answer, or nil after a failure, and calls the callbacks outside of
// the lock, so that they may announce.
func (a *Agent) handleResponse(beat Heartbeat, response *lentilcontrolpb.AnnounceResponse) {
	a.mu.Lock()
	a.announcer.HandleOutcome(beat, response)
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

// Leave announces that the copy has ended and waits until a balancer knows it or
// ctx ends. Call it before the context of Start ends.
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

// Bytes returns how many bytes of control have passed in both directions, TLS
// included and TCP excluded.
func (a *Agent) Bytes() uint64 {
	a.mu.Lock()
	dialer := a.dialer
	a.mu.Unlock()
	if dialer == nil {
		return 0
	}
	return dialer.Bytes()
}
