package lentilroute

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Protocol says how the packets of a service tell which flow they belong to.
type Protocol uint8

//go:generate stringer -type=Protocol,Verdict -output=enum_string.go

// The protocols.
const (
	// QUIC packets carry a connection ID, which holds a place once an agent has issued it.
	QUIC Protocol = iota
	// Datagram packets are opaque; the caller's address alone tells the flow.
	Datagram
)

// MaxKeyBytes is the longest key of a flow.
const MaxKeyBytes = 20

// addressKeyBytes is the length of a key made from a caller's address.
const addressKeyBytes = 18

// Key is the opaque name of a flow within its service, comparable and without
// pointers. The zero Key names no flow.
type Key struct {
	bytes  [MaxKeyBytes]byte
	length uint8
}

// NewKey returns the key that holds the given bytes; of more than MaxKeyBytes it
// holds a hash of them.
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

// AddressKey returns the key of a flow that only the caller's address tells.
func AddressKey(client netip.AddrPort) (key Key) {
	address := client.Addr().As16()
	copy(key.bytes[:], address[:])
	binary.BigEndian.PutUint16(key.bytes[len(address):], client.Port())
	key.length = addressKeyBytes
	return key
}

// Hash returns the hash that picks a bucket for the flow. It differs between
// services, so that a caller of several services meets different buckets.
func (k *Key) Hash(service lentilid.Service) uint64 {
	const odd = 0x9e3779b97f4a7c15
	return xxhash.Sum64(k.bytes[:k.length]) ^ uint64(service)*odd
}

// Flow is what a packet says about the flow that it belongs to.
type Flow struct {
	// Place is where the flow lives, if the packet carries it.
	Place lentilid.Place
	// Key names the flow if Place is zero.
	Key Key
	// MayOpen reports whether the packet may be the first one of a flow.
	MayOpen bool
	// Verdict is ToPlace, ToBucket or the reason to drop the packet.
	Verdict Verdict
}

// Classify reads what a packet of a service says about its flow. Balancers and
// agents both use it, so that they name a flow alike. It allocates nothing.
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
		return Flow{Key: NewKey(header.destination), MayOpen: true, Verdict: ToBucket}
	}
	if sealer.Knows(header.destination) {
		return Flow{Verdict: DropForged}
	}
	// A key that this node lacks: while keys are rotated, an agent may have it.
	return Flow{Key: NewKey(header.destination), Verdict: ToBucket}
}

// Bytes returns the key's bytes.
func (k *Key) Bytes() []byte { return k.bytes[:k.length] }

// IsZero reports whether the key names no flow.
func (k *Key) IsZero() bool { return k.length == 0 }
