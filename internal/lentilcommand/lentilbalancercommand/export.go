package lentilbalancercommand

import (
	"lentilstair.example/lentilstair/internal/lentilbalancer"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilnode"
)

// refusalsByCounter maps each of the balancer's counters of rejected packets to the metric
// and the event that report it.
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

// exportMetrics registers the metrics of the balancer.
func (p *process) exportMetrics() {
	poller, registry := &p.common.Poller, p.common.Registry
	reader := func(c lentilbalancer.Counter) func() uint64 { return func() uint64 { return p.balancer.Count(c) } }
	poller.AddCounter(registry.Counter(lentilmetric.PacketsForwarded), reader(lentilbalancer.Forwarded), nil)
	poller.AddCounter(registry.Counter(lentilmetric.PacketsReturned), reader(lentilbalancer.Answered), nil)
	for counter, refusal := range refusalsByCounter {
		refusal.Reason = counter.String()
		p.common.ExportRefusals(refusal, reader(counter))
	}
	poller.AddCounter(registry.Counter(lentilmetric.ControlBytes), p.control.Bytes, nil)
	poller.AddCounter(registry.Counter(lentilmetric.ControlRefused), p.control.FailedCalls, nil)
	p.exportPlatformMetrics()
	poller.AddGauge(registry.Gauge(lentilmetric.ConfigurationVersion), func() float64 { return float64(p.control.Version()) })
	poller.AddGauge(registry.Gauge(lentilmetric.RecordsKnown), p.recordCount)
}

func (p *process) exportPlatformMetrics() {
	poller, registry := &p.common.Poller, p.common.Registry
	for label, read := range map[string]func() uint64{
		"read":  func() uint64 { return p.platform.Calls().Reads },
		"write": func() uint64 { return p.platform.Calls().Writes },
		"watch": func() uint64 { return p.platform.Calls().Watches },
	} {
		poller.AddCounter(registry.Counter(lentilmetric.PlatformCalls, label), read, nil)
	}
	poller.AddCounter(registry.Counter(lentilmetric.PlatformFailures), func() uint64 { return p.platform.Calls().Failures }, nil)
}

func (p *process) recordCount() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(len(p.liveOwners))
}
