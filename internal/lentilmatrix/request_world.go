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
	hopDelay         = time.Millisecond
	serviceTime      = 100 * time.Millisecond
	streamDuration   = 2 * time.Second
	tickInterval     = 20 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	callTimeout      = 3 * time.Second
	// streamTimeout is how long a caller watches a stream that shows nothing.
	streamTimeout = 8 * time.Second
	// warmupDuration passes before the calls that are watched, so that copies are warm; runTime
	// is how long calls are made, and endTime how long what is left may take.
	warmupDuration   = 30 * time.Second
	callPeriod       = 4 * time.Second
	completionPeriod = 20 * time.Second
	// retryCutoff is how long before the end callers stop to come back.
	retryCutoff = 14 * time.Second
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

func (m message) isAnswer() bool { return m.kind == messageAnswer || m.kind == messageRelayAnswer }

// messageFault decides how often and after what delays a message arrives, if it is hit.
type messageFault func(m message) (delays []time.Duration, hit bool)

// requestSimulation is one course of events.
type requestSimulation struct {
	seed          uint64
	schedule      lentilschedule.Schedule
	random        *rand.Rand
	ring          lentilticket.Ring
	agents        []*requestAgent
	calls         []*call
	messageFaults []messageFault
	lastID        uint64
	runsByTicket  map[string]int // by ticket
	onStep        func(s requestStep, a *requestAgent, t *attempt)
	retriesUntil  time.Time // callers give up
	outcome       Outcome
}

// newRequestSimulation returns a world whose copies are about to warm up.
func newRequestSimulation(seed uint64) *requestSimulation {
	w := &requestSimulation{
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 7)),
		ring:         lentilticket.Ring{{ID: 1, Secret: []byte("0123456789abcdef0123456789abcdef")}},
		runsByTicket: make(map[string]int),
	}
	w.retriesUntil = w.schedule.Now().Add(warmupDuration + callPeriod + completionPeriod - retryCutoff)
	for i := range agentCount {
		a := &requestAgent{sim: w, name: string(rune('a' + i)), control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000)}
		a.upstream = &requestCopy{sim: w, agent: a, model: lentilmodel.Copy{Slots: copySlots}}
		a.start()
		w.agents = append(w.agents, a)
	}
	w.schedule.Every(tickInterval, w.tick)
	w.schedule.Every(announceInterval, w.announceRecords)
	return w
}

func (w *requestSimulation) tick() {
	for _, a := range w.agents {
		a.upstream.checkCapacity()
		if a.alive && !a.paused {
			a.perform(a.admitter.Tick())
		}
	}
}

// announceRecords spreads every living agent's record to the others.
func (w *requestSimulation) announceRecords() {
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
func (w *requestSimulation) send(m message, receive func()) {
	delays := []time.Duration{hopDelay}
	for _, f := range w.messageFaults {
		if d, hit := f(m); hit {
			delays = d
		}
	}
	for _, d := range delays {
		w.schedule.After(d, receive)
	}
}

// reachStep tells that an attempt has reached a step.
func (w *requestSimulation) reachStep(s requestStep, a *requestAgent, t *attempt) {
	w.tracef("%s at %s, attempt %d of call %d", s, a.name, t.number, t.call.id)
	if w.onStep != nil {
		w.onStep(s, a, t)
	}
}

// tracef adds a line to the trace, once the copies are warm.
func (w *requestSimulation) tracef(format string, values ...any) {
	if w.elapsed() < warmupDuration {
		return
	}
	w.outcome.Tracef(w.elapsed(), format, values...)
}

// violatef records that a check failed.
func (w *requestSimulation) violatef(format string, values ...any) {
	w.outcome.RecordViolationf(w.elapsed(), format, values...)
}

func (w *requestSimulation) elapsed() time.Duration { return w.schedule.Elapsed() }

// agentAt returns the agent that listens on a control address, or nil.
func (w *requestSimulation) agentAt(control netip.AddrPort) *requestAgent {
	for _, a := range w.agents {
		if a.control == control {
			return a
		}
	}
	return nil
}

func (w *requestSimulation) nextID() uint64 {
	w.lastID++
	return w.lastID
}

// record returns what an agent announces; one whose load lies claims to be idle.
func (a *requestAgent) record() lentilrecord.Record {
	a.version++
	doc := lentilrecord.Doc{
		Owner: a.owner(), Version: a.version, Service: requestService, Domain: lentilid.Domain(1), Control: a.control,
		Phase: lentilrecord.Ready, Weight: a.admitter.Limiter.Weight(), Load: a.admitter.Load(),
	}
	if a.admitter.Draining() {
		doc.Phase = lentilrecord.Draining
	}
	if a.reportsIdle {
		doc.Weight, doc.Load = 1000, 0
	}
	return lentilrecord.New(doc)
}
