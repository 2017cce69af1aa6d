// Package lentilarrival drives the decisions of several agents with seeded arrivals on a
// fake clock, and reports what became of the requests and how evenly the copies were used.
//
// It holds the real limiter, admitter and chooser of each agent. The copies, the callers'
// connections and the spreading of records around them are small models; there are no
// packets, balancers or processes.
package lentilarrival

import "time"

// Placement is how a new connection finds its first copy.
type Placement uint8

// The placements.
const (
	// PlaceUniform takes every copy alike, as a plain hash does.
	PlaceUniform Placement = iota
	// PlaceRoundRobin takes one copy after the other.
	PlaceRoundRobin
	// PlaceWeighted takes a copy in proportion to the weight in its record.
	PlaceWeighted
)

// WorkDistribution is how much the work of requests differs.
type WorkDistribution uint8

// The spreads, each with the mean Options.Service.
const (
	// WorkUniform is between 0.8 and 1.2 times the mean.
	WorkUniform WorkDistribution = iota
	// WorkExponential has no memory.
	WorkExponential
)

// Options says what to run. Zero fields other than the copies' faults take the defaults.
type Options struct {
	Seed   uint64
	Copies int // default 7
	Slots  int // default 2
	// Load is the offered work over what all copies bear; default 0.7.
	Load float64
	// ServiceTime is the mean time of a request at a warm copy; default 100 ms.
	ServiceTime      time.Duration
	WorkDistribution WorkDistribution
	// Timeout is how long a caller waits; default 2 s.
	Timeout time.Duration
	// Connections is how many connections callers hold open; default 400.
	Connections int
	// ConnectionLifetime is the mean life of a connection; default 60 s.
	ConnectionLifetime time.Duration
	// Warmup is not measured, MeasureDuration is; defaults 60 s and 120 s.
	Warmup, MeasureDuration time.Duration
	// Placement and the hand-offs are what is compared.
	Placement      Placement
	PacketHandoff  bool
	RequestHandoff bool
	// NoAdmission sends everything to the copy at once.
	NoAdmission bool
	// SlowCopies is how many copies take twice as long.
	SlowCopies int
	// ColdCopies is how many copies turn cold when the measured time begins, and once again in
	// the middle of it, without telling anybody.
	ColdCopies int
	// RecordInterval is how old the records of peers get; default 1 s.
	RecordInterval time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.Copies, 7)
	setDefault(&o.Slots, 2)
	setDefault(&o.Load, 0.7)
	setDefault(&o.ServiceTime, 100*time.Millisecond)
	setDefault(&o.Timeout, 2*time.Second)
	setDefault(&o.Connections, 400)
	setDefault(&o.ConnectionLifetime, time.Minute)
	setDefault(&o.Warmup, time.Minute)
	setDefault(&o.MeasureDuration, 2*time.Minute)
	setDefault(&o.RecordInterval, time.Second)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Result is what was seen in the measured time.
type Result struct {
	// Offered requests arrived; InTime were answered before their deadline; Refused were
	// told that they were not run; Late are the rest.
	Offered, InTime, Refused, Late int
	// SlowestRefusal is the longest time from arrival to refusal, MedianRefusal the median.
	SlowestRefusal, MedianRefusal time.Duration
	// RetryPeakToMean is the largest number of refused callers that are told to come back in one
	// second, over the mean of the seconds with any.
	RetryPeakToMean float64
	// FalseRefusals counts refusals of requests that a copy had run.
	FalseRefusals int
	// Goodput is the work answered in time over what the copies bear.
	Goodput float64
	// UtilizationImbalance is hottest over mean of the share of what a copy bears that was in use, BusyTimeImbalance of
	// its busy slot-time, RequestImbalance of its number of requests; each the worst of all windows of
	// Window, and the median.
	UtilizationImbalance, BusyTimeImbalance, RequestImbalance Ratio
	// ColdLoadRatio is the largest load over what the copy bore, over windows of a second, of
	// copies that turned cold, from a second after they did.
	ColdLoadRatio float64
	// ColdNewLoadRatio is the same, counting only requests sent to the copy from that second on: what
	// was there before runs on, and can only be waited for.
	ColdNewLoadRatio float64
	// Relays counts requests passed to peers, RefusedRelays those that came back.
	Relays, RefusedRelays int
	// HandedOffConnections counts connections handed off.
	HandedOffConnections int
}

// Ratio is the largest and the median of a ratio over all windows.
type Ratio struct{ Worst, Median float64 }

// ImbalanceWindow is the length of the windows over which the use of copies is compared.
const ImbalanceWindow = 10 * time.Second
