package lentilmatrix

import (
	"encoding/binary"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// packetKind says what a packet of a caller does.
type packetKind uint8

//go:generate stringer -type=packetKind,Fault,Step -output=enum_string.go

const (
	// opening packets are the two parts of a QUIC flow's first message.
	opening packetKind = iota
	// data packets are all others.
	data
	// closing packets end a flow.
	closing
)

// packet is a packet of a caller.
type packet struct {
	flow  *flow
	kind  packetKind
	part  uint8
	bytes []byte
}

// Times of a caller.
const (
	// sendEvery is the time between packets of a flow.
	sendEvery = 200 * time.Millisecond
	// cutAfter is how long a flow lives without an answer before it counts as cut.
	cutAfter = 5 * time.Second
	// openWithin is how long a new flow may take until it has its first answer.
	openWithin = 10 * time.Second
)

// flow is one flow of a caller, and what the checks know about it.
type flow struct {
	number   int
	service  lentilid.Service
	client   netip.AddrPort
	protocol lentilroute.Protocol
	// id is the destination connection ID that the caller puts into its packets.
	id []byte

	started, lastAnswer, endsAt time.Duration
	// home is the agent where the flow lives, once a packet has opened it.
	home *flowAgent
	// answered is true once the caller has an answer.
	answered bool
	ended    bool
	broken   bool
	// opened counts the agents that opened the flow.
	opened int
}

// openFlow starts a flow that ends after life.
func (w *flowWorld) openFlow(service lentilid.Service, life time.Duration) {
	number := len(w.flows)
	address := netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)})
	f := &flow{
		number: number, service: service, protocol: protocolOf(service),
		client:  netip.AddrPortFrom(address, uint16(1024+w.random.IntN(60000))),
		id:      binary.BigEndian.AppendUint64(nil, w.random.Uint64()),
		started: w.now(), lastAnswer: w.now(), endsAt: w.now() + life,
	}
	w.flows = append(w.flows, f)
	w.figures.of(service).Flows++
	w.speak(f)
}

// speak sends what the caller has to send now, and goes on until the flow ends.
func (w *flowWorld) speak(f *flow) {
	if f.ended || f.broken {
		return
	}
	if w.givenUp(f) {
		f.ended = true
		w.figures.of(f.service).GivenUp++
		return
	}
	w.checkCut(f)
	switch {
	case w.now() >= f.endsAt && f.answered:
		f.ended = true
		w.spray(f.packet(closing, 0))
		return
	case f.protocol == lentilroute.QUIC && !f.answered:
		w.spray(f.packet(opening, 0))
		w.spray(f.packet(opening, 1))
	default:
		w.spray(f.packet(data, 0))
	}
	w.after(sendEvery, func() { w.speak(f) })
}

// packet returns a packet as it looks on the wire.
func (f *flow) packet(kind packetKind, part uint8) (p *packet) {
	p = &packet{flow: f, kind: kind, part: part}
	switch {
	case f.protocol == lentilroute.Datagram:
		p.bytes = []byte{byte(kind)}
	case kind == opening:
		p.bytes = append([]byte{0xc0, 0, 0, 0, 1, byte(len(f.id))}, f.id...)
		p.bytes = append(p.bytes, 0)
	default:
		p.bytes = append([]byte{0x40}, f.id...)
	}
	return p
}

// local is what an agent does with a packet that its keeper says is its own.
func (w *flowWorld) local(a *flowAgent, p *packet) {
	f := p.flow
	w.checkService(a, f)
	c := a.flows[f]
	if c == nil && f.ended {
		return
	}
	if c == nil {
		if f.protocol == lentilroute.QUIC && p.kind != opening {
			w.breakFlow(f, "its packet came to %s, which doesn't know it", a.owner.Copy)
			return
		}
		c = w.accept(a, f)
	}
	c.parts |= 1 << p.part
	switch {
	case p.kind == closing:
		delete(a.flows, f)
	case p.kind == opening && c.parts != bothParts:
	default:
		w.answer(a, f)
	}
}

// accept opens a flow at an agent.
func (w *flowWorld) accept(a *flowAgent, f *flow) (c *connection) {
	c = &connection{}
	a.flows[f] = c
	f.opened++
	w.figures.of(f.service).Opened++
	w.tracef("%s opens flow %d", a.owner.Copy, f.number)
	w.checkLeaving(a, f)
	if f.protocol == lentilroute.Datagram && f.home != nil && f.home != a && !w.givenUp(f) {
		w.breakFlow(f, "it lives at %s and %s has opened it again", f.home.owner.Copy, a.owner.Copy)
	}
	if f.protocol == lentilroute.Datagram && f.home == nil {
		f.home = a
	}
	return c
}

// answer sends an answer to the caller. The first answer of a QUIC flow names the
// connection ID that the caller uses from then on.
func (w *flowWorld) answer(a *flowAgent, f *flow) {
	var id []byte
	if f.protocol == lentilroute.QUIC {
		a.nonce++
		id = a.view.Sealer.AppendID(nil, a.place, a.nonce)
	}
	w.send(func() {
		if f.ended {
			return
		}
		f.lastAnswer = w.now()
		if !f.answered && f.protocol == lentilroute.QUIC {
			f.id, f.home = id, a
		}
		f.answered = true
	})
}
