package lentilpacket

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilstair.example/lentilstair/internal/lentilmetric"
)

// Counts are the counters of a balancer or an agent of packet flows. The zero Counts are ready to use.
type Counts struct {
	// Packets counts packets of flows that were received, and Dropped those that had no destination.
	Packets, Dropped atomic.Uint64
	// Malformed counts datagrams that can't be parsed, and Unsent those that the operating system failed to send.
	Malformed, Unsent atomic.Uint64
	// Resets counts flows that were reset, and Refused first packets that an agent returned to the balancer.
	Resets, Refused atomic.Uint64

	// SoughtByKey counts lookups by Ask in place of copies of packets.
	SoughtByKey atomic.Uint64

	// The histograms are nil until Export is called.
	placingTime, answerTime tally.Histogram
}

// recordPlacing and recordAnswer record a duration if Export was called.
func (c *Counts) recordPlacing(d time.Duration) { recordDuration(c.placingTime, d) }

func (c *Counts) recordAnswer(d time.Duration) { recordDuration(c.answerTime, d) }

func recordDuration(histogram tally.Histogram, d time.Duration) {
	if histogram != nil && d > 0 {
		histogram.RecordDuration(d)
	}
}

// Export publishes the counts as metrics. It must be called before the process starts to serve.
func (c *Counts) Export(registry *lentilmetric.Registry, poller *lentilmetric.Poller) {
	c.placingTime, c.answerTime = registry.Histogram(lentilmetric.PlacingTime), registry.Histogram(lentilmetric.AnswerTime)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsForwarded), c.Packets.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsDropped, "nowhere"), c.Dropped.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsDropped, "malformed"), c.Malformed.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsDropped, "unsent"), c.Unsent.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.FlowsReset), c.Resets.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.FlowsRefused), c.Refused.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.LookupsByKey), c.SoughtByKey.Load, nil)
}
