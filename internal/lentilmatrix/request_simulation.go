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
	// hopDelay is the one-way delay of a message.
	hopDelay = time.Millisecond
	// serviceTime is how long a warm copy takes for a request.
	serviceTime = 100 * time.Millisecond
	// streamDuration is how long a copy takes for a stream.
	streamDuration = 2 * time.Second
	// tickInterval is the time between two ticks of an admitter and two checks of a copy.
	tickInterval = 20 * time.Millisecond
	// announceInterval is the time between two records of an agent.
	announceInterval = 500 * time.Millisecond
	// callTimeout is the time from sending an attempt to its deadline.
	callTimeout = 3 * time.Second
	// streamTimeout is how long a caller waits for a stream to end before it closes it.
	streamTimeout = 8 * time.Second
	// warmupDuration is the time before the test calls, in which the agents' limits rise to all
	// slots. callPeriod is the time in which the test calls start. completionPeriod is the time that
	// remains for them to finish.
	warmupDuration   = 30 * time.Second
	callPeriod       = 4 * time.Second
	completionPeriod = 20 * time.Second
	// retryCutoff is how long before the end of the run callers stop retrying.
	retryCutoff = 14 * time.Second
	// agentCount is the number of agents. All serve the same service.
	agentCount = 3
)

// messageKind is what a message between callers and agents carries.
type messageKind uint8

const (
	messageRequest messageKind = iota
	messageAnswer
	messageRelay
	messageRelayAnswer
)

// message is a message about a call, as message faults see it.
type message struct {
	kind messageKind
	call *call
}

// isAnswer reports whether the message carries a reply to a caller or to a relaying agent.
func (m message) isAnswer() bool { return m.kind == messageAnswer || m.kind == messageRelayAnswer }

// messageFault returns the delays after which a message arrives, one for each time that it arrives.
// applies is false if the fault leaves the message alone.
type messageFault func(m message) (delays []time.Duration, applies bool)

// requestSimulation simulates callers, agents and copies in one process and in simulated time.
type requestSimulation struct {
	seed          uint64
	schedule      lentilschedule.Schedule
	random        *rand.Rand
	ring          lentilticket.Ring
	agents        []*requestAgent
	calls         []*call
	messageFaults []messageFault
	lastID        uint64
	runsByTicket  map[string]int // runs at copies, by ticket
	onStep        func(step requestStep, a *requestAgent, t *attempt)
	retriesUntil  time.Time // callers make no attempts after it
	outcome       Outcome
}

// newRequestSimulation returns a simulation whose copies are warm. The agents' limiters begin with
// the limit of a cold copy.
func newRequestSimulation(seed uint64) *requestSimulation {
	s := &requestSimulation{
		seed:         seed,
		random:       rand.New(rand.NewPCG(seed, 7)),
		ring:         lentilticket.Ring{{ID: 1, Secret: []byte("0123456789abcdef0123456789abcdef")}},
		runsByTicket: make(map[string]int),
	}
	s.retriesUntil = s.schedule.Now().Add(warmupDuration + callPeriod + completionPeriod - retryCutoff)
	for i := range agentCount {
		a := &requestAgent{sim: s, name: string(rune('a' + i)), control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000)}
		a.upstream = &requestCopy{sim: s, agent: a, model: lentilmodel.Copy{Slots: copySlots}}
		a.start()
		s.agents = append(s.agents, a)
	}
	s.schedule.Every(tickInterval, s.tick)
	s.schedule.Every(announceInterval, s.announceRecords)
	return s
}

func (s *requestSimulation) tick() {
	for _, a := range s.agents {
		a.upstream.checkCapacity()
		if a.alive && !a.paused {
			a.perform(a.admitter.Tick())
		}
	}
}

// announceRecords sends the record of every running agent to all agents.
func (s *requestSimulation) announceRecords() {
	for _, a := range s.agents {
		if !a.alive || a.paused {
			continue
		}
		r := a.record()
		for _, b := range s.agents {
			b.deliver(func() { b.chooser.ApplyRecord(r) })
		}
	}
}

// send delivers a message after hopDelay, or as the last message fault that applies to it says.
func (s *requestSimulation) send(m message, receive func()) {
	delays := []time.Duration{hopDelay}
	for _, fault := range s.messageFaults {
		if d, applies := fault(m); applies {
			delays = d
		}
	}
	for _, d := range delays {
		s.schedule.After(d, receive)
	}
}

// reachStep traces that an attempt has reached a step, and calls onStep.
func (s *requestSimulation) reachStep(step requestStep, a *requestAgent, t *attempt) {
	s.tracef("%s at %s, attempt %d of call %d", step, a.name, t.number, t.call.id)
	if s.onStep != nil {
		s.onStep(step, a, t)
	}
}

// tracef adds a line to the trace, if the warm-up is over.
func (s *requestSimulation) tracef(format string, values ...any) {
	if s.elapsed() < warmupDuration {
		return
	}
	s.outcome.Tracef(s.elapsed(), format, values...)
}

// violatef records a violation.
func (s *requestSimulation) violatef(format string, values ...any) {
	s.outcome.RecordViolationf(s.elapsed(), format, values...)
}

func (s *requestSimulation) elapsed() time.Duration { return s.schedule.Elapsed() }

// agentAt returns the agent that listens on a control address, or nil.
func (s *requestSimulation) agentAt(control netip.AddrPort) *requestAgent {
	for _, a := range s.agents {
		if a.control == control {
			return a
		}
	}
	return nil
}

func (s *requestSimulation) nextID() uint64 {
	s.lastID++
	return s.lastID
}

// record returns the next version of the agent's record. With reportsIdle set it reports a high weight
// and no load.
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
