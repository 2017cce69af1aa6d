package lentilbalancer

import (
	"net"
	"net/netip"

	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/internal/lentiltunnel"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// socket is the UDP socket of a service.
type socket struct {
	service lentilid.Service
	address netip.AddrPort
	conn    *net.UDPConn
}

// listenUDP binds a UDP socket. The operating system may grant smaller buffers than
// requested.
func listenUDP(address netip.AddrPort) (conn *net.UDPConn, err error) {
	conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(SocketBufferBytes)
	_ = conn.SetWriteBuffer(SocketBufferBytes)
	return conn, nil
}

// unmapAddress converts an IPv4-mapped IPv6 address to plain IPv4, so that equal addresses
// compare as equal.
func unmapAddress(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// forwarder is a goroutine that forwards callers' packets from a service's socket to
// agents.
type forwarder struct {
	balancer *Balancer
	socket   *socket
	codec    *lentiltunnel.Codec
	stats    *readerStats
}

// run forwards packets until the socket is closed.
func (f *forwarder) run() {
	// The payload area has one byte more than the largest payload. A packet that fills
	// it is too long for the tunnel.
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	payload := buffer[lentiltunnel.HeaderBytes : lentiltunnel.HeaderBytes+lentiltunnel.MaxPayloadBytes+1]
	lentilserver.ServeDatagrams(f.socket.conn, payload, func(packet []byte, caller netip.AddrPort) {
		f.stats.add(f.forward(buffer, len(packet), unmapAddress(caller)))
	})
}

// forward sends one packet to the agent that the router selects, and returns how the
// packet is counted. The packet lies in the payload area of buffer.
func (f *forwarder) forward(buffer []byte, length int, caller netip.AddrPort) (counter Counter) {
	if length > lentiltunnel.MaxPayloadBytes {
		return Oversized
	}
	router := f.balancer.router.Load()
	if router == nil {
		return Unrouted
	}
	payload := lentiltunnel.PayloadArea(buffer)[:length]
	decision := router.Route(f.socket.service, payload, caller)
	if counter = counterByVerdict[decision.Verdict]; counter != Forwarded {
		return counter
	}
	header := lentiltunnel.Header{
		Kind:        lentiltunnel.Inbound,
		Service:     f.socket.service,
		Domain:      decision.Place.Domain(),
		Incarnation: decision.Place.Incarnation(),
		Caller:      caller,
		Via:         f.balancer.tunnelAddress,
	}
	packet := f.codec.Seal(buffer, &header, length)
	if _, err := f.balancer.tunnelConn.WriteToUDPAddrPort(packet, decision.Place.Agent()); err != nil {
		return Unsent
	}
	return Forwarded
}

// returnForwarder is a goroutine that forwards answers from the tunnel's socket to
// callers.
type returnForwarder struct {
	balancer *Balancer
	codec    *lentiltunnel.Codec
	stats    *readerStats
}

// run forwards answers until the socket is closed.
func (r *returnForwarder) run() {
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	lentilserver.ServeDatagrams(r.balancer.tunnelConn, buffer, func(packet []byte, _ netip.AddrPort) { r.stats.add(r.sendToCaller(packet)) })
}

// sendToCaller sends the payload of one tunnel packet to its caller, and returns how the
// packet is counted.
func (r *returnForwarder) sendToCaller(packet []byte) (counter Counter) {
	var header lentiltunnel.Header
	payload, fault := r.codec.Open(packet, &header)
	switch fault {
	case lentiltunnel.None:
	case lentiltunnel.Malformed:
		return Malformed
	case lentiltunnel.UnknownKey:
		return UnknownKey
	default:
		return Forged
	}
	if header.Kind != lentiltunnel.Answer {
		return Misdirected
	}
	s := (*r.balancer.sockets.Load())[header.Service]
	if s == nil {
		return Misdirected
	}
	if _, err := s.conn.WriteToUDPAddrPort(payload, header.Caller); err != nil {
		return Unsent
	}
	return Answered
}
