package lentilbalancercommand

import (
	"lentilstair.example/lentilstair/internal/lentilbalancer"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilnode"
)

// refusalsByCounter says how the shell's counts of refused packets are shown.
var refusalsByCounter = map[lentilbalancer.Counter]lentilnode.RefusalExport{
	lentilbalancer.Unrouted:     {Metric: lentilmetric.PacketsDropped},
	lentilbalancer.NotFlow:      {Metric: lentilmetric.PacketsDropped, Event: lentilevent.PacketRefused},
	lentilbalancer.ForgedID:     {Metric: lentilmetric.PacketsDropped, Event: lentilevent.PlaceRefused},
	lentilbalancer.OtherService: {Metric: lentilmetric.PacketsDropped, Event: lentilevent.ServiceMismatch},
	lentilbalancer.DomainOut:    {Metric: lentilmetric.PacketsDropped},
	lentilbalancer.Oversized:    {Metric: lentilmetric.PacketsDropped, Event: lentilevent.PacketRefused},
	lentilbalancer.Unsent:       {Metric: lentilmetric.PacketsDropped, Event: lentilevent.SocketFailed},
	lentilbalancer.Malformed:    {Metric: lentilmetric.TunnelRefused, Event: lentilevent.TunnelRefused},
	lentilbalancer.UnknownKey:   {Metric: lentilmetric.TunnelRefused, Event: lentilevent.TunnelRefused},
	lentilbalancer.Forged:       {Metric: lentilmetric.TunnelRefused, Event: lentilevent.TunnelRefused},
	lentilbalancer.Misdirected:  {Metric: lentilmetric.TunnelRefused, Event: lentilevent.TunnelRefused},
}

// exportMetrics shows the balancer's counts as metrics.
func (r *process) exportMetrics() {
	mirror, registry := &r.common.Poller, r.common.Registry
	read := func(c lentilbalancer.Counter) func() uint64 { return func() uint64 { return r.balancer.Count(c) } }
	mirror.AddCounter(registry.Counter(lentilmetric.PacketsForwarded), read(lentilbalancer.Forwarded), nil)
	mirror.AddCounter(registry.Counter(lentilmetric.PacketsReturned), read(lentilbalancer.Answered), nil)
	for counter, refusal := range refusalsByCounter {
		refusal.Reason = counter.String()
		r.common.ExportRefusals(refusal, read(counter))
	}
	mirror.AddCounter(registry.Counter(lentilmetric.ControlBytes), r.control.Bytes, nil)
	mirror.AddCounter(registry.Counter(lentilmetric.ControlRefused), r.control.Refused, nil)
	r.exportPlatformMetrics()
	mirror.AddGauge(registry.Gauge(lentilmetric.ConfigurationVersion), func() float64 { return float64(r.control.Version()) })
	mirror.AddGauge(registry.Gauge(lentilmetric.RecordsKnown), r.recordCount)
}

func (r *process) exportPlatformMetrics() {
	mirror, registry := &r.common.Poller, r.common.Registry
	for label, read := range map[string]func() uint64{
		"read":  func() uint64 { return r.platform.Calls().Reads },
		"write": func() uint64 { return r.platform.Calls().Writes },
		"watch": func() uint64 { return r.platform.Calls().Watches },
	} {
		mirror.AddCounter(registry.Counter(lentilmetric.PlatformCalls, label), read, nil)
	}
	mirror.AddCounter(registry.Counter(lentilmetric.PlatformFailures), func() uint64 { return r.platform.Calls().Failures }, nil)
}

func (r *process) recordCount() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(len(r.liveOwners))
}
