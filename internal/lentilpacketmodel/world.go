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
	// Domains, BalancersPerDomain and UpstreamsPerDomain give the size: balancers and upstreams in each failure domain.
	Domains, BalancersPerDomain, UpstreamsPerDomain int
	// Clients is how many clients there are, each with one flow at a time.
	Clients int
	// Slots is how many requests an upstream works on at once, and QueueLimit how many more wait.
	Slots, QueueLimit int
	// ServiceTime is the mean time of a request, exponentially distributed if Spread is set.
	ServiceTime            time.Duration
	ExponentialServiceTime bool
	// Deadline is how long a client waits for an answer; zero is a second.
	Deadline time.Duration
	// ThinkTime is the mean time between an answer and the client's next request.
	ThinkTime time.Duration
	// RequestsPerFlow is how many requests a client makes in a flow before it opens another one; zero is no
	// bound. Every third client makes a tenth of them.
	RequestsPerFlow int
	// Loss is the share of datagrams that are lost.
	Loss float64
	// ColdFor is how long an upstream is cold after its start, and ColdRate how many new flows it bears then.
	ColdFor  time.Duration
	ColdRate float64
	// DeliveryOutcome decides about each datagram about a flow once Explore was called, numbered from 0: how much later
	// than usual it arrives, or that it is lost. Nil leaves them as they are.
	DeliveryOutcome func(number int) (late time.Duration, lost bool)
	// ChooseAgent replaces the choice of an agent, to compare it with others; nil is the product's.
	ChooseAgent func(w *Simulation, key lentilflow.Key) (agent int)
}

// Times of the model's surroundings, as the users' platform has them.
const (
	sameDomainDelay      = 100 * time.Microsecond
	crossDomainDelay     = 500 * time.Microsecond
	clientDelay          = 3 * time.Millisecond
	registrationInterval = 1200 * time.Millisecond
	tickInterval         = 50 * time.Millisecond
	// storeDelay is how long processes take to hear of a change in the store.
	storeDelay = 300 * time.Millisecond
	// probeInterval is how often routers ask balancers whether they are ready.
	probeInterval = 500 * time.Millisecond
	// restartDelay is how long a process that was killed takes to be back.
	restartDelay = 200 * time.Millisecond
	// shortFlowClientEvery and shortShare say which clients have short flows, and how short.
	shortFlowClientEvery = 3
	shortFlowDivisor     = 10
)

// ServiceName is the only service of the model; Address is where clients reach it.
const ServiceName = "service"

// Address is the address of the service.
var Address = lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)

// Simulation is a site at a moment of simulated time.
type Simulation struct {
	Setup  Setup
	Clock  *lentilclock.Fake
	Random *rand.Rand
	// Violations are the promises that were broken.
	Violations []string
	Stats      Stats

	startedAt       time.Time
	queue           eventQueue
	lastEventNumber uint64
	balancers       []*balancer
	agents          []*agent
	clients         []*client
	processes       map[lentilflow.Endpoint]*process
	ledgers         map[string]savedLedger
	version         uint64
	outSince        map[int]time.Time
	partitions      map[[2]int]bool
	lastIncarnation int64
	loss            float64
	applyOutcomes   bool
	// outcomesDecided is how many datagrams Fate has decided about.
	outcomesDecided int
}

// Stats counts what clients got.
type Stats struct {
	// Requests and Answered count requests; Refused counts flows that were reset before they were open, InterruptedRequests
	// requests whose flow was reset, IdleResets flows that were reset between requests, Expired requests that were given up.
	Requests, Answered, Refused, InterruptedRequests, IdleResets, Expired int
	// Latencies are the times from first packet or request to answer, one for each that was answered.
	Latencies []time.Duration
	// Arrivals counts requests by upstream, Shed those that an upstream turned away.
	Arrivals map[string]int
	Shed     int
}

type event struct {
	at     time.Time
	number uint64
	run    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop is part of heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a site whose processes and upstreams have just started, and whose clients begin once upstreams are warm.
func New(setup Setup) (w *Simulation) {
	w = &Simulation{
		Setup: setup, Clock: &lentilclock.Fake{}, Random: rand.New(rand.NewPCG(setup.Seed, 1)),
		processes: make(map[lentilflow.Endpoint]*process), ledgers: make(map[string]savedLedger),
		version: 1, outSince: make(map[int]time.Time), partitions: make(map[[2]int]bool), loss: setup.Loss,
	}
	w.Clock.Advance(time.Hour)
	w.startedAt = w.Clock.Now()
	w.Stats.Arrivals = make(map[string]int)
	for d := range setup.Domains {
		for range setup.UpstreamsPerDomain {
			w.addAgent(d, true)
		}
		for range setup.BalancersPerDomain {
			w.addBalancer(d)
		}
	}
	for i := range setup.Clients {
		c := &client{sim: w, domain: i % setup.Domains, number: i, port: 1024, requestsPerFlow: setup.RequestsPerFlow}
		if i%shortFlowClientEvery == 0 {
			c.requestsPerFlow = (setup.RequestsPerFlow + shortFlowDivisor - 1) / shortFlowDivisor
		}
		w.clients = append(w.clients, c)
		w.After(time.Second+setup.ColdFor+time.Duration(w.Random.Float64()*float64(time.Second)), c.openFlow)
	}
	return w
}

// After does something after some time.
func (w *Simulation) After(d time.Duration, do func()) {
	w.lastEventNumber++
	heap.Push(&w.queue, event{at: w.Clock.Now().Add(d), number: w.lastEventNumber, run: do})
}

// Run plays until so much time has gone by since the start.
func (w *Simulation) Run(until time.Duration) {
	end := w.startedAt.Add(until)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.Clock.Advance(next.at.Sub(w.Clock.Now()))
		next.run()
	}
	w.Clock.Advance(max(0, end.Sub(w.Clock.Now())))
}

// Elapsed returns the time since the start.
func (w *Simulation) Elapsed() time.Duration { return w.Clock.Now().Sub(w.startedAt) }

func (w *Simulation) addViolation(format string, values ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%.3f s: ", w.Elapsed().Seconds())+fmt.Sprintf(format, values...))
}

// process is what balancers and agents have in common: a place in the network, and that they can be
// killed, stand still, or be cut off.
type process struct {
	sim      *Simulation
	domain   int
	endpoint lentilflow.Endpoint
	up       bool
	// plannedStop is set while the process is away because it was asked to end, which excuses nothing.
	plannedStop bool
	run         int
	frozen      bool
	isolated    bool
	// lastFaultAt is when it was last killed, frozen or cut, or came back.
	lastFaultAt time.Time
	// deferredEvents is what arrived while it stood still.
	deferredEvents []func()
}

// stable reports whether nothing unplanned has happened to the process for the stability window of the
// platform's rules, within which a promise may be broken by what nobody could know.
func (p *process) stable() bool {
	const window = 4 * time.Second
	return (p.up || p.plannedStop) && !p.frozen && !p.isolated && p.sim.Clock.Now().Sub(p.lastFaultAt) >= window
}

// schedule lets the process do something later, unless it has ended by then.
func (p *process) schedule(d time.Duration, do func()) {
	run := p.run
	p.sim.After(d, func() { p.deliver(run, do) })
}

// deliver lets the process take an event, now or once it wakes.
func (p *process) deliver(run int, do func()) {
	switch {
	case !p.up || p.run != run:
	case p.frozen:
		p.deferredEvents = append(p.deferredEvents, func() { p.deliver(run, do) })
	default:
		do()
	}
}

// ApplyDeliveryOutcomes lets Fate decide about the datagrams from now on.
func (w *Simulation) ApplyDeliveryOutcomes() { w.applyOutcomes = true }

// sendFlowDatagram sends a datagram about a flow.
func (w *Simulation) sendFlowDatagram(from *process, to lentilflow.Endpoint, take func(p *process)) {
	if !w.applyOutcomes || w.Setup.DeliveryOutcome == nil {
		w.sendDatagram(from, to, take)
		return
	}
	late, lost := w.Setup.DeliveryOutcome(w.outcomesDecided)
	w.outcomesDecided++
	if lost {
		return
	}
	run := from.run
	w.After(late, func() {
		if from.run == run {
			w.sendDatagram(from, to, take)
		}
	})
}

// sendDatagram carries a datagram from one process to another, unless the network loses it.
func (w *Simulation) sendDatagram(from *process, to lentilflow.Endpoint, take func(p *process)) {
	p := w.processes[to]
	if p == nil || from.isolated || p.isolated || w.partitions[domainPair(from.domain, p.domain)] || w.Random.Float64() < w.loss {
		return
	}
	delay := crossDomainDelay
	if from.domain == p.domain {
		delay = sameDomainDelay
	}
	w.After(delay, func() {
		if !p.up || p.isolated {
			return
		}
		p.deliver(p.run, func() { take(p) })
	})
}

func domainPair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (w *Simulation) newProcess(domain int) *process {
	number := len(w.processes) + 1
	end := lentilflow.NewEndpoint([4]byte{10, byte(domain), byte(number >> 8), byte(number)}, 7720)
	p := &process{sim: w, domain: domain, endpoint: end, lastFaultAt: w.Clock.Now().Add(-time.Hour)}
	w.processes[end] = p
	return p
}

func domainName(domain int) string { return fmt.Sprintf("domain-%d", domain) }

func (w *Simulation) domainsOut() map[string]bool {
	out := make(map[string]bool)
	for d := range w.outSince {
		out[domainName(d)] = true
	}
	return out
}

// PeakToMean returns the number of requests of the busiest upstream over the mean of all that got any.
func (t Stats) PeakToMean() float64 {
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

// LatencyQuantile returns the time within which the given share of the answers came.
func (t Stats) LatencyQuantile(share float64) time.Duration {
	if len(t.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.Latencies))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
