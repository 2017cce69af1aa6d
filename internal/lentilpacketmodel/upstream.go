package lentilpacketmodel

import (
	"fmt"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconntrack"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// upstream is a copy of the service. It works on Setup.Slots requests at once, queues up to Setup.QueueLimit more
// and sheds the rest.
type upstream struct {
	sim                *Simulation
	agent              *agent
	id                 string
	incarnation        int64
	registrationNumber int64
	startedAt          time.Time
	ended              bool
	unresponsive       bool
	draining           bool
	// failing upstreams reset every flow on which a request arrives.
	failing bool
	// drainAckedAt is when the agent acknowledged the drain; zero before that.
	drainAckedAt time.Time
	// flows has the flows that are open or that a client has asked to open.
	flows    map[lentilflow.Key]*flowState
	inFlight int
	queued   []func()
	// recentFlows has the start times of the new flows of the last second, while the upstream is cold.
	recentFlows []time.Time
}

// flowState is an upstream's state of a flow.
type flowState struct {
	// sequence is the upstream's first sequence number.
	sequence uint32
	// open is set once the client has confirmed the flow.
	open         bool
	lastPacketAt time.Time
	// requestSequence is the sequence number of the last request, valid if requested is set. answered is set
	// once it was answered.
	requestSequence     uint32
	requested, answered bool
	// clientSequence is the client's first sequence number. uploaded has the lengths of the packets of an upload by their
	// offset, and uploadedBytes is how much of it has arrived without a gap.
	clientSequence uint32
	uploaded       map[int]int
	uploadedBytes  int
}

func (s *Simulation) newUpstream(a *agent) *upstream {
	s.lastIncarnation++
	u := &upstream{
		sim: s, agent: a, id: fmt.Sprintf("upstream-%d", s.lastIncarnation), incarnation: s.Clock.Now().UnixMilli(), startedAt: s.Clock.Now(),
		flows: make(map[lentilflow.Key]*flowState),
	}
	s.After(sameDomainDelay, u.register)
	return u
}

// alive reports whether the upstream runs and answers, and has not been replaced.
func (u *upstream) alive() bool { return !u.ended && !u.unresponsive && u.agent.upstream == u }

// register registers the upstream with its agent, and renews the registration periodically.
func (u *upstream) register() {
	if !u.alive() {
		return
	}
	u.registrationNumber++
	a := u.agent
	coldLeft := u.sim.Setup.ColdFor - u.sim.Clock.Now().Sub(u.startedAt)
	registration := lentilconntrack.Registration{
		ID: u.id, Incarnation: u.incarnation, Sequence: u.registrationNumber, Service: ServiceName, Draining: u.draining,
		ColdFor: max(0, coldLeft), Slots: u.sim.Setup.Slots,
	}
	if a.up && !a.frozen {
		a.perform(a.tracker.Register(registration, nil))
		if u.draining && u.drainAckedAt.IsZero() {
			u.drainAckedAt = u.sim.Clock.Now()
		}
	}
	u.sim.After(registrationInterval, u.register)
}

// receive processes a packet from the agent. It marks a packet of a flow that it does not hold as returned and
// sends it back.
func (u *upstream) receive(from *agent, data []byte) {
	if !u.alive() || from != u.agent {
		if u.agent.upstream == u && u.ended && !u.unresponsive {
			from.perform(from.tracker.HandlePacketRefused(nil))
		}
		return
	}
	packet, err := parsePacket(data)
	if err != nil {
		u.sim.addViolation("%s received a malformed packet", u.id)
		return
	}
	u.sim.checkDelivery(u, packet.Key)
	flow := u.flows[packet.Key]
	switch {
	case packet.OpensFlow():
		u.handleOpening(packet, flow)
	case flow == nil || packet.Flags.Has(lentilflow.Acknowledge) && !flow.open && packet.Acknowledged != flow.sequence+1:
		packet.Flags |= lentilflow.Returned
		u.sendToAgent(packet)
	case packet.Flags.Has(lentilflow.Close):
		delete(u.flows, packet.Key)
		u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Close | lentilflow.Acknowledge})
	default:
		flow.open, flow.lastPacketAt = true, u.sim.Clock.Now()
		if packet.Length > 0 {
			u.handleRequest(packet, flow)
		}
	}
}

// handleOpening answers the first packet of a flow, which may be a retransmission.
func (u *upstream) handleOpening(packet lentilflow.Packet, flow *flowState) {
	if flow == nil {
		flow = &flowState{sequence: u.sim.Random.Uint32(), clientSequence: packet.Sequence, lastPacketAt: u.sim.Clock.Now()}
		u.flows[packet.Key] = flow
		u.checkNewFlow()
	}
	u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Open | lentilflow.Acknowledge, Sequence: flow.sequence})
}

// handleRequest works on a request, queues it or sheds it.
func (u *upstream) handleRequest(packet lentilflow.Packet, flow *flowState) {
	sim := u.sim
	if c := sim.clientOf(packet.Key); c != nil && c.uploads() {
		first, complete := u.receiveUpload(packet, flow)
		if !complete {
			return
		}
		packet.Sequence = first
	}
	if flow.requested && flow.requestSequence == packet.Sequence {
		// The client has sent the request again.
		if flow.answered {
			u.answer(packet)
		}
		return
	}
	flow.requested, flow.requestSequence, flow.answered = true, packet.Sequence, false
	sim.Stats.Arrivals[u.id]++
	sim.checkRun(u, packet)
	if u.failing {
		u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Reset})
		delete(u.flows, packet.Key)
		return
	}
	work := func() {
		u.inFlight++
		u.sim.After(u.serviceTime(), func() {
			u.inFlight--
			if !u.alive() {
				return
			}
			u.answer(packet)
			if len(u.queued) > 0 && u.inFlight < sim.Setup.Slots {
				next := u.queued[0]
				u.queued = u.queued[1:]
				next()
			}
		})
	}
	switch {
	case u.inFlight < sim.Setup.Slots:
		work()
	case len(u.queued) < sim.Setup.QueueLimit:
		u.queued = append(u.queued, work)
	default:
		sim.Stats.Shed++
		flow.requested = false
		if c := sim.clientOf(packet.Key); c != nil && c.arrival != nil {
			u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Reset})
			delete(u.flows, packet.Key)
		}
	}
}

// answer answers a request, unless its flow has ended.
func (u *upstream) answer(packet lentilflow.Packet) {
	if flow := u.flows[packet.Key]; flow != nil {
		flow.answered = true
		u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Acknowledge, Sequence: flow.sequence + 1, Acknowledged: packet.Sequence, Length: 1})
	}
}

// serviceTime returns how long the upstream works on a request, which is longer while it is cold.
func (u *upstream) serviceTime() time.Duration {
	duration := float64(u.sim.Setup.ServiceTime) / u.speed()
	if u.sim.Setup.ExponentialServiceTime {
		duration *= u.sim.Random.ExpFloat64()
	}
	const coldSlowness = 1.6
	if u.sim.Clock.Now().Sub(u.startedAt) < u.sim.Setup.ColdFor {
		duration *= coldSlowness
	}
	return time.Duration(duration)
}

// speed returns how many times faster than usual the upstream works.
func (u *upstream) speed() float64 {
	speeds := u.sim.Setup.Speeds
	if len(speeds) == 0 {
		return 1
	}
	return speeds[slices.Index(u.sim.agents, u.agent)%len(speeds)]
}

// sendToAgent sends a packet to the agent.
func (u *upstream) sendToAgent(packet lentilflow.Packet) {
	data, a := encodePacket(packet), u.agent
	u.sim.After(sameDomainDelay, func() {
		if !a.up {
			return
		}
		a.deliver(a.runNumber, func() { a.handleUpstreamPacket(slices.Clone(data)) })
	})
}
