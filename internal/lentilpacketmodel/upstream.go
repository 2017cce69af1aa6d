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
	world    *World
	agent    *agent
	id       string
	born     int64
	number   int64
	startAt  time.Time
	ended    bool
	dark     bool
	draining bool
	// ackedAt is when the agent acknowledged that the upstream drains.
	ackedAt time.Time
	// flows has the flows that were offered or are open, with the upstream's first sequence number.
	flows   map[lentilflow.Key]*held
	working int
	waiting []func()
	opened  []time.Time
}

type held struct {
	sequence uint32
	open     bool
	seen     time.Time
}

func (w *World) newUpstream(a *agent) *upstream {
	w.born++
	u := &upstream{world: w, agent: a, id: fmt.Sprintf("upstream-%d", w.born), born: w.born, startAt: w.Clock.Now(), flows: make(map[lentilflow.Key]*held)}
	w.After(nearDelay, u.register)
	return u
}

func (u *upstream) alive() bool { return !u.ended && !u.dark && u.agent.upstream == u }

// register tells the agent of the upstream, again and again.
func (u *upstream) register() {
	if !u.alive() {
		return
	}
	u.number++
	a := u.agent
	left := u.world.Setup.ColdFor - u.world.Clock.Now().Sub(u.startAt)
	r := lentilcustody.Registration{
		ID: u.id, Incarnation: u.born, Sequence: u.number, Service: ServiceName, Draining: u.draining,
		ColdFor: max(0, left), Slots: u.world.Setup.Slots,
	}
	if a.up && !a.frozen {
		a.perform(a.custodian.Register(r, nil))
		if u.draining && u.ackedAt.IsZero() {
			u.ackedAt = u.world.Clock.Now()
		}
	}
	u.world.After(renewal, u.register)
}

// take gets a packet from the agent.
func (u *upstream) take(from *agent, data []byte) {
	if !u.alive() || from != u.agent {
		if u.agent.upstream == u && u.ended && !u.dark {
			from.perform(from.custodian.HandlePacketRefused(nil))
		}
		return
	}
	packet, err := parsePacket(data)
	if err != nil {
		u.world.breach("%s got bytes that are no packet", u.id)
		return
	}
	u.world.reached(u, packet.Key)
	h := u.flows[packet.Key]
	switch {
	case packet.OpensFlow():
		u.first(packet, h)
	case h == nil || packet.Flags.Has(lentilflow.Acknowledge) && !h.open && packet.Acknowledged != h.sequence+1:
		packet.Flags |= lentilflow.Returned
		u.answer(packet)
	default:
		h.open, h.seen = true, u.world.Clock.Now()
		if packet.Length > 0 {
			u.request(packet)
		}
	}
}

func (u *upstream) first(packet lentilflow.Packet, h *held) {
	if h == nil {
		h = &held{sequence: u.world.Random.Uint32(), seen: u.world.Clock.Now()}
		u.flows[packet.Key] = h
		u.judgeNew()
	}
	u.answer(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Open | lentilflow.Acknowledge, Sequence: h.sequence})
}

// request works on a request, or lets it wait, or turns it away.
func (u *upstream) request(packet lentilflow.Packet) {
	w := u.world
	w.Tally.Arrivals[u.id]++
	work := func() {
		u.working++
		u.world.After(u.duration(), func() {
			u.working--
			if !u.alive() {
				return
			}
			u.answer(lentilflow.Packet{Key: packet.Key, Flags: lentilflow.Acknowledge, Sequence: u.flows[packet.Key].sequence + 1, Acknowledged: packet.Sequence, Length: 1})
			if len(u.waiting) > 0 && u.working < w.Setup.Slots {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				next()
			}
		})
	}
	switch {
	case u.working < w.Setup.Slots:
		work()
	case len(u.waiting) < w.Setup.Queue:
		u.waiting = append(u.waiting, work)
	default:
		w.Tally.Shed++
	}
}

func (u *upstream) duration() time.Duration {
	d := float64(u.world.Setup.Work)
	if u.world.Setup.Spread {
		d *= u.world.Random.ExpFloat64()
	}
	const coldSlowness = 1.6
	if u.world.Clock.Now().Sub(u.startAt) < u.world.Setup.ColdFor {
		d *= coldSlowness
	}
	return time.Duration(d)
}

// answer sends a packet to the agent.
func (u *upstream) answer(packet lentilflow.Packet) {
	data, a := packetOf(packet), u.agent
	u.world.After(nearDelay, func() {
		if !a.up {
			return
		}
		a.enter(a.run, func() { a.fromUpstream(slices.Clone(data)) })
	})
}
