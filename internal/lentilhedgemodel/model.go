// Package lentilhedgemodel simulates agents that hedge slow requests, on a fake clock and under
// seeded random arrivals. Each agent runs the product's admitter, limiter, chooser and hedge
// policy. Copies and the network are simple models: a copy works on as many requests at once as
// it has slots, with lognormal durations, and pauses now and then.
package lentilhedgemodel

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilschedule"
	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilhedge"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	copies = 10
	slots  = 4
	// meanWork is the mean duration of a request, workSigma the standard deviation of its logarithm.
	meanWork  = 10 * time.Millisecond
	workSigma = 0.5
	// slowFactor is the factor by which requests of a slow copy take longer.
	slowFactor = 8
	// pauseGap is the mean time between two pauses of a copy, pauseLength that of a pause.
	pauseGap    = 20 * time.Second
	pauseLength = 300 * time.Millisecond
	// timeout is the time after which a caller gives up. An answer before is in time.
	timeout = 250 * time.Millisecond
	// hopDelay is the time from one agent to another.
	hopDelay = 500 * time.Microsecond
	// tickInterval is the period of the agents' ticks, recordInterval that of their records.
	tickInterval   = 20 * time.Millisecond
	recordInterval = time.Second
	// warmupTime is that of the limiters, warmup the time before the measurement. After 3 s
	// some copies were still cold.
	warmupTime = 2 * time.Second
	warmup     = 5 * time.Second
)

// Options configures a simulation.
type Options struct {
	Seed uint64
	// Load is the offered work over the capacity of all copies if none is slow or pauses.
	Load float64
	// Percent is the budget of extra attempts.
	Percent int
	// SlowCopies is the number of copies, out of ten, that turn slow when the measurement begins.
	SlowCopies int
	// Pauses lets every copy pause now and then.
	Pauses bool
	// Duration is the length of the measurement.
	Duration time.Duration
}

// Result holds the figures of the measured time.
type Result struct {
	// Offered counts the requests, InTime those answered before the timeout.
	Offered, InTime int
	// P99 is the 99th percentile of the time to the answer. Refused and lost requests count with
	// the timeout.
	P99 time.Duration
	// Extras counts extra attempts, Won those whose answer the caller got, Cancelled those that
	// were cancelled since the first attempt won, OverBudget those that the budget forbade.
	Extras, Won, Cancelled, OverBudget int
	// LateExtras counts the extra attempts later than one second after the measurement began, when
	// an overload has shown itself.
	LateExtras int
}

// agent is one agent with its copy.
type agent struct {
	number   int
	owner    lentilrecord.Owner
	admitter lentiladmit.Admitter
	chooser  lentilhandoff.Chooser
	policy   lentilhedge.Policy
	version  uint64
	slowdown float64
	pauses   []time.Time // starts of pauses in ascending order
	attempts map[uint64]*attempt
}

// request is one request of a caller.
type request struct {
	arrivedAt time.Time
	measured  bool
	answered  bool
	begun     bool
}

// attempt is one attempt at a request, with the agent that was asked for it.
type attempt struct {
	id      uint64
	at      *agent
	request *request
	runs    bool
	began   time.Time
	run     int // number of the present call to the copy
	// onAnswer and onFailure are called when an attempt from a peer ends.
	onAnswer  func()
	onFailure func(result lentiladmit.RelayResult)
	extra     *attempt // the extra attempt, while it is in progress
}

type simulation struct {
	options  Options
	schedule lentilschedule.Schedule
	random   *rand.Rand
	agents   []*agent
	lastID   uint64
	start    time.Time
	end      time.Time
	requests []*request
	times    []time.Duration
	result   Result
}

// Run simulates the options.
func Run(o Options) (result Result) {
	s := &simulation{options: o, random: rand.New(rand.NewPCG(o.Seed, 1))}
	s.start = s.schedule.Now().Add(warmup)
	s.end = s.start.Add(o.Duration)
	for i := range copies {
		s.agents = append(s.agents, s.newAgent(i))
	}
	s.announce()
	s.schedule.Every(recordInterval, s.announce)
	s.schedule.Every(tickInterval, func() {
		for _, a := range s.agents {
			s.perform(a, a.admitter.Tick())
		}
	})
	s.schedule.At(s.start, func() {
		for i := range o.SlowCopies {
			s.agents[i].slowdown = slowFactor
		}
	})
	s.scheduleArrival()
	s.schedule.RunUntil(s.end.Add(2 * timeout))
	return s.finish()
}

func (s *simulation) newAgent(number int) (a *agent) {
	a = &agent{
		number: number, slowdown: 1, attempts: make(map[uint64]*attempt),
		owner: lentilrecord.Owner{Copy: string(rune('a' + number)), Incarnation: lentilid.Incarnation(number + 1)},
	}
	clock := s.schedule.Clock()
	a.policy = lentilhedge.Policy{Clock: clock, Percent: s.options.Percent}
	a.chooser = lentilhandoff.Chooser{Clock: clock, Random: s.random.Float64, Self: a.owner}
	a.admitter = lentiladmit.Admitter{Clock: clock, Random: s.random.Float64, Limiter: lentillimit.Limiter{Slots: slots, WarmupTime: warmupTime}}
	a.admitter.ChoosePeer = func(arrival lentiladmit.Arrival) (lentilrecord.Record, bool) {
		if arrival.Relayed {
			return lentilrecord.Record{}, false
		}
		return a.chooser.ChooseForRequest(a.load())
	}
	if s.options.Pauses {
		for at := s.start; at.Before(s.end); at = at.Add(pauseLength) {
			at = at.Add(time.Duration(s.random.ExpFloat64() * float64(pauseGap)))
			a.pauses = append(a.pauses, at)
		}
	}
	return a
}

func (a *agent) load() lentilhandoff.Load {
	return lentilhandoff.Load{Smoothed: a.admitter.Load(), Demand: a.admitter.Demand(), Capacity: a.admitter.Limiter.Capacity()}
}

// announce delivers a new record of every agent to all agents.
func (s *simulation) announce() {
	for _, a := range s.agents {
		a.version++
		phase := lentilrecord.Ready
		if a.admitter.Limiter.Cold() {
			phase = lentilrecord.Warming
		}
		record := lentilrecord.New(lentilrecord.Doc{
			Owner: a.owner, Version: a.version, Service: 1, Domain: 1, Phase: phase,
			// The port tells the simulation which agent a record belongs to.
			Control: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(a.number+1)),
			Weight:  a.admitter.Limiter.Weight(), Load: a.admitter.Load(),
		})
		for _, peer := range s.agents {
			peer.chooser.ApplyRecord(record)
		}
	}
}

func (s *simulation) scheduleArrival() {
	rate := s.options.Load * copies * slots / meanWork.Seconds()
	now := s.schedule.Now()
	if now.Before(s.start) {
		// The copies warm up under a moderate load.
		rate = min(s.options.Load, 0.5) * copies * slots / meanWork.Seconds()
	}
	at := now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
	if !at.Before(s.end) {
		return
	}
	s.schedule.At(at, func() {
		s.arrive()
		s.scheduleArrival()
	})
}

func (s *simulation) arrive() {
	now := s.schedule.Now()
	r := &request{arrivedAt: now, measured: !now.Before(s.start)}
	if r.measured {
		s.requests = append(s.requests, r)
	}
	t := &attempt{at: s.agents[s.random.IntN(copies)], request: r}
	t.onAnswer = func() { s.answer(r) }
	t.onFailure = func(lentiladmit.RelayResult) {}
	s.submit(t, false)
}

// submit passes an attempt to its agent.
func (s *simulation) submit(t *attempt, relayed bool) {
	s.lastID++
	t.id = s.lastID
	t.at.attempts[t.id] = t
	s.perform(t.at, t.at.admitter.Arrive(lentiladmit.Arrival{
		ID: t.id, Kind: lentilconfig.KindRepeatable, Deadline: t.request.arrivedAt.Add(timeout), Relayed: relayed, Caller: t.id,
	}))
}

func (s *simulation) answer(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if r.measured {
		s.times = append(s.times, s.schedule.Now().Sub(r.arrivedAt))
	}
}

// perform carries out an agent's actions.
func (s *simulation) perform(a *agent, actions []lentiladmit.Action) {
	for _, action := range actions {
		t := a.attempts[action.ID()]
		if t == nil {
			continue
		}
		switch action.Kind() {
		case lentiladmit.ActionDispatch:
			s.dispatch(t)
		case lentiladmit.ActionRelay:
			s.relay(t, action.Peer())
		case lentiladmit.ActionRefuse:
			a.policy.RecordRefusal()
			delete(a.attempts, t.id)
			t.onFailure(lentiladmit.RelayNotRun)
		case lentiladmit.ActionReportUnknown:
			t.onFailure(lentiladmit.RelayAnswerLost)
		case lentiladmit.ActionAbort:
			s.abort(t, lentillimit.OutcomeTimedOut)
		}
	}
}

// finish computes the result.
func (s *simulation) finish() (result Result) {
	result = s.result
	result.Offered = len(s.requests)
	for _, t := range s.times {
		if t <= timeout {
			result.InTime++
		}
	}
	for len(s.times) < len(s.requests) {
		s.times = append(s.times, timeout)
	}
	slices.Sort(s.times)
	const p99 = 0.99
	result.P99 = s.times[int(p99*float64(len(s.times)-1))]
	return result
}

// InTimeShare returns the share of requests answered before the timeout.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Offered, 1)) }

// ExtraShare returns the extra attempts per request.
func (r Result) ExtraShare() float64 { return float64(r.Extras) / float64(max(r.Offered, 1)) }

// Scenario is a kind of slowness.
type Scenario struct {
	Name       string
	SlowCopies int
	Pauses     bool
}

// Scenarios returns the kinds of slowness to compare.
func Scenarios() []Scenario {
	return []Scenario{{Name: "even"}, {Name: "slow", SlowCopies: 1}, {Name: "pauses", Pauses: true}}
}

// Loads returns the loads to compare.
func Loads() []float64 { return []float64{0.3, 0.7, 1.2, 2} }

// Percents returns the budgets to compare.
func Percents() []int { return []int{0, 2, 5} }
