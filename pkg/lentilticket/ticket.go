// Package lentilticket keeps requests that may not be repeated from running twice.
//
// A ticket names the one incarnation of an agent that may run a request. That
// incarnation keeps a Ledger in memory: it runs the request of a ticket at most once,
// and gives later attempts the stored answer. Every other agent passes the request on to
// the named one. If the incarnation is gone, nobody can know the outcome, and nobody
// runs the request. Nothing rests on clocks, leases or anything kept on a disk.
package lentilticket

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Ticket is the right to one run of one request at one incarnation of an agent. The
// zero Ticket is none.
type Ticket struct {
	control     netip.AddrPort
	incarnation lentilid.Incarnation
	service     lentilid.Service
	sequence    uint64
}

// Control returns the control address of the agent that may run the request.
func (t Ticket) Control() netip.AddrPort { return t.control }

// Incarnation returns the incarnation that may run the request.
func (t Ticket) Incarnation() lentilid.Incarnation { return t.incarnation }

// Service returns the service of the request.
func (t Ticket) Service() lentilid.Service { return t.service }

// Sequence returns the ticket's number in the order of issue of its incarnation.
func (t Ticket) Sequence() uint64 { return t.sequence }

// IsZero reports whether the ticket is none.
func (t Ticket) IsZero() bool { return t == Ticket{} }

// Key is a secret that authenticates tickets.
type Key struct {
	// ID tells the keys of a ring apart.
	ID uint8
	// Secret is at least MinSecret bytes.
	Secret []byte
}

// MinSecretSize is the least length of a secret, in bytes.
const MinSecretSize = 16

// Ring is the keys in force: the first seals, all of them open. To rotate, put the
// new key last everywhere, then first, then drop the old one.
type Ring []Key

// Issuer issues the tickets of one incarnation. It is not safe for concurrent use.
type Issuer struct {
	// Control is the agent's own control address.
	Control netip.AddrPort
	// Incarnation is the agent's own, in full.
	Incarnation lentilid.Incarnation
	// Service is the service of the agent's copy.
	Service  lentilid.Service
	sequence uint64
}

// Issue returns a ticket that was never issued before.
func (i *Issuer) Issue() Ticket {
	i.sequence++
	return Ticket{control: i.Control, incarnation: i.Incarnation, service: i.Service, sequence: i.sequence}
}
