package lentilpacketmodel

import (
	"cmp"
	"slices"
	"time"
)

// Stats counts the results of clients' requests.
type Stats struct {
	// Requests and Answered count requests. The opening of a flow and its first request count as one.
	// Refused counts flows that were reset before they were open.
	// InterruptedRequests counts requests that were waiting for an answer when their flow was reset.
	// IdleResets counts flows that were reset between requests.
	// Expired counts requests that clients abandoned at their deadline.
	Requests, Answered, Refused, InterruptedRequests, IdleResets, Expired int
	// Latencies has the latency of each answered request. The first one of a flow includes its opening.
	Latencies []time.Duration
	// Arrivals counts the requests that each upstream received, by its ID. Shed counts those that were shed
	// because the queue was full.
	Arrivals map[string]int
	Shed     int
	// Due, InTarget and Late count the arrivals of Setup.ArrivalRate, and those that were answered within and
	// after the latency objective.
	Due, InTarget, Late int
	// Offers counts the first packets that balancers sent to agents, Overflowed the datagrams that were lost because
	// a balancer's receive buffer was full.
	Offers, Overflowed int
	// LinkLosses counts the datagrams that were lost because the queue of a link was full.
	LinkLosses int
	// LookupsByKey counts the flows for which balancers asked agents in place of copies of packets.
	LookupsByKey int
	// Kinds counts the requests that have ended by their kind.
	Kinds [kindCount]KindStats
	// Periods has the same counts by the time of the arrivals and of the offers, in steps of Period.
	Periods []PeriodStats
}

// Period is the time that a PeriodStats covers.
const Period = 500 * time.Millisecond

// PeriodStats counts the arrivals of a period by their outcome, and the offers made in it.
type PeriodStats struct{ Due, InTarget, Late, Offers int }

//go:generate stringer -type=RequestKind -output=enum_string.go

// RequestKind is a kind of clients' requests.
type RequestKind uint8

// The kinds of requests.
const (
	// LongFlowRequest is a request in a flow that carries many.
	LongFlowRequest RequestKind = iota
	// ShortFlowRequest is a request of Setup.ArrivalRate, in a flow of its own.
	ShortFlowRequest
	// Upload is a request of Setup.UploadBytes, in either kind of flow.
	Upload
	kindCount
)

// KindStats counts the requests of a kind that have ended, and those that were answered within the latency objective.
type KindStats struct{ Due, InTarget int }

// InTargetShare returns the share of the requests that were answered in time.
func (k KindStats) InTargetShare() float64 { return float64(k.InTarget) / float64(max(k.Due, 1)) }

// recordEnd records the end of the client's present request, which was answered or not.
func (c *client) recordEnd(answered bool) {
	kind, target := LongFlowRequest, c.sim.Setup.Target
	switch {
	case c.uploads():
		kind, target = Upload, cmp.Or(c.sim.Setup.UploadTarget, target)
	case c.arrival != nil:
		kind = ShortFlowRequest
	}
	k := &c.sim.Stats.Kinds[kind]
	k.Due++
	if answered && c.sim.Clock.Now().Sub(c.requestedAt) <= target {
		k.InTarget++
	}
}

// periodAt returns the counts of the period that contains a time.
func (s *Simulation) periodAt(at time.Time) *PeriodStats {
	for index := int(at.Sub(s.startedAt) / Period); len(s.Stats.Periods) <= index; {
		s.Stats.Periods = append(s.Stats.Periods, PeriodStats{})
	}
	return &s.Stats.Periods[at.Sub(s.startedAt)/Period]
}

// PeakToMean returns the number of requests of the busiest upstream, divided by the mean of all upstreams that
// received any.
func (s Stats) PeakToMean() float64 {
	total, busiest := 0, 0
	for _, arrivals := range s.Arrivals {
		total += arrivals
		busiest = max(busiest, arrivals)
	}
	if total == 0 {
		return 0
	}
	return float64(busiest) * float64(len(s.Arrivals)) / float64(total)
}

// LatencyQuantile returns the quantile q of the latencies, with q from 0 to 1.
func (s Stats) LatencyQuantile(q float64) time.Duration {
	if len(s.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.Latencies))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
