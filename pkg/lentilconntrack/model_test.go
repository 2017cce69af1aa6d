package lentilconntrack

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

var seedCount = flag.Uint64("seeds", 150, "number of seeds to run the model of an address that changes hands with")

// TestBeliefOutlastsUpstream guards against an agent that takes whoever listens at its upstream's address for its own upstream: first
// packets reach another service (ROUTE) or an upstream that drains (DRAIN), living flows are reset (FLOW), or an agent doesn't become
// ready again beside a ready upstream (LIVENESS).
func TestBeliefOutlastsUpstream(t *testing.T) {
	offered, opened, handovers := 0, 0, 0
	for seed := range *seedCount {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			m := newAddressModel(t, seed)
			m.run()
			offered, opened, handovers = offered+m.offered, opened+m.opened, handovers+m.handovers
		})
	}
	t.Logf("%d first packets, %d open flows, %d times another service got the address", offered, opened, handovers)
	if opened == 0 || handovers == 0 {
		t.Error("the model opened no flows, or the address didn't change hands")
	}
}

const (
	modelDuration = time.Minute
	modelStep     = 5 * time.Millisecond
	modelPorts    = 20
	// modelAddressReuse is addrReuseS of the users.
	modelAddressReuse  = 2 * time.Second
	modelRenewInterval = 1200 * time.Millisecond
	modelTickInterval  = 50 * time.Millisecond
	// modelProbeDelay is how long an agent waits before a probe, and modelProbeTimeout how long for its result.
	modelProbeDelay   = 20 * time.Millisecond
	modelProbeTimeout = 250 * time.Millisecond
	// modelDrainTime is drainMs of the users.
	modelDrainTime = 3 * time.Second
	// maxUnready is how long the agent may take to become ready: two renewals may count for nothing after the address was contested, and
	// one may be read late.
	maxUnready = 4500 * time.Millisecond
	// maxUnreadyBesideWriter takes its place beside another writer, counted from the start of the agent: a registration in each of
	// settleIntervals, and one before the writer's first.
	maxUnreadyBesideWriter = (settleIntervals + 1) * modelRenewInterval
	// maxTrace bounds the events that a failure shows.
	maxTrace = 30
)

// addressModel is an address at which upstreams of two services run in turn, the agent of service a at that address, and clients with
// few ports. Everything happens in steps of modelStep.
type addressModel struct {
	t     *testing.T
	rand  *rand.Rand
	clock *lentilclock.Fake
	packetTable
	startedAt time.Time
	agent     modelAgent
	// upstream is nil while none runs, previous ran before it until endedAt, and nextStart is when the next one starts.
	upstream, previous *modelUpstream
	endedAt, nextStart time.Time
	// late is a registration of the upstream before, which arrives after an upstream of another service has registered.
	late    *Registration
	clients [modelPorts]*modelClient
	writer  *modelWriter
	// unreadySince is when the agent last was ready, or had a reason not to be.
	unreadySince time.Time
	upstreams    int
	lastSequence uint32
	// trace has the last events, for a failure.
	trace []string
	// maxPauseGap is the longest time from a pause of the agent to the next one.
	maxPauseGap time.Duration

	offered, opened, handovers int
}

// modelAgent is the process of the agent.
type modelAgent struct {
	*Tracker
	inbox []modelMessage
	// pauseAt and resumeAt are when the next pause begins, and when the last one ends.
	pauseAt, resumeAt time.Time
	paused            bool
	nextTick          time.Time
	// readLimit is the number of messages that the agent reads in a step.
	readLimit int
}

// modelMessage is a message to the agent, which arrives at a time.
type modelMessage struct {
	at     time.Time
	handle func()
}

// modelWriter is another writer, which registers a service that no upstream has.
type modelWriter struct {
	interval time.Duration
	next     time.Time
	// newRuns is set if each registration is of a new run, and tellsStart if it says when that has started.
	newRuns, tellsStart bool
	registration        Registration
}

// modelUpstream is a run of an upstream.
type modelUpstream struct {
	// registration is the last one, and unread how many the agent hasn't read.
	registration     Registration
	unread           int
	nextRegistration time.Time
	endsAt           time.Time
	// drainsAt is zero if the upstream ends without a word.
	drainsAt time.Time
	// drainKnown is set once the agent, or an earlier run of it, has read that the upstream drains.
	drainKnown bool
	// hangs is set once the upstream neither answers nor registers any more.
	hangs bool
	// heldFrom is from when registrations are held up, and not read until heldUntil or, if heldFor isn't zero, for that time. Zero means
	// that none is.
	heldFrom, heldUntil time.Time
	heldFor             time.Duration
	flows               map[lentilflow.Key]*modelFlow
	// reached has the sequence numbers of the first packets that have reached the upstream, also while it hangs.
	reached map[lentilflow.Key]uint32
}

// modelFlow is a flow at an upstream.
type modelFlow struct {
	clientSequence, sequence uint32
	open                     bool
}

// modelClient is a flow of a client.
type modelClient struct {
	key      lentilflow.Key
	sequence uint32
	// acknowledged is zero until an upstream has accepted the flow.
	acknowledged uint32
	// copies is the number of first packets that were sent.
	copies   int
	nextSend time.Time
	endsAt   time.Time
}

func newAddressModel(t *testing.T, seed uint64) *addressModel {
	m := &addressModel{t: t, rand: rand.New(rand.NewPCG(seed, 0)), clock: &lentilclock.Fake{}}
	m.clock.Advance(time.Hour)
	m.startedAt = m.clock.Now()
	m.unreadySince, m.nextStart = m.startedAt, m.startedAt.Add(300*time.Millisecond)
	m.maxPauseGap = m.between(time.Second, 15*time.Second)
	if m.oneIn(3) {
		m.writer = &modelWriter{
			interval: m.between(200*time.Millisecond, 1500*time.Millisecond), next: m.startedAt.Add(m.between(0, modelDuration/2)),
			newRuns: m.oneIn(2), tellsStart: !m.oneIn(4),
			registration: Registration{ID: "w", Service: "nobody", Slots: 50},
		}
	}
	m.startAgent()
	return m
}

func (m *addressModel) run() {
	for m.clock.Now().Sub(m.startedAt) < modelDuration && !m.t.Failed() {
		m.clock.Advance(modelStep)
		now := m.clock.Now()
		m.stepUpstream(now)
		m.stepWriter(now)
		for port := range m.clients {
			m.stepClient(now, port)
		}
		m.stepAgent(now)
		m.checkReady(now)
	}
	if len(m.packets) > 1<<16 {
		m.t.Fatal("too many packets for the codec")
	}
}

func (m *addressModel) oneIn(n int) bool { return m.rand.IntN(n) == 0 }

// between returns a random duration in whole milliseconds.
func (m *addressModel) between(least, most time.Duration) time.Duration {
	return least + time.Duration(m.rand.Int64N(int64((most-least)/time.Millisecond)+1))*time.Millisecond
}

func (m *addressModel) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%7.3f ", m.clock.Now().Sub(m.startedAt).Seconds())+fmt.Sprintf(format, args...))
	m.trace = m.trace[max(0, len(m.trace)-maxTrace):]
}

// fail reports the first failure, and the events before it.
func (m *addressModel) fail(format string, args ...any) {
	if m.t.Failed() {
		return
	}
	m.note(format, args...)
	m.t.Error("\n" + strings.Join(m.trace, "\n"))
}

// send queues a message to the agent.
func (m *addressModel) send(after time.Duration, handle func()) {
	m.agent.inbox = append(m.agent.inbox, modelMessage{m.clock.Now().Add(after), handle})
}

func (m *addressModel) stepUpstream(now time.Time) {
	u := m.upstream
	switch {
	case u == nil && now.Before(m.nextStart):
	case u == nil:
		m.startUpstream(now)
	case now.After(u.endsAt):
		m.endUpstream(now)
	default:
		if !u.drainsAt.IsZero() && now.After(u.drainsAt) && !u.registration.Draining {
			u.registration.Draining, u.nextRegistration = true, now
		}
		if !u.hangs && m.oneIn(2000) {
			m.hangUpstream(now)
		}
		if !u.hangs && !now.Before(u.nextRegistration) {
			m.register(now)
		}
	}
}

// maxLife is the longest time for which an upstream runs. Beside another writer it is longer than the agent may take to become ready.
func (m *addressModel) maxLife() time.Duration {
	if m.writer != nil {
		return 3 * maxUnreadyBesideWriter
	}
	return 9 * time.Second
}

// stepWriter sends the due registration of the other writer.
func (m *addressModel) stepWriter(now time.Time) {
	w := m.writer
	if w == nil || now.Before(w.next) {
		return
	}
	w.next = now.Add(w.interval)
	w.registration.Sequence++
	if w.tellsStart && (w.newRuns || w.registration.Incarnation == 0) {
		w.registration.Incarnation = now.UnixMilli()
	}
	if w.newRuns {
		w.registration.ID, w.registration.Sequence = fmt.Sprint("w-", now.UnixMilli()), 1
	}
	r := w.registration
	m.send(0, func() { m.perform(m.agent.Register(r, nil)) })
}

func (m *addressModel) startUpstream(now time.Time) {
	m.upstreams++
	service, id := []string{"a", "b"}[m.rand.IntN(2)], fmt.Sprint("i-", m.upstreams)
	if earlier := m.previous; earlier != nil {
		if now.Sub(m.endedAt) < modelAddressReuse {
			service = earlier.registration.Service
		}
		if service == earlier.registration.Service && m.oneIn(4) {
			id = earlier.registration.ID
		}
		if service != earlier.registration.Service {
			m.handovers++
		}
	}
	u := &modelUpstream{flows: make(map[lentilflow.Key]*modelFlow), reached: make(map[lentilflow.Key]uint32)}
	u.registration = Registration{ID: id, Incarnation: now.UnixMilli(), Service: service, Slots: 50}
	u.nextRegistration, u.endsAt = now.Add(m.between(0, 200*time.Millisecond)), now.Add(m.between(time.Millisecond, m.maxLife()))
	if m.oneIn(3) {
		u.drainsAt = u.endsAt.Add(-modelDrainTime)
	}
	if m.oneIn(3) {
		m.holdUp(u)
	}
	m.upstream, m.unreadySince = u, now
	m.note("%s of %s starts", id, service)
}

// holdUp makes the last registrations of an upstream late: all are read at once some time after its end, or each as late as the others.
func (m *addressModel) holdUp(u *modelUpstream) {
	u.heldFrom = u.endsAt.Add(-m.between(modelRenewInterval, 3*modelRenewInterval))
	u.heldUntil = u.endsAt.Add(m.between(0, 6*time.Second))
	if m.oneIn(2) {
		u.heldFor = m.between(0, maxEvenDelay)
	}
}

// maxEvenDelay is the longest delay that all registrations of an upstream have: with a longer one, as many of an upstream that has ended
// come in its rhythm, without one of the other service in between, as show that it lives.
const maxEvenDelay = 4 * time.Second

// delayOf returns how late a registration is that is sent now.
func (u *modelUpstream) delayOf(now time.Time) (delay time.Duration) {
	switch {
	case u.heldFrom.IsZero() || now.Before(u.heldFrom):
		return 0
	case u.heldFor > 0:
		return u.heldFor
	}
	return max(0, u.heldUntil.Sub(now))
}

// hangUpstream makes the upstream hang, for as long as it would have run or until it is killed for that.
func (m *addressModel) hangUpstream(now time.Time) {
	m.upstream.hangs = true
	if m.oneIn(2) {
		m.upstream.endsAt = now.Add(m.between(100*time.Millisecond, time.Second))
	}
	m.note("%s hangs", m.upstream.registration.ID)
}

func (m *addressModel) endUpstream(now time.Time) {
	r := m.upstream.registration
	if r.Draining && !m.upstream.hangs {
		m.send(0, func() { m.perform(m.agent.Deregister(r.ID, nil)) })
	}
	m.note("%s of %s ends", r.ID, r.Service)
	m.previous, m.upstream, m.endedAt, m.late = m.upstream, nil, now, nil
	if m.previous.unread == 0 && m.oneIn(2) {
		r.Sequence++
		m.late = &r
	}
	switch m.rand.IntN(4) {
	case 0:
		m.nextStart = now.Add(m.between(modelStep, 100*time.Millisecond))
	case 1:
		m.nextStart = now.Add(m.between(200*time.Millisecond, 2600*time.Millisecond))
	default:
		m.nextStart = now.Add(modelAddressReuse + m.between(0, 20*time.Millisecond))
	}
}

// register sends a registration of the upstream, which may be delayed for as long as a renewal may be late.
func (m *addressModel) register(now time.Time) {
	u := m.upstream
	u.registration.Sequence++
	u.nextRegistration = now.Add(modelRenewInterval + m.between(-50*time.Millisecond, 50*time.Millisecond))
	delay := time.Duration(0)
	if m.oneIn(8) {
		delay = m.between(0, reuseMargin-2*modelStep)
	}
	if u.heldFrom.IsZero() && m.oneIn(8) {
		// The last sign of life is as young as can be, and the agent may read it late.
		u.endsAt = now.Add(m.between(0, 50*time.Millisecond))
		if m.oneIn(2) {
			m.agent.pauseAt = now
		}
	}
	r := u.registration
	u.unread++
	delay = max(delay, u.delayOf(now))
	m.send(delay, func() {
		u.unread--
		m.note("agent reads registration %d of %s of %s, draining=%t", r.Sequence, r.ID, r.Service, r.Draining)
		m.perform(m.agent.Register(r, nil))
		u.drainKnown = u.drainKnown || r.Draining && m.agent.Acknowledges(r)
		m.sendLate(r.Service)
	})
}

// sendLate sends the delayed registration of the upstream before, if the agent has just read one of another service.
func (m *addressModel) sendLate(service string) {
	r := m.late
	if r == nil || r.Service == service {
		return
	}
	m.late = nil
	m.send(m.between(0, modelDrainTime), func() {
		m.note("agent reads late registration %d of %s of %s", r.Sequence, r.ID, r.Service)
		m.perform(m.agent.Register(*r, nil))
	})
}

func (m *addressModel) stepClient(now time.Time, port int) {
	c := m.clients[port]
	switch {
	case c == nil:
		if m.oneIn(100) {
			m.clients[port] = &modelClient{key: flowKey(port), sequence: m.newSequence(), nextSend: now, endsAt: now.Add(m.between(0, 4*time.Second))}
		}
	case now.Before(c.nextSend):
	case c.acknowledged == 0 && c.copies == len(copyIntervals), c.acknowledged != 0 && now.After(c.endsAt):
		m.clients[port] = nil
	case c.acknowledged == 0:
		m.offered++
		m.sendCarry(lentilflow.Place, lentilflow.Packet{Key: c.key, Flags: lentilflow.Open, Sequence: c.sequence})
		c.nextSend = now.Add(copyIntervals[c.copies])
		c.copies++
	default:
		m.sendCarry(lentilflow.Owned, lentilflow.Packet{
			Key: c.key, Flags: lentilflow.Acknowledge, Sequence: c.sequence + 1, Acknowledged: c.acknowledged, Length: 10,
		})
		c.nextSend = now.Add(200 * time.Millisecond)
	}
}

// copyIntervals are the times from each copy of a client's first packet to the next one, and to the end of the attempt.
var copyIntervals = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// newSequence returns the first sequence number of a flow. The numbers of flows that follow each other are far apart.
func (m *addressModel) newSequence() uint32 {
	m.lastSequence += 0x9e3779b1
	return m.lastSequence
}

func (m *addressModel) sendCarry(purpose lentilflow.Purpose, packet lentilflow.Packet) {
	m.send(0, func() {
		actions, err := m.agent.HandleCarry(peer1, lentilflow.Carry{Purpose: purpose, Service: "a", Version: 1, Packet: m.encode(packet)}, nil)
		if err != nil {
			m.t.Error(err)
		}
		m.perform(actions)
	})
}

// client returns the client that uses the port of a flow, or nil.
func (m *addressModel) client(key lentilflow.Key) *modelClient {
	i := slices.IndexFunc(m.clients[:], func(c *modelClient) bool { return c != nil && c.key == key })
	if i < 0 {
		return nil
	}
	return m.clients[i]
}

// endClient ends the flow of a client.
func (m *addressModel) endClient(c *modelClient) { m.clients[slices.Index(m.clients[:], c)] = nil }

func (m *addressModel) startAgent() {
	m.agent = modelAgent{readLimit: usualReadLimit, pauseAt: m.clock.Now()}
	if !m.oneIn(4) {
		m.agent.pauseAt = m.agent.pauseAt.Add(m.between(300*time.Millisecond, m.maxPauseGap))
	}
	m.agent.Tracker = &Tracker{
		Clock: m.clock, Codec: m.codec(), Service: "a", RenewInterval: modelRenewInterval, AddressReuse: modelAddressReuse, ColdFactor: 1.5, ColdSlack: 5,
	}
	m.agent.Start()
	if m.upstream != nil {
		// The agent has no earlier registration to compare those with that come on new connections.
		m.upstream.heldFrom = time.Time{}
	}
	if m.writer != nil {
		m.unreadySince = m.clock.Now()
	}
	m.note("agent starts")
}

const (
	// usualReadLimit is more than what arrives in a step.
	usualReadLimit = 400
	// slowReadLimit is the limit of an agent that lacks the processor. In maxSlowSteps it has read what waited, within resumeTime.
	slowReadLimit = 3
	maxSlowSteps  = 40
)

func (m *addressModel) stepAgent(now time.Time) {
	a := &m.agent
	switch {
	case now.Before(a.resumeAt):
		return
	case a.paused:
		m.resumeAgent(now)
	case !now.Before(a.pauseAt):
		m.pauseAgent(now)
		return
	case m.oneIn(2000):
		m.startAgent()
		return
	}
	tickFirst := m.oneIn(2)
	if tickFirst {
		m.tick(now)
	}
	m.read(now)
	if !tickFirst {
		m.tick(now)
	}
}

func (m *addressModel) tick(now time.Time) {
	if !now.Before(m.agent.nextTick) {
		m.agent.nextTick = now.Add(modelTickInterval)
		m.perform(m.agent.Tick(nil))
	}
}

// read handles messages that have arrived.
func (m *addressModel) read(now time.Time) {
	for range m.agent.readLimit {
		i := slices.IndexFunc(m.agent.inbox, func(e modelMessage) bool { return !e.at.After(now) })
		if i < 0 {
			m.agent.readLimit = usualReadLimit
			return
		}
		handle := m.agent.inbox[i].handle
		m.agent.inbox = slices.Delete(m.agent.inbox, i, i+1)
		handle()
	}
}

// pauseAgent pauses the agent, for a time that it notices or for a shorter one.
func (m *addressModel) pauseAgent(now time.Time) {
	d := m.between(50*time.Millisecond, pauseThreshold-modelTickInterval)
	if m.oneIn(2) {
		d = m.between(pauseThreshold+modelStep, 4300*time.Millisecond)
	}
	m.agent.resumeAt, m.agent.paused = now.Add(d), true
	m.note("agent is paused for %s", d)
}

// resumeAgent goes on after a pause. What has waited comes in any order, since it comes from several sockets.
func (m *addressModel) resumeAgent(now time.Time) {
	a := &m.agent
	a.paused, a.pauseAt, a.readLimit = false, now.Add(m.between(300*time.Millisecond, m.maxPauseGap)), usualReadLimit
	if m.oneIn(3) {
		a.pauseAt = now.Add(m.between(modelStep, 300*time.Millisecond))
	}
	if m.oneIn(2) {
		a.readLimit = max(slowReadLimit, len(a.inbox)/maxSlowSteps)
	}
	m.rand.Shuffle(len(a.inbox), func(i, j int) { a.inbox[i], a.inbox[j] = a.inbox[j], a.inbox[i] })
	m.note("agent resumes, %d messages, reads %d in a step", len(a.inbox), a.readLimit)
}

func (m *addressModel) perform(actions []Action) {
	for _, a := range actions {
		switch c := m.client(a.Key); a.Kind {
		case ToUpstream:
			m.toUpstream(m.decode(a.Packet))
		case ToClient:
			if p := m.decode(a.Packet); c != nil && p.Flags.Has(lentilflow.Open) && c.acknowledged == 0 && p.Acknowledged == c.sequence+1 {
				c.acknowledged, c.nextSend = p.Sequence+1, m.clock.Now()
				m.opened++
			}
		case ResetClient:
			if c == nil {
				continue
			}
			if u := m.upstream; u != nil && !u.hangs && u.holds(a.Key, c.acknowledged) {
				m.fail("FLOW: the flow from port %s is reset for %s, but %s holds it", a.Key.Client(), a.Cause, u.registration.ID)
			}
			m.endClient(c)
		case SendRefused:
			if c != nil && c.acknowledged == 0 {
				m.endClient(c)
			}
		case ProbeUpstream:
			m.probe()
		}
	}
}

func (m *addressModel) decode(data []byte) lentilflow.Packet {
	return m.packets[int(data[0])<<8|int(data[1])]
}

// probe connects to the upstream's address after a moment. Only an upstream that hangs lets it wait for the result.
func (m *addressModel) probe() {
	m.send(modelProbeDelay, func() {
		probe, result, after := m.agent.BeginProbe(), ProbeAccepted, modelStep
		switch {
		case m.upstream == nil:
			result = ProbeRefused
		case m.upstream.hangs:
			result, after = ProbeTimedOut, modelProbeTimeout
		}
		m.send(after, func() {
			m.note("agent learns that the probe of run %d was %s", probe.run, [...]string{"accepted", "refused", "not answered"}[result])
			m.perform(m.agent.HandleProbeResult(result, probe, nil))
		})
	})
}

// toUpstream passes a packet to whoever has the upstream's address.
func (m *addressModel) toUpstream(packet lentilflow.Packet) {
	u := m.upstream
	if u == nil {
		m.send(0, func() { m.perform(m.agent.HandlePacketRefused(nil)) })
		return
	}
	if packet.OpensFlow() {
		m.checkFirst(u, packet)
		u.reached[packet.Key] = packet.Sequence
	}
	if u.hangs {
		return
	}
	answer, after := u.handle(packet, m.newSequence), time.Duration(0)
	if m.oneIn(4) {
		after = m.between(0, 100*time.Millisecond)
	}
	m.send(after, func() {
		actions, err := m.agent.HandleUpstreamPacket(m.encode(answer), nil)
		if err != nil {
			m.t.Error(err)
		}
		m.perform(actions)
	})
}

// checkFirst checks that an upstream may get the first packet of a flow.
func (m *addressModel) checkFirst(u *modelUpstream, packet lentilflow.Packet) {
	sequence, ok := u.reached[packet.Key]
	switch isCopy := ok && sequence == packet.Sequence; {
	case u.registration.Service != "a":
		m.fail("ROUTE: the first packet from port %s reaches %s of %s", packet.Key.Client(), u.registration.ID, u.registration.Service)
	case u.drainKnown && !isCopy:
		m.fail("DRAIN: the first packet from port %s reaches %s, which drains", packet.Key.Client(), u.registration.ID)
	}
}

// holds reports whether the upstream holds an open flow of which the client has the given acknowledgement number.
func (u *modelUpstream) holds(key lentilflow.Key, acknowledged uint32) bool {
	f := u.flows[key]
	return f != nil && f.open && f.sequence+1 == acknowledged
}

// handle returns the upstream's answer to a packet.
func (u *modelUpstream) handle(packet lentilflow.Packet, newSequence func() uint32) (answer lentilflow.Packet) {
	f := u.flows[packet.Key]
	if packet.OpensFlow() {
		if f == nil || f.clientSequence != packet.Sequence {
			f = &modelFlow{clientSequence: packet.Sequence, sequence: newSequence()}
			u.flows[packet.Key] = f
		}
		return lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Open | lentilflow.Acknowledge, Sequence: f.sequence, Acknowledged: f.clientSequence + 1}
	}
	if f == nil || f.sequence+1 != packet.Acknowledged {
		return markReturned(packet)
	}
	f.open = true
	return lentilflow.Packet{
		Key: packet.Key, Flags: lentilflow.Acknowledge, Sequence: f.sequence + 1, Acknowledged: packet.Sequence + uint32(packet.Length), Length: 10,
	}
}

// checkReady checks that the agent becomes ready beside an upstream of its service.
func (m *addressModel) checkReady(now time.Time) {
	u := m.upstream
	excused := u == nil || u.registration.Service != "a" || u.hangs || u.registration.Draining || now.Sub(m.agent.resumeAt) < 2*time.Second ||
		!u.heldFrom.IsZero() && !now.Before(u.heldFrom)
	if excused || m.agent.Phase() == lentilflow.Ready {
		m.unreadySince = now
	}
	bound := maxUnready
	if m.writer != nil {
		bound = maxUnreadyBesideWriter
	}
	if now.Sub(m.unreadySince) > bound {
		m.fail("LIVENESS: the agent is %s for %s beside a ready upstream", m.agent.Phase(), bound)
	}
}
