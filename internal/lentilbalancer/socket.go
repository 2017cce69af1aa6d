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

// listenUDP binds a UDP socket. The machine may grant smaller buffers than asked for.
func listenUDP(address netip.AddrPort) (conn *net.UDPConn, err error) {
	conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(DefaultSocketBufferBytes)
	_ = conn.SetWriteBuffer(DefaultSocketBufferBytes)
	return conn, nil
}

// unmapAddress returns an address in the form in which addresses are compared.
func unmapAddress(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// forwarder is one goroutine that takes callers' packets from a service's socket.
type forwarder struct {
	balancer *Balancer
	socket   *socket
	codec    *lentiltunnel.Codec
	stats    *readerStats
}

// run forwards packets until the socket is closed.
func (f *forwarder) run() {
	// One byte more than fits shows that a packet was cut.
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	payload := buffer[lentiltunnel.HeaderBytes : lentiltunnel.HeaderBytes+lentiltunnel.MaxPayloadBytes+1]
	lentilserver.ServeDatagrams(f.socket.conn, payload, func(packet []byte, caller netip.AddrPort) {
		f.stats.add(f.forward(buffer, len(packet), unmapAddress(caller)))
	})
}

// forward sends one packet, which stands at its place in buffer, to its agent.
func (f *forwarder) forward(buffer []byte, length int, caller netip.AddrPort) (what Counter) {
	if length > lentiltunnel.MaxPayloadBytes {
		return Oversized
	}
	router := f.balancer.router.Load()
	if router == nil {
		return Unrouted
	}
	payload := lentiltunnel.PayloadArea(buffer)[:length]
	decision := router.Route(f.socket.service, payload, caller)
	if what = counterByVerdict[decision.Verdict]; what != Forwarded {
		return what
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

// returnForwarder is one goroutine that takes answers from the tunnel's socket.
type returnForwarder struct {
	balancer *Balancer
	codec    *lentiltunnel.Codec
	stats    *readerStats
}

// run sends answers to callers until the socket is closed.
func (a *returnForwarder) run() {
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	lentilserver.ServeDatagrams(a.balancer.tunnelConn, buffer, func(packet []byte, _ netip.AddrPort) { a.stats.add(a.sendToCaller(packet)) })
}

// sendToCaller sends the payload of one tunnel packet to its caller.
func (a *returnForwarder) sendToCaller(packet []byte) (what Counter) {
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
	if header.Kind != lentiltunnel.Answer {
		return Misdirected
	}
	s := (*a.balancer.sockets.Load())[header.Service]
	if s == nil {
		return Misdirected
	}
	if _, err := s.conn.WriteToUDPAddrPort(payload, header.Caller); err != nil {
		return Unsent
	}
	return Answered
}
