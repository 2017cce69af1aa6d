package lentilpacket

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilstair.example/lentilstair/internal/lentilmetric"
)

// Counts are the counts of a process that handles packet flows. The zero Counts are ready to use.
type Counts struct {
	// Packets counts packets of flows that came in; Dropped those that had nowhere to go.
	Packets, Dropped atomic.Uint64
	// Malformed counts datagrams that can't be read; Unsent those that the system refused to send.
	Malformed, Unsent atomic.Uint64
	// Resets counts flows that were reset, Refused first packets that were given back.
	Resets, Refused atomic.Uint64

	placingTime, answerTime tally.Histogram
}

// recordPlacing and answered take times, if there is a registry that wants them.
func (c *Counts) recordPlacing(d time.Duration) { recordDuration(c.placingTime, d) }

func (c *Counts) recordAnswer(d time.Duration) { recordDuration(c.answerTime, d) }

func recordDuration(h tally.Histogram, d time.Duration) {
	if h != nil && d > 0 {
		h.RecordDuration(d)
	}
}

// Export shows the counts as metrics. Call it before the process begins.
func (c *Counts) Export(registry *lentilmetric.Registry, mirror *lentilmetric.Mirror) {
	c.placingTime, c.answerTime = registry.Histogram(lentilmetric.PlacingTime), registry.Histogram(lentilmetric.AnswerTime)
	mirror.Count(registry.Counter(lentilmetric.PacketsForwarded), c.Packets.Load, nil)
	mirror.Count(registry.Counter(lentilmetric.PacketsDropped, "nowhere"), c.Dropped.Load, nil)
	mirror.Count(registry.Counter(lentilmetric.PacketsDropped, "malformed"), c.Malformed.Load, nil)
	mirror.Count(registry.Counter(lentilmetric.PacketsDropped, "unsent"), c.Unsent.Load, nil)
	mirror.Count(registry.Counter(lentilmetric.FlowsReset), c.Resets.Load, nil)
	mirror.Count(registry.Counter(lentilmetric.FlowsRefused), c.Refused.Load, nil)
}
