package lentilarrival

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/internal/lentilmodel"
	"lentilstair.example/lentilstair/internal/lentilschedule"
	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// hopDelay is the time from one VM to another.
	hopDelay = time.Millisecond
	// slowFactor is the factor by which the requests of a slow copy take longer.
	slowFactor = 2.0
	// stepInterval is the period of the agents' ticks and of the load samples.
	stepInterval = 20 * time.Millisecond
)

// agent is one agent with its copy.
type agent struct {
	number        int
	owner         lentilrecord.Owner
	upstream      lentilmodel.Copy
	sentWhileCold int // requests in flight that were dispatched when the copy had been cold for at least 1 s
	admitter      lentiladmit.Admitter
	chooser       lentilhandoff.Chooser
	record        lentilrecord.Record
	version       uint64
}

// request is one request of a caller.
type request struct {
	id         uint64
	work       time.Duration
	arrivedAt  time.Time
	deadline   time.Time
	entryAgent *agent // terminates the caller's connection
	started    bool   // dispatched to a copy
	done       bool   // counted as answered, late or refused
	measured   bool   // arrived after the warm-up
}

// simulation is one run with a set of options.
type simulation struct {
	options      Options
	schedule     lentilschedule.Schedule
	random       *rand.Rand
	agents       []*agent
	lastID       uint64
	lastAgent    int
	totalShare   float64 // sum of the relative request rates of all open connections
	requests     map[uint64]*request
	relays       map[uint64]*request // by the request ID at the peer
	relayTargets map[uint64]*agent   // by the request ID at the peer
	stats        stats
	measureFrom  time.Time
	measureUntil time.Time
}

// Run simulates the options and returns the measured figures. The simulation goes on for two
// timeouts after the measurement, so that the last measured requests end.
func Run(options Options) Result {
	s := newSimulation(options.withDefaults())
	s.schedule.RunUntil(s.measureUntil.Add(2 * s.options.Timeout))
	return s.result()
}

func newSimulation(options Options) *simulation {
	s := &simulation{
		options:      options,
		random:       rand.New(rand.NewPCG(options.Seed, 1)),
		requests:     make(map[uint64]*request),
		relays:       make(map[uint64]*request),
		relayTargets: make(map[uint64]*agent),
	}
	s.measureFrom = s.schedule.Now().Add(options.Warmup)
	s.measureUntil = s.measureFrom.Add(options.MeasureDuration)
	for i := range options.Copies {
		s.agents = append(s.agents, s.newAgent(i))
	}
	s.stats.initialize(s)
	s.schedule.Every(options.RecordInterval, s.announceRecords)
	s.schedule.Every(stepInterval, s.tick)
	for range options.Connections {
		s.schedule.At(s.schedule.Now(), s.openConnection)
	}
	for i := range options.ColdCopies {
		upstream := &s.agents[options.Copies-1-i].upstream
		s.schedule.At(s.measureFrom, func() { upstream.ResetToCold(s.schedule.Now()) })
		s.schedule.At(s.measureFrom.Add(options.MeasureDuration/2), func() { upstream.ResetToCold(s.schedule.Now()) })
	}
	return s
}

func (s *simulation) newAgent(number int) *agent {
	options := s.options
	a := &agent{number: number, owner: lentilrecord.Owner{Copy: string(rune('a' + number)), Incarnation: lentilid.Incarnation(number + 1)}}
	a.upstream = lentilmodel.Copy{Slots: float64(options.Slots), Slowdown: 1}
	if number < options.SlowCopies {
		a.upstream.Slowdown = slowFactor
	}
	a.chooser = lentilhandoff.Chooser{Clock: s.schedule.Clock(), Random: s.random.Float64, Self: a.owner}
	a.admitter = lentiladmit.Admitter{Clock: s.schedule.Clock(), Random: s.random.Float64, Limiter: lentillimit.Limiter{Slots: options.Slots}}
	if options.NoAdmission {
		// A limit of 1000 requests, also for a cold copy, stands for no limit.
		a.admitter.Limiter = lentillimit.Limiter{Slots: 1000, StartPercent: 100}
	}
	if options.RequestHandoff {
		a.admitter.ChoosePeer = func(lentiladmit.Arrival) (lentilrecord.Record, bool) { return a.chooser.ChooseForRequest(a.load()) }
	}
	return a
}

func (a *agent) load() lentilhandoff.Load {
	return lentilhandoff.Load{Smoothed: a.admitter.Load(), Demand: a.admitter.Demand(), Capacity: a.admitter.Limiter.Capacity()}
}

// announceRecords creates a new record of every agent and delivers it to all agents.
func (s *simulation) announceRecords() {
	for _, a := range s.agents {
		a.version++
		phase := lentilrecord.Ready
		if a.admitter.Limiter.Cold() {
			phase = lentilrecord.Warming
		}
		a.record = lentilrecord.New(lentilrecord.Doc{
			Owner: a.owner, Version: a.version, Service: 1, Domain: 1, Phase: phase,
			// The port tells the simulation which agent a record belongs to.
			Control: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(a.number+1)),
			Weight:  a.admitter.Limiter.Weight(), Load: a.admitter.Load(),
		})
	}
	for _, a := range s.agents {
		for _, peer := range s.agents {
			a.chooser.ApplyRecord(peer.record)
		}
	}
}

func (s *simulation) tick() {
	for _, a := range s.agents {
		a.upstream.Advance(s.schedule.Now())
		s.perform(a, a.admitter.Tick())
	}
	s.stats.sample(s)
}

// openConnection opens a connection, which sends requests until its lifetime ends.
func (s *simulation) openConnection() {
	entry := s.placeConnection()
	closeAt := s.schedule.Now().Add(s.drawExponential(s.options.ConnectionLifetime))
	// The share is the relative request rate of the connection. It is random, because some
	// callers are busier than others.
	share := s.random.ExpFloat64()
	s.totalShare += share
	s.scheduleRequest(entry, share, closeAt)
}

// scheduleRequest schedules the next request of a connection. A connection that reaches
// its end is replaced by a new one.
func (s *simulation) scheduleRequest(entry *agent, share float64, closeAt time.Time) {
	rate := share * s.arrivalRate() / s.totalShare
	at := s.schedule.Now().Add(s.drawExponential(time.Duration(float64(time.Second) / rate)))
	if !at.Before(s.measureUntil) {
		return
	}
	if at.After(closeAt) {
		s.schedule.At(closeAt, func() {
			s.totalShare -= share
			s.openConnection()
		})
		return
	}
	s.schedule.At(at, func() {
		s.issueRequest(entry)
		s.scheduleRequest(entry, share, closeAt)
	})
}

// arrivalRate returns the requests per second of all callers: the configured load at the
// present capacity of the copies.
func (s *simulation) arrivalRate() float64 {
	sum := 0.0
	for _, a := range s.agents {
		sum += a.upstream.Capacity(s.schedule.Now()) / a.upstream.Slowdown
	}
	return s.options.Load * sum / s.options.ServiceTime.Seconds()
}

func (s *simulation) drawExponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// drawWork returns a random amount of work for a request.
func (s *simulation) drawWork() time.Duration {
	if s.options.WorkDistribution == WorkExponential {
		return max(s.drawExponential(s.options.ServiceTime), time.Millisecond)
	}
	return time.Duration(float64(s.options.ServiceTime) * (0.8 + 0.4*s.random.Float64()))
}

// placeConnection returns the agent that terminates a new connection, after any hand-offs.
func (s *simulation) placeConnection() *agent {
	entry := s.chooseFirstAgent()
	for hops := 0; s.options.PacketHandoff; hops++ {
		peer, ok := entry.chooser.ChooseForPacket(entry.load(), hops)
		if !ok {
			break
		}
		entry.chooser.RecordSentPacket(peer.Owner())
		entry = s.agents[peer.Control().Port()-1]
		s.stats.result.HandedOffConnections++
	}
	return entry
}

func (s *simulation) chooseFirstAgent() *agent {
	switch s.options.Placement {
	case PlaceRoundRobin:
		s.lastAgent++
		return s.agents[s.lastAgent%len(s.agents)]
	case PlaceWeighted:
		return s.chooseByWeight()
	default:
		return s.agents[s.random.IntN(len(s.agents))]
	}
}

func (s *simulation) chooseByWeight() *agent {
	sum := 0
	for _, a := range s.agents {
		sum += int(a.record.Weight())
	}
	if sum == 0 {
		return s.agents[s.random.IntN(len(s.agents))]
	}
	rest := s.random.IntN(sum)
	for _, a := range s.agents {
		rest -= int(a.record.Weight())
		if rest < 0 {
			return a
		}
	}
	return s.agents[0]
}

func (s *simulation) issueRequest(entry *agent) {
	s.lastID++
	now := s.schedule.Now()
	r := &request{
		id: s.lastID, work: s.drawWork(), arrivedAt: now, deadline: now.Add(s.options.Timeout),
		entryAgent: entry, measured: !now.Before(s.measureFrom),
	}
	s.requests[r.id] = r
	s.stats.recordArrival(r)
	// Every request has its own caller, so that none dominates a queue.
	s.perform(entry, entry.admitter.Arrive(lentiladmit.Arrival{
		ID: r.id, Kind: lentilconfig.KindRepeatable, Deadline: r.deadline, Caller: uint64(math.MaxUint32) + r.id,
	}))
}
