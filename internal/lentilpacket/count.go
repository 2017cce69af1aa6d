package lentilpacket

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// Counts are the counters of a balancer or an agent of packet flows. The zero Counts are ready to use.
type Counts struct {
	// Packets counts packets of flows that were received, and Dropped those that had no destination.
	Packets, Dropped atomic.Uint64
	// Malformed counts datagrams that can't be parsed, and Unsent those that the operating system failed to send.
	Malformed, Unsent atomic.Uint64
	// Resets counts flows that were reset, and Refused first packets that an agent returned to the balancer.
	Resets, Refused atomic.Uint64
	// RefusedOtherService counts those of Refused that were offered for another service than the agent's.
	RefusedOtherService atomic.Uint64
	// RegistrationsOtherUpstream, RegistrationsNotInForce and RegistrationsMalformed count the registrations that an agent has rejected.
	RegistrationsOtherUpstream, RegistrationsNotInForce, RegistrationsMalformed atomic.Uint64
	// RegistrationsIgnored counts those of the agent's own upstream that had no effect, since its address was contested.
	RegistrationsIgnored atomic.Uint64
	// Remembered counts first packets that a balancer sent to the agent of an earlier one with the same ends, and AgentsReplaced
	// the agents whose address another one, or one of another service, has taken.
	Remembered, AgentsReplaced atomic.Uint64
	// HedgesSent, HedgesWon and HedgesOverBudget are lentilplacement.HedgeCounts. hedgeShare holds the bits
	// of the share of extra offers.
	HedgesSent, HedgesWon, HedgesOverBudget atomic.Uint64
	hedgeShare                              atomic.Uint64

	// Store counts the calls to the store.
	Store StoreCalls
	// Link counts what waits for the balancer's link; nil if the link isn't limited.
	Link *LinkCounts
	// CallersWaiting is the number of callers with flows in the queue of an agent, and ServedOutOfOrder counts the flows that
	// opened before an older one. They stay zero unless the queue is fair between callers.
	CallersWaiting, ServedOutOfOrder atomic.Uint64
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

// recordHedges records the counts of extra offers and their share.
func (c *Counts) recordHedges(counts lentilplacement.HedgeCounts, share float64) {
	c.HedgesSent.Store(counts.Sent)
	c.HedgesWon.Store(counts.Won)
	c.HedgesOverBudget.Store(counts.OverBudget)
	c.hedgeShare.Store(math.Float64bits(share))
}

// Export publishes the counts as metrics. It must be called before the process starts to serve.
func (c *Counts) Export(registry *lentilmetric.Registry, poller *lentilmetric.Poller) {
	c.placingTime, c.answerTime = registry.Histogram(lentilmetric.PlacingTime), registry.Histogram(lentilmetric.AnswerTime)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsForwarded), c.Packets.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsDropped, "nowhere"), c.Dropped.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsDropped, "malformed"), c.Malformed.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsDropped, "unsent"), c.Unsent.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.HedgesSent), c.HedgesSent.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.HedgesWon), c.HedgesWon.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.HedgesOverBudget), c.HedgesOverBudget.Load, nil)
	poller.AddGauge(registry.Gauge(lentilmetric.HedgeShare), func() float64 { return math.Float64frombits(c.hedgeShare.Load()) })
	poller.AddCounter(registry.Counter(lentilmetric.FlowsReset), c.Resets.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.FlowsRefused), c.Refused.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.RefusedOtherService), c.RefusedOtherService.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.RegistrationRefused, "service"), c.RegistrationsOtherUpstream.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.RegistrationRefused, "notInForce"), c.RegistrationsNotInForce.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.RegistrationRefused, "malformed"), c.RegistrationsMalformed.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.RegistrationIgnored), c.RegistrationsIgnored.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.FlowsRemembered), c.Remembered.Load, nil)
	poller.AddCounter(registry.Counter(lentilmetric.AgentsReplaced), c.AgentsReplaced.Load, nil)
	c.Store.export(registry, poller)
	if c.Link != nil {
		c.Link.export(registry, poller)
	}
	poller.AddCounter(registry.Counter(lentilmetric.QueueOutOfOrder), c.ServedOutOfOrder.Load, nil)
	poller.AddGauge(registry.Gauge(lentilmetric.QueueCallers), func() float64 { return float64(c.CallersWaiting.Load()) })
	poller.AddCounter(registry.Counter(lentilmetric.LookupsByKey), c.SoughtByKey.Load, nil)
}
