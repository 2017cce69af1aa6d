package lentilagent

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"lentilstair.example/lentilstair/internal/lentiltunnel"
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
	for {
		length, _, err := a.tunnel.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		a.tally.add(a.take(buffer[:length]))
	}
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
	if a.domain.Load() {
		return DomainOut
	}
	if header.Incarnation != a.options.Incarnation.Short() {
		return Stale
	}
	a.ways.learn(header.Caller, header.Via)
	if !a.flows.deliver(payload, header.Caller) {
		return Dropped
	}
	return Received
}

// answer sends a packet of a flow back to its caller through a balancer.
func (a *Agent) answer(payload []byte, caller netip.AddrPort) {
	if len(payload) > lentiltunnel.MaxPayloadBytes {
		a.tally.add(Oversized)
		return
	}
	via, ok := a.ways.choose(caller)
	if !ok {
		a.tally.add(Wayless)
		return
	}
	buffer := buffers.Get().(*[lentiltunnel.MaxPacketBytes]byte)
	defer buffers.Put(buffer)
	header := lentiltunnel.Header{
		Kind:        lentiltunnel.Answer,
		Service:     a.options.Service,
		Domain:      a.options.Domain,
		Incarnation: a.options.Incarnation.Short(),
		Caller:      caller,
	}
	length := copy(lentiltunnel.Start(buffer[:]), payload)
	if _, err := a.tunnel.WriteToUDPAddrPort(a.codec.Seal(buffer[:], &header, length), via); err != nil {
		a.tally.add(Unsent)
		return
	}
	a.tally.add(Answered)
}
