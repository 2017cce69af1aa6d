package lentilagent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// TestDomainOutAndBack takes a failure domain out of service and brings it back. It then
// takes the other one out of service, so that all new flows must go to the first.
func TestDomainOutAndBack(t *testing.T) {
	h := newHarness(t, 2, 2, nil)
	setOut := func(first, second bool) {
		h.configure(func(d *lentilconfig.Document) { d.Domains[0].Out, d.Domains[1].Out = first, second })
	}
	setOut(false, true)
	closedListener := h.agents[1].frontend.listener
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := closedListener.Accept(ctx); !errors.Is(err, quic.ErrServerClosed) {
		t.Errorf("Accept in the failure domain that is out of service = %v, want ErrServerClosed", err)
	}
	report := h.runCallers(time.Second, nil)
	if report.Copies["copy-1"] == 0 || report.Copies["copy-2"] != 0 {
		t.Errorf("requests per copy while the second failure domain is out of service: %v", report.Copies)
	}
	setOut(false, false)
	setOut(true, false)
	report = h.runCallers(time.Second, func(o *caller.Options) { o.IDPrefix = "back" })
	if report.Copies["copy-2"] == 0 || report.Copies["copy-1"] != 0 {
		t.Errorf("requests per copy after the second failure domain is back: %v", report.Copies)
	}
	h.checkInvariants(report)
}

// TestDomainOutDuringHandshakes repeatedly takes a failure domain out of service while
// callers open connections. A connection that is closed in its handshake can't carry the
// reason (RFC 9000, section 10.2.3). Its refusal still shows that no request ran on it, so
// no request fails.
func TestDomainOutDuringHandshakes(t *testing.T) {
	const rounds, every = 8, 150 * time.Millisecond
	h := newHarness(t, 1, 2, nil)
	var report caller.ReportDoc
	var calls sync.WaitGroup
	calls.Go(func() {
		report = h.runCallers(2*rounds*every, func(o *caller.Options) {
			o.Connections, o.Streams, o.RepeatableRate, o.OnceRate, o.ReconnectInterval = 24, 0, 0, 200, time.Millisecond
		})
	})
	for round := range 2 * rounds {
		time.Sleep(every)
		h.configure(func(d *lentilconfig.Document) { d.Domains[1].Out = round%2 == 0 })
	}
	calls.Wait()
	if report.Once.Failed > report.Once.Abandoned || report.Once.Answered == 0 {
		t.Errorf("%d requests failed, %d of them because the failure domain was out of service: %v", report.Once.Failed, report.Once.Abandoned, report.Faults)
	}
	h.checkInvariants(report)
}
