// Package lentilpacketmodel plays a site of packet flows in one process and in simulated time: the real
// decisions of balancers and agents, and models of clients, upstreams, network and operators.
//
// It has two uses. Tests play faults on it and judge, from what clients and upstreams see, whether flows
// stayed whole and new ones went only where they may. Experiments play load on it and measure what
// clients get. A world is wholly decided by its seed.
package lentilpacketmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Setup says what a site is made of.
type Setup struct {
	Seed uint64
	// Domains, BalancersEach and UpstreamsEach give the size: balancers and upstreams in each failure domain.
	Domains, BalancersEach, UpstreamsEach int
	// Clients is how many clients there are, each with one flow at a time.
	Clients int
	// Slots is how many requests an upstream works on at once, and Queue how many more wait.
	Slots, Queue int
	// Work is the mean time of a request, exponentially distributed if Spread is set.
	Work   time.Duration
	Spread bool
	// Deadline is how long a client waits for an answer; zero is a second.
	Deadline time.Duration
	// Pause is the mean time between an answer and the client's next request.
	Pause time.Duration
	// Requests is how many requests a client makes in a flow before it opens another one; zero is no
	// bound. Every third client makes a tenth of them.
	Requests int
	// Loss is the share of datagrams that are lost.
	Loss float64
	// ColdFor is how long an upstream is cold after its start, and ColdRate how many new flows it bears then.
	ColdFor  time.Duration
	ColdRate float64
	// Fate decides about each datagram about a flow once Explore was called, numbered from 0: how much later
	// than usual it arrives, or that it is lost. Nil leaves them as they are.
	Fate func(number int) (late time.Duration, lost bool)
	// Choose replaces the choice of an agent, to compare it with others; nil is the product's.
	Choose func(w *World, key lentilflow.Key) (agent int)
}

// Times of the model's surroundings, as the users' platform has them.
const (
	nearDelay   = 100 * time.Microsecond
	farDelay    = 500 * time.Microsecond
	clientDelay = 3 * time.Millisecond
	renewal     = 1200 * time.Millisecond
	tick        = 50 * time.Millisecond
	// storeDelay is how long processes take to hear of a change in the store.
	storeDelay = 300 * time.Millisecond
	// probeInterval is how often routers ask balancers whether they are ready.
	probeInterval = 500 * time.Millisecond
	// restartDelay is how long a process that was killed takes to be back.
	restartDelay = 200 * time.Millisecond
	// shortEvery and shortShare say which clients have short flows, and how short.
	shortEvery = 3
	shortShare = 10
)

// ServiceName is the only service of the model; Address is where clients reach it.
const ServiceName = "service"

// Address is the address of the service.
var Address = lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)

// World is a site at a moment of simulated time.
type World struct {
	Setup  Setup
	Clock  *lentilclock.Fake
	Random *rand.Rand
	// Breaches are the promises that were broken.
	Breaches []string
	Tally    Tally

	start     time.Time
	queue     events
	number    uint64
	balancers []*balancer
	agents    []*agent
	clients   []*client
	processes map[lentilflow.Endpoint]*process
	ledgerOf  map[string]saved
	version   uint64
	out       map[int]time.Time
	cuts      map[[2]int]bool
	born      int64
	loss      float64
	exploring bool
	// fates is how many datagrams Fate has decided about.
	fates int
}

// Tally counts what clients got.
type Tally struct {
	// Asked and Answered count requests; Refused counts flows that were reset before they were open, Cut
	// requests whose flow was reset, Reset flows that were reset between requests, Expired requests that were given up.
	Asked, Answered, Refused, Cut, Reset, Expired int
	// Waits are the times from first packet or request to answer, one for each that was answered.
	Waits []time.Duration
	// Arrivals counts requests by upstream, Shed those that an upstream turned away.
	Arrivals map[string]int
	Shed     int
}

type event struct {
	at     time.Time
	number uint64
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a site whose processes and upstreams have just started, and whose clients begin once upstreams are warm.
func New(setup Setup) (w *World) {
	w = &World{
		Setup: setup, Clock: &lentilclock.Fake{}, Random: rand.New(rand.NewPCG(setup.Seed, 1)),
		processes: make(map[lentilflow.Endpoint]*process), ledgerOf: make(map[string]saved),
		version: 1, out: make(map[int]time.Time), cuts: make(map[[2]int]bool), loss: setup.Loss,
	}
	w.Clock.Advance(time.Hour)
	w.start = w.Clock.Now()
	w.Tally.Arrivals = make(map[string]int)
	for d := range setup.Domains {
		for range setup.UpstreamsEach {
			w.addAgent(d, true)
		}
		for range setup.BalancersEach {
			w.addBalancer(d)
		}
	}
	for i := range setup.Clients {
		c := &client{world: w, domain: i % setup.Domains, number: i, port: 1024, limit: setup.Requests}
		if i%shortEvery == 0 {
			c.limit = (setup.Requests + shortShare - 1) / shortShare
		}
		w.clients = append(w.clients, c)
		w.After(time.Second+setup.ColdFor+time.Duration(w.Random.Float64()*float64(time.Second)), c.begin)
	}
	return w
}

// After does something after some time.
func (w *World) After(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, event{at: w.Clock.Now().Add(d), number: w.number, do: do})
}

// Run plays until so much time has gone by since the start.
func (w *World) Run(until time.Duration) {
	end := w.start.Add(until)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.Clock.Advance(next.at.Sub(w.Clock.Now()))
		next.do()
	}
	w.Clock.Advance(max(0, end.Sub(w.Clock.Now())))
}

// Elapsed returns the time since the start.
func (w *World) Elapsed() time.Duration { return w.Clock.Now().Sub(w.start) }

func (w *World) breach(format string, values ...any) {
	w.Breaches = append(w.Breaches, fmt.Sprintf("%.3f s: ", w.Elapsed().Seconds())+fmt.Sprintf(format, values...))
}

// process is what balancers and agents have in common: a place in the network, and that they can be
// killed, stand still, or be cut off.
type process struct {
	world  *World
	domain int
	end    lentilflow.Endpoint
	up     bool
	// planned is set while the process is away because it was asked to end, which excuses nothing.
	planned bool
	run     int
	frozen  bool
	cut     bool
	// troubled is when it was last killed, frozen or cut, or came back.
	troubled time.Time
	// waiting is what arrived while it stood still.
	waiting []func()
}

// calm reports whether nothing unplanned has happened to the process for the stability window of the
// platform's rules, within which a promise may be broken by what nobody could know.
func (p *process) calm() bool {
	const window = 4 * time.Second
	return (p.up || p.planned) && !p.frozen && !p.cut && p.world.Clock.Now().Sub(p.troubled) >= window
}

// soon lets the process do something later, unless it has ended by then.
func (p *process) soon(d time.Duration, do func()) {
	run := p.run
	p.world.After(d, func() { p.enter(run, do) })
}

// enter lets the process take an event, now or once it wakes.
func (p *process) enter(run int, do func()) {
	switch {
	case !p.up || p.run != run:
	case p.frozen:
		p.waiting = append(p.waiting, func() { p.enter(run, do) })
	default:
		do()
	}
}

// Explore lets Fate decide about the datagrams from now on.
func (w *World) Explore() { w.exploring = true }

// sendAbout sends a datagram about a flow.
func (w *World) sendAbout(from *process, to lentilflow.Endpoint, take func(p *process)) {
	if !w.exploring || w.Setup.Fate == nil {
		w.send(from, to, take)
		return
	}
	late, lost := w.Setup.Fate(w.fates)
	w.fates++
	if lost {
		return
	}
	run := from.run
	w.After(late, func() {
		if from.run == run {
			w.send(from, to, take)
		}
	})
}

// send carries a datagram from one process to another, unless the network loses it.
func (w *World) send(from *process, to lentilflow.Endpoint, take func(p *process)) {
	p := w.processes[to]
	if p == nil || from.cut || p.cut || w.cuts[pair(from.domain, p.domain)] || w.Random.Float64() < w.loss {
		return
	}
	delay := farDelay
	if from.domain == p.domain {
		delay = nearDelay
	}
	w.After(delay, func() {
		if !p.up || p.cut {
			return
		}
		p.enter(p.run, func() { take(p) })
	})
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (w *World) newProcess(domain int) *process {
	number := len(w.processes) + 1
	end := lentilflow.NewEndpoint([4]byte{10, byte(domain), byte(number >> 8), byte(number)}, 7720)
	p := &process{world: w, domain: domain, end: end, troubled: w.Clock.Now().Add(-time.Hour)}
	w.processes[end] = p
	return p
}

func domainName(domain int) string { return fmt.Sprintf("domain-%d", domain) }

func (w *World) domainsOut() map[string]bool {
	out := make(map[string]bool)
	for d := range w.out {
		out[domainName(d)] = true
	}
	return out
}

// Busiest returns the number of requests of the busiest upstream over the mean of all that got any.
func (t Tally) Busiest() float64 {
	total, most := 0, 0
	for _, n := range t.Arrivals {
		total += n
		most = max(most, n)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(t.Arrivals)) / float64(total)
}

// Wait returns the time within which the given share of the answers came.
func (t Tally) Wait(share float64) time.Duration {
	if len(t.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.Waits))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
