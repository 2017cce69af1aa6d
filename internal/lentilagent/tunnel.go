package lentilagent

import (
	"net/netip"
	"sync"

	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/internal/lentiltunnel"
	"lentilstair.example/lentilstair/pkg/lentilpin"
)

const (
	// tunnelReaders is the number of goroutines that read from the tunnel socket.
	tunnelReaders = 2
	// socketBufferBytes is the size of the tunnel socket's receive and send buffers.
	socketBufferBytes = 4 << 20
)

// packetBuffers holds buffers for outgoing packets.
var packetBuffers = sync.Pool{New: func() any { return new([lentiltunnel.MaxPacketBytes]byte) }}

// receivePackets handles packets from the tunnel until its socket is closed.
func (a *Agent) receivePackets() {
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	lentilserver.ServeDatagrams(a.tunnelConn, buffer, func(packet []byte, _ netip.AddrPort) { a.stats.add(a.handlePacket(packet)) })
}

// handlePacket opens a tunnel packet, decides what to do with it and does so. It returns the
// counter that the packet belongs to.
func (a *Agent) handlePacket(packet []byte) (counter Counter) {
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

// handleNotice records the place of a flow that another agent has reported.
func (a *Agent) handleNotice(payload []byte) (counter Counter) {
	notice, err := lentilpin.ParseNotice(payload)
	if err != nil {
		return Malformed
	}
	a.flowTracker.handleNotice(notice)
	return Noticed
}

// performAction carries out the flow tracker's decision about a packet.
func (a *Agent) performAction(header *lentiltunnel.Header, payload []byte, action lentilpin.Action) (counter Counter) {
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

// longHeaderBit is set in the first byte of a QUIC packet with a long header (RFC 8999).
const longHeaderBit = 0x80

// sendStatelessReset delivers a packet of an earlier incarnation to the QUIC transport. The
// transport doesn't know its connection and answers with a stateless reset, so the caller
// need not wait for its idle timeout. The reset token is valid, since all agents derive the
// same key from the ring.
func (a *Agent) sendStatelessReset(header *lentiltunnel.Header, payload []byte) {
	if len(payload) > 0 && payload[0]&longHeaderBit == 0 {
		a.returnPaths.recordBalancer(header.Caller, header.Via)
		a.flowConn.deliver(payload, header.Caller)
	}
}

// sendNotice notifies another agent of the place that holds a flow.
func (a *Agent) sendNotice(action lentilpin.Action) {
	payload, err := action.Notice.AppendBinary(nil)
	if err != nil {
		return
	}
	header := lentiltunnel.Header{Kind: lentiltunnel.Handed, Hop: uint16(lentilpin.NoticeHop), Service: a.options.Service, From: a.place()}
	a.stats.add(a.sendPacket(&header, payload, action.NoticeTo.Agent(), Noticed))
}

// sendAnswer sends a packet of a flow to its caller through a balancer.
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

// sendPacket sends a tunnel packet. It returns the counter sent on success, and the counter
// of the failure otherwise.
func (a *Agent) sendPacket(header *lentiltunnel.Header, payload []byte, to netip.AddrPort, sent Counter) (counter Counter) {
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
