// Package lentilflow describes flows whose packets carry no routing information. Such a flow is an
// opaque connection between a client and an upstream, and is identified only by its two endpoints.
//
// Balancers and agents use the types of this package to decide about these flows. A Codec hides the
// packet format, which no decision depends on.
package lentilflow

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and port. It is comparable and contains no pointers.
type Endpoint struct {
	address [4]byte
	port    uint16
}

// NewEndpoint returns the endpoint with the given address and port.
func NewEndpoint(address [4]byte, port uint16) Endpoint {
	return Endpoint{address: address, port: port}
}

// EndpointOf converts an address and port to an Endpoint. It returns the zero Endpoint if the address
// is neither IPv4 nor IPv4-mapped IPv6.
func EndpointOf(addrPort netip.AddrPort) Endpoint {
	address := addrPort.Addr().Unmap()
	if !address.Is4() {
		return Endpoint{}
	}
	return Endpoint{address: address.As4(), port: addrPort.Port()}
}

// Address returns the IPv4 address.
func (e Endpoint) Address() [4]byte { return e.address }

// Port returns the port.
func (e Endpoint) Port() uint16 { return e.port }

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.address), e.port)
}

// String returns the endpoint as "address:port".
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by its two endpoints. The zero Key identifies no flow.
type Key struct {
	client  Endpoint
	service Endpoint
}

// NewKey returns the key of the flow between a client and an address of a service.
func NewKey(client, service Endpoint) Key { return Key{client: client, service: service} }

// Client returns the client's endpoint.
func (k Key) Client() Endpoint { return k.client }

// Service returns the service address that the client is connected to.
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

// String returns the key as "client>service", the form used in logs.
func (k Key) String() string { return k.client.String() + ">" + k.service.String() }

// Flags describe the effect of a packet on its flow.
type Flags uint8

// Flags of a packet.
const (
	// Open requests a new flow. Together with Acknowledge it accepts one.
	Open Flags = 1 << iota
	// Acknowledge means that Packet.Acknowledged is valid.
	Acknowledge
	// Close ends the flow in the sender's direction.
	Close
	// Reset ends the flow immediately.
	Reset
	// Returned is set on a client's packet that the upstream sent back because it doesn't hold
	// the flow or can't accept it.
	Returned
)

// Has reports whether all the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Packet holds the parsed fields of a packet.
type Packet struct {
	Key   Key
	Flags Flags
	// Sequence is the sequence number of the sender's data. Acknowledged is the sequence number up to
	// which the sender has received the data of the other endpoint.
	Sequence, Acknowledged uint32
	// Length is the number of bytes of payload.
	Length int
	// OpeningAge is set in a client's request for a new flow: how long before it the client sent the first one
	// for the same flow.
	OpeningAge time.Duration
}

// OpeningTimeout is how long clients wait for a flow to open, from their first request for it.
const OpeningTimeout = 1400 * time.Millisecond

// LastOpeningAge is how long after the first request for a flow a client sends the last copy of it.
const LastOpeningAge = 600 * time.Millisecond

// OpeningPatience is how old a client's request for a new flow may be so that the flow can still open.
const OpeningPatience = OpeningTimeout - 150*time.Millisecond

// OpensFlow reports whether the packet is a client's request for a new flow.
func (p Packet) OpensFlow() bool { return p.Flags.Has(Open) && !p.Flags.Has(Acknowledge) }

// MaxSameFlowOffset is how far acknowledgements of one flow may be apart: from the client's first packet while the flow is
// half-open, and from one packet of the client to the next. It is far more than the window of a flow, and one in 4,000 packets of
// other flows is within it on each side.
const MaxSameFlowOffset = 1 << 20

// OfSameFlow reports whether a client's acknowledgements may be of the same flow. Those of another flow with the same ends start at a
// random number.
func OfSameFlow(one, other uint32) bool { return min(one-other, other-one) <= MaxSameFlowOffset }

// Codec parses and modifies packets in their wire format.
type Codec struct {
	// ParseClientPacket parses a packet sent by a client.
	ParseClientPacket func(data []byte) (Packet, error)
	// ParseUpstreamPacket parses a packet received from an upstream: either its own packet or a client's
	// packet with the flag Returned.
	ParseUpstreamPacket func(data []byte) (Packet, error)
	// ClearReturned clears the flag Returned in place, which restores the packet as its client sent it.
	ClearReturned func(data []byte)
	// AppendReset appends to dst a packet that resets the flow towards its client. On an open
	// flow, sequence is the highest sequence number that the client has acknowledged.
	AppendReset func(dst []byte, key Key, sequence uint32) []byte
}
