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
	// socketBufferBytes is the size of the tunnel socket's buffers.
	socketBufferBytes = 4 << 20
)

// packetBuffers holds room for packets that go out.
var packetBuffers = sync.Pool{New: func() any { return new([lentiltunnel.MaxPacketBytes]byte) }}

// receivePackets takes packets from the tunnel until its socket is closed.
func (a *Agent) receivePackets() {
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	lentilserver.ServeDatagrams(a.tunnelConn, buffer, func(packet []byte, _ netip.AddrPort) { a.stats.add(a.handlePacket(packet)) })
}

// handlePacket delivers one tunnel packet to where it belongs.
func (a *Agent) handlePacket(packet []byte) (what Counter) {
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
		return a.handleNotice(payload)
	}
	return a.performAction(&header, payload, a.flowTracker.decide(&header, payload))
}

// handleNotice takes in what another agent says of where a flow lives.
func (a *Agent) handleNotice(payload []byte) (what Counter) {
	notice, err := lentilpin.ParseNotice(payload)
	if err != nil {
		return Malformed
	}
	a.flowTracker.handleNotice(notice)
	return Noticed
}

// performAction does with a packet what was decided.
func (a *Agent) performAction(header *lentiltunnel.Header, payload []byte, action lentilpin.Action) (what Counter) {
	if !action.NoticeTo.IsZero() {
		a.sendNotice(action)
	}
	switch action.Verdict {
	case lentilpin.Local:
		a.returnPaths.recordBalancer(header.Caller, header.Via)
		if !a.flowConn.deliver(payload, header.Caller) {
			return Dropped
		}
		return Received
	case lentilpin.Forward:
		header.Kind, header.Hop, header.From = lentiltunnel.Handed, uint16(action.Hop), action.From
		header.Domain, header.Incarnation = action.Place.Domain(), action.Place.Incarnation()
		return a.sendPacket(header, payload, action.Place.Agent(), HandedOn)
	case lentilpin.DropStale:
		a.sendStatelessReset(header, payload)
		return Stale
	default:
		return Refused
	}
}

// longHeaderBit is the bit that marks QUIC packets with a long header (RFC 8999).
const longHeaderBit = 0x80

// sendStatelessReset lets the QUIC transport answer a packet of an earlier incarnation, which it
// doesn't know, with a stateless sendStatelessReset, so that the caller need not wait for its idle
// timeout. The token is right since all agents derive the same key from the ring.
func (a *Agent) sendStatelessReset(header *lentiltunnel.Header, payload []byte) {
	if len(payload) > 0 && payload[0]&longHeaderBit == 0 {
		a.returnPaths.recordBalancer(header.Caller, header.Via)
		a.flowConn.deliver(payload, header.Caller)
	}
}

// sendNotice tells another agent where a flow lives.
func (a *Agent) sendNotice(action lentilpin.Action) {
	payload, err := action.Notice.AppendBinary(nil)
	if err != nil {
		return
	}
	header := lentiltunnel.Header{Kind: lentiltunnel.Handed, Hop: uint16(lentilpin.NoticeHop), Service: a.options.Service, From: a.place()}
	a.stats.add(a.sendPacket(&header, payload, action.NoticeTo.Agent(), Noticed))
}

// sendAnswer sends a packet of a flow back to its caller through a balancer.
func (a *Agent) sendAnswer(payload []byte, caller netip.AddrPort) {
	via, ok := a.returnPaths.chooseBalancer(caller)
	if !ok {
		a.stats.add(Wayless)
		return
	}
	header := lentiltunnel.Header{
		Kind:        lentiltunnel.Answer,
		Service:     a.options.Service,
		Domain:      a.options.Domain,
		Incarnation: a.options.Incarnation.Short(),
		Caller:      caller,
	}
	a.stats.add(a.sendPacket(&header, payload, via, Answered))
}

// sendPacket sends a tunnel packet; sent is how it is counted if it went.
func (a *Agent) sendPacket(header *lentiltunnel.Header, payload []byte, to netip.AddrPort, sent Counter) (what Counter) {
	if len(payload) > lentiltunnel.MaxPayloadBytes {
		return Oversized
	}
	buffer := packetBuffers.Get().(*[lentiltunnel.MaxPacketBytes]byte)
	defer packetBuffers.Put(buffer)
	length := copy(lentiltunnel.PayloadArea(buffer[:]), payload)
	if _, err := a.tunnelConn.WriteToUDPAddrPort(a.codec.Seal(buffer[:], header, length), to); err != nil {
		return Unsent
	}
	return sent
}
