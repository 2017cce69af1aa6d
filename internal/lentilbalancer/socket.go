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

// listen binds a UDP socket. The machine may grant smaller buffers than asked for.
func listen(address netip.AddrPort) (conn *net.UDPConn, err error) {
	conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(DefaultSocketBytes)
	_ = conn.SetWriteBuffer(DefaultSocketBytes)
	return conn, nil
}

// plain returns an address in the form in which addresses are compared.
func plain(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// forwarder is one goroutine that takes callers' packets from a service's socket.
type forwarder struct {
	balancer *Balancer
	socket   *socket
	codec    *lentiltunnel.Codec
	tally    *tally
}

// run forwards packets until the socket is closed.
func (f *forwarder) run() {
	// One byte more than fits shows that a packet was cut.
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	payload := buffer[lentiltunnel.HeaderBytes : lentiltunnel.HeaderBytes+lentiltunnel.MaxPayloadBytes+1]
	lentilserver.ServeDatagrams(f.socket.conn, payload, func(packet []byte, caller netip.AddrPort) {
		f.tally.add(f.forward(buffer, len(packet), plain(caller)))
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
	if what = counterOf[decision.Verdict]; what != Forwarded {
		return what
	}
	header := lentiltunnel.Header{
		Kind:        lentiltunnel.Inbound,
		Service:     f.socket.service,
		Domain:      decision.Place.Domain(),
		Incarnation: decision.Place.Incarnation(),
		Caller:      caller,
		Via:         f.balancer.via,
	}
	packet := f.codec.Seal(buffer, &header, length)
	if _, err := f.balancer.tunnel.WriteToUDPAddrPort(packet, decision.Place.Agent()); err != nil {
		return Unsent
	}
	return Forwarded
}

// answerer is one goroutine that takes answers from the tunnel's socket.
type answerer struct {
	balancer *Balancer
	codec    *lentiltunnel.Codec
	tally    *tally
}

// run sends answers to callers until the socket is closed.
func (a *answerer) run() {
	buffer := make([]byte, lentiltunnel.MaxPacketBytes+1)
	lentilserver.ServeDatagrams(a.balancer.tunnel, buffer, func(packet []byte, _ netip.AddrPort) { a.tally.add(a.answer(packet)) })
}

// answer sends the payload of one tunnel packet to its caller.
func (a *answerer) answer(packet []byte) (what Counter) {
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
