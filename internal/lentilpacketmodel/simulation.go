// Package lentilpacketmodel simulates a site of packet flows in one process and in simulated time. The
// decisions of balancers and agents are the real ones. Clients, upstreams, network and operators are models.
//
// Tests inject faults. From what clients and upstreams observe, they check that flows stay intact and that
// new flows reach only upstreams that may accept them. Experiments apply load and measure what clients get.
// A simulation is fully determined by its setup, which includes the seed.
package lentilpacketmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// Setup describes a site and its load.
type Setup struct {
	// Seed seeds the random numbers of the simulation.
	Seed uint64
	// Domains is the number of failure domains, each with the given numbers of balancers and upstreams.
	Domains, BalancersPerDomain, UpstreamsPerDomain int
	// Clients is the number of clients, each with one flow at a time.
	Clients int
	// Slots is how many requests an upstream processes concurrently, and QueueLimit how many more it queues.
	Slots, QueueLimit int
	// ServiceTime is how long an upstream works on a request. It is a mean of exponentially distributed times
	// if ExponentialServiceTime is set.
	ServiceTime            time.Duration
	ExponentialServiceTime bool
	// Speeds are the speeds of the upstreams, which are assigned to the agents in turn and divide the service time. Without
	// them all have speed 1.
	Speeds []float64
	// ChooseBy is what balancers compare agents by for a new flow. The first EarlierAgents agents report their load as
	// an earlier release does.
	ChooseBy      lentilplacement.Criterion
	EarlierAgents int
	// Deadline is how long a client waits for an answer; zero is a second.
	Deadline time.Duration
	// ThinkTime is the mean time between an answer and the client's next request.
	ThinkTime time.Duration
	// RequestsPerFlow is how many requests a client makes in a flow before it opens another one; zero is
	// unlimited. Every third client makes a tenth of that number.
	RequestsPerFlow int
	// ArrivalRate replaces the clients by requests that arrive at random at this mean rate per second. Each has
	// a flow of its own and is repeated up to Retries times. Target is the latency objective that the route
	// announces. Every sixth request may not be repeated once its flow is open.
	ArrivalRate float64
	Retries     int
	Target      time.Duration
	// Loss is the share of datagrams between processes that the network loses.
	Loss float64
	// ColdFor is how long an upstream is cold after its start. ColdRate is how many new flows a second a
	// cold upstream can take; zero is unlimited.
	ColdFor  time.Duration
	ColdRate float64
	// DeliveryOutcome decides how each datagram about a flow is delivered after ApplyDeliveryOutcomes was
	// called: it is sent with an extra delay, or it is lost. Datagrams are numbered from 0. Nil changes nothing.
	DeliveryOutcome func(number int) (extraDelay time.Duration, lost bool)
	// ReceiveTime is how long a balancer takes to handle a datagram, as on a VM with a small share of a core; zero is
	// no time. Datagrams that arrive meanwhile wait, up to the limit of the socket's buffer.
	ReceiveTime time.Duration
	// BalancerLinkRates returns the rate of a balancer's link in each direction, given its failure domain and its number
	// in it. Nil, and a rate of 0, is a link that takes no time. LinksUnset leaves the rates unknown to the balancers, as
	// without the setting.
	BalancerLinkRates func(domain, number int) (bytesPerSecond int)
	LinksUnset        bool
	// RequestBytes is the size of other requests; 0 is one byte. It is at most 1,200.
	RequestBytes int
	// UploadBytes is the size of the uploads that every fourth arrival makes; 0 is no uploads. UploadTarget is their
	// latency objective.
	UploadBytes  int
	UploadTarget time.Duration
	// HedgePercent is the balancers' budget of extra offers. If it isn't zero, the route's requests count as
	// repeatable, and a request that runs at two upstreams is a violation.
	HedgePercent int
	// ChooseAgent replaces the balancers' choice of an agent for new flows, for comparison. Nil keeps it.
	ChooseAgent func(sim *Simulation, key lentilflow.Key) (agent int)
}

// Delays and intervals of the site, as on the users' platform.
const (
	// sameDomainDelay, crossDomainDelay and clientDelay are one-way network delays: within a failure domain or
	// a machine, between failure domains, and between clients and the site.
	sameDomainDelay  = 100 * time.Microsecond
	crossDomainDelay = 500 * time.Microsecond
	clientDelay      = 3 * time.Millisecond
	// registrationInterval is how often an upstream registers with its agent.
	registrationInterval = 1200 * time.Millisecond
	// tickInterval is how often balancers and agents do their periodic work.
	tickInterval = 50 * time.Millisecond
	// storeDelay is how long a change in the store takes to reach the processes.
	storeDelay = 300 * time.Millisecond
	// probeInterval is how often routers probe the readiness of balancers.
	probeInterval = 500 * time.Millisecond
	// restartDelay is how long a killed process takes to restart.
	restartDelay = 200 * time.Millisecond
	// Every client whose number is a multiple of shortFlowClientEvery has short flows. Their number of
	// requests is divided by shortFlowDivisor.
	shortFlowClientEvery = 3
	shortFlowDivisor     = 10
)

// ServiceName is the name of the only service.
const ServiceName = "service"

// Address is where clients reach the service.
var Address = lentilflow.NewEndpoint([4]byte{198, 18, 0, 1}, 443)

// Simulation is a simulated site. It is not safe for concurrent use.
type Simulation struct {
	Setup  Setup
	Clock  *lentilclock.Fake
	Random *rand.Rand
	// Violations describes each violation of the guarantees that are checked, with its time.
	Violations []string
	Stats      Stats

	startedAt       time.Time
	queue           eventQueue
	balancers       []*balancer
	agents          []*agent
	clients         []*client
	idleClients     []*client
	arrivalsStopped bool
	processes       map[lentilflow.Endpoint]*process
	// ledgers has the ledgers in the store by agent name.
	ledgers              map[string]savedLedger
	configurationVersion uint64
	// outSince has the failure domains that are out of service, with the time when they were taken out.
	outSince map[int]time.Time
	// partitions has the pairs of failure domains that are cut off from each other.
	partitions      map[[2]int]bool
	lastIncarnation int64
	// domainsRevision is the revision of the last change to outSince in the store.
	domainsRevision uint64
	// era is the era of the store, which began at eraSince.
	era      uint64
	eraSince time.Time
	// storeCopies has earlier contents of the store. returnedOut has the failure domains that are out of service
	// according to a store that has returned from one of them; nil if the store's content is right.
	storeCopies []storeCopy
	returnedOut map[string]bool
	loss        float64
	// applyOutcomes is set once ApplyDeliveryOutcomes was called.
	applyOutcomes bool
	// requestRuns has the upstreams at which requests ran; only with Setup.HedgePercent.
	requestRuns map[requestID]string
	// outcomesDecided is how many datagrams were passed to Setup.DeliveryOutcome.
	outcomesDecided int
}

// New returns a site whose processes and upstreams have just started. Clients start when the upstreams are warm.
func New(setup Setup) (sim *Simulation) {
	sim = &Simulation{
		Setup: setup, Clock: &lentilclock.Fake{}, Random: rand.New(rand.NewPCG(setup.Seed, 1)),
		processes: make(map[lentilflow.Endpoint]*process), ledgers: make(map[string]savedLedger),
		requestRuns:          make(map[requestID]string),
		configurationVersion: 1, era: 1, outSince: make(map[int]time.Time), partitions: make(map[[2]int]bool), loss: setup.Loss,
	}
	sim.Clock.Advance(time.Hour)
	sim.startedAt = sim.Clock.Now()
	sim.eraSince = sim.startedAt.Add(-time.Hour)
	sim.Stats.Arrivals = make(map[string]int)
	for domain := range setup.Domains {
		for range setup.UpstreamsPerDomain {
			sim.addAgent(domain, true)
		}
		for range setup.BalancersPerDomain {
			sim.addBalancer(domain)
		}
	}
	if setup.ArrivalRate > 0 {
		sim.After(time.Second+setup.ColdFor, sim.arrive)
	}
	for i := range setup.Clients {
		c := &client{sim: sim, domain: i % setup.Domains, number: i, port: 1024, requestsPerFlow: setup.RequestsPerFlow}
		if i%shortFlowClientEvery == 0 {
			c.requestsPerFlow = (setup.RequestsPerFlow + shortFlowDivisor - 1) / shortFlowDivisor
		}
		sim.clients = append(sim.clients, c)
		sim.After(time.Second+setup.ColdFor+time.Duration(sim.Random.Float64()*float64(time.Second)), c.openFlow)
	}
	return sim
}

// After schedules do to run after the simulated time d.
func (s *Simulation) After(d time.Duration, do func()) {
	s.queue.push(s.Elapsed()+d, do)
}

// Run advances the simulation until the given time since its start.
func (s *Simulation) Run(until time.Duration) {
	for {
		at, run, ok := s.queue.pop(until)
		if !ok {
			break
		}
		s.Clock.Advance(at - s.Elapsed())
		run()
	}
	s.Clock.Advance(max(0, until-s.Elapsed()))
}

// Elapsed returns the simulated time since the start.
func (s *Simulation) Elapsed() time.Duration { return s.Clock.Now().Sub(s.startedAt) }

func (s *Simulation) addViolation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf("%.3f s: ", s.Elapsed().Seconds())+fmt.Sprintf(format, args...))
}

// process is the common part of balancers and agents: an endpoint in the network, and the faults that can be
// injected.
type process struct {
	sim      *Simulation
	domain   int
	endpoint lentilflow.Endpoint
	up       bool
	// plannedStop is set while the process is down after a requested stop, which does not excuse violations.
	plannedStop bool
	// runNumber is incremented by each start. Events that were scheduled for an earlier run are dropped.
	runNumber int
	frozen    bool
	isolated  bool
	// powerless is set while the machine of the process has no power.
	powerless bool
	// lastFaultAt is when the process was last killed, frozen or isolated, or recovered from that.
	lastFaultAt time.Time
	// deferredEvents are the events that arrived while the process was frozen.
	deferredEvents []func()
	// receiveTime is how long the process takes to handle a datagram, and busyUntil when it has handled all those
	// that have arrived.
	receiveTime time.Duration
	busyUntil   time.Time
	// linkOut and linkIn are the directions of the process's network link; nil takes no time.
	linkOut, linkIn *link
}

// stable reports whether the process has had no unplanned fault for the stability window of the platform's
// rules. Within the window, a violation may be due to changes that no process could know.
func (p *process) stable() bool {
	const window = 4 * time.Second
	return (p.up || p.plannedStop) && !p.frozen && !p.isolated && p.sim.Clock.Now().Sub(p.lastFaultAt) >= window
}

// schedule runs do in the process after the delay d, unless the current run has ended by then.
func (p *process) schedule(d time.Duration, do func()) {
	runNumber := p.runNumber
	p.sim.After(d, func() { p.deliver(runNumber, do) })
}

// deliver runs an event in the given run of the process: now, or when the process is no longer frozen. It drops
// the event if that run has ended.
func (p *process) deliver(runNumber int, do func()) {
	switch {
	case !p.up || p.runNumber != runNumber:
	case p.frozen:
		p.deferredEvents = append(p.deferredEvents, func() { p.deliver(runNumber, do) })
	default:
		do()
	}
}

// receiveBufferLimit is the number of datagrams that fit into the receive buffer of a balancer's socket.
const receiveBufferLimit = 256

// receive runs the handler of a datagram that has arrived at the process, after those that arrived before. The
// datagram is lost if the buffer is full.
func (p *process) receive(do func()) {
	now := p.sim.Clock.Now()
	if p.receiveTime == 0 {
		p.deliver(p.runNumber, do)
		return
	}
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	if p.busyUntil.Sub(now) > receiveBufferLimit*p.receiveTime {
		p.sim.Stats.Overflowed++
		return
	}
	p.busyUntil = p.busyUntil.Add(p.receiveTime)
	p.schedule(p.busyUntil.Sub(now), do)
}

// ApplyDeliveryOutcomes makes Setup.DeliveryOutcome decide about all later datagrams about flows.
func (s *Simulation) ApplyDeliveryOutcomes() { s.applyOutcomes = true }

// sendFlowDatagram sends a datagram of the given size about a flow with the outcome that Setup.DeliveryOutcome decides, if that
// is applied.
func (s *Simulation) sendFlowDatagram(from *process, to lentilflow.Endpoint, bytes int, receive func(p *process)) {
	if !s.applyOutcomes || s.Setup.DeliveryOutcome == nil {
		s.sendDatagram(from, to, bytes, receive)
		return
	}
	extraDelay, lost := s.Setup.DeliveryOutcome(s.outcomesDecided)
	s.outcomesDecided++
	if lost {
		return
	}
	run := from.runNumber
	s.After(extraDelay, func() {
		if from.runNumber == run {
			s.sendDatagram(from, to, bytes, receive)
		}
	})
}

// sendDatagram delivers a datagram of the given size from one process to another, unless the network loses it.
func (s *Simulation) sendDatagram(from *process, to lentilflow.Endpoint, bytes int, receive func(p *process)) {
	p := s.processes[to]
	if p == nil || from.isolated || p.isolated || s.partitions[domainPair(from.domain, p.domain)] || s.Random.Float64() < s.loss {
		return
	}
	delay := crossDomainDelay
	if from.domain == p.domain {
		delay = sameDomainDelay
	}
	queued, ok := from.linkOut.transmit(s.Clock.Now(), bytes)
	if !ok {
		s.Stats.LinkLosses++
		return
	}
	s.After(delay+queued, func() {
		if !p.up || p.isolated {
			return
		}
		p.arrive(bytes, func() { receive(p) })
	})
}

// domainPair returns two failure domains in ascending order.
func domainPair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (s *Simulation) newProcess(domain int) *process {
	number := len(s.processes) + 1
	endpoint := lentilflow.NewEndpoint([4]byte{10, byte(domain), byte(number >> 8), byte(number)}, 7720)
	p := &process{sim: s, domain: domain, endpoint: endpoint, lastFaultAt: s.Clock.Now().Add(-time.Hour)}
	s.processes[endpoint] = p
	return p
}

func domainName(domain int) string { return fmt.Sprintf("domain-%d", domain) }

func (s *Simulation) domainsOut() map[string]bool {
	out := make(map[string]bool)
	for domain := range s.outSince {
		out[domainName(domain)] = true
	}
	return out
}
