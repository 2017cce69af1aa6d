package lentilagentcommand

import (
	"lentilstair.example/lentilstair/internal/lentilagent"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilnode"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// refusalsByCounter maps each of the agent's counters of rejected packets to the metric
// and the event that report it.
var refusalsByCounter = map[lentilagent.Counter]lentilnode.RefusalExport{
	lentilagent.Malformed:   {Metric: lentilmetric.TunnelRefused, Event: lentilevent.TunnelRefused},
	lentilagent.UnknownKey:  {Metric: lentilmetric.TunnelRefused, Event: lentilevent.TunnelRefused},
	lentilagent.Forged:      {Metric: lentilmetric.TunnelRefused, Event: lentilevent.TunnelRefused},
	lentilagent.Misdirected: {Metric: lentilmetric.TunnelRefused, Event: lentilevent.ServiceMismatch},
	lentilagent.Stale:       {Metric: lentilmetric.TunnelRefused},
	lentilagent.Dropped:     {Metric: lentilmetric.PacketsDropped},
	lentilagent.Refused:     {Metric: lentilmetric.PacketsDropped},
	lentilagent.DomainOut:   {Metric: lentilmetric.PacketsDropped},
	lentilagent.Oversized:   {Metric: lentilmetric.PacketsDropped, Event: lentilevent.PacketRefused},
	lentilagent.Wayless:     {Metric: lentilmetric.PacketsDropped},
	lentilagent.Unsent:      {Metric: lentilmetric.PacketsDropped, Event: lentilevent.SocketFailed},
}

// exportMetrics registers the metrics of the agent.
func (p *process) exportMetrics() {
	poller, registry := &p.common.Poller, p.common.Registry
	poller.AddCounter(registry.Counter(lentilmetric.PacketsForwarded), p.counterReader(lentilagent.Received), nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsReturned), p.counterReader(lentilagent.Answered), nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsHandedOn), p.counterReader(lentilagent.HandedOn), nil)
	poller.AddCounter(registry.Counter(lentilmetric.RequestsAnswered), p.counterReader(lentilagent.RequestsAnswered), nil)
	poller.AddCounter(registry.Counter(lentilmetric.RequestsRefused), p.counterReader(lentilagent.RequestsRefused), nil)
	poller.AddCounter(registry.Counter(lentilmetric.OutcomesUnknown), p.counterReader(lentilagent.OutcomesUnknown), func(increase uint64) {
		p.common.Logger.WriteLimited(&p.common.EventLimiter, lentilevent.OutcomeUnknown, lentilevent.Uint("requests", increase))
	})
	for metric, counter := range map[lentilmetric.Metric]lentilagent.Counter{
		lentilmetric.HedgesSent:       lentilagent.HedgesSent,
		lentilmetric.HedgesWon:        lentilagent.HedgesWon,
		lentilmetric.HedgesCancelled:  lentilagent.HedgesCancelled,
		lentilmetric.HedgesOverBudget: lentilagent.HedgesOverBudget,
	} {
		poller.AddCounter(registry.Counter(metric), p.counterReader(counter), nil)
	}
	for counter, refusal := range refusalsByCounter {
		refusal.Reason = counter.String()
		p.common.ExportRefusals(refusal, p.counterReader(counter))
	}
	poller.AddCounter(registry.Counter(lentilmetric.ControlBytes), p.control.Bytes, nil)
	poller.AddGauge(registry.Gauge(lentilmetric.ConfigurationVersion), func() float64 { return float64(p.control.Version()) })
	for metric, read := range map[lentilmetric.Metric]func(*lentilagent.Agent) float64{
		lentilmetric.RequestsInFlight: func(a *lentilagent.Agent) float64 { return float64(a.InFlight()) },
		lentilmetric.RequestsQueued:   func(a *lentilagent.Agent) float64 { return float64(a.Queued()) },
		lentilmetric.StreamsOpen:      func(a *lentilagent.Agent) float64 { return float64(a.Streams()) },
		lentilmetric.CopyBears:        func(a *lentilagent.Agent) float64 { return float64(a.Capacity()) },
		lentilmetric.CopyPhase:        phaseNumber,
		lentilmetric.HedgeShare:       (*lentilagent.Agent).HedgeShare,
	} {
		poller.AddGauge(registry.Gauge(metric), p.gaugeReader(read))
	}
}

// logHedge logs an extra attempt at a request. Only some of many are logged.
func (p *process) logHedge(report lentilagent.HedgeReport) {
	p.common.Logger.WriteLimited(&p.common.EventLimiter, lentilevent.RequestHedged,
		lentilevent.Uint("id", report.ID()), lentilevent.Str("copy", report.First()), lentilevent.Str("peer", report.Extra()),
		lentilevent.Uint("delayMicros", uint64(report.Delay().Microseconds())), lentilevent.Str("winner", report.Winner()))
}

// logPhaseChange logs the copy's phase if it has changed since it was last logged. A
// ready copy that is cold again is logged as CopyCold.
func (p *process) logPhaseChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.agent == nil {
		return
	}
	now := lentilrecord.Phase(phaseNumber(p.agent))
	if now == p.loggedPhase {
		return
	}
	event := lentilevent.CopyReady
	switch {
	case now == lentilrecord.Draining:
		event = lentilevent.CopyDraining
	case now == lentilrecord.Warming && p.loggedPhase == lentilrecord.Ready:
		event = lentilevent.CopyCold
	case now == lentilrecord.Warming:
		event = lentilevent.CopyWarming
	}
	p.loggedPhase = now
	p.common.Logger.Write(event, lentilevent.Int("bears", int(p.agent.Capacity())))
}

// counterReader returns a function that reads a counter of the agent. It returns 0 before
// the agent exists.
func (p *process) counterReader(c lentilagent.Counter) func() uint64 {
	return func() uint64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.agent == nil {
			return 0
		}
		return p.agent.Count(c)
	}
}

// gaugeReader returns a function that reads a value of the agent. It returns 0 before the
// agent exists.
func (p *process) gaugeReader(read func(*lentilagent.Agent) float64) func() float64 {
	return func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.agent == nil {
			return 0
		}
		return read(p.agent)
	}
}

// phaseNumber returns the copy's lentilrecord.Phase as a gauge value. A cold copy counts as
// warming.
func phaseNumber(a *lentilagent.Agent) float64 {
	switch {
	case a.Draining():
		return float64(lentilrecord.Draining)
	case a.Cold():
		return float64(lentilrecord.Warming)
	default:
		return float64(lentilrecord.Ready)
	}
}
