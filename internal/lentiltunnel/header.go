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
	HeaderBytes = 57
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
	offsetVersion         = 0
	offsetKind            = 1
	offsetKey             = 2
	offsetHop             = 3
	offsetService         = 5
	offsetDomain          = 7
	offsetIncarnation     = 8
	offsetCaller          = 11
	offsetCallerPort      = 27
	offsetVia             = 29
	offsetViaPort         = 33
	offsetFrom            = 35
	offsetFromPort        = 39
	offsetFromDomain      = 41
	offsetFromIncarnation = 42
	offsetNonce           = 45
	nonceBytes            = HeaderBytes - offsetNonce
)

// Header is the header of a tunnel packet.
type Header struct {
	// Kind says what the packet is for.
	Kind Kind
	// Hop is what lentilpin says about a packet between agents: its purpose and
	// how many agents have handed it on. It is zero in all others.
	Hop uint16
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
	// From is the agent that lentilpin names in a packet between agents. Its
	// service is that of the header. It is zero in all others.
	From lentilid.Place
}

// PayloadArea returns the payload's place in buffer, which has at least MaxPacketBytes:
// a packet that is read to this place can be sealed without copying it.
func PayloadArea(buffer []byte) (payload []byte) {
	return buffer[HeaderBytes : HeaderBytes+MaxPayloadBytes]
}

// encode writes the header without its nonce to the front of packet.
func (h *Header) encode(packet []byte, key uint8) {
	_ = packet[HeaderBytes-1]
	packet[offsetVersion] = version
	packet[offsetKind] = byte(h.Kind)
	packet[offsetKey] = key
	binary.BigEndian.PutUint16(packet[offsetHop:], h.Hop)
	binary.BigEndian.PutUint16(packet[offsetService:], uint16(h.Service))
	packet[offsetDomain] = byte(h.Domain)
	putIncarnation(packet[offsetIncarnation:], h.Incarnation)
	caller := h.Caller.Addr().As16()
	copy(packet[offsetCaller:], caller[:])
	binary.BigEndian.PutUint16(packet[offsetCallerPort:], h.Caller.Port())
	putAddress(packet[offsetVia:], h.Via)
	putAddress(packet[offsetFrom:], h.From.Agent())
	packet[offsetFromDomain] = byte(h.From.Domain())
	putIncarnation(packet[offsetFromIncarnation:], h.From.Incarnation())
}

// putIncarnation writes the 24 bits of an incarnation.
func putIncarnation(packet []byte, incarnation uint32) {
	packet[0] = byte(incarnation >> 16)
	binary.BigEndian.PutUint16(packet[1:], uint16(incarnation))
}

// getIncarnation reads the 24 bits of an incarnation.
func getIncarnation(packet []byte) (incarnation uint32) {
	return uint32(packet[0])<<16 | uint32(binary.BigEndian.Uint16(packet[1:]))
}

// putAddress writes an IPv4 address and a port, zeros for any other address.
func putAddress(packet []byte, address netip.AddrPort) {
	var bytes [4]byte
	if address.Addr().Is4() {
		bytes = address.Addr().As4()
	}
	copy(packet, bytes[:])
	binary.BigEndian.PutUint16(packet[4:], address.Port())
}

// getAddress reads an IPv4 address and a port; without a port it is no address.
func getAddress(packet []byte) (address netip.AddrPort) {
	port := binary.BigEndian.Uint16(packet[4:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(packet)), port)
}

// decode reads the header from the front of packet.
func (h *Header) decode(packet []byte) {
	_ = packet[HeaderBytes-1]
	h.Kind = Kind(packet[offsetKind])
	h.Hop = binary.BigEndian.Uint16(packet[offsetHop:])
	h.Service = lentilid.Service(binary.BigEndian.Uint16(packet[offsetService:]))
	h.Domain = lentilid.Domain(packet[offsetDomain])
	h.Incarnation = getIncarnation(packet[offsetIncarnation:])
	caller := netip.AddrFrom16([16]byte(packet[offsetCaller:])).Unmap()
	h.Caller = netip.AddrPortFrom(caller, binary.BigEndian.Uint16(packet[offsetCallerPort:]))
	h.Via = getAddress(packet[offsetVia:])
	h.From = lentilid.Place{}
	if from := getAddress(packet[offsetFrom:]); from.IsValid() {
		run := lentilid.Incarnation(getIncarnation(packet[offsetFromIncarnation:]))
		h.From = lentilid.NewPlace(from, lentilid.Domain(packet[offsetFromDomain]), h.Service, run)
	}
}
