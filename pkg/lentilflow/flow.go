// Package lentilflow describes flows of packets that carry no place: an opaque connection that
// a client and an upstream speak to each other, known to the system only by its two ends.
//
// Balancers and agents decide about such flows with the types of this package, and leave the
// format of the packets to a Codec, so that no decision depends on what a packet looks like.
package lentilflow

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and port, comparable and without pointers.
type Endpoint struct {
	address [4]byte
	port    uint16
}

// NewEndpoint returns the end with the given address and port.
func NewEndpoint(address [4]byte, port uint16) Endpoint {
	return Endpoint{address: address, port: port}
}

// EndpointOf returns the end of an address and port, or the zero End if it isn't an IPv4 address.
func EndpointOf(from netip.AddrPort) Endpoint {
	address := from.Addr().Unmap()
	if !address.Is4() {
		return Endpoint{}
	}
	return Endpoint{address: address.As4(), port: from.Port()}
}

// Address returns the IPv4 address.
func (e Endpoint) Address() [4]byte { return e.address }

// Port returns the port.
func (e Endpoint) Port() uint16 { return e.port }

// AddrPort returns the end in the form of the standard library.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.address), e.port)
}

// String returns the address and port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key names a flow by its two ends. The zero Key names no flow.
type Key struct {
	client  Endpoint
	service Endpoint
}

// NewKey returns the name of the flow between a client and an address of a service.
func NewKey(client, service Endpoint) Key { return Key{client: client, service: service} }

// Client returns the client's end.
func (k Key) Client() Endpoint { return k.client }

// Service returns the address of the service to which the client speaks.
func (k Key) Service() Endpoint { return k.service }

// Hash returns a hash of the key.
func (k Key) Hash() uint64 {
	const length = 12
	var bytes [length]byte
	copy(bytes[0:], k.client.address[:])
	bytes[4], bytes[5] = byte(k.client.port>>8), byte(k.client.port)
	copy(bytes[6:], k.service.address[:])
	bytes[10], bytes[11] = byte(k.service.port>>8), byte(k.service.port)
	return xxhash.Sum64(bytes[:])
}

// String returns both ends, the client's first. Logs name a flow so.
func (k Key) String() string { return k.client.String() + ">" + k.service.String() }

// Flags are what a packet does to its flow.
type Flags uint8

// The marks.
const (
	// Open asks for a new flow, or grants one together with Acknowledge.
	Open Flags = 1 << iota
	// Acknowledge says that Packet.Acknowledged holds.
	Acknowledge
	// Close ends the sender's direction.
	Close
	// Reset ends the flow at once.
	Reset
	// Returned marks a client's packet that the upstream gave back, because it doesn't hold
	// the flow or can't accept it.
	Returned
)

// Has reports whether all the given marks are set.
func (m Flags) Has(marks Flags) bool { return m&marks == marks }

// Packet is what the system reads of a packet.
type Packet struct {
	Key   Key
	Flags Flags
	// Sequence numbers the sender's data; Acknowledged is what it has got of the other end.
	Sequence, Acknowledged uint32
	// Length is the number of bytes of data.
	Length int
}

// OpensFlow reports whether a client asks for a new flow with the packet.
func (p Packet) OpensFlow() bool { return p.Flags.Has(Open) && !p.Flags.Has(Acknowledge) }

// Codec reads and writes the format of the packets.
type Codec struct {
	// ParseClientPacket reads a packet that a client sent.
	ParseClientPacket func(data []byte) (Packet, error)
	// ParseUpstreamPacket reads a packet that came from an upstream: its own, or one marked Returned.
	ParseUpstreamPacket func(data []byte) (Packet, error)
	// ClearReturned takes the mark Returned off a packet, which is then again as its client sent it.
	ClearReturned func(data []byte)
	// AppendReset appends to dst the packet that ends the flow towards its client. On an open
	// flow, sequence is the highest that the client has acknowledged.
	AppendReset func(dst []byte, key Key, sequence uint32) []byte
}
