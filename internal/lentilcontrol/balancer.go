package lentilcontrol

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilmember"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// tickInterval is the time between ticks of a node, which also ticks after each change.
	tickInterval = 200 * time.Millisecond
	// leaveDelay is how long a member that ends waits for the others to hear of it.
	leaveDelay = 500 * time.Millisecond
)

// Balancer is the control side of a balancer process. Set the fields, then call
// Run. The callbacks are called one at a time and must not block.
type Balancer struct {
	// Clock tells the time; nil means the machine's.
	Clock lentilclock.Clock
	// RunID tells this process from every other; 0 draws it at random.
	RunID lentilid.Incarnation
	// Listen is the address on which control calls are taken.
	Listen netip.AddrPort
	// Advertise is the address that others are told; zero means that of the listener.
	Advertise netip.AddrPort
	// Domain names the failure domain in which this process runs.
	Domain string
	// Region names its region until configuration does; it may be empty.
	Region string
	// Seeds are control addresses of other balancers.
	Seeds []netip.AddrPort
	// ServerTLS and ClientTLS are for the two sides of control connections; nil
	// means none, which is for tests.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// ReadPlatform reads the platform while this process is one of its readers, offers
	// what it finds, and returns when ctx ends or the platform fails. Nil means that there
	// is no platform.
	ReadPlatform func(ctx context.Context, offer ConfigurationSink) error
	// OnConfiguration is called with each newer configuration.
	OnConfiguration func(lentilconfig.Configuration)
	// OnRecords is called with the live records that are new or changed, and with the
	// owners whose records are not live any more.
	OnRecords func(observed []lentilrecord.Record, forgotten []lentilrecord.Owner)
	// OnError is called with errors that an operator may want to see.
	OnError func(error)

	mailbox     mailbox
	service     *service
	dialer      *Dialer
	snapshot    atomic.Pointer[snapshot]
	serverBytes atomic.Uint64
	calls       sync.WaitGroup
	context     context.Context
	address     netip.AddrPort
}

// ConfigurationSink is how a reader of the platform hands over what it has read.
type ConfigurationSink struct {
	// Assemble returns an assembly for a head, with the shards that are held in place.
	Assemble func(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error)
	// Offer puts a document into force if it is newer.
	Offer func(document lentilconfig.Document) error
}

// Start listens and joins. It returns once calls are taken; Stop ends them.
func (b *Balancer) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "start control")
		}
	}()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", b.Listen.String())
	if err != nil {
		return err
	}
	b.prepare(ctx, listener)
	go b.serve(listener)
	go b.runTicker()
	go b.runReader()
	return nil
}

func (b *Balancer) prepare(ctx context.Context, listener net.Listener) {
	b.context = ctx
	b.address = listener.Addr().(*net.TCPAddr).AddrPort()
	if !b.Advertise.IsValid() {
		b.Advertise = b.address
	}
	for b.RunID == 0 {
		b.RunID = lentilid.Incarnation(rand.Uint64())
	}
	b.dialer = &Dialer{TLS: b.ClientTLS}
	b.snapshot.Store(&snapshot{})
	node := &Node{
		Clock:            b.Clock,
		Self:             lentilmember.Doc{RunID: b.RunID, Control: b.Advertise, Region: b.Region, Domain: b.Domain},
		Seeds:            b.Seeds,
		MaxDirectEntries: DefaultMaxDirectEntries,
	}
	node.Start()
	b.mailbox = newMailbox(&nodeActor{
		node:            node,
		startCall:       b.startCall,
		onTick:          func(g snapshot) { b.snapshot.Store(&g) },
		onConfiguration: b.notifyConfiguration,
		onRecords:       b.notifyRecords,
	})
	b.service = &service{mailbox: b.mailbox}
}

func (b *Balancer) notifyConfiguration(configuration lentilconfig.Configuration) {
	if b.OnConfiguration != nil {
		b.OnConfiguration(configuration)
	}
}

func (b *Balancer) notifyRecords(observed []lentilrecord.Record, forgotten []lentilrecord.Owner) {
	if b.OnRecords != nil {
		b.OnRecords(observed, forgotten)
	}
}

func (b *Balancer) reportError(err error) {
	if err != nil && b.OnError != nil && b.context.Err() == nil {
		b.OnError(err)
	}
}

func (b *Balancer) serve(listener net.Listener) {
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(b.ServerTLS == nil)
	server := &http.Server{
		Handler:           b.service.handler(),
		Protocols:         protocols,
		TLSConfig:         b.ServerTLS.Clone(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLogger(),
	}
	stop := context.AfterFunc(b.context, func() { _ = server.Close() })
	defer stop()
	counted := countingListener{Listener: listener, bytes: &b.serverBytes}
	var err error
	if b.ServerTLS == nil {
		err = server.Serve(counted)
	} else {
		err = server.ServeTLS(counted, "", "")
	}
	if !errors.Is(err, http.ErrServerClosed) {
		b.reportError(err)
	}
}

func (b *Balancer) runTicker() {
	b.mailbox.send(tickMessage{})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-b.context.Done():
			b.calls.Wait()
			b.mailbox.stop()
			b.dialer.Close()
			return
		case <-ticker.C:
			b.mailbox.send(tickMessage{})
		}
	}
}

// startCall makes one startCall for the node and reports what came of it.
func (b *Balancer) startCall(call Call) {
	if b.context.Err() != nil {
		return
	}
	b.calls.Add(1)
	go func() {
		defer b.calls.Done()
		b.mailbox.send(b.performCall(call))
	}()
}

func (b *Balancer) performCall(call Call) (outcome outcomeMessage) {
	outcome.call = call
	client := b.dialer.Client(call.To)
	if call.Fetch != nil {
		ctx, cancel := context.WithTimeout(b.context, fetchTimeout)
		defer cancel()
		if response, err := client.FetchConfiguration(ctx, connect.NewRequest(call.Fetch)); err == nil {
			outcome.fetched = response.Msg
		}
		return outcome
	}
	ctx, cancel := context.WithTimeout(b.context, callTimeout)
	defer cancel()
	if response, err := client.Exchange(ctx, connect.NewRequest(call.Exchange)); err == nil {
		outcome.exchanged = response.Msg
	}
	return outcome
}

// Leave tells the others that this process ends, so that it gets no more leases
// and is not missed. Call it before the context of Start ends.
func (b *Balancer) Leave() {
	b.mailbox.send(leaveMessage{})
	select {
	case <-b.context.Done():
	case <-time.After(leaveDelay):
	}
}

// Address returns the address on which control calls are taken.
func (b *Balancer) Address() netip.AddrPort { return b.address }

// Ready reports whether this process may take packets.
func (b *Balancer) Ready() bool { return b.snapshot.Load().ready }

// Version returns the version of the configuration in force here.
func (b *Balancer) Version() uint64 { return b.snapshot.Load().version }

// Status returns what this process knows.
func (b *Balancer) Status(members bool) (response *lentilcontrolpb.StatusResponse, err error) {
	return ask[*lentilcontrolpb.StatusResponse](b.mailbox, &lentilcontrolpb.StatusRequest{Members: members})
}

// Bytes returns how many bytes of control have passed in both directions, TLS
// included and TCP excluded.
func (b *Balancer) Bytes() uint64 { return b.serverBytes.Load() + b.dialer.Bytes() }

// Refused returns how many calls were refused for their size, form or number.
func (b *Balancer) Refused() uint64 { return b.service.refused.Load() }
