package lentilagent

import "sync/atomic"

// Counter names something that an agent counts.
type Counter uint8

//go:generate stringer -type=Counter

// What an agent counts.
const (
	// Received packets were handed to the QUIC transport.
	Received Counter = iota
	// Answered packets were sent to a balancer.
	Answered
	// HandedOn packets were passed to a peer agent.
	HandedOn
	// Dropped packets found the QUIC transport's queue full.
	Dropped
	// Malformed tunnel packets were refused.
	Malformed
	// UnknownKey tunnel packets were signed by no key of the ring.
	UnknownKey
	// Forged tunnel packets had a wrong tag.
	Forged
	// Misdirected tunnel packets were answers or of another service.
	Misdirected
	// Stale tunnel packets were for another incarnation.
	Stale
	// Refused packets belong to no flow here, and no flow may be opened by them.
	Refused
	// Noticed packets say where a flow lives.
	Noticed
	// DomainOut packets came while operators have taken the failure domain out.
	DomainOut
	// Oversized packets don't fit into the tunnel.
	Oversized
	// Wayless packets had no balancer to go through.
	Wayless
	// Unsent packets were refused by the machine.
	Unsent
	// RequestsAnswered counts the callers' requests that were answered by the copy, or
	// with a ticket.
	RequestsAnswered
	// RequestsRefused counts those that were surely not run.
	RequestsRefused
	// OutcomesUnknown counts those that may or may not have run.
	OutcomesUnknown
	counterCount int = iota
)

// Counters returns every counter, for those who export them.
func Counters() (all []Counter) {
	for c := range counterCount {
		all = append(all, Counter(c))
	}
	return all
}

// stats holds the counts of an agent.
type stats struct{ counts [counterCount]atomic.Uint64 }

// add counts one packet.
func (t *stats) add(c Counter) { t.counts[c].Add(1) }

// Count returns how often c has happened.
func (a *Agent) Count(c Counter) (count uint64) { return a.stats.counts[c].Load() }
