package lentilmatrix

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/internal/lentilmodel"
	"lentilstair.example/lentilstair/internal/lentilschedule"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

const (
	hopTime     = time.Millisecond
	serviceTime = 100 * time.Millisecond
	streamTime  = 2 * time.Second
	tickTime    = 20 * time.Millisecond
	recordTime  = 500 * time.Millisecond
	callTimeout = 3 * time.Second
	// streamPatience is how long a caller watches a stream that shows nothing.
	streamPatience = 8 * time.Second
	// warmTime passes before the calls that are watched, so that copies are warm; runTime
	// is how long calls are made, and endTime how long what is left may take.
	warmTime = 30 * time.Second
	runTime  = 4 * time.Second
	endTime  = 20 * time.Second
	// patience is how long before the end callers stop to come back.
	patience = 14 * time.Second
	// agentCount agents serve one service.
	agentCount = 3
)

// messageKind is what a message between parties carries.
type messageKind uint8

const (
	messageRequest messageKind = iota
	messageAnswer
	messageRelay
	messageRelayAnswer
)

// message is a message about a call, as the wires see it.
type message struct {
	kind messageKind
	call *call
}

func (m message) answers() bool { return m.kind == messageAnswer || m.kind == messageRelayAnswer }

// wire decides how often and after what delays a message arrives, if it is hit.
type wire func(m message) (delays []time.Duration, hit bool)

// requestWorld is one course of events.
type requestWorld struct {
	seed     uint64
	schedule lentilschedule.Schedule
	random   *rand.Rand
	ring     lentilticket.Ring
	agents   []*requestAgent
	calls    []*call
	wires    []wire
	next     uint64
	runs     map[string]int // by ticket
	onStep   func(s requestStep, a *requestAgent, t *attempt)
	stopAt   time.Time // callers give up
	outcome  Outcome
}

// newRequestWorld returns a world whose copies are about to warm up.
func newRequestWorld(seed uint64) *requestWorld {
	w := &requestWorld{
		seed:   seed,
		random: rand.New(rand.NewPCG(seed, 7)),
		ring:   lentilticket.Ring{{ID: 1, Secret: []byte("0123456789abcdef0123456789abcdef")}},
		runs:   make(map[string]int),
	}
	w.stopAt = w.schedule.Now().Add(warmTime + runTime + endTime - patience)
	for i := range agentCount {
		a := &requestAgent{world: w, name: string(rune('a' + i)), control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000)}
		a.upstream = &requestCopy{world: w, agent: a, model: lentilmodel.Copy{Slots: copySlots}}
		a.start()
		w.agents = append(w.agents, a)
	}
	w.schedule.Every(tickTime, w.tick)
	w.schedule.Every(recordTime, w.announce)
	return w
}

func (w *requestWorld) tick() {
	for _, a := range w.agents {
		a.upstream.watch()
		if a.alive && !a.paused {
			a.perform(a.admitter.Tick())
		}
	}
}

// announce spreads every living agent's record to the others.
func (w *requestWorld) announce() {
	for _, a := range w.agents {
		if !a.alive || a.paused {
			continue
		}
		r := a.record()
		for _, b := range w.agents {
			b.deliver(func() { b.chooser.ApplyRecord(r) })
		}
	}
}

// send brings a message to its receiver, as the wires have it.
func (w *requestWorld) send(m message, receive func()) {
	delays := []time.Duration{hopTime}
	for _, f := range w.wires {
		if d, hit := f(m); hit {
			delays = d
		}
	}
	for _, d := range delays {
		w.schedule.After(d, receive)
	}
}

// reach tells that an attempt has reached a step.
func (w *requestWorld) reach(s requestStep, a *requestAgent, t *attempt) {
	w.note("%s at %s, attempt %d of call %d", s, a.name, t.number, t.call.id)
	if w.onStep != nil {
		w.onStep(s, a, t)
	}
}

// note adds a line to the trace, once the copies are warm.
func (w *requestWorld) note(format string, values ...any) {
	if w.sinceStart() < warmTime {
		return
	}
	w.outcome.Tracef(w.sinceStart(), format, values...)
}

// fail records that a check failed.
func (w *requestWorld) fail(format string, values ...any) {
	w.outcome.Violatef(w.sinceStart(), format, values...)
}

func (w *requestWorld) sinceStart() time.Duration { return w.schedule.Elapsed() }

// find returns the agent that listens on a control address, or nil.
func (w *requestWorld) find(control netip.AddrPort) *requestAgent {
	for _, a := range w.agents {
		if a.control == control {
			return a
		}
	}
	return nil
}

func (w *requestWorld) number() uint64 {
	w.next++
	return w.next
}

// record returns what an agent announces; one whose load lies claims to be idle.
func (a *requestAgent) record() lentilrecord.Record {
	a.version++
	doc := lentilrecord.Doc{
		Owner: a.owner(), Version: a.version, Service: serviceNumber, Domain: lentilid.Domain(1), Control: a.control,
		Phase: lentilrecord.Ready, Weight: a.admitter.Limiter.Weight(), Load: a.admitter.Load(),
	}
	if a.admitter.Draining() {
		doc.Phase = lentilrecord.Draining
	}
	if a.lies {
		doc.Weight, doc.Load = 1000, 0
	}
	return lentilrecord.New(doc)
}
