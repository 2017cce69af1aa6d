// Package lentilagent is the shell of an agent: it stands beside one copy, ends
// the callers' HTTP/3 connections that live there, and passes requests to the copy
// over HTTP on the same machine.
//
// The decisions are made elsewhere: lentilpin says which packets are local, and one
// actor, the decider, owns admission, hand-off, tickets and retries. Handlers send it
// typed messages and carry out its orders.
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

// DefaultDrainLimit is how long a planned stop waits for open streams.
const DefaultDrainLimit = 10 * time.Minute

// Options say where and how an agent works.
type Options struct {
	// Copy is the copy's name in configuration, Service and Domain are the numbers of its
	// service and failure domain there.
	Copy    string
	Service lentilid.Service
	Domain  lentilid.Domain
	// Incarnation tells this run of the agent from all others; it is never zero.
	Incarnation lentilid.Incarnation
	// Tunnel is the address (UDP, IPv4) for packets of flows. Control is the
	// address (TCP) for relayed requests and calls.
	Tunnel, Control netip.AddrPort
	// Upstream is the address of the copy, such as http://127.0.0.1:8080.
	Upstream *url.URL
	// CertificateFile and KeyFile hold what callers see, in PEM.
	CertificateFile, KeyFile string
	// Ring authenticates tunnel packets, peers, tickets and places.
	Ring lentilkey.Ring
	// DrainLimit is how long a planned stop waits for open streams; zero is
	// DefaultDrainLimit.
	DrainLimit time.Duration
	// DisableHandOff turns hand-off to peers with more room off.
	DisableHandOff bool
	// WarmupTime is the least time from cold to all slots; zero is lentillimit's default.
	WarmupTime time.Duration
	// Clock tells the time; nil means the machine's.
	Clock lentilclock.Clock
	// Random returns evenly spread numbers in [0, 1); nil means the shared source.
	Random func() float64
	// Announce spreads what the agent says of its copy; nil spreads nothing.
	Announce func(lentilrecord.Doc)
	// OnCertificate is called when the certificate's files have changed and were
	// read, with the error if they can't be used; nil wants no call.
	OnCertificate func(error)
	// ControlHandler serves what comes to the control address beside relayed requests.
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
	// flowConn hands packets to QUIC and takes its answers; flowsHere decides which packets
	// are local.
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
	draining    atomic.Bool // whether callers are sent elsewhere
	// domainOut is whether operators have taken the own failure domain out.
	domainOut      atomic.Bool
	lastExchangeID atomic.Uint64 // the number of the latest exchange
	inProgress     atomic.Int64  // handlers and runs in progress
	stats          stats

	// pooledTransport calls the copy for what may be repeated, singleUseTransport for what may not, and
	// peerTransport calls other agents.
	pooledTransport, singleUseTransport, peerTransport *http.Transport

	lastAnnouncement announcement
	stopWorkers      context.CancelFunc
	workers          sync.WaitGroup
	closeOnce        sync.Once
}

// New opens the sockets of an agent and begins to serve.
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

// withDefaults fills what is not set.
func (o Options) withDefaults() Options {
	if o.DrainLimit <= 0 {
		o.DrainLimit = DefaultDrainLimit
	}
	o.Clock = lentilclock.OrSystem(o.Clock)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Announce == nil {
		o.Announce = func(lentilrecord.Doc) {}
	}
	if o.OnCertificate == nil {
		o.OnCertificate = func(error) {}
	}
	if o.ControlHandler == nil {
		o.ControlHandler = http.NotFoundHandler()
	}
	return o
}

// openTunnel binds the tunnel's socket and derives the keys.
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

// startServers starts the actor and everything that serves.
func (a *Agent) startServers() (err error) {
	listener, err := a.listenControl()
	if err != nil {
		return err
	}
	a.actorSystem = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	d := newCoordinator(&a.options, &a.snapshot)
	a.coordinator = a.actorSystem.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return d }))
	a.pooledTransport, a.singleUseTransport = newPooledTransport(), newSingleUseTransport()
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

// discardLogger keeps the actor library's own lines out of the log of numbered events.
func discardLogger(*actor.ActorSystem) (logger *slog.Logger) { return slog.New(slog.DiscardHandler) }

// notify sends a message to the decider.
func (a *Agent) notify(message any) { a.actorSystem.Root.Send(a.coordinator, message) }

// TunnelAddress returns the address for packets of flows.
func (a *Agent) TunnelAddress() netip.AddrPort { return a.options.Tunnel }

// ControlAddress returns the address for relayed requests and calls.
func (a *Agent) ControlAddress() netip.AddrPort { return a.options.Control }

// Draining reports whether the agent takes no new work.
func (a *Agent) Draining() bool { return a.snapshot.Load().draining }

// Idle reports whether nothing is in progress.
func (a *Agent) Idle() bool { return a.inProgress.Load() == 0 && a.snapshot.Load().idle }

// place returns where the agent's flows live.
func (a *Agent) place() (place lentilid.Place) {
	return lentilid.NewPlace(a.options.Tunnel, a.options.Domain, a.options.Service, a.options.Incarnation)
}

// Configure puts a configuration in force.
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

// isOut reports whether operators have taken a failure domain out.
func isOut(configuration lentilconfig.Configuration, number lentilid.Domain) bool {
	domain := configuration.Domain(number)
	return domain != nil && domain.Out()
}

// SetPeers puts the records of the other agents of the service in force; agents
// whose record is not among them are forgotten.
func (a *Agent) SetPeers(records []lentilrecord.Record) {
	a.notify(peersChanged{records})
	a.flowTracker.setPeers(records)
}

// SetBalancers says which balancers are alive, by their tunnel addresses.
func (a *Agent) SetBalancers(live []netip.AddrPort) { a.returnPaths.setLive(live) }
