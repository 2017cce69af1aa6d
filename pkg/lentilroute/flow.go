package lentilroute

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Protocol says how the flow of a packet is identified.
type Protocol uint8

//go:generate stringer -type=Protocol,Verdict -output=enum_string.go

// The protocols.
const (
	// QUIC packets carry a connection ID. It holds a place if an agent has issued it.
	QUIC Protocol = iota
	// Datagram packets are opaque; only the caller's address identifies the flow.
	Datagram
)

// MaxKeyBytes is the maximum length of a Key.
const MaxKeyBytes = 20

// addressKeyBytes is the length of a key made from a caller's address.
const addressKeyBytes = 18

// Key identifies a flow within its service. It is opaque, comparable and contains no
// pointers. The zero Key identifies no flow.
type Key struct {
	bytes  [MaxKeyBytes]byte
	length uint8
}

// NewKey returns the key that holds the given bytes. If there are more than MaxKeyBytes
// of them, it holds a hash of all bytes and the first of them.
func NewKey(from []byte) (key Key) {
	if len(from) > MaxKeyBytes {
		binary.BigEndian.PutUint64(key.bytes[:], xxhash.Sum64(from))
		copy(key.bytes[8:], from)
		key.length = MaxKeyBytes
		return key
	}
	key.length = uint8(copy(key.bytes[:], from))
	return key
}

// AddressKey returns the key of a flow that is identified by the caller's address.
func AddressKey(client netip.AddrPort) (key Key) {
	address := client.Addr().As16()
	copy(key.bytes[:], address[:])
	binary.BigEndian.PutUint16(key.bytes[len(address):], client.Port())
	key.length = addressKeyBytes
	return key
}

// Hash returns the hash that selects a bucket for the flow. It differs between
// services, so that the flows of a caller get different buckets in each service.
func (k *Key) Hash(service lentilid.Service) uint64 {
	const odd = 0x9e3779b97f4a7c15
	return xxhash.Sum64(k.bytes[:k.length]) ^ uint64(service)*odd
}

// Flow identifies the flow of a packet.
type Flow struct {
	// Place identifies the agent that holds the flow. It is zero if the packet doesn't carry it.
	Place lentilid.Place
	// Key identifies the flow if Place is zero.
	Key Key
	// MayOpen reports whether the packet may be the first one of a flow.
	MayOpen bool
	// Verdict is ToPlace, ToBucket or the reason to drop the packet.
	Verdict Verdict
}

// Classify identifies the flow of a packet. Balancers and agents both use it, so that
// they identify a flow in the same way. It doesn't allocate memory.
func Classify(sealer *lentilid.Sealer, protocol Protocol, packet []byte, client netip.AddrPort) (flow Flow) {
	if protocol == Datagram {
		return Flow{Key: AddressKey(client), MayOpen: true, Verdict: ToBucket}
	}
	header, err := ParseHeader(packet)
	if err != nil {
		return Flow{Verdict: DropMalformed}
	}
	if place, ok := sealer.Open(header.destination); ok {
		return Flow{Place: place, Verdict: ToPlace}
	}
	if len(header.destination) == 0 {
		return Flow{Verdict: DropMalformed}
	}
	if header.long {
		// The caller chose this ID, so the ID may name a known key by chance.
		return Flow{Key: NewKey(header.destination), MayOpen: true, Verdict: ToBucket}
	}
	if sealer.HasKeyFor(header.destination) {
		return Flow{Verdict: DropForged}
	}
	// This node lacks the key of the connection ID. While keys are rotated, an agent may have it.
	return Flow{Key: NewKey(header.destination), Verdict: ToBucket}
}

// Bytes returns the bytes of the key. They share its memory.
func (k *Key) Bytes() []byte { return k.bytes[:k.length] }

// IsZero reports whether the key identifies no flow.
func (k *Key) IsZero() bool { return k.length == 0 }
