// Package lentilrecord defines the records by which agents announce their copies. A Store
// keeps the records of many agents, and a VersionMap compares them between nodes.
//
// A record belongs to one incarnation of one agent. Only that incarnation makes new
// versions of the record.
package lentilrecord

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Phase is the stage of a copy's life cycle.
type Phase uint8

// The phases, in the order in which a copy passes through them.
const (
	// Warming copies have a capacity below their slots.
	Warming Phase = iota + 1
	// Ready copies have the capacity of all their slots.
	Ready
	// Draining copies keep their flows and receive no new work.
	Draining
	// Gone copies have ended. The record stays until no node can hold an older version.
	Gone
)

// Owner identifies the only agent incarnation that may make versions of a record.
type Owner struct {
	// Copy is the name of the agent's copy in configuration.
	Copy        string               `cbor:"1,keyasint"`
	Incarnation lentilid.Incarnation `cbor:"2,keyasint"`
}

// Doc is the written form of a record.
type Doc struct {
	Owner   Owner            `cbor:"1,keyasint"`
	Version uint64           `cbor:"2,keyasint"`
	Service lentilid.Service `cbor:"3,keyasint"`
	Domain  lentilid.Domain  `cbor:"4,keyasint"`
	// Tunnel is the address on which the agent receives packets of flows (UDP, IPv4).
	Tunnel netip.AddrPort `cbor:"5,keyasint"`
	// Control is the address on which the agent receives calls and relayed requests (TCP).
	Control netip.AddrPort `cbor:"6,keyasint"`
	Phase   Phase          `cbor:"7,keyasint"`
	// Weight is the copy's current capacity, in hundredths of a slot.
	Weight uint16 `cbor:"8,keyasint"`
	// Load is the copy's current load, in hundredths of a slot.
	Load uint16 `cbor:"9,keyasint"`
}

// Record is an immutable announcement of a copy.
type Record struct{ doc Doc }

// New returns the record with the given written form.
func New(doc Doc) Record { return Record{doc: doc} }

// Doc returns the written form.
func (r Record) Doc() Doc { return r.doc }

// Owner returns the incarnation to which the record belongs.
func (r Record) Owner() Owner { return r.doc.Owner }

// Version returns the version that the owner gave the record.
func (r Record) Version() uint64 { return r.doc.Version }

// Service returns the service that the copy serves.
func (r Record) Service() lentilid.Service { return r.doc.Service }

// Phase returns the stage of the copy's life cycle.
func (r Record) Phase() Phase { return r.doc.Phase }

// Weight returns the copy's current capacity, in hundredths of a slot.
func (r Record) Weight() uint16 { return r.doc.Weight }

// Load returns the copy's current load, in hundredths of a slot.
func (r Record) Load() uint16 { return r.doc.Load }

// Control returns the address for calls and relayed requests.
func (r Record) Control() netip.AddrPort { return r.doc.Control }

// Place returns the place to which flows of the copy are pinned.
func (r Record) Place() lentilid.Place {
	return lentilid.NewPlace(r.doc.Tunnel, r.doc.Domain, r.doc.Service, r.doc.Owner.Incarnation)
}
