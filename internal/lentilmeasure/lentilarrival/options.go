// Package lentilarrival simulates several agents on a fake clock under seeded random
// arrivals. It reports the outcomes of the requests and how evenly the copies were used.
//
// Each simulated agent runs the product's limiter, admitter and chooser. The copies, the
// callers' connections and the propagation of records are simple models. Packets,
// balancers and processes are not simulated.
package lentilarrival

import "time"

// Placement is the policy that chooses the first copy of a new connection.
type Placement uint8

// The placement policies.
const (
	// PlaceUniform chooses each copy with the same probability, as a plain hash does.
	PlaceUniform Placement = iota
	// PlaceRoundRobin chooses the copies in turn.
	PlaceRoundRobin
	// PlaceWeighted chooses a copy with a probability proportional to the weight in its record.
	PlaceWeighted
)

// WorkDistribution is the distribution of the work of requests, with mean Options.ServiceTime.
type WorkDistribution uint8

// The work distributions.
const (
	// WorkUniform is uniform between 0.8 and 1.2 times the mean.
	WorkUniform WorkDistribution = iota
	// WorkExponential is exponential, but at least 1 ms.
	WorkExponential
)

// Options configures a simulation. Zero fields take the defaults that their comments name.
type Options struct {
	Seed   uint64
	Copies int // default 7
	Slots  int // default 2
	// Load is the offered work over the capacity of all copies; default 0.7.
	Load float64
	// ServiceTime is the mean duration of a request at a warm copy; default 100 ms.
	ServiceTime      time.Duration
	WorkDistribution WorkDistribution
	// Timeout is how long a caller waits for an answer; default 2 s.
	Timeout time.Duration
	// Connections is the number of connections that callers hold open; default 400.
	Connections int
	// ConnectionLifetime is the mean lifetime of a connection; default 60 s.
	ConnectionLifetime time.Duration
	// Warmup is the time before the measurement starts, MeasureDuration the length of the
	// measurement; defaults 60 s and 120 s.
	Warmup, MeasureDuration time.Duration
	// Placement, PacketHandoff and RequestHandoff define the policy under comparison.
	Placement      Placement
	PacketHandoff  bool
	RequestHandoff bool
	// NoAdmission dispatches every request to the copy immediately, without an admission limit.
	NoAdmission bool
	// SlowCopies is the number of copies that take twice as long for the same work.
	SlowCopies int
	// ColdCopies is the number of copies that turn cold unannounced when the measurement
	// starts, and again in the middle of the measurement.
	ColdCopies int
	// RecordInterval is the time between two updates of the peers' records; default 1 s.
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

// Result holds the figures of the measured time.
type Result struct {
	// Offered counts the requests that arrived. InTime counts those answered before their
	// deadline, Refused those answered "not run", and Late those answered after their
	// deadline or with an unknown outcome.
	Offered, InTime, Refused, Late int
	// SlowestRefusal is the longest time from arrival to refusal, MedianRefusal the median.
	SlowestRefusal, MedianRefusal time.Duration
	// RetryPeakToMean describes how evenly the retry delays sent with refusals spread the
	// retries: the largest number of retries due in one second, over the mean of the
	// seconds with at least one.
	RetryPeakToMean float64
	// FalseRefusals counts the refused requests that had already been dispatched to a copy.
	FalseRefusals int
	// Goodput is the work answered in time over the capacity of the copies.
	Goodput float64
	// The imbalances are the most used copy over the mean of all copies, in windows of
	// length ImbalanceWindow. UtilizationImbalance compares the busy slot-time over the
	// capacity, BusyTimeImbalance the busy slot-time, and RequestImbalance the number of
	// requests.
	UtilizationImbalance, BusyTimeImbalance, RequestImbalance Ratio
	// ColdLoadRatio is the largest load over capacity of a copy that turned cold. It covers
	// windows of one second, from one second after the copy turned cold.
	ColdLoadRatio float64
	// ColdNewLoadRatio is the same for the requests that were sent to the copy after that
	// first second. Earlier requests are left out because they can't be withdrawn.
	ColdNewLoadRatio float64
	// Relays counts the requests relayed to peers, RefusedRelays those that the peer refused.
	Relays, RefusedRelays int
	// HandedOffConnections counts the hand-offs of new connections to a peer.
	HandedOffConnections int
}

// Ratio holds the largest and the median value of a ratio over all windows.
type Ratio struct{ Worst, Median float64 }

// ImbalanceWindow is the length of the windows in which the use of the copies is compared.
const ImbalanceWindow = 10 * time.Second
