package lentilpacketmodel

import (
	"fmt"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilcustody"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// upstream is a copy of the service: it works on some requests at once, queues a few more, and turns
// the rest away.
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
	// drainAckedAt is when the agent acknowledged that the upstream drains.
	drainAckedAt time.Time
	// flows has the flows that were offered or are open, with the upstream's first sequence number.
	flows       map[lentilflow.Key]*flowState
	inFlight    int
	queued      []func()
	recentFlows []time.Time
}

type flowState struct {
	sequence     uint32
	open         bool
	lastPacketAt time.Time
}

func (w *Simulation) newUpstream(a *agent) *upstream {
	w.lastIncarnation++
	u := &upstream{sim: w, agent: a, id: fmt.Sprintf("upstream-%d", w.lastIncarnation), incarnation: w.lastIncarnation, startedAt: w.Clock.Now(), flows: make(map[lentilflow.Key]*flowState)}
	w.After(sameDomainDelay, u.register)
	return u
}

func (u *upstream) alive() bool { return !u.ended && !u.unresponsive && u.agent.upstream == u }

// register tells the agent of the upstream, again and again.
func (u *upstream) register() {
	if !u.alive() {
		return
	}
	u.registrationNumber++
	a := u.agent
	left := u.sim.Setup.ColdFor - u.sim.Clock.Now().Sub(u.startedAt)
	r := lentilcustody.Registration{
		ID: u.id, Incarnation: u.incarnation, Sequence: u.registrationNumber, Service: ServiceName, Draining: u.draining,
		ColdFor: max(0, left), Slots: u.sim.Setup.Slots,
	}
	if a.up && !a.frozen {
		a.perform(a.tracker.Register(r, nil))
		if u.draining && u.drainAckedAt.IsZero() {
			u.drainAckedAt = u.sim.Clock.Now()
		}
	}
	u.sim.After(registrationInterval, u.register)
}

// receive gets a packet from the agent.
func (u *upstream) receive(from *agent, data []byte) {
	if !u.alive() || from != u.agent {
		if u.agent.upstream == u && u.ended && !u.unresponsive {
			from.perform(from.tracker.HandlePacketRefused(nil))
		}
		return
	}
	packet, err := parsePacket(data)
	if err != nil {
		u.sim.addViolation("%s got bytes that are no packet", u.id)
		return
	}
	u.sim.checkDelivery(u, packet.Key)
	h := u.flows[packet.Key]
	switch {
	case packet.OpensFlow():
		u.handleOpening(packet, h)
	case h == nil || packet.Flags.Has(lentilflow.Acknowledge) && !h.open && packet.Acknowledged != h.sequence+1:
		packet.Flags |= lentilflow.Returned
		u.sendToAgent(packet)
	default:
		h.open, h.lastPacketAt = true, u.sim.Clock.Now()
		if packet.Length > 0 {
			u.handleRequest(packet)
		}
	}
}

func (u *upstream) handleOpening(packet lentilflow.Packet, h *flowState) {
	if h == nil {
		h = &flowState{sequence: u.sim.Random.Uint32(), lastPacketAt: u.sim.Clock.Now()}
		u.flows[packet.Key] = h
		u.checkNewFlow()
	}
	u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Open | lentilflow.Acknowledge, Sequence: h.sequence})
}

// handleRequest works on a handleRequest, or lets it wait, or turns it away.
func (u *upstream) handleRequest(packet lentilflow.Packet) {
	w := u.sim
	w.Stats.Arrivals[u.id]++
	work := func() {
		u.inFlight++
		u.sim.After(u.serviceTime(), func() {
			u.inFlight--
			if !u.alive() {
				return
			}
			u.sendToAgent(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Acknowledge, Sequence: u.flows[packet.Key].sequence + 1, Acknowledged: packet.Sequence, Length: 1})
			if len(u.queued) > 0 && u.inFlight < w.Setup.Slots {
				next := u.queued[0]
				u.queued = u.queued[1:]
				next()
			}
		})
	}
	switch {
	case u.inFlight < w.Setup.Slots:
		work()
	case len(u.queued) < w.Setup.QueueLimit:
		u.queued = append(u.queued, work)
	default:
		w.Stats.Shed++
	}
}

func (u *upstream) serviceTime() time.Duration {
	d := float64(u.sim.Setup.ServiceTime)
	if u.sim.Setup.ExponentialServiceTime {
		d *= u.sim.Random.ExpFloat64()
	}
	const coldSlowness = 1.6
	if u.sim.Clock.Now().Sub(u.startedAt) < u.sim.Setup.ColdFor {
		d *= coldSlowness
	}
	return time.Duration(d)
}

// sendToAgent sends a packet to the agent.
func (u *upstream) sendToAgent(packet lentilflow.Packet) {
	data, a := encodePacket(packet), u.agent
	u.sim.After(sameDomainDelay, func() {
		if !a.up {
			return
		}
		a.deliver(a.run, func() { a.handleUpstreamPacket(slices.Clone(data)) })
	})
}
