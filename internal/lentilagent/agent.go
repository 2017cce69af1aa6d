// Package lentilagent runs an agent, the process beside one copy, which is a running
// licensed instance of a service. It terminates the callers' HTTP/3 connections, whose
// packets balancers send to it through the tunnel. It proxies the requests to the copy
// over HTTP on the same machine, and sends the copy no more of them than its capacity
// allows.
//
// The package does the input and output; other packages make the decisions. lentilpin
// decides which packets belong to local flows. One actor, the coordinator, owns admission,
// hand-off, tickets and retries: handlers send it typed messages and carry out the orders
// that it replies with.
package lentilagent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"

	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentiltunnel"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// DefaultDrainLimit is how long a planned stop waits for open streams by default.
const DefaultDrainLimit = 10 * time.Minute

// Options configures an agent.
type Options struct {
	// Copy is the name of the copy in the configuration. Service and Domain are the
	// numbers of its service and failure domain.
	Copy    string
	Service lentilid.Service
	Domain  lentilid.Domain
	// Incarnation identifies this run of the agent process; it is never zero.
	Incarnation lentilid.Incarnation
	// Tunnel is the address (UDP, IPv4) that receives tunnelled packets of flows. Control
	// is the address (TCP) that receives relayed requests and control calls.
	Tunnel, Control netip.AddrPort
	// Upstream is the URL of the copy, such as http://127.0.0.1:8080.
	Upstream *url.URL
	// CertificateFile and KeyFile hold the TLS certificate for callers and its key, in PEM.
	CertificateFile, KeyFile string
	// Ring holds the secrets from which the keys that authenticate tunnel packets, peers,
	// tickets and places are derived.
	Ring lentilkey.Ring
	// DrainLimit is how long a planned stop waits for open streams; zero is
	// DefaultDrainLimit.
	DrainLimit time.Duration
	// DisableHandOff keeps new flows and requests here even if a peer has more room. A
	// draining agent hands them off nevertheless.
	DisableHandOff bool
	// HedgePercent is the highest number of extra attempts at slow repeatable requests per
	// hundred requests; zero means none.
	HedgePercent int
	// OnHedge is called at the end of each request with an extra attempt. It may be nil.
	OnHedge func(HedgeReport)
	// WarmupTime is the minimum time in which a cold copy grows to all its slots; zero is
	// lentillimit's default.
	WarmupTime time.Duration
	// Clock is the source of time; nil is the machine's clock.
	Clock lentilclock.Clock
	// WithTimeout limits requests whose callers set a timeout; nil is context.WithTimeout. It has to measure the
	// time as Clock does.
	WithTimeout func(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc)
	// Random returns uniformly distributed numbers in [0, 1); nil is math/rand/v2.Float64.
	Random func() float64
	// Announce publishes the agent's record; nil publishes nothing.
	Announce func(lentilrecord.Doc)
	// OnCertificate is called after changed certificate files were read, with the error
	// if they can't be used. It may be nil.
	OnCertificate func(error)
	// ControlHandler serves all requests to the control address but relayed ones; nil
	// answers them with 404.
	ControlHandler http.Handler
}

// Agent is a running agent.
type Agent struct {
	options     Options
	upstreamURL string
	ticketKeys  lentilticket.Ring
	certificate certificate

	tunnelConn *net.UDPConn
	codec      *lentiltunnel.Codec
	// flowConn carries packets to and from the QUIC transport. flowTracker decides which
	// packets belong to local flows.
	flowConn      *flowConn
	flowTracker   *flowTracker
	returnPaths   returnPaths
	quicTransport *quic.Transport
	frontend      *frontend
	controlServer *http.Server

	actorSystem *actor.ActorSystem
	coordinator *actor.PID
	snapshot    atomic.Pointer[snapshot]
	service     atomic.Pointer[lentilconfig.Service]
	draining    atomic.Bool // whether a planned stop has begun
	// domainOut is true while the agent's failure domain is out of service.
	domainOut      atomic.Bool
	lastExchangeID atomic.Uint64
	inProgress     atomic.Int64 // running handlers and calls to the copy under a ticket
	stats          stats

	// copyTransport sends requests to the copy, peerTransport to other agents.
	copyTransport, peerTransport *http.Transport

	lastAnnouncement announcement
	stopWorkers      context.CancelFunc
	workers          sync.WaitGroup
	closeOnce        sync.Once
}

// New opens the sockets of an agent and starts to serve.
func New(options Options) (agent *Agent, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "start agent")
		}
	}()
	a := &Agent{options: options.withDefaults(), upstreamURL: "http://" + options.Upstream.Host}
	a.returnPaths.clock = a.options.Clock
	a.certificate = certificate{certificateFile: options.CertificateFile, keyFile: options.KeyFile}
	if err = a.certificate.load(); err != nil {
		return nil, err
	}
	if err = a.openTunnel(); err != nil {
		return nil, err
	}
	if err = a.startServers(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// withDefaults returns the options with defaults for unset fields.
func (o Options) withDefaults() Options {
	if o.DrainLimit <= 0 {
		o.DrainLimit = DefaultDrainLimit
	}
	o.Clock = lentilclock.OrSystem(o.Clock)
	if o.WithTimeout == nil {
		o.WithTimeout = context.WithTimeout
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Announce == nil {
		o.Announce = func(lentilrecord.Doc) {}
	}
	if o.OnCertificate == nil {
		o.OnCertificate = func(error) {}
	}
	if o.OnHedge == nil {
		o.OnHedge = func(HedgeReport) {}
	}
	if o.ControlHandler == nil {
		o.ControlHandler = http.NotFoundHandler()
	}
	return o
}

// openTunnel derives the keys, binds the tunnel socket and sets up the flow tracker.
func (a *Agent) openTunnel() (err error) {
	if a.codec, err = lentiltunnel.New(a.options.Ring); err != nil {
		return err
	}
	keys, err := a.options.Ring.Derive(lentilkey.Ticket, ticketKeyBytes)
	if err != nil {
		return err
	}
	for _, k := range keys {
		a.ticketKeys = append(a.ticketKeys, lentilticket.Key{ID: k.ID(), Secret: k.Bytes()})
	}
	a.tunnelConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.options.Tunnel))
	if err != nil {
		return err
	}
	_ = a.tunnelConn.SetReadBuffer(socketBufferBytes)
	_ = a.tunnelConn.SetWriteBuffer(socketBufferBytes)
	a.options.Tunnel = a.tunnelConn.LocalAddr().(*net.UDPAddr).AddrPort()
	a.flowConn = newFlowConn(a.tunnelConn.LocalAddr(), a.sendAnswer)
	sealer, err := a.options.Ring.Sealer()
	if err != nil {
		return err
	}
	a.flowTracker = newFlowTracker(a, sealer)
	return nil
}

// startServers starts the coordinator, the servers and the background goroutines.
func (a *Agent) startServers() (err error) {
	listener, err := a.listenControl()
	if err != nil {
		return err
	}
	a.actorSystem = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	c := newCoordinator(&a.options, &a.snapshot)
	a.coordinator = a.actorSystem.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return c }))
	a.copyTransport = newCopyTransport()
	if err = a.startFrontend(); err != nil {
		_ = listener.Close()
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	a.stopWorkers = stop
	a.workers.Go(func() { _ = a.controlServer.Serve(listener) })
	for range tunnelReaders {
		a.workers.Go(a.receivePackets)
	}
	a.workers.Go(func() { a.runTimers(ctx) })
	return nil
}

// discardLogger keeps log lines of the actor library out of the agent's log, which holds
// numbered events only.
func discardLogger(*actor.ActorSystem) (logger *slog.Logger) { return slog.New(slog.DiscardHandler) }

// notify sends a message to the coordinator.
func (a *Agent) notify(message any) { a.actorSystem.Root.Send(a.coordinator, message) }

// TunnelAddress returns the address that receives tunnelled packets of flows.
func (a *Agent) TunnelAddress() netip.AddrPort { return a.options.Tunnel }

// ControlAddress returns the address that receives relayed requests and control calls.
func (a *Agent) ControlAddress() netip.AddrPort { return a.options.Control }

// Draining reports whether the agent accepts no new work.
func (a *Agent) Draining() bool { return a.snapshot.Load().draining }

// Idle reports whether no request is in progress.
func (a *Agent) Idle() bool { return a.inProgress.Load() == 0 && a.snapshot.Load().idle }

// place returns the place of the agent's flows.
func (a *Agent) place() (place lentilid.Place) {
	return lentilid.NewPlace(a.options.Tunnel, a.options.Domain, a.options.Service, a.options.Incarnation)
}

// Configure applies a configuration. The agent drains if the configuration doesn't list its
// service or copy, or lists the copy as draining.
func (a *Agent) Configure(configuration lentilconfig.Configuration) {
	a.flowTracker.configure(configuration)
	service := configuration.Service(a.options.Service)
	if service == nil {
		a.setDraining(true)
		return
	}
	a.notify(serviceConfigured{
		slots:       service.Slots(),
		connections: service.Connections(),
		out:         func(domain lentilid.Domain) bool { return isOut(configuration, domain) },
	})
	a.service.Store(service)
	a.setOut(isOut(configuration, a.options.Domain))
	listed := configuration.Copy(a.options.Copy)
	a.setDraining(listed == nil || listed.Draining())
}

// isOut reports whether a failure domain is out of service.
func isOut(configuration lentilconfig.Configuration, number lentilid.Domain) bool {
	domain := configuration.Domain(number)
	return domain != nil && domain.Out()
}

// SetPeers replaces the records of the other agents of the service. For packets of flows,
// agents without a record in records are forgotten at once. For requests, such an agent
// stays a peer until its last record is too old.
func (a *Agent) SetPeers(records []lentilrecord.Record) {
	a.notify(peersChanged{records})
	a.flowTracker.setPeers(records)
}

// SetBalancers sets the tunnel addresses of the live balancers.
func (a *Agent) SetBalancers(live []netip.AddrPort) { a.returnPaths.setLive(live) }
