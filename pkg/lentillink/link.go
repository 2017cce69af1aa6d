// Package lentillink decides which datagram a balancer sends next on a link of known rate.
//
// A link that is full delays all datagrams by the length of its queue and drops some at random. A Scheduler keeps the
// queue in the process instead: a token bucket below the rate of the link limits what is sent, and the datagrams that
// wait are sent by class and in turns between callers. Requests that send little thus stay fast beside uploads, and a
// caller gets no more than its share by opening many flows or sending many packets.
//
// The package has neither goroutines nor sockets.
package lentillink

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

//go:generate stringer -type=Class,DropReason,Change -output=enum_string.go

// Class is the class of a datagram. Lower classes are sent first.
type Class uint8

// The classes.
const (
	// Control datagrams are those that the balancer sends on its own account, and resets.
	Control Class = iota
	// Opening datagrams carry a client's request for a new flow.
	Opening
	// Short datagrams carry no data, or belong to flows that have sent little so far.
	Short
	// Bulk datagrams are all others.
	Bulk

	// ClassCount is the number of classes.
	ClassCount = int(Bulk) + 1
)

// DropReason is the reason why a datagram was dropped.
type DropReason uint8

// The reasons.
const (
	// Overflow means that the queue was full.
	Overflow DropReason = iota
	// Late means that the datagram had waited so long that its client has retransmitted it.
	Late
	// Duplicate means that the same packet was still queued. Nothing is lost by it.
	Duplicate

	// ReasonCount is the number of reasons.
	ReasonCount = int(Duplicate) + 1
)

// Datagram is a datagram to send.
type Datagram struct {
	Class Class
	// Caller is the client's address. Control datagrams have none.
	Caller [4]byte
	// Flow is the flow of the packet. Control datagrams have none.
	Flow lentilflow.Key
	// Sequence and Length are the sequence number and the bytes of payload of the packet.
	Sequence uint32
	Length   int
	// Bytes is the content.
	Bytes []byte
	// To is the destination.
	To netip.AddrPort
	// Socket says which of the owner's sockets sends the datagram.
	Socket uint8
}

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// cost is the number of bytes that the datagram takes on the link.
func (d Datagram) cost() int { return len(d.Bytes) + headerBytes }

// Stats are the counts of a Scheduler since its start, and its current state.
type Stats struct {
	waited      [ClassCount]uint64
	dropped     [ClassCount][ReasonCount]uint64
	sentBytes   uint64
	queuedBytes int
}

// Waited returns the number of datagrams of a class that were sent after they had waited.
func (s Stats) Waited(class Class) uint64 { return s.waited[class] }

// Dropped returns the number of datagrams of a class that were dropped for a reason.
func (s Stats) Dropped(class Class, reason DropReason) uint64 { return s.dropped[class][reason] }

// SentBytes returns the number of bytes that were sent, with headers.
func (s Stats) SentBytes() uint64 { return s.sentBytes }

// QueuedBytes returns the number of bytes that are queued, with headers.
func (s Stats) QueuedBytes() int { return s.queuedBytes }

// lost returns the number of datagrams of a class that were dropped, without duplicates.
func (s Stats) lost(class Class) uint64 { return s.dropped[class][Overflow] + s.dropped[class][Late] }
