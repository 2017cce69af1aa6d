package lentilbalancer

import (
	"sync/atomic"

	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Counter identifies a packet counter of a balancer.
type Counter uint8

//go:generate stringer -type=Counter

// Packet counters of a balancer.
const (
	// Forwarded counts packets that were sent from a caller to an agent.
	Forwarded Counter = iota
	// Answered counts packets that were sent from an agent to a caller.
	Answered
	// Unrouted counts callers' packets without a destination: no copy takes new work,
	// the service is unknown, or the balancer has no router yet.
	Unrouted
	// NotFlow counts callers' packets that don't follow the service's protocol.
	NotFlow
	// ForgedID counts callers' packets that carry a place that no key of the ring has
	// sealed.
	ForgedID
	// OtherService counts callers' packets that carry a place of another service.
	OtherService
	// DomainOut counts callers' packets that carry a place in a failure domain that is
	// out of service.
	DomainOut
	// Oversized counts callers' packets that don't fit into a tunnel packet.
	Oversized
	// Malformed counts tunnel packets that were rejected as malformed.
	Malformed
	// UnknownKey counts tunnel packets that were signed by no key of the ring.
	UnknownKey
	// Forged counts tunnel packets with a wrong authentication tag.
	Forged
	// Misdirected counts tunnel packets that are not answers, or belong to a service
	// without a socket.
	Misdirected
	// Unsent counts packets that the operating system refused to send.
	Unsent
	counterCount int = iota
)

// counterByVerdict maps each verdict of the router to the counter for it.
var counterByVerdict = [...]Counter{
	lentilroute.Unknown:          Unrouted,
	lentilroute.ToPlace:          Forwarded,
	lentilroute.ToBucket:         Forwarded,
	lentilroute.DropMalformed:    NotFlow,
	lentilroute.DropForged:       ForgedID,
	lentilroute.DropWrongService: OtherService,
	lentilroute.DropDomainOut:    DomainOut,
	lentilroute.DropNoService:    Unrouted,
	lentilroute.DropNoCopy:       Unrouted,
}

// Counters returns all counters.
func Counters() (all []Counter) {
	for c := range counterCount {
		all = append(all, Counter(c))
	}
	return all
}

// readerStats holds the counters of one goroutine. The padding keeps the counters of
// different goroutines from sharing a cache line.
type readerStats struct {
	counts [counterCount]atomic.Uint64
	_      [64]byte
}

// add counts one packet.
func (s *readerStats) add(c Counter) { s.counts[c].Add(1) }
