package lentilpacketmodel

import (
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
	// Periods has the same counts by the time of the arrivals and of the offers, in steps of Period.
	Periods []PeriodStats
}

// Period is the time that a PeriodStats covers.
const Period = 500 * time.Millisecond

// PeriodStats counts the arrivals of a period by their outcome, and the offers made in it.
type PeriodStats struct{ Due, InTarget, Late, Offers int }

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
