package lentilagent

import (
	"context"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/internal/lentilstand/fabric"
	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// faultTestDuration is how long callers call in a fault's test; the fault comes in the middle.
const faultTestDuration = 2 * time.Second

// TestFaults lets one thing fail while streams are open and requests come in. No
// stream may break unless its failure domain is taken out or its copy dies, and
// what callers are told must be true in any case.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		// fault is brought about in the middle of the calls.
		fault func(p *harness)
		// broken and unknown say that streams or outcomes may be lost.
		broken, unknown bool
		// work is how long a request takes; zero is a short time.
		work  time.Duration
		check func(t *testing.T, p *harness, report caller.ReportDoc)
	}{
		{name: "packets lost, doubled and reordered", fault: func(p *harness) {
			p.fabric.SetFaults(fabric.FaultsDoc{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02, DelayMillis: 1})
		}},
		{name: "balancer dies", fault: func(p *harness) {
			p.balancers[0].Close()
			p.fabric.SetBalancers(p.fabricBalancers()[1:])
		}},
		{name: "balancer dies unnoticed for a while", fault: func(p *harness) {
			p.balancers[0].Close()
			time.AfterFunc(faultTestDuration/4, func() { p.fabric.SetBalancers(p.fabricBalancers()[1:]) })
		}},
		{name: "copy drained by configuration", fault: func(p *harness) {
			p.configure(func(d *lentilconfig.Document) { d.Copies[0].Draining = true })
		}, check: func(t *testing.T, p *harness, _ caller.ReportDoc) {
			if !p.agents[0].Draining() {
				t.Error("the agent doesn't drain")
			}
		}},
		{name: "agent stops", fault: func(p *harness) {
			stopped, cancel := context.WithCancel(context.Background())
			cancel()
			p.stopping.Go(func() { p.agents[0].Run(stopped, context.Background()) })
		}},
		{name: "copy hangs", fault: func(p *harness) { p.copies[0].SetFaults(upstream.FaultsDoc{Hang: true}) }, unknown: true},
		{name: "copy sheds", fault: func(p *harness) { p.copies[0].SetFaults(upstream.FaultsDoc{Shed: true}) }},
		{name: "copy turns cold", fault: func(p *harness) { p.copies[0].SetFaults(upstream.FaultsDoc{Cold: true}) }, unknown: true},
		{name: "copies die", fault: func(p *harness) {
			for _, s := range p.servers {
				s.CloseClientConnections()
			}
			_ = p.servers[0].Listener.Close()
		}, broken: true, unknown: true, work: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := newHarness(t, 3, 3, func(o *upstream.Options) { o.Work = max(o.Work, tt.work) })
			time.AfterFunc(faultTestDuration/2, func() { tt.fault(p) })
			report := p.runCallers(faultTestDuration, nil)
			if tt.broken {
				report.Streams.Broken, report.Streams.Gaps = 0, 0
			}
			p.checkInvariants(report)
			for _, doc := range []caller.RequestsDoc{report.Repeatable, report.Once} {
				if !tt.unknown && doc.Answered+doc.NotRun+doc.CopyErrors != doc.Sent {
					t.Errorf("%+v", report)
				}
			}
			if tt.check != nil {
				tt.check(t, p, report)
			}
		})
	}
}
