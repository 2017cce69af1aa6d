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
	// sendInterval is the time between packets of a flow.
	sendInterval = 200 * time.Millisecond
	// answerTimeout is how long a flow lives without an answer before it counts as cut.
	answerTimeout = 5 * time.Second
	// firstAnswerTimeout is how long a new flow may take until it has its first answer.
	firstAnswerTimeout = 10 * time.Second
)

// flow is one flow of a caller, and what the checks know about it.
type flow struct {
	number   int
	service  lentilid.Service
	client   netip.AddrPort
	protocol lentilroute.Protocol
	// connectionID is the destination connection ID that the caller puts into its packets.
	connectionID []byte

	started, lastAnswer, endsAt time.Duration
	// agent is the agent where the flow lives, once a packet has opened it.
	agent *flowAgent
	// answered is true once the caller has an answer.
	answered bool
	ended    bool
	broken   bool
	// openCount counts the agents that openCount the flow.
	openCount int
}

// openFlow starts a flow that ends after life.
func (w *flowSimulation) openFlow(service lentilid.Service, life time.Duration) {
	number := len(w.flows)
	address := netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)})
	f := &flow{
		number: number, service: service, protocol: protocolOf(service),
		client:       netip.AddrPortFrom(address, uint16(1024+w.random.IntN(60000))),
		connectionID: binary.BigEndian.AppendUint64(nil, w.random.Uint64()),
		started:      w.now(), lastAnswer: w.now(), endsAt: w.now() + life,
	}
	w.flows = append(w.flows, f)
	w.stats.forService(service).Flows++
	w.sendPeriodically(f)
}

// sendPeriodically sends what the caller has to send now, and goes on until the flow ends.
func (w *flowSimulation) sendPeriodically(f *flow) {
	if f.ended || f.broken {
		return
	}
	if w.exempt(f) {
		f.ended = true
		w.stats.forService(f.service).Exempt++
		return
	}
	w.checkAnswerTimeout(f)
	switch {
	case w.now() >= f.endsAt && f.answered:
		f.ended = true
		w.sendToBalancer(f.newPacket(closing, 0))
		return
	case f.protocol == lentilroute.QUIC && !f.answered:
		w.sendToBalancer(f.newPacket(opening, 0))
		w.sendToBalancer(f.newPacket(opening, 1))
	default:
		w.sendToBalancer(f.newPacket(data, 0))
	}
	w.after(sendInterval, func() { w.sendPeriodically(f) })
}

// newPacket returns a newPacket as it looks on the wire.
func (f *flow) newPacket(kind packetKind, part uint8) (p *packet) {
	p = &packet{flow: f, kind: kind, part: part}
	switch {
	case f.protocol == lentilroute.Datagram:
		p.bytes = []byte{byte(kind)}
	case kind == opening:
		p.bytes = append([]byte{0xc0, 0, 0, 0, 1, byte(len(f.connectionID))}, f.connectionID...)
		p.bytes = append(p.bytes, 0)
	default:
		p.bytes = append([]byte{0x40}, f.connectionID...)
	}
	return p
}

// deliver is what an agent does with a packet that its keeper says is its own.
func (w *flowSimulation) deliver(a *flowAgent, p *packet) {
	f := p.flow
	w.checkService(a, f)
	c := a.connections[f]
	if c == nil && f.ended {
		return
	}
	if c == nil {
		if f.protocol == lentilroute.QUIC && p.kind != opening {
			w.reportBroken(f, "its packet came to %s, which doesn't know it", a.owner.Copy)
			return
		}
		c = w.acceptFlow(a, f)
	}
	c.receivedParts |= 1 << p.part
	switch {
	case p.kind == closing:
		delete(a.connections, f)
	case p.kind == opening && c.receivedParts != bothParts:
	default:
		w.sendAnswer(a, f)
	}
}

// acceptFlow opens a flow at an agent.
func (w *flowSimulation) acceptFlow(a *flowAgent, f *flow) (c *connection) {
	c = &connection{}
	a.connections[f] = c
	f.openCount++
	w.stats.forService(f.service).Opened++
	w.tracef("%s opens flow %d", a.owner.Copy, f.number)
	w.checkLeaving(a, f)
	if f.protocol == lentilroute.Datagram && f.agent != nil && f.agent != a && !w.exempt(f) {
		w.reportBroken(f, "it lives at %s and %s has opened it again", f.agent.owner.Copy, a.owner.Copy)
	}
	if f.protocol == lentilroute.Datagram && f.agent == nil {
		f.agent = a
	}
	return c
}

// sendAnswer sends an sendAnswer to the caller. The first sendAnswer of a QUIC flow names the
// connection ID that the caller uses from then on.
func (w *flowSimulation) sendAnswer(a *flowAgent, f *flow) {
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
			f.connectionID, f.agent = id, a
		}
		f.answered = true
	})
}
