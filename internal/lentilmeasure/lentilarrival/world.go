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
	// hop is the time from one VM to another.
	hop = time.Millisecond
	// slowFactor is how much longer a slow copy takes.
	slowFactor = 2.0
	// step is how often agents' ticks and the load measurement run.
	step = 20 * time.Millisecond
)

// agent is one agent with its copy.
type agent struct {
	number   int
	owner    lentilrecord.Owner
	upstream lentilmodel.Copy
	knowing  int // requests at the copy that were sent when it had been cold for a second or more
	admitter lentiladmit.Admitter
	chooser  lentilhandoff.Chooser
	record   lentilrecord.Record
	version  uint64
}

// exchange is one request.
type exchange struct {
	id       uint64
	work     time.Duration
	arrived  time.Time
	deadline time.Time
	entry    *agent // where the caller's connection ends
	began    bool
	over     bool
	measured bool
}

// world is one run.
type world struct {
	options   Options
	schedule  lentilschedule.Schedule
	random    *rand.Rand
	agents    []*agent
	next      uint64
	turn      int
	shares    float64 // of all open connections
	exchanges map[uint64]*exchange
	relays    map[uint64]*exchange // by the number at the peer
	runners   map[uint64]*agent    // the peers, by the same number
	tally     tally
	begin     time.Time
	end       time.Time
}

// Run runs the options.
func Run(options Options) Result {
	w := newWorld(options.withDefaults())
	w.schedule.Run(w.end.Add(2 * w.options.Deadline))
	return w.result()
}

func newWorld(options Options) *world {
	w := &world{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		exchanges: make(map[uint64]*exchange),
		relays:    make(map[uint64]*exchange),
		runners:   make(map[uint64]*agent),
	}
	w.begin = w.schedule.Now().Add(options.Warmup)
	w.end = w.begin.Add(options.Length)
	for i := range options.Copies {
		w.agents = append(w.agents, w.newAgent(i))
	}
	w.tally.begin(w)
	w.schedule.Every(options.RecordEvery, w.announce)
	w.schedule.Every(step, w.step)
	for range options.Connections {
		w.schedule.At(w.schedule.Now(), w.connect)
	}
	for i := range options.Cold {
		u := &w.agents[options.Copies-1-i].upstream
		w.schedule.At(w.begin, func() { u.TurnCold(w.schedule.Now()) })
		w.schedule.At(w.begin.Add(options.Length/2), func() { u.TurnCold(w.schedule.Now()) })
	}
	return w
}

func (w *world) newAgent(number int) *agent {
	o := w.options
	a := &agent{number: number, owner: lentilrecord.Owner{Copy: string(rune('a' + number)), Incarnation: lentilid.Incarnation(number + 1)}}
	a.upstream = lentilmodel.Copy{Slots: float64(o.Slots), Factor: 1}
	if number < o.Slow {
		a.upstream.Factor = slowFactor
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

// announce spreads a new record of every agent.
func (w *world) announce() {
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

func (w *world) step() {
	for _, a := range w.agents {
		a.upstream.Advance(w.schedule.Now())
		w.perform(a, a.admitter.Tick())
	}
	w.tally.step(w)
}

// connect opens a connection and lets it send requests until its life ends.
func (w *world) connect() {
	home := w.place()
	end := w.schedule.Now().Add(w.exponential(w.options.Lifetime))
	// Some callers are busier than others.
	share := w.random.ExpFloat64()
	w.shares += share
	w.request(home, share, end)
}

// request plans the next request of a connection.
func (w *world) request(home *agent, share float64, end time.Time) {
	rate := share * w.rate() / w.shares
	at := w.schedule.Now().Add(w.exponential(time.Duration(float64(time.Second) / rate)))
	if !at.Before(w.end) {
		return
	}
	if at.After(end) {
		w.schedule.At(end, func() {
			w.shares -= share
			w.connect()
		})
		return
	}
	w.schedule.At(at, func() {
		w.arrive(home)
		w.request(home, share, end)
	})
}

// rate returns the requests a second that the load makes of what the copies bear now.
func (w *world) rate() float64 {
	sum := 0.0
	for _, a := range w.agents {
		sum += a.upstream.Bears(w.schedule.Now()) / a.upstream.Factor
	}
	return w.options.Load * sum / w.options.Service.Seconds()
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// work draws the work of a request.
func (w *world) work() time.Duration {
	if w.options.Spread == SpreadExponential {
		return max(w.exponential(w.options.Service), time.Millisecond)
	}
	return time.Duration(float64(w.options.Service) * (0.8 + 0.4*w.random.Float64()))
}

// place returns the agent that a new connection ends at.
func (w *world) place() *agent {
	home := w.first()
	for hops := 0; w.options.PacketHandoff; hops++ {
		peer, ok := home.chooser.ChooseForPacket(home.load(), hops)
		if !ok {
			break
		}
		home.chooser.RecordSentPacket(peer.Owner())
		home = w.agents[peer.Control().Port()-1]
		w.tally.result.Moved++
	}
	return home
}

func (w *world) first() *agent {
	switch w.options.Placement {
	case PlaceRoundRobin:
		w.turn++
		return w.agents[w.turn%len(w.agents)]
	case PlaceWeighted:
		return w.weighted()
	default:
		return w.agents[w.random.IntN(len(w.agents))]
	}
}

func (w *world) weighted() *agent {
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

func (w *world) arrive(home *agent) {
	w.next++
	now := w.schedule.Now()
	x := &exchange{
		id: w.next, work: w.work(), arrived: now, deadline: now.Add(w.options.Deadline),
		entry: home, measured: !now.Before(w.begin),
	}
	w.exchanges[x.id] = x
	w.tally.offered(x)
	w.perform(home, home.admitter.Arrive(lentiladmit.Arrival{
		ID: x.id, Kind: lentilconfig.KindRepeatable, Deadline: x.deadline, Caller: uint64(math.MaxUint32) + x.id,
	}))
}
