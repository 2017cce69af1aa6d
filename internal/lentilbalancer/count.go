package lentilbalancer

import "sync/atomic"

// Counter names something that a balancer counts, in packets.
type Counter uint8

//go:generate stringer -type=Counter

// What a balancer counts.
const (
	// Forwarded packets went from a caller to an agent.
	Forwarded Counter = iota
	// Answered packets went from an agent to a caller.
	Answered
	// Unrouted packets of callers had nowhere to go: no copy, or no service.
	Unrouted
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
	counters int = iota
)

// Counters returns every counter, for those who export them.
func Counters() (all []Counter) {
	for c := range counters {
		all = append(all, Counter(c))
	}
	return all
}

// tally holds the counts of one goroutine, so that no two share a cache line.
type tally struct {
	counts [counters]atomic.Uint64
	_      [64]byte
}

// add counts one packet.
func (t *tally) add(c Counter) { t.counts[c].Add(1) }
