package lentilagent

import (
	"net/netip"
	"sync"

	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/internal/lentiltunnel"
	"lentilstair.example/lentilstair/pkg/lentilpin"
)

const (
	// tunnelReaders is how many goroutines read from the tunnel's socket.
	tunnelReaders = 2
	// socketBytes is the size of the tunnel socket's buffers.
	socketBytes = 4 << 20
)

// buffers holds room for packets that go out.
var buffers = sync.Pool{New: func() any { return new([lentiltunnel.MaxPacketBytes]byte) }}

// receive takes packets from the tunnel until its socket is closed.
func (a *Agent) receive() {
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	lentilserver.ServeDatagrams(a.tunnel, buffer, func(packet []byte, _ netip.AddrPort) { a.tally.add(a.take(packet)) })
}

// take delivers one tunnel packet to where it belongs.
func (a *Agent) take(packet []byte) (what Counter) {
	var header lentiltunnel.Header
	payload, fault := a.codec.Open(packet, &header)
	switch fault {
	case lentiltunnel.None:
	case lentiltunnel.Malformed:
		return Malformed
	case lentiltunnel.UnknownKey:
		return UnknownKey
	default:
		return Forged
	}
	if header.Kind == lentiltunnel.Answer || header.Service != a.options.Service {
		return Misdirected
	}
	if a.domainOut.Load() {
		return DomainOut
	}
	if header.Hop == uint16(lentilpin.NoticeHop) {
		return a.notice(payload)
	}
	return a.carryOut(&header, payload, a.flowsHere.decide(&header, payload))
}

// notice takes in what another agent says of where a flow lives.
func (a *Agent) notice(payload []byte) (what Counter) {
	notice, err := lentilpin.ParseNotice(payload)
	if err != nil {
		return Malformed
	}
	a.flowsHere.notify(notice)
	return Noticed
}

// carryOut does with a packet what was decided.
func (a *Agent) carryOut(header *lentiltunnel.Header, payload []byte, action lentilpin.Action) (what Counter) {
	if !action.NoticeTo.IsZero() {
		a.sendNotice(action)
	}
	switch action.Verdict {
	case lentilpin.Local:
		a.ways.learn(header.Caller, header.Via)
		if !a.flows.deliver(payload, header.Caller) {
			return Dropped
		}
		return Received
	case lentilpin.Forward:
		header.Kind, header.Hop, header.From = lentiltunnel.Handed, uint16(action.Hop), action.From
		header.Domain, header.Incarnation = action.Place.Domain(), action.Place.Incarnation()
		return a.send(header, payload, action.Place.Agent(), HandedOn)
	case lentilpin.DropStale:
		a.reset(header, payload)
		return Stale
	default:
		return Refused
	}
}

// longHeader is the bit that marks QUIC packets with a long header (RFC 8999).
const longHeader = 0x80

// reset lets the QUIC transport answer a packet of an earlier incarnation, which it
// doesn't know, with a stateless reset, so that the caller need not wait for its idle
// timeout. The token is right since all agents derive the same key from the ring.
func (a *Agent) reset(header *lentiltunnel.Header, payload []byte) {
	if len(payload) > 0 && payload[0]&longHeader == 0 {
		a.ways.learn(header.Caller, header.Via)
		a.flows.deliver(payload, header.Caller)
	}
}

// sendNotice tells another agent where a flow lives.
func (a *Agent) sendNotice(action lentilpin.Action) {
	payload, err := action.Notice.AppendBinary(nil)
	if err != nil {
		return
	}
	header := lentiltunnel.Header{Kind: lentiltunnel.Handed, Hop: uint16(lentilpin.NoticeHop), Service: a.options.Service, From: a.place()}
	a.tally.add(a.send(&header, payload, action.NoticeTo.Agent(), Noticed))
}

// answer sends a packet of a flow back to its caller through a balancer.
func (a *Agent) answer(payload []byte, caller netip.AddrPort) {
	via, ok := a.ways.choose(caller)
	if !ok {
		a.tally.add(Wayless)
		return
	}
	header := lentiltunnel.Header{
		Kind:        lentiltunnel.Answer,
		Service:     a.options.Service,
		Domain:      a.options.Domain,
		Incarnation: a.options.Incarnation.Short(),
		Caller:      caller,
	}
	a.tally.add(a.send(&header, payload, via, Answered))
}

// send sends a tunnel packet; sent is how it is counted if it went.
func (a *Agent) send(header *lentiltunnel.Header, payload []byte, to netip.AddrPort, sent Counter) (what Counter) {
	if len(payload) > lentiltunnel.MaxPayloadBytes {
		return Oversized
	}
	buffer := buffers.Get().(*[lentiltunnel.MaxPacketBytes]byte)
	defer buffers.Put(buffer)
	length := copy(lentiltunnel.Start(buffer[:]), payload)
	if _, err := a.tunnel.WriteToUDPAddrPort(a.codec.Seal(buffer[:], header, length), to); err != nil {
		return Unsent
	}
	return sent
}
