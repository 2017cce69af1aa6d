// Package lentiltunnel is the wire format in which packets of flows travel
// between balancers and agents over UDP.
//
// A tunnel packet is a fixed header, the packet of the flow as it is, and a tag
// that authenticates both. Nothing is encrypted, since the flows encrypt
// themselves. Sealing and opening allocate nothing.
package lentiltunnel

import (
	"encoding/binary"
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Kind says what a tunnel packet is for.
type Kind uint8

//go:generate stringer -type=Kind

// The kinds of tunnel packets.
const (
	// Inbound packets go from a balancer to an agent.
	Inbound Kind = iota + 1
	// Answer packets go from an agent to a balancer, which sends them to the caller.
	Answer
	// Handed packets go from an agent to a peer agent.
	Handed
)

// Sizes in bytes.
const (
	// HeaderBytes is the length of the header.
	HeaderBytes = 46
	// TagBytes is the length of the tag at the end.
	TagBytes = 16
	// OverheadBytes is what the tunnel adds to a packet of a flow.
	OverheadBytes = HeaderBytes + TagBytes
	// MaxPayloadBytes fits into an Ethernet frame of 1500 bytes with the
	// tunnel's own IPv4 and UDP headers (20 and 8 bytes).
	MaxPayloadBytes = 1500 - 20 - 8 - OverheadBytes
	// MaxPacketBytes is the longest tunnel packet.
	MaxPacketBytes = MaxPayloadBytes + OverheadBytes
)

// version is the version of the wire format.
const version = 1

// Offsets in the header, in bytes. Numbers are big endian.
const (
	offsetVersion     = 0
	offsetKind        = 1
	offsetKey         = 2
	offsetHops        = 3
	offsetService     = 4
	offsetDomain      = 6
	offsetIncarnation = 7
	offsetCaller      = 10
	offsetCallerPort  = 26
	offsetVia         = 28
	offsetViaPort     = 32
	offsetNonce       = 34
	nonceBytes        = HeaderBytes - offsetNonce
)

// Header is the header of a tunnel packet.
type Header struct {
	// Kind says what the packet is for.
	Kind Kind
	// Hops counts the agents that have handed the packet on.
	Hops uint8
	// Service is the service of the flow.
	Service lentilid.Service
	// Domain and Incarnation name the agent for which a packet is meant or, in
	// an answer, the agent that sent it. Incarnation has 24 bits; zero in a
	// packet that any incarnation may take.
	Domain      lentilid.Domain
	Incarnation uint32
	// Caller is the caller's address as the balancer saw it.
	Caller netip.AddrPort
	// Via is the tunnel address (IPv4) of the balancer that took the packet
	// from the fabric, to which answers may go. It is not set in an answer.
	Via netip.AddrPort
}

// Start returns the payload's place in buffer, which has at least MaxPacketBytes:
// a packet that is read to this place can be sealed without copying it.
func Start(buffer []byte) (payload []byte) {
	return buffer[HeaderBytes : HeaderBytes+MaxPayloadBytes]
}

// put writes the header without its nonce to the front of packet.
func (h *Header) put(packet []byte, key uint8) {
	_ = packet[HeaderBytes-1]
	packet[offsetVersion] = version
	packet[offsetKind] = byte(h.Kind)
	packet[offsetKey] = key
	packet[offsetHops] = h.Hops
	binary.BigEndian.PutUint16(packet[offsetService:], uint16(h.Service))
	packet[offsetDomain] = byte(h.Domain)
	packet[offsetIncarnation] = byte(h.Incarnation >> 16)
	binary.BigEndian.PutUint16(packet[offsetIncarnation+1:], uint16(h.Incarnation))
	caller := h.Caller.Addr().As16()
	copy(packet[offsetCaller:], caller[:])
	binary.BigEndian.PutUint16(packet[offsetCallerPort:], h.Caller.Port())
	var via [4]byte
	if h.Via.Addr().Is4() {
		via = h.Via.Addr().As4()
	}
	copy(packet[offsetVia:], via[:])
	binary.BigEndian.PutUint16(packet[offsetViaPort:], h.Via.Port())
}

// get reads the header from the front of packet.
func (h *Header) get(packet []byte) {
	_ = packet[HeaderBytes-1]
	h.Kind = Kind(packet[offsetKind])
	h.Hops = packet[offsetHops]
	h.Service = lentilid.Service(binary.BigEndian.Uint16(packet[offsetService:]))
	h.Domain = lentilid.Domain(packet[offsetDomain])
	h.Incarnation = uint32(packet[offsetIncarnation])<<16 | uint32(binary.BigEndian.Uint16(packet[offsetIncarnation+1:]))
	caller := netip.AddrFrom16([16]byte(packet[offsetCaller:])).Unmap()
	h.Caller = netip.AddrPortFrom(caller, binary.BigEndian.Uint16(packet[offsetCallerPort:]))
	via := netip.AddrFrom4([4]byte(packet[offsetVia:]))
	h.Via = netip.AddrPortFrom(via, binary.BigEndian.Uint16(packet[offsetViaPort:]))
	if h.Via.Port() == 0 {
		h.Via = netip.AddrPort{}
	}
}
