package lentilagent

import "sync/atomic"

// Counter identifies one of the agent's counters.
type Counter uint8

//go:generate stringer -type=Counter

// The agent's counters.
const (
	// Received packets were delivered to the QUIC transport.
	Received Counter = iota
	// Answered packets were sent to a balancer.
	Answered
	// HandedOn packets were forwarded to a peer agent.
	HandedOn
	// Dropped packets arrived while the QUIC transport's queue was full.
	Dropped
	// Malformed tunnel packets or notices could not be decoded.
	Malformed
	// UnknownKey tunnel packets were authenticated with a key that isn't in the ring.
	UnknownKey
	// Forged tunnel packets had an invalid authentication tag.
	Forged
	// Misdirected tunnel packets were answers, or belonged to another service.
	Misdirected
	// Stale tunnel packets belonged to another incarnation of the agent.
	Stale
	// Refused packets belong to no flow of this agent and may not open one.
	Refused
	// Noticed packets tell an agent which place holds a flow. Sent and received ones are
	// counted.
	Noticed
	// DomainOut packets arrived while the failure domain was out of service.
	DomainOut
	// Oversized packets are longer than the tunnel's maximum payload.
	Oversized
	// Wayless packets had no known balancer to be sent through.
	Wayless
	// Unsent packets failed in the operating system's send call.
	Unsent
	// RequestsAnswered counts callers' requests that the copy answered or that were
	// answered with a ticket.
	RequestsAnswered
	// RequestsRefused counts callers' requests that were answered as not run.
	RequestsRefused
	// OutcomesUnknown counts callers' requests that may or may not have run.
	OutcomesUnknown
	// HedgesSent counts extra attempts at callers' requests that were sent to peers.
	HedgesSent
	// HedgesWon counts extra attempts whose answer the caller got.
	HedgesWon
	// HedgesCancelled counts extra attempts that were cancelled since the first one succeeded.
	HedgesCancelled
	// HedgesOverBudget counts extra attempts that were not made because of the percentage.
	HedgesOverBudget
	counterCount int = iota
)

// Counters returns all counters, for export to metrics.
func Counters() (all []Counter) {
	for c := range counterCount {
		all = append(all, Counter(c))
	}
	return all
}

// stats holds the values of the agent's counters.
type stats struct{ counts [counterCount]atomic.Uint64 }

// add increments a counter.
func (s *stats) add(c Counter) { s.counts[c].Add(1) }

// Count returns the value of a counter.
func (a *Agent) Count(c Counter) (count uint64) { return a.stats.counts[c].Load() }
