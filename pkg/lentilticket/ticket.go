// Package lentilticket prevents requests that must not be repeated from running twice.
//
// A ticket names the one incarnation of an agent that may run a request. An incarnation is
// one run of the agent process. It keeps a Ledger in memory, runs the request of a ticket at
// most once and answers later attempts with the stored answer. Every other agent forwards
// the request to the named incarnation. If that incarnation has ended, the outcome is
// unknown and no agent runs the request. This doesn't depend on clocks, leases or data on
// disk.
package lentilticket

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Ticket permits one run of one request at one incarnation of an agent. The zero Ticket means
// no ticket.
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

// Sequence returns the sequence number of the ticket. An incarnation numbers its tickets in
// the order in which it issues them.
func (t Ticket) Sequence() uint64 { return t.sequence }

// IsZero reports whether the ticket is the zero Ticket.
func (t Ticket) IsZero() bool { return t == Ticket{} }

// Key is a secret that authenticates tickets.
type Key struct {
	// ID is unique among the keys of a ring. A sealed ticket contains it.
	ID uint8
	// Secret has at least MinSecretSize bytes.
	Secret []byte
}

// MinSecretSize is the minimum length of a secret in bytes.
const MinSecretSize = 16

// Ring is the list of current keys. The first key seals tickets and all keys verify them. To
// rotate keys, add the new key at the end on all agents, then move it to the front on all
// agents, then remove the old key.
type Ring []Key

// Issuer issues the tickets of one incarnation. It is not safe for concurrent use.
type Issuer struct {
	// Control is the control address of the agent.
	Control netip.AddrPort
	// Incarnation is the full incarnation of the agent.
	Incarnation lentilid.Incarnation
	// Service is the service of the agent's copy.
	Service  lentilid.Service
	sequence uint64
}

// Issue returns a new ticket.
func (i *Issuer) Issue() Ticket {
	i.sequence++
	return Ticket{control: i.Control, incarnation: i.Incarnation, service: i.Service, sequence: i.sequence}
}
