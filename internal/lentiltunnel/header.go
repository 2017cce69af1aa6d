// Package lentiltunnel implements the wire format of the tunnel, which carries packets of
// flows between balancers and agents over UDP. Its header holds what the receiver can't
// learn from the packet itself, such as the caller's address and the balancer through
// which to answer.
//
// A tunnel packet consists of a fixed-size header, the unchanged packet of the flow, and a
// tag that authenticates both. The tunnel encrypts nothing, since the flows themselves are
// encrypted. Sealing and opening a packet allocate no memory.
package lentiltunnel

import (
	"encoding/binary"
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Kind is the kind of a tunnel packet.
type Kind uint8

//go:generate stringer -type=Kind

// The kinds of tunnel packets.
const (
	// Inbound packets go from a balancer to an agent.
	Inbound Kind = iota + 1
	// Answer packets go from an agent to a balancer, which forwards them to the caller.
	Answer
	// Handed packets go from an agent to a peer agent.
	Handed
)

// Sizes in bytes.
const (
	// HeaderBytes is the length of the header.
	HeaderBytes = 57
	// TagBytes is the length of the authentication tag at the end.
	TagBytes = 16
	// OverheadBytes is the number of bytes that the tunnel adds to a packet of a flow.
	OverheadBytes = HeaderBytes + TagBytes
	// MaxPayloadBytes is the maximum length of a packet of a flow. With the tunnel's overhead,
	// its IPv4 header (20 bytes) and UDP header (8 bytes) it fits into an Ethernet frame of
	// 1500 bytes.
	MaxPayloadBytes = 1500 - 20 - 8 - OverheadBytes
	// MaxPacketBytes is the maximum length of a tunnel packet.
	MaxPacketBytes = MaxPayloadBytes + OverheadBytes
)

// version is the version of the wire format.
const version = 1

// Offsets in the header, in bytes. Integers are big-endian.
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
	// Kind is the kind of the packet.
	Kind Kind
	// Hop is the lentilpin.Hop of a packet between agents: its purpose, the number of agents
	// that have forwarded it, and a token. It is zero in all other packets.
	Hop uint16
	// Service is the service of the flow.
	Service lentilid.Service
	// Domain and Incarnation identify the agent to which a packet goes or, in an answer, the
	// agent that sent it. Incarnation has 24 bits. It is zero in a packet that any
	// incarnation may accept.
	Domain      lentilid.Domain
	Incarnation uint32
	// Caller is the caller's address as the balancer saw it.
	Caller netip.AddrPort
	// Via is the tunnel address (IPv4) of the balancer that received the packet from the
	// fabric. Answers may be sent to it. It is not set in an answer.
	Via netip.AddrPort
	// From is the agent that lentilpin names as the sender of a packet between agents. Its
	// service is that of the header. It is zero in all other packets.
	From lentilid.Place
}

// PayloadArea returns the part of buffer that holds the payload of a tunnel packet. buffer has
// at least MaxPacketBytes. A packet that is read into this part can be sealed without copying.
func PayloadArea(buffer []byte) (payload []byte) {
	return buffer[HeaderBytes : HeaderBytes+MaxPayloadBytes]
}

// encode writes the header, except for its nonce, to the start of packet.
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

// putAddress writes an IPv4 address and a port. It writes zeros for any other address.
func putAddress(packet []byte, address netip.AddrPort) {
	var ip [4]byte
	if address.Addr().Is4() {
		ip = address.Addr().As4()
	}
	copy(packet, ip[:])
	binary.BigEndian.PutUint16(packet[4:], address.Port())
}

// getAddress reads an IPv4 address and a port. It returns the zero AddrPort if the port is
// zero.
func getAddress(packet []byte) (address netip.AddrPort) {
	port := binary.BigEndian.Uint16(packet[4:])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(packet)), port)
}

// decode reads the header from the start of packet.
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
		incarnation := lentilid.Incarnation(getIncarnation(packet[offsetFromIncarnation:]))
		h.From = lentilid.NewPlace(from, lentilid.Domain(packet[offsetFromDomain]), h.Service, incarnation)
	}
}
