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
	// tickInterval is the time between periodic ticks of a node. It also ticks after each change.
	tickInterval = 200 * time.Millisecond
	// leaveDelay is how long a leaving member waits so that the others learn of it.
	leaveDelay = 500 * time.Millisecond
)

// Balancer is the control plane of a balancer process. Set the fields, then call Start.
// The callbacks run one at a time and must not block.
type Balancer struct {
	// Clock is the time source; nil means the system clock.
	Clock lentilclock.Clock
	// RunID identifies this run of the process; 0 means a random ID.
	RunID lentilid.Incarnation
	// Listen is the address on which control calls are accepted.
	Listen netip.AddrPort
	// Advertise is the control address announced to others; zero means the listener's address.
	Advertise netip.AddrPort
	// Domain names the failure domain in which this process runs.
	Domain string
	// Region names the region of this process until a configuration gives it; it may be empty.
	Region string
	// Seeds are control addresses of other balancers.
	Seeds []netip.AddrPort
	// ServerTLS and ClientTLS are the TLS settings for incoming and outgoing control
	// connections. Nil means no TLS, for tests.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// ReadPlatform reads the platform and passes the configurations to the sink. It is called
	// while this process is one of the readers, and returns when ctx ends or the platform
	// fails. Nil means that there is no platform.
	ReadPlatform func(ctx context.Context, sink ConfigurationSink) error
	// OnConfiguration is called with each newer configuration.
	OnConfiguration func(lentilconfig.Configuration)
	// OnRecords is called with the live records that are new or changed, and with the
	// owners whose records are no longer live.
	OnRecords func(observed []lentilrecord.Record, forgotten []lentilrecord.Owner)
	// OnError is called with errors of the server and of the platform reader.
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

// ConfigurationSink receives the configurations that a reader gets from the platform.
type ConfigurationSink struct {
	// Assemble returns an assembly for a head that already contains the shards held here.
	Assemble func(head lentilconfig.HeadDoc) (assembly *lentilconfig.Assembly, err error)
	// Offer puts a document into force if it is newer than the configuration in force.
	Offer func(document lentilconfig.Document) error
}

// Start listens for control calls and joins the other balancers. It returns once the
// listener is open. The process runs until ctx ends.
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
		onTick:          func(s snapshot) { b.snapshot.Store(&s) },
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
	counting := countingListener{Listener: listener, bytes: &b.serverBytes}
	var err error
	if b.ServerTLS == nil {
		err = server.Serve(counting)
	} else {
		err = server.ServeTLS(counting, "", "")
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

// startCall makes a call in the background and sends its outcome to the actor.
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

// Leave announces to the other balancers that this process ends. They then assign it no
// more leases and don't suspect it. Call it before the context of Start ends.
func (b *Balancer) Leave() {
	b.mailbox.send(leaveMessage{})
	select {
	case <-b.context.Done():
	case <-time.After(leaveDelay):
	}
}

// Address returns the address of the listener for control calls.
func (b *Balancer) Address() netip.AddrPort { return b.address }

// Ready reports whether this process may receive packets.
func (b *Balancer) Ready() bool { return b.snapshot.Load().ready }

// Version returns the version of the configuration in force here.
func (b *Balancer) Version() uint64 { return b.snapshot.Load().version }

// Status returns the status of this process, with the members that it knows if members is
// true.
func (b *Balancer) Status(members bool) (response *lentilcontrolpb.StatusResponse, err error) {
	return ask[*lentilcontrolpb.StatusResponse](b.mailbox, &lentilcontrolpb.StatusRequest{Members: members})
}

// Bytes returns how many bytes control connections have transferred in both directions,
// including TLS overhead but not TCP headers.
func (b *Balancer) Bytes() uint64 { return b.serverBytes.Load() + b.dialer.Bytes() }

// FailedCalls returns how many calls were answered with an error: because of their rate, size or
// form, or because this process failed to handle them.
func (b *Balancer) FailedCalls() uint64 { return b.service.refused.Load() }
