// Package lentilbalancer does the packet I/O of a balancer. It receives callers' packets
// from the fabric, sends each through the tunnel to the agent that the router selects,
// and sends answers from agents back to callers.
//
// A balancer keeps no state about flows. Its configuration and its router are set by
// Configure and SetRouter, and may change at any time.
package lentilbalancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentiltunnel"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Namespace holds the types of this package's errors.
var Namespace = errorx.NewNamespace("lentilbalancer")

// ErrClosed is the type of errors about a balancer that has stopped.
var ErrClosed = Namespace.NewType("closed")

// Defaults of Options, and the buffer size that is requested for every socket.
const (
	DefaultReadersPerSocket = 2
	DefaultGracePeriod      = 10 * time.Second
	SocketBufferBytes       = 4 << 20
)

// Options configure a balancer.
type Options struct {
	// ListenAddress is the address to which the fabric sends callers' packets. The port
	// is that of the service's address, so each service has a socket of its own.
	ListenAddress netip.Addr
	// TunnelAddress is the address (UDP, IPv4) to which agents send answers.
	TunnelAddress netip.AddrPort
	// Ring holds the secrets from which the keys of the tunnel are derived.
	Ring lentilkey.Ring
	// ReadersPerSocket is how many goroutines read from each socket.
	ReadersPerSocket int
	// GracePeriod is how long the balancer keeps forwarding packets after a request to
	// stop, and how long the socket of a withdrawn service stays open.
	GracePeriod time.Duration
	// Clock is the time source; the default is the system's clock.
	Clock lentilclock.Clock
}

// withDefaults replaces unset options by their defaults.
func (o Options) withDefaults() Options {
	if o.ReadersPerSocket <= 0 {
		o.ReadersPerSocket = DefaultReadersPerSocket
	}
	if o.GracePeriod <= 0 {
		o.GracePeriod = DefaultGracePeriod
	}
	o.Clock = lentilclock.OrSystem(o.Clock)
	return o
}

// Balancer is a running balancer.
type Balancer struct {
	options       Options
	tunnelConn    *net.UDPConn
	tunnelAddress netip.AddrPort
	router        atomic.Pointer[lentilroute.Router]
	sockets       atomic.Pointer[map[lentilid.Service]*socket]
	ready         atomic.Bool

	mu          sync.Mutex
	stats       []*readerStats
	closed      bool
	closeTimers map[*socket]*time.Timer
	readers     sync.WaitGroup
}

// New binds the tunnel's socket of a balancer and starts to forward answers. Configure
// and SetRouter make it forward callers' packets.
func New(options Options) (balancer *Balancer, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "start balancer")
		}
	}()
	balancer = &Balancer{options: options.withDefaults(), closeTimers: make(map[*socket]*time.Timer)}
	balancer.sockets.Store(&map[lentilid.Service]*socket{})
	balancer.tunnelConn, err = listenUDP(options.TunnelAddress)
	if err != nil {
		return nil, err
	}
	balancer.tunnelAddress = balancer.tunnelConn.LocalAddr().(*net.UDPAddr).AddrPort()
	for range balancer.options.ReadersPerSocket {
		codec, err := lentiltunnel.New(options.Ring)
		if err != nil {
			_ = balancer.tunnelConn.Close()
			return nil, err
		}
		r := &returnForwarder{balancer: balancer, codec: codec, stats: balancer.newStats()}
		balancer.readers.Go(r.run)
	}
	return balancer, nil
}

// TunnelAddress returns the address at which the balancer receives answers.
func (b *Balancer) TunnelAddress() netip.AddrPort { return b.tunnelAddress }

// Ready reports whether the balancer is ready for packets from the fabric.
func (b *Balancer) Ready() bool { return b.ready.Load() }

// Count returns the value of a counter, summed over all goroutines.
func (b *Balancer) Count(c Counter) (count uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.stats {
		count += s.counts[c].Load()
	}
	return count
}

// SetRouter replaces the router.
func (b *Balancer) SetRouter(router *lentilroute.Router) {
	b.router.Store(router)
	b.updateReady()
}

// Configure opens sockets for new services. It closes the sockets of withdrawn services
// after the grace period, or at once if another service gets their address. The error
// names the services whose sockets could not be opened; the other services are served.
func (b *Balancer) Configure(configuration lentilconfig.Configuration) (err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "configure balancer")
		}
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return ErrClosed.New("the balancer has stopped")
	}
	old := *b.sockets.Load()
	addresses := make(map[lentilid.Service]netip.AddrPort)
	for _, doc := range configuration.Document().Services {
		addresses[doc.Number] = netip.AddrPortFrom(b.options.ListenAddress, doc.Address.Port())
	}
	// All withdrawn sockets have to be known before the first address is bound, since any service may get one of their addresses.
	for number, s := range old {
		if addresses[number] != s.address {
			b.closeAfterGrace(s)
		}
	}
	next := make(map[lentilid.Service]*socket, len(addresses))
	var errs []error
	for _, doc := range configuration.Document().Services {
		address := addresses[doc.Number]
		s, err := b.socketFor(old[doc.Number], doc.Number, address)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		next[doc.Number] = s
	}
	b.sockets.Store(&next)
	b.updateReadyLocked(len(next) > 0)
	if len(errs) > 0 {
		return errorx.DecorateMany("open service sockets", errs...)
	}
	return nil
}

// socketFor returns the socket of a service at the given address. It reuses the old
// socket, or one that waits to be closed, and otherwise opens a new one. The caller
// holds the lock.
func (b *Balancer) socketFor(old *socket, number lentilid.Service, address netip.AddrPort) (s *socket, err error) {
	if old != nil && old.address == address {
		return old, nil
	}
	if s = b.reclaim(number, address); s != nil {
		return s, nil
	}
	conn, err := listenUDP(address)
	if err != nil {
		return nil, errorx.Decorate(err, "service %d", number)
	}
	s = &socket{service: number, address: address, conn: conn}
	for range b.options.ReadersPerSocket {
		codec, err := lentiltunnel.New(b.options.Ring)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		stats := &readerStats{}
		b.stats = append(b.stats, stats)
		f := &forwarder{balancer: b, socket: s, codec: codec, stats: stats}
		b.readers.Go(f.run)
	}
	return s, nil
}

// reclaim looks for a socket at the given address that waits to be closed. It cancels
// the close and returns the socket if it belongs to the same service. Otherwise it
// closes the socket at once, which frees the address. The caller holds the lock.
func (b *Balancer) reclaim(number lentilid.Service, address netip.AddrPort) (s *socket) {
	for closing, timer := range b.closeTimers {
		if closing.address != address {
			continue
		}
		timer.Stop()
		delete(b.closeTimers, closing)
		if closing.service == number {
			return closing
		}
		_ = closing.conn.Close()
	}
	return nil
}

// closeAfterGrace closes a socket after the grace period. The caller holds the lock.
func (b *Balancer) closeAfterGrace(s *socket) {
	var timer *time.Timer
	timer = time.AfterFunc(b.options.GracePeriod, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		// The timer may have fired just as the socket was reclaimed.
		if b.closeTimers[s] != timer {
			return
		}
		_ = s.conn.Close()
		delete(b.closeTimers, s)
	})
	b.closeTimers[s] = timer
}

// Run blocks until graceful ends. The balancer then becomes not ready, keeps forwarding
// for the grace period, and closes. The end of forced, after a second signal, cuts the
// grace period short.
func (b *Balancer) Run(graceful, forced context.Context) {
	<-graceful.Done()
	b.mu.Lock()
	b.closed = true
	b.ready.Store(false)
	b.mu.Unlock()
	grace := time.NewTimer(b.options.GracePeriod)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-forced.Done():
	}
	b.Close()
}

// Close closes every socket at once and waits until all goroutines have ended.
func (b *Balancer) Close() {
	b.mu.Lock()
	b.closed = true
	b.ready.Store(false)
	for s, timer := range b.closeTimers {
		timer.Stop()
		_ = s.conn.Close()
	}
	for _, s := range *b.sockets.Load() {
		_ = s.conn.Close()
	}
	_ = b.tunnelConn.Close()
	b.mu.Unlock()
	b.readers.Wait()
}

// updateReady recomputes whether the balancer is ready.
func (b *Balancer) updateReady() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateReadyLocked(len(*b.sockets.Load()) > 0)
}

// updateReadyLocked is updateReady for callers that hold the lock. A balancer is ready
// when it has an open service socket and a router, and is not closed.
func (b *Balancer) updateReadyLocked(hasSockets bool) {
	b.ready.Store(!b.closed && hasSockets && b.router.Load() != nil)
}

// newStats registers and returns the counters of a new goroutine.
func (b *Balancer) newStats() (s *readerStats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s = &readerStats{}
	b.stats = append(b.stats, s)
	return s
}
