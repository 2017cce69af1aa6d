// Package lentilbalancer is the shell of a balancer: it takes packets of callers
// from the fabric, sends them through the tunnel to the agent that the router
// names, and sends answers from agents back to callers.
//
// A balancer keeps nothing about flows. What it needs to know, the configuration
// and the router, comes from outside by Configure and Route and may change at any time.
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

// Defaults of Options.
const (
	DefaultReadersPerSocket  = 2
	DefaultGracePeriod       = 10 * time.Second
	DefaultSocketBufferBytes = 4 << 20
)

// Options say where and how a balancer works.
type Options struct {
	// ListenAddress is the address at which the fabric hands over packets. The port is
	// that of each service's address.
	ListenAddress netip.Addr
	// TunnelAddress is the address (UDP, IPv4) at which agents hand over answers.
	TunnelAddress netip.AddrPort
	// Ring authenticates tunnel packets.
	Ring lentilkey.Ring
	// ReadersPerSocket is how many goroutines read from each socket.
	ReadersPerSocket int
	// GracePeriod is how long a planned stop, or the socket of a withdrawn service,
	// goes on forwarding.
	GracePeriod time.Duration
	// Clock tells the time.
	Clock lentilclock.Clock
}

// withDefaults fills what is not set.
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

// New binds the tunnel's socket of a balancer. Run makes it work.
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
		w := &returnForwarder{balancer: balancer, codec: codec, stats: balancer.newStats()}
		balancer.readers.Go(w.run)
	}
	return balancer, nil
}

// TunnelAddress returns the address at which the balancer takes answers.
func (b *Balancer) TunnelAddress() netip.AddrPort { return b.tunnelAddress }

// Ready reports whether the fabric may hand over packets.
func (b *Balancer) Ready() bool { return b.ready.Load() }

// Count returns how often c has happened.
func (b *Balancer) Count(c Counter) (count uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.stats {
		count += t.counts[c].Load()
	}
	return count
}

// SetRouter puts another router in force.
func (b *Balancer) SetRouter(router *lentilroute.Router) {
	b.router.Store(router)
	b.updateReady()
}

// Configure opens sockets for new services and closes those of withdrawn ones
// after the grace time. The error names the services that have no socket; the
// others work.
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
	next := make(map[lentilid.Service]*socket, len(old))
	var faults []error
	for _, doc := range configuration.Document().Services {
		address := netip.AddrPortFrom(b.options.ListenAddress, doc.Address.Port())
		s, fault := b.socketFor(old[doc.Number], doc.Number, address)
		if fault != nil {
			faults = append(faults, fault)
			continue
		}
		next[doc.Number] = s
	}
	for number, s := range old {
		if next[number] != s {
			b.closeAfterGrace(s)
		}
	}
	b.sockets.Store(&next)
	b.updateReadyLocked(len(next) > 0)
	if len(faults) > 0 {
		return errorx.DecorateMany("open service sockets", faults...)
	}
	return nil
}

// socketFor returns the old socket if it still fits, or else a new one.
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
		t := &readerStats{}
		b.stats = append(b.stats, t)
		w := &forwarder{balancer: b, socket: s, codec: codec, stats: t}
		b.readers.Go(w.run)
	}
	return s, nil
}

// reclaim frees the address from a socket that waits for its end, and returns
// that socket if it is of the same service. The caller holds the lock.
func (b *Balancer) reclaim(number lentilid.Service, address netip.AddrPort) (s *socket) {
	for waiting, timer := range b.closeTimers {
		if waiting.address != address || !timer.Stop() {
			continue
		}
		delete(b.closeTimers, waiting)
		if waiting.service == number {
			return waiting
		}
		_ = waiting.conn.Close()
	}
	return nil
}

// closeAfterGrace closes a socket after the grace time. The caller holds the lock.
func (b *Balancer) closeAfterGrace(s *socket) {
	b.closeTimers[s] = time.AfterFunc(b.options.GracePeriod, func() {
		_ = s.conn.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.closeTimers, s)
	})
}

// Run serves until ctx ends, then turns not-ready, goes on forwarding for the
// grace time, and stops. A second signal, the end of kill, cuts the grace time short.
func (b *Balancer) Run(ctx, kill context.Context) {
	<-ctx.Done()
	b.mu.Lock()
	b.closed = true
	b.ready.Store(false)
	b.mu.Unlock()
	grace := time.NewTimer(b.options.GracePeriod)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-kill.Done():
	}
	b.Close()
}

// Close closes every socket at once and waits for the goroutines to end.
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

// updateReady recomputes whether the balancer can do its work.
func (b *Balancer) updateReady() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateReadyLocked(len(*b.sockets.Load()) > 0)
}

// updateReadyLocked is updateReady for those who hold the lock. A balancer is
// ready once it has a configuration with services and a router.
func (b *Balancer) updateReadyLocked(configured bool) {
	b.ready.Store(!b.closed && configured && b.router.Load() != nil)
}

// newStats returns counts for one more goroutine.
func (b *Balancer) newStats() (t *readerStats) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t = &readerStats{}
	b.stats = append(b.stats, t)
	return t
}
