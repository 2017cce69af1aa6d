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
	// maxDatagram is the length of the longest datagram, in bytes.
	maxDatagram = 1 << 16
	// flowIdle is how long a flow without datagrams from its caller is remembered.
	flowIdle = 2 * time.Minute
	// pollEvery is how often balancers are asked whether they are ready.
	pollEvery = 200 * time.Millisecond
	// pollTimeout is how long a balancer may take to answer.
	pollTimeout = 500 * time.Millisecond
	// heldBack is how long a reordered datagram waits.
	heldBack    = 5 * time.Millisecond
	socketBytes = 4 << 20
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
	Flows      int               `json:"flows"`
	In         uint64            `json:"in"`
	Out        uint64            `json:"out"`
	NoBalancer uint64            `json:"noBalancer"`
	Lost       uint64            `json:"lost"`
	ByBalancer map[string]uint64 `json:"byBalancer"`
	Ready      []string          `json:"ready"`
}

// Balancer is a balancer that may get datagrams.
type Balancer struct {
	// Listen is where it takes datagrams, at the port of each service.
	Listen netip.Addr
	// Ready is the URL that answers 200 while it may get datagrams; without one
	// it always may.
	Ready string
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
	stop    context.CancelFunc
	workers sync.WaitGroup

	in, out, none, lost atomic.Uint64

	mu        sync.Mutex
	random    *rand.Rand
	faults    FaultsDoc
	balancers []Balancer
	ready     []netip.Addr
	sent      map[netip.Addr]uint64
	flows     map[flowKey]*flow
}

type flowKey struct {
	service netip.AddrPort
	caller  netip.AddrPort
}

// flow is a caller's flow; its socket is what balancers see of the caller.
type flow struct {
	conn *net.UDPConn
	used time.Time
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
		options:   options,
		stop:      stop,
		balancers: options.Balancers,
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
		sent:      make(map[netip.Addr]uint64),
		flows:     make(map[flowKey]*flow),
	}
	for i, address := range options.Services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			f.Close()
			return nil, err
		}
		_ = conn.SetReadBuffer(socketBytes)
		f.options.Services[i] = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		f.sockets = append(f.sockets, conn)
	}
	f.poll(ctx)
	for i, conn := range f.sockets {
		f.workers.Go(func() { f.takeFromCallers(conn, f.options.Services[i]) })
	}
	f.workers.Go(func() { f.keepPolling(ctx) })
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
	f.poll(context.Background())
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
		Flows: len(f.flows), In: f.in.Load(), Out: f.out.Load(), NoBalancer: f.none.Load(), Lost: f.lost.Load(),
		ByBalancer: make(map[string]uint64, len(f.sent)),
	}
	for balancer, count := range f.sent {
		counts.ByBalancer[balancer.String()] = count
	}
	for _, balancer := range f.ready {
		counts.Ready = append(counts.Ready, balancer.String())
	}
	return counts
}

// Close ends the fabric.
func (f *Fabric) Close() {
	f.stop()
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

// takeFromCallers hands datagrams of callers to balancers.
func (f *Fabric) takeFromCallers(conn *net.UDPConn, service netip.AddrPort) {
	lentilserver.ServeDatagrams(conn, make([]byte, maxDatagram), func(datagram []byte, caller netip.AddrPort) {
		f.in.Add(1)
		w, err := f.flowOf(conn, flowKey{service: service, caller: caller})
		if err != nil {
			return
		}
		f.impair(datagram, func(datagram []byte) {
			if balancer, ok := f.choose(); ok {
				_, _ = w.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(balancer, service.Port()))
			}
		})
	})
}

// flowOf returns the flow of a caller, a new one if need be.
func (f *Fabric) flowOf(conn *net.UDPConn, key flowKey) (w *flow, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if w = f.flows[key]; w != nil {
		w.used = now
		return w, nil
	}
	outer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(key.service.Addr(), 0)))
	if err != nil {
		return nil, err
	}
	_ = outer.SetReadBuffer(socketBytes)
	w = &flow{conn: outer, used: now}
	f.flows[key] = w
	f.workers.Go(func() { f.takeAnswers(outer, conn, key.caller) })
	return w, nil
}

// takeAnswers hands answers from any balancer to the caller.
func (f *Fabric) takeAnswers(outer, conn *net.UDPConn, caller netip.AddrPort) {
	lentilserver.ServeDatagrams(outer, make([]byte, maxDatagram), func(datagram []byte, _ netip.AddrPort) {
		f.out.Add(1)
		f.impair(datagram, func(datagram []byte) { _, _ = conn.WriteToUDPAddrPort(datagram, caller) })
	})
}

// choose returns any balancer that is ready.
func (f *Fabric) choose() (balancer netip.Addr, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ready) == 0 {
		f.none.Add(1)
		return netip.Addr{}, false
	}
	balancer = f.ready[f.random.IntN(len(f.ready))]
	f.sent[balancer]++
	return balancer, true
}

// impair sends a datagram not at all, once or twice, now or later.
func (f *Fabric) impair(datagram []byte, send func(datagram []byte)) {
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
		delay += heldBack
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

// keepPolling asks the balancers whether they are ready, and forgets idle flows.
func (f *Fabric) keepPolling(ctx context.Context) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.poll(ctx)
			f.expire()
		}
	}
}

// poll asks all balancers at once.
func (f *Fabric) poll(ctx context.Context) {
	f.mu.Lock()
	balancers := f.balancers
	f.mu.Unlock()
	answers := make([]bool, len(balancers))
	var asked sync.WaitGroup
	for i, b := range balancers {
		asked.Go(func() { answers[i] = b.Ready == "" || isReady(ctx, b.Ready) })
	}
	asked.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = nil
	for i, b := range balancers {
		if answers[i] {
			f.ready = append(f.ready, b.Listen)
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

// expire forgets flows whose caller has been silent.
func (f *Fabric) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := time.Now().Add(-flowIdle)
	for key, w := range f.flows {
		if w.used.Before(limit) {
			_ = w.conn.Close()
			delete(f.flows, key)
		}
	}
}
