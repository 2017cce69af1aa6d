package lentilagentcommand

import (
	"lentilstair.example/lentilstair/internal/lentilagent"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilnode"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// refusalsByCounter says how the shell's counts of refused packets are shown.
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

// exportMetrics shows the agent's counts as metrics.
func (r *process) exportMetrics() {
	mirror, registry := &r.common.Poller, r.common.Registry
	mirror.AddCounter(registry.Counter(lentilmetric.PacketsForwarded), r.counterReader(lentilagent.Received), nil)
	mirror.AddCounter(registry.Counter(lentilmetric.PacketsReturned), r.counterReader(lentilagent.Answered), nil)
	mirror.AddCounter(registry.Counter(lentilmetric.PacketsHandedOn), r.counterReader(lentilagent.HandedOn), nil)
	mirror.AddCounter(registry.Counter(lentilmetric.RequestsAnswered), r.counterReader(lentilagent.RequestsAnswered), nil)
	mirror.AddCounter(registry.Counter(lentilmetric.RequestsRefused), r.counterReader(lentilagent.RequestsRefused), nil)
	mirror.AddCounter(registry.Counter(lentilmetric.OutcomesUnknown), r.counterReader(lentilagent.OutcomesUnknown), func(by uint64) {
		r.common.Logger.WriteLimited(&r.common.EventLimiter, lentilevent.OutcomeUnknown, lentilevent.Uint("requests", by))
	})
	for counter, refusal := range refusalsByCounter {
		refusal.Reason = counter.String()
		r.common.ExportRefusals(refusal, r.counterReader(counter))
	}
	mirror.AddCounter(registry.Counter(lentilmetric.ControlBytes), r.control.Bytes, nil)
	mirror.AddGauge(registry.Gauge(lentilmetric.ConfigurationVersion), func() float64 { return float64(r.control.Version()) })
	for metric, read := range map[lentilmetric.Metric]func(*lentilagent.Agent) float64{
		lentilmetric.RequestsInFlight: func(a *lentilagent.Agent) float64 { return float64(a.InFlight()) },
		lentilmetric.RequestsQueued:   func(a *lentilagent.Agent) float64 { return float64(a.Queued()) },
		lentilmetric.StreamsOpen:      func(a *lentilagent.Agent) float64 { return float64(a.Streams()) },
		lentilmetric.CopyBears:        func(a *lentilagent.Agent) float64 { return float64(a.Capacity()) },
		lentilmetric.CopyPhase:        phaseNumber,
	} {
		mirror.AddGauge(registry.Gauge(metric), r.gaugeReader(read))
	}
}

// logPhaseChange logs where the copy stands when that has changed.
func (r *process) logPhaseChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.agent == nil {
		return
	}
	now := lentilrecord.Phase(phaseNumber(r.agent))
	if now == r.loggedPhase {
		return
	}
	event := lentilevent.CopyReady
	switch {
	case now == lentilrecord.Draining:
		event = lentilevent.CopyDraining
	case now == lentilrecord.Warming && r.loggedPhase == lentilrecord.Ready:
		event = lentilevent.CopyCold
	case now == lentilrecord.Warming:
		event = lentilevent.CopyWarming
	}
	r.loggedPhase = now
	r.common.Logger.Write(event, lentilevent.Int("bears", int(r.agent.Capacity())))
}

// counterReader reads a counterReader of the shell, 0 before it has started.
func (r *process) counterReader(c lentilagent.Counter) func() uint64 {
	return func() uint64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.agent == nil {
			return 0
		}
		return r.agent.Count(c)
	}
}

// gaugeReader reads a value of the shell, 0 before it has started.
func (r *process) gaugeReader(read func(*lentilagent.Agent) float64) func() float64 {
	return func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.agent == nil {
			return 0
		}
		return read(r.agent)
	}
}

// phaseNumber returns the number of the copy's phaseNumber.
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
