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
	// slowFactor is how much longer a slow copy takes.
	slowFactor = 2.0
	// stepInterval is how often agents' ticks and the load measurement run.
	stepInterval = 20 * time.Millisecond
)

// agent is one agent with its copy.
type agent struct {
	number        int
	owner         lentilrecord.Owner
	upstream      lentilmodel.Copy
	sentWhileCold int // requests at the copy that were sent when it had been cold for a second or more
	admitter      lentiladmit.Admitter
	chooser       lentilhandoff.Chooser
	record        lentilrecord.Record
	version       uint64
}

// request is one request.
type request struct {
	id         uint64
	work       time.Duration
	arrivedAt  time.Time
	deadline   time.Time
	entryAgent *agent // where the caller's connection ends
	started    bool
	done       bool
	measured   bool
}

// simulation is one run.
type simulation struct {
	options      Options
	schedule     lentilschedule.Schedule
	random       *rand.Rand
	agents       []*agent
	lastID       uint64
	lastAgent    int
	totalShare   float64 // of all open connections
	requests     map[uint64]*request
	relays       map[uint64]*request // by the number at the peer
	relayTargets map[uint64]*agent   // the peers, by the same number
	stats        stats
	measureFrom  time.Time
	measureUntil time.Time
}

// Run runs the options.
func Run(options Options) Result {
	w := newSimulation(options.withDefaults())
	w.schedule.RunUntil(w.measureUntil.Add(2 * w.options.Timeout))
	return w.result()
}

func newSimulation(options Options) *simulation {
	w := &simulation{
		options:      options,
		random:       rand.New(rand.NewPCG(options.Seed, 1)),
		requests:     make(map[uint64]*request),
		relays:       make(map[uint64]*request),
		relayTargets: make(map[uint64]*agent),
	}
	w.measureFrom = w.schedule.Now().Add(options.Warmup)
	w.measureUntil = w.measureFrom.Add(options.MeasureDuration)
	for i := range options.Copies {
		w.agents = append(w.agents, w.newAgent(i))
	}
	w.stats.initialize(w)
	w.schedule.Every(options.RecordInterval, w.announceRecords)
	w.schedule.Every(stepInterval, w.tick)
	for range options.Connections {
		w.schedule.At(w.schedule.Now(), w.openConnection)
	}
	for i := range options.ColdCopies {
		u := &w.agents[options.Copies-1-i].upstream
		w.schedule.At(w.measureFrom, func() { u.ResetToCold(w.schedule.Now()) })
		w.schedule.At(w.measureFrom.Add(options.MeasureDuration/2), func() { u.ResetToCold(w.schedule.Now()) })
	}
	return w
}

func (w *simulation) newAgent(number int) *agent {
	o := w.options
	a := &agent{number: number, owner: lentilrecord.Owner{Copy: string(rune('a' + number)), Incarnation: lentilid.Incarnation(number + 1)}}
	a.upstream = lentilmodel.Copy{Slots: float64(o.Slots), Slowdown: 1}
	if number < o.SlowCopies {
		a.upstream.Slowdown = slowFactor
	}
	a.chooser = lentilhandoff.Chooser{Clock: w.schedule.Clock(), Random: w.random.Float64, Self: a.owner}
	a.admitter = lentiladmit.Admitter{Clock: w.schedule.Clock(), Random: w.random.Float64, Limiter: lentillimit.Limiter{Slots: o.Slots}}
	if o.NoAdmission {
		a.admitter.Limiter = lentillimit.Limiter{Slots: 1000, StartPercent: 100}
	}
	if o.RequestHandoff {
		a.admitter.ChoosePeer = func(lentiladmit.Arrival) (lentilrecord.Record, bool) { return a.chooser.ChooseForRequest(a.load()) }
	}
	return a
}

func (a *agent) load() lentilhandoff.Load {
	return lentilhandoff.Load{Smoothed: a.admitter.Load(), Demand: a.admitter.Demand(), Capacity: a.admitter.Limiter.Capacity()}
}

// announceRecords spreads a new record of every agent.
func (w *simulation) announceRecords() {
	for _, a := range w.agents {
		a.version++
		phase := lentilrecord.Ready
		if a.admitter.Limiter.Cold() {
			phase = lentilrecord.Warming
		}
		a.record = lentilrecord.New(lentilrecord.Doc{
			Owner: a.owner, Version: a.version, Service: 1, Domain: 1, Phase: phase,
			Control: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(a.number+1)),
			Weight:  a.admitter.Limiter.Weight(), Load: a.admitter.Load(),
		})
	}
	for _, a := range w.agents {
		for _, b := range w.agents {
			a.chooser.ApplyRecord(b.record)
		}
	}
}

func (w *simulation) tick() {
	for _, a := range w.agents {
		a.upstream.Advance(w.schedule.Now())
		w.perform(a, a.admitter.Tick())
	}
	w.stats.sample(w)
}

// openConnection opens a connection and lets it send requests until its life ends.
func (w *simulation) openConnection() {
	home := w.placeConnection()
	end := w.schedule.Now().Add(w.drawExponential(w.options.ConnectionLifetime))
	// Some callers are busier than others.
	share := w.random.ExpFloat64()
	w.totalShare += share
	w.scheduleRequest(home, share, end)
}

// scheduleRequest plans the next scheduleRequest of a connection.
func (w *simulation) scheduleRequest(home *agent, share float64, end time.Time) {
	rate := share * w.arrivalRate() / w.totalShare
	at := w.schedule.Now().Add(w.drawExponential(time.Duration(float64(time.Second) / rate)))
	if !at.Before(w.measureUntil) {
		return
	}
	if at.After(end) {
		w.schedule.At(end, func() {
			w.totalShare -= share
			w.openConnection()
		})
		return
	}
	w.schedule.At(at, func() {
		w.issueRequest(home)
		w.scheduleRequest(home, share, end)
	})
}

// arrivalRate returns the requests a second that the load makes of what the copies bear now.
func (w *simulation) arrivalRate() float64 {
	sum := 0.0
	for _, a := range w.agents {
		sum += a.upstream.Capacity(w.schedule.Now()) / a.upstream.Slowdown
	}
	return w.options.Load * sum / w.options.ServiceTime.Seconds()
}

func (w *simulation) drawExponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// drawWork draws the drawWork of a request.
func (w *simulation) drawWork() time.Duration {
	if w.options.WorkDistribution == WorkExponential {
		return max(w.drawExponential(w.options.ServiceTime), time.Millisecond)
	}
	return time.Duration(float64(w.options.ServiceTime) * (0.8 + 0.4*w.random.Float64()))
}

// placeConnection returns the agent that a new connection ends at.
func (w *simulation) placeConnection() *agent {
	home := w.chooseFirstAgent()
	for hops := 0; w.options.PacketHandoff; hops++ {
		peer, ok := home.chooser.ChooseForPacket(home.load(), hops)
		if !ok {
			break
		}
		home.chooser.RecordSentPacket(peer.Owner())
		home = w.agents[peer.Control().Port()-1]
		w.stats.result.HandedOffConnections++
	}
	return home
}

func (w *simulation) chooseFirstAgent() *agent {
	switch w.options.Placement {
	case PlaceRoundRobin:
		w.lastAgent++
		return w.agents[w.lastAgent%len(w.agents)]
	case PlaceWeighted:
		return w.chooseByWeight()
	default:
		return w.agents[w.random.IntN(len(w.agents))]
	}
}

func (w *simulation) chooseByWeight() *agent {
	sum := 0
	for _, a := range w.agents {
		sum += int(a.record.Weight())
	}
	if sum == 0 {
		return w.agents[w.random.IntN(len(w.agents))]
	}
	at := w.random.IntN(sum)
	for _, a := range w.agents {
		at -= int(a.record.Weight())
		if at < 0 {
			return a
		}
	}
	return w.agents[0]
}

func (w *simulation) issueRequest(home *agent) {
	w.lastID++
	now := w.schedule.Now()
	x := &request{
		id: w.lastID, work: w.drawWork(), arrivedAt: now, deadline: now.Add(w.options.Timeout),
		entryAgent: home, measured: !now.Before(w.measureFrom),
	}
	w.requests[x.id] = x
	w.stats.recordArrival(x)
	w.perform(home, home.admitter.Arrive(lentiladmit.Arrival{
		ID: x.id, Kind: lentilconfig.KindRepeatable, Deadline: x.deadline, Caller: uint64(math.MaxUint32) + x.id,
	}))
}
