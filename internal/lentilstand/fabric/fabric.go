// Package fabric is a stand-in for the network fabric, for tests, the demo and the
// measurements. It binds the addresses of services and forwards each datagram of a caller
// to a random balancer among those that are ready.
//
// As with a real fabric, balancers see the same source address for all datagrams of a
// caller's flow, and any balancer may send the answer. The fabric can inject faults: it
// drops, duplicates, reorders and delays datagrams.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilserver"
)

const (
	// maxDatagramSize is the maximum size of a datagram, in bytes.
	maxDatagramSize = 1 << 16
	// flowIdleTimeout is the time without datagrams from the caller after which a flow is removed.
	flowIdleTimeout = 2 * time.Minute
	// pollInterval is the interval between readiness checks of the balancers.
	pollInterval = 200 * time.Millisecond
	// pollTimeout is the timeout of one readiness check.
	pollTimeout = 500 * time.Millisecond
	// reorderDelay is the extra delay of a reordered datagram.
	reorderDelay = 5 * time.Millisecond
	// socketBufferSize is the size of the sockets' read buffers, in bytes.
	socketBufferSize = 4 << 20
)

// FaultsDoc is the JSON form of the injected faults. Loss, Duplicate and Reorder are
// shares of datagrams between 0 and 1; DelayMillis delays each datagram.
type FaultsDoc struct {
	Loss        float64 `json:"loss"`
	Duplicate   float64 `json:"duplicate"`
	Reorder     float64 `json:"reorder"`
	DelayMillis int     `json:"delayMillis"`
}

// CountsDoc is the JSON form of the fabric's state. Flows is the number of open flows; the
// other numbers count datagrams. NoBalancer counts those dropped because no balancer was
// ready, and Lost those dropped by fault injection.
type CountsDoc struct {
	Flows          int               `json:"flows"`
	FromCallers    uint64            `json:"in"`
	ToCallers      uint64            `json:"out"`
	NoBalancer     uint64            `json:"noBalancer"`
	Lost           uint64            `json:"lost"`
	SentByBalancer map[string]uint64 `json:"byBalancer"`
	ReadyBalancers []string          `json:"ready"`
}

// Balancer is a balancer to which the fabric may forward datagrams.
type Balancer struct {
	// Address is the balancer's IP address. It receives datagrams there on the port of
	// each service.
	Address netip.Addr
	// ReadyURL is the balancer's readiness endpoint. It answers 200 while the balancer
	// accepts datagrams. Without a URL the balancer counts as always ready.
	ReadyURL string
}

// Options configure a fabric.
type Options struct {
	// Services are the addresses to bind. A port of zero picks a free one.
	Services  []netip.AddrPort
	Balancers []Balancer
	// Seed makes the random choices repeatable.
	Seed uint64
}

// Fabric is a running fabric.
type Fabric struct {
	options Options
	sockets []*net.UDPConn
	cancel  context.CancelFunc
	workers sync.WaitGroup

	fromCallers, toCallers, noBalancer, lost atomic.Uint64

	mu             sync.Mutex
	random         *rand.Rand
	faults         FaultsDoc
	balancers      []Balancer
	readyBalancers []netip.Addr
	sentByBalancer map[netip.Addr]uint64
	flows          map[flowKey]*flow
}

type flowKey struct {
	service netip.AddrPort
	caller  netip.AddrPort
}

// flow is a caller's flow to a service. Datagrams to balancers are sent from its own
// socket, hence balancers see the same source address for all of them.
type flow struct {
	conn     *net.UDPConn
	lastUsed time.Time
}

// Start binds the services' addresses and starts forwarding datagrams.
func Start(options Options) (fabric *Fabric, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "start fabric")
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fabric{
		options:        options,
		cancel:         cancel,
		balancers:      options.Balancers,
		random:         rand.New(rand.NewPCG(options.Seed, options.Seed)),
		sentByBalancer: make(map[netip.Addr]uint64),
		flows:          make(map[flowKey]*flow),
	}
	for i, address := range options.Services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			f.Close()
			return nil, err
		}
		_ = conn.SetReadBuffer(socketBufferSize)
		f.options.Services[i] = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		f.sockets = append(f.sockets, conn)
	}
	f.updateReady(ctx)
	for i, conn := range f.sockets {
		f.workers.Go(func() { f.forwardFromCallers(conn, f.options.Services[i]) })
	}
	f.workers.Go(func() { f.pollLoop(ctx) })
	return f, nil
}

// Services returns the bound addresses, to which callers send.
func (f *Fabric) Services() []netip.AddrPort { return f.options.Services }

// SetFaults replaces the injected faults.
func (f *Fabric) SetFaults(faults FaultsDoc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetBalancers replaces the balancers and checks their readiness.
func (f *Fabric) SetBalancers(balancers []Balancer) {
	f.mu.Lock()
	f.balancers = balancers
	f.mu.Unlock()
	f.updateReady(context.Background())
}

// Faults returns the injected faults.
func (f *Fabric) Faults() FaultsDoc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Counts returns the counters and the balancers that are ready.
func (f *Fabric) Counts() (counts CountsDoc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts = CountsDoc{
		Flows: len(f.flows), FromCallers: f.fromCallers.Load(), ToCallers: f.toCallers.Load(), NoBalancer: f.noBalancer.Load(), Lost: f.lost.Load(),
		SentByBalancer: make(map[string]uint64, len(f.sentByBalancer)),
	}
	for balancer, count := range f.sentByBalancer {
		counts.SentByBalancer[balancer.String()] = count
	}
	for _, balancer := range f.readyBalancers {
		counts.ReadyBalancers = append(counts.ReadyBalancers, balancer.String())
	}
	return counts
}

// Close closes all sockets and waits for the fabric's goroutines.
func (f *Fabric) Close() {
	f.cancel()
	for _, conn := range f.sockets {
		_ = conn.Close()
	}
	f.mu.Lock()
	for _, fl := range f.flows {
		_ = fl.conn.Close()
	}
	f.mu.Unlock()
	f.workers.Wait()
}

// forwardFromCallers forwards datagrams of callers to balancers.
func (f *Fabric) forwardFromCallers(conn *net.UDPConn, service netip.AddrPort) {
	lentilserver.ServeDatagrams(conn, make([]byte, maxDatagramSize), func(datagram []byte, caller netip.AddrPort) {
		f.fromCallers.Add(1)
		fl, err := f.findOrOpenFlow(conn, flowKey{service: service, caller: caller})
		if err != nil {
			return
		}
		f.sendWithFaults(datagram, func(datagram []byte) {
			if balancer, ok := f.pickBalancer(); ok {
				_, _ = fl.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(balancer, service.Port()))
			}
		})
	})
}

// findOrOpenFlow returns a caller's flow and opens it if it doesn't exist. conn is the
// service's socket, from which answers are sent.
func (f *Fabric) findOrOpenFlow(conn *net.UDPConn, key flowKey) (fl *flow, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if fl = f.flows[key]; fl != nil {
		fl.lastUsed = now
		return fl, nil
	}
	flowConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(key.service.Addr(), 0)))
	if err != nil {
		return nil, err
	}
	_ = flowConn.SetReadBuffer(socketBufferSize)
	fl = &flow{conn: flowConn, lastUsed: now}
	f.flows[key] = fl
	f.workers.Go(func() { f.forwardAnswers(flowConn, conn, key.caller) })
	return fl, nil
}

// forwardAnswers forwards answers from any balancer to the caller. flowConn is the flow's
// socket and serviceConn the service's.
func (f *Fabric) forwardAnswers(flowConn, serviceConn *net.UDPConn, caller netip.AddrPort) {
	lentilserver.ServeDatagrams(flowConn, make([]byte, maxDatagramSize), func(datagram []byte, _ netip.AddrPort) {
		f.toCallers.Add(1)
		f.sendWithFaults(datagram, func(datagram []byte) { _, _ = serviceConn.WriteToUDPAddrPort(datagram, caller) })
	})
}

// pickBalancer returns a random balancer among those that are ready.
func (f *Fabric) pickBalancer() (balancer netip.Addr, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.readyBalancers) == 0 {
		f.noBalancer.Add(1)
		return netip.Addr{}, false
	}
	balancer = f.readyBalancers[f.random.IntN(len(f.readyBalancers))]
	f.sentByBalancer[balancer]++
	return balancer, true
}

// sendWithFaults sends a datagram with the injected faults: it may drop, delay or
// duplicate it. A duplicate is sent at once.
func (f *Fabric) sendWithFaults(datagram []byte, send func(datagram []byte)) {
	f.mu.Lock()
	faults := f.faults
	lost := f.random.Float64() < faults.Loss
	duplicated := f.random.Float64() < faults.Duplicate
	reordered := f.random.Float64() < faults.Reorder
	f.mu.Unlock()
	if lost {
		f.lost.Add(1)
		return
	}
	delay := time.Duration(faults.DelayMillis) * time.Millisecond
	if reordered {
		delay += reorderDelay
	}
	if delay == 0 {
		send(datagram)
	} else {
		delayed := append([]byte(nil), datagram...)
		time.AfterFunc(delay, func() { send(delayed) })
	}
	if duplicated {
		send(datagram)
	}
}

// pollLoop checks the balancers' readiness and removes idle flows until ctx ends.
func (f *Fabric) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.updateReady(ctx)
			f.removeIdleFlows()
		}
	}
}

// updateReady checks the readiness of all balancers in parallel.
func (f *Fabric) updateReady(ctx context.Context) {
	f.mu.Lock()
	balancers := f.balancers
	f.mu.Unlock()
	ready := make([]bool, len(balancers))
	var checks sync.WaitGroup
	for i, b := range balancers {
		checks.Go(func() { ready[i] = b.ReadyURL == "" || isReady(ctx, b.ReadyURL) })
	}
	checks.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readyBalancers = nil
	for i, b := range balancers {
		if ready[i] {
			f.readyBalancers = append(f.readyBalancers, b.Address)
		}
	}
}

// isReady reports whether a readiness endpoint answers 200 within pollTimeout.
func isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// removeIdleFlows closes flows without datagrams from their caller for flowIdleTimeout.
func (f *Fabric) removeIdleFlows() {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := time.Now().Add(-flowIdleTimeout)
	for key, fl := range f.flows {
		if fl.lastUsed.Before(limit) {
			_ = fl.conn.Close()
			delete(f.flows, key)
		}
	}
}
