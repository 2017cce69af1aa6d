package lentilbalancer

import (
	"sync/atomic"

	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Counter names something that a balancer counts, in packets.
type Counter uint8

//go:generate stringer -type=Counter

// What a balancer counts.
const (
	// Forwarded packets went from a caller to an agent.
	Forwarded Counter = iota
	// Answered packets went from an agent to a caller.
	Answered
	// Unrouted packets of callers had nowhere to go: no copy takes new work, or
	// the service is not known.
	Unrouted
	// NotFlow packets of callers are none of the service's protocol.
	NotFlow
	// ForgedID packets of callers claim a place that no key of the ring has sealed.
	ForgedID
	// OtherService packets of callers carry a place of another service.
	OtherService
	// DomainOut packets of callers carry a place in a failure domain that is out.
	DomainOut
	// Oversized packets of callers don't fit into the tunnel.
	Oversized
	// Malformed tunnel packets were refused.
	Malformed
	// UnknownKey tunnel packets were signed by no key of the ring.
	UnknownKey
	// Forged tunnel packets had a wrong tag.
	Forged
	// Misdirected tunnel packets were not answers, or of a service without a socket.
	Misdirected
	// Unsent packets were refused by the machine.
	Unsent
	counterCount int = iota
)

// counterByVerdict says how the router's verdicts are counted.
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

// Counters returns every counter, for those who export them.
func Counters() (all []Counter) {
	for c := range counterCount {
		all = append(all, Counter(c))
	}
	return all
}

// readerStats holds the counts of one goroutine, so that no two share a cache line.
type readerStats struct {
	counts [counterCount]atomic.Uint64
	_      [64]byte
}

// add counts one packet.
func (t *readerStats) add(c Counter) { t.counts[c].Add(1) }
