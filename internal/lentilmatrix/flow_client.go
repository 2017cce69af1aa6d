package lentilmatrix

import (
	"encoding/binary"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// packetKind is the purpose of a client's packet.
type packetKind uint8

//go:generate stringer -type=packetKind,Fault,Step -output=enum_string.go

const (
	// opening packets carry the two parts of a QUIC flow's first message.
	opening packetKind = iota
	// data packets are all packets between the first message and the close.
	data
	// closing packets close a flow.
	closing
)

// packet is a packet that a client sends.
type packet struct {
	flow  *flow
	kind  packetKind
	part  uint8
	bytes []byte
}

// Intervals and timeouts of a client.
const (
	// sendInterval is the time between packets of a flow.
	sendInterval = 200 * time.Millisecond
	// answerTimeout is how long an established flow may go without an answer before it counts as
	// broken.
	answerTimeout = 5 * time.Second
	// firstAnswerTimeout is how long a new flow may wait for its first answer before it counts as
	// broken.
	firstAnswerTimeout = 10 * time.Second
)

// flow is one flow of a client, with the state that the checks need.
type flow struct {
	number   int
	service  lentilid.Service
	client   netip.AddrPort
	protocol lentilroute.Protocol
	// connectionID is the destination connection ID that the client puts into its packets.
	connectionID []byte

	startedAt, lastAnswerAt, endsAt time.Duration
	// agent is the agent that holds the flow. It is set when the first packet opens a datagram
	// flow, and when the client has the first answer of a QUIC flow.
	agent *flowAgent
	// answered is true once the client has received an answer.
	answered bool
	// ended is true once the client has closed the flow, or the flow became exempt.
	ended  bool
	broken bool
	// openCount counts how often an agent opened the flow.
	openCount int
}

// openFlow starts a flow that the client closes after a duration.
func (s *flowSimulation) openFlow(service lentilid.Service, duration time.Duration) {
	number := len(s.flows)
	address := netip.AddrFrom4([4]byte{198, 51, byte(number >> 8), byte(number)})
	f := &flow{
		number: number, service: service, protocol: protocolOf(service),
		client:       netip.AddrPortFrom(address, uint16(1024+s.random.IntN(60000))),
		connectionID: binary.BigEndian.AppendUint64(nil, s.random.Uint64()),
		startedAt:    s.now(), lastAnswerAt: s.now(), endsAt: s.now() + duration,
	}
	s.flows = append(s.flows, f)
	s.stats.forService(service).Flows++
	s.sendPeriodically(f)
}

// sendPeriodically sends the client's next packets, once per sendInterval until the flow has ended or
// is broken.
func (s *flowSimulation) sendPeriodically(f *flow) {
	if f.ended || f.broken {
		return
	}
	if s.exempt(f) {
		f.ended = true
		s.stats.forService(f.service).Exempt++
		return
	}
	s.checkAnswerTimeout(f)
	switch {
	case s.now() >= f.endsAt && f.answered:
		f.ended = true
		s.sendToBalancer(f.newPacket(closing, 0))
		return
	case f.protocol == lentilroute.QUIC && !f.answered:
		s.sendToBalancer(f.newPacket(opening, 0))
		s.sendToBalancer(f.newPacket(opening, 1))
	default:
		s.sendToBalancer(f.newPacket(data, 0))
	}
	s.after(sendInterval, func() { s.sendPeriodically(f) })
}

// newPacket returns a packet of the flow with its wire encoding.
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

// deliver gives a packet to the copy of an agent. A packet that opens a flow creates a connection.
// A packet of an unknown QUIC connection breaks its flow.
func (s *flowSimulation) deliver(a *flowAgent, p *packet) {
	f := p.flow
	s.checkService(a, f)
	c := a.connections[f]
	if c == nil && f.ended {
		return
	}
	if c == nil {
		if f.protocol == lentilroute.QUIC && p.kind != opening {
			s.reportBroken(f, "its packet reached %s, which has no connection for it", a.owner.Copy)
			return
		}
		c = s.acceptFlow(a, f)
	}
	c.receivedParts |= 1 << p.part
	switch {
	case p.kind == closing:
		delete(a.connections, f)
	case p.kind == opening && c.receivedParts != bothParts:
	default:
		s.sendAnswer(a, f)
	}
}

// acceptFlow opens a flow at an agent. A datagram flow that is open at one agent breaks when another
// agent opens it.
func (s *flowSimulation) acceptFlow(a *flowAgent, f *flow) (c *connection) {
	c = &connection{}
	a.connections[f] = c
	f.openCount++
	s.stats.forService(f.service).Opened++
	s.tracef("%s opens flow %d", a.owner.Copy, f.number)
	s.checkLeaving(a, f)
	if f.protocol == lentilroute.Datagram && f.agent != nil && f.agent != a && !s.exempt(f) {
		s.reportBroken(f, "it was open at %s, and %s opened it again", f.agent.owner.Copy, a.owner.Copy)
	}
	if f.protocol == lentilroute.Datagram && f.agent == nil {
		f.agent = a
	}
	return c
}

// sendAnswer sends an answer to the client. The first answer of a QUIC flow carries the
// connection ID that the client uses from then on.
func (s *flowSimulation) sendAnswer(a *flowAgent, f *flow) {
	var id []byte
	if f.protocol == lentilroute.QUIC {
		a.nonce++
		id = a.view.Sealer.AppendID(nil, a.place, a.nonce)
	}
	s.send(func() {
		if f.ended {
			return
		}
		f.lastAnswerAt = s.now()
		if !f.answered && f.protocol == lentilroute.QUIC {
			f.connectionID, f.agent = id, a
		}
		f.answered = true
	})
}
