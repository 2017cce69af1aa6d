// Package fabric is a stand-in for the fabric: it binds the addresses of services and
// hands each datagram of a caller to any of the balancers that are ready.
//
// A balancer sees the same source address for all datagrams of a caller's flow, as
// with a real fabric, and an answer may come from any balancer. Datagrams may be lost,
// doubled, reordered and delayed on purpose.
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
	// maxDatagramSize is the length of the longest datagram, in bytes.
	maxDatagramSize = 1 << 16
	// flowIdleTimeout is how long a flow without datagrams from its caller is remembered.
	flowIdleTimeout = 2 * time.Minute
	// pollInterval is how often balancers are asked whether they are ready.
	pollInterval = 200 * time.Millisecond
	// pollTimeout is how long a balancer may take to answer.
	pollTimeout = 500 * time.Millisecond
	// reorderDelay is how long a reordered datagram waits.
	reorderDelay     = 5 * time.Millisecond
	socketBufferSize = 4 << 20
)

// FaultsDoc is the written form of what goes wrong on purpose: shares of
// datagrams between 0 and 1, and a delay of each.
type FaultsDoc struct {
	Loss        float64 `json:"loss"`
	Duplicate   float64 `json:"duplicate"`
	Reorder     float64 `json:"reorder"`
	DelayMillis int     `json:"delayMillis"`
}

// CountsDoc is the written form of what the fabric has done, in datagrams.
type CountsDoc struct {
	Flows          int               `json:"flows"`
	FromCallers    uint64            `json:"in"`
	ToCallers      uint64            `json:"out"`
	NoBalancer     uint64            `json:"noBalancer"`
	Lost           uint64            `json:"lost"`
	SentByBalancer map[string]uint64 `json:"byBalancer"`
	ReadyBalancers []string          `json:"ready"`
}

// Balancer is a balancer that may get datagrams.
type Balancer struct {
	// Address is where it takes datagrams, at the port of each service.
	Address netip.Addr
	// ReadyURL is the URL that answers 200 while it may get datagrams; without one
	// it always may.
	ReadyURL string
}

// Options say what the fabric joins.
type Options struct {
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

// flow is a caller's flow; its socket is what balancers see of the caller.
type flow struct {
	conn     *net.UDPConn
	lastUsed time.Time
}

// Start binds the services' addresses and begins to hand datagrams on.
func Start(options Options) (fabric *Fabric, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "start fabric")
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	f := &Fabric{
		options:        options,
		cancel:         stop,
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

// Services returns the addresses that callers use.
func (f *Fabric) Services() []netip.AddrPort { return f.options.Services }

// SetFaults says what goes wrong from now on.
func (f *Fabric) SetFaults(faults FaultsDoc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SetBalancers says which balancers may get datagrams from now on.
func (f *Fabric) SetBalancers(balancers []Balancer) {
	f.mu.Lock()
	f.balancers = balancers
	f.mu.Unlock()
	f.updateReady(context.Background())
}

// Faults returns what goes wrong now.
func (f *Fabric) Faults() FaultsDoc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Counts returns what the fabric has done.
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

// Close ends the fabric.
func (f *Fabric) Close() {
	f.cancel()
	for _, conn := range f.sockets {
		_ = conn.Close()
	}
	f.mu.Lock()
	for _, w := range f.flows {
		_ = w.conn.Close()
	}
	f.mu.Unlock()
	f.workers.Wait()
}

// forwardFromCallers hands datagrams of callers to balancers.
func (f *Fabric) forwardFromCallers(conn *net.UDPConn, service netip.AddrPort) {
	lentilserver.ServeDatagrams(conn, make([]byte, maxDatagramSize), func(datagram []byte, caller netip.AddrPort) {
		f.fromCallers.Add(1)
		w, err := f.findOrOpenFlow(conn, flowKey{service: service, caller: caller})
		if err != nil {
			return
		}
		f.sendWithFaults(datagram, func(datagram []byte) {
			if balancer, ok := f.pickBalancer(); ok {
				_, _ = w.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(balancer, service.Port()))
			}
		})
	})
}

// findOrOpenFlow returns the flow of a caller, a new one if need be.
func (f *Fabric) findOrOpenFlow(conn *net.UDPConn, key flowKey) (w *flow, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if w = f.flows[key]; w != nil {
		w.lastUsed = now
		return w, nil
	}
	outer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(key.service.Addr(), 0)))
	if err != nil {
		return nil, err
	}
	_ = outer.SetReadBuffer(socketBufferSize)
	w = &flow{conn: outer, lastUsed: now}
	f.flows[key] = w
	f.workers.Go(func() { f.forwardAnswers(outer, conn, key.caller) })
	return w, nil
}

// forwardAnswers hands answers from any balancer to the caller.
func (f *Fabric) forwardAnswers(outer, conn *net.UDPConn, caller netip.AddrPort) {
	lentilserver.ServeDatagrams(outer, make([]byte, maxDatagramSize), func(datagram []byte, _ netip.AddrPort) {
		f.toCallers.Add(1)
		f.sendWithFaults(datagram, func(datagram []byte) { _, _ = conn.WriteToUDPAddrPort(datagram, caller) })
	})
}

// pickBalancer returns any balancer that is ready.
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

// sendWithFaults sends a datagram not at all, once or twice, now or later.
func (f *Fabric) sendWithFaults(datagram []byte, send func(datagram []byte)) {
	f.mu.Lock()
	faults := f.faults
	lost := f.random.Float64() < faults.Loss
	doubled := f.random.Float64() < faults.Duplicate
	late := f.random.Float64() < faults.Reorder
	f.mu.Unlock()
	if lost {
		f.lost.Add(1)
		return
	}
	delay := time.Duration(faults.DelayMillis) * time.Millisecond
	if late {
		delay += reorderDelay
	}
	if delay == 0 {
		send(datagram)
	} else {
		kept := append([]byte(nil), datagram...)
		time.AfterFunc(delay, func() { send(kept) })
	}
	if doubled {
		send(datagram)
	}
}

// pollLoop asks the balancers whether they are ready, and forgets idle flows.
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

// updateReady asks all balancers at once.
func (f *Fabric) updateReady(ctx context.Context) {
	f.mu.Lock()
	balancers := f.balancers
	f.mu.Unlock()
	answers := make([]bool, len(balancers))
	var asked sync.WaitGroup
	for i, b := range balancers {
		asked.Go(func() { answers[i] = b.ReadyURL == "" || isReady(ctx, b.ReadyURL) })
	}
	asked.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readyBalancers = nil
	for i, b := range balancers {
		if answers[i] {
			f.readyBalancers = append(f.readyBalancers, b.Address)
		}
	}
}

// isReady asks one balancer.
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

// removeIdleFlows forgets flows whose caller has been silent.
func (f *Fabric) removeIdleFlows() {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := time.Now().Add(-flowIdleTimeout)
	for key, w := range f.flows {
		if w.lastUsed.Before(limit) {
			_ = w.conn.Close()
			delete(f.flows, key)
		}
	}
}
