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

// faultTestDuration is how long callers run in a fault test. The fault is injected halfway.
const faultTestDuration = 2 * time.Second

// TestFaults injects one fault while streams are open and requests arrive. No stream may
// break unless its failure domain is taken out of service or its copy dies. The outcomes
// that callers receive must be true in any case.
func TestFaults(t *testing.T) {
	tests := []struct {
		name string
		// fault injects the fault.
		fault func(h *harness)
		// broken is true if streams may break, unknown if outcomes may be unknown.
		broken, unknown bool
		// work is the minimum time that a request takes; zero is the harness's short time.
		work  time.Duration
		check func(t *testing.T, h *harness, report caller.ReportDoc)
	}{
		{name: "packets lost, duplicated and reordered", fault: func(h *harness) {
			h.fabric.SetFaults(fabric.FaultsDoc{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02, DelayMillis: 1})
		}},
		{name: "balancer dies", fault: func(h *harness) {
			h.balancers[0].Close()
			h.fabric.SetBalancers(h.fabricBalancers()[1:])
		}},
		{name: "balancer dies unnoticed for a while", fault: func(h *harness) {
			h.balancers[0].Close()
			time.AfterFunc(faultTestDuration/4, func() { h.fabric.SetBalancers(h.fabricBalancers()[1:]) })
		}},
		{name: "copy drained by configuration", fault: func(h *harness) {
			h.configure(func(d *lentilconfig.Document) { d.Copies[0].Draining = true })
		}, check: func(t *testing.T, h *harness, _ caller.ReportDoc) {
			if !h.agents[0].Draining() {
				t.Error("the agent doesn't drain")
			}
		}},
		{name: "agent stops", fault: func(h *harness) {
			stopped, cancel := context.WithCancel(context.Background())
			cancel()
			h.stopping.Go(func() { h.agents[0].Run(stopped, context.Background()) })
		}},
		{name: "copy hangs", fault: func(h *harness) { h.copies[0].SetFaults(upstream.FaultsDoc{Hang: true}) }, unknown: true},
		{name: "copy sheds", fault: func(h *harness) { h.copies[0].SetFaults(upstream.FaultsDoc{Shed: true}) }},
		{name: "copy turns cold", fault: func(h *harness) { h.copies[0].SetFaults(upstream.FaultsDoc{ResetToCold: true}) }, unknown: true},
		{name: "copies die", fault: func(h *harness) {
			for _, s := range h.servers {
				s.CloseClientConnections()
			}
			_ = h.servers[0].Listener.Close()
		}, broken: true, unknown: true, work: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 3, 3, func(o *upstream.Options) { o.WorkDuration = max(o.WorkDuration, tt.work) })
			time.AfterFunc(faultTestDuration/2, func() { tt.fault(h) })
			report := h.runCallers(faultTestDuration, nil)
			if tt.broken {
				report.Streams.Broken, report.Streams.Gaps = 0, 0
			}
			h.checkInvariants(report)
			for _, doc := range []caller.RequestsDoc{report.Repeatable, report.Once} {
				if !tt.unknown && doc.Answered+doc.NotRun+doc.CopyErrors != doc.Sent {
					t.Errorf("%+v", report)
				}
			}
			if tt.check != nil {
				tt.check(t, h, report)
			}
		})
	}
}
