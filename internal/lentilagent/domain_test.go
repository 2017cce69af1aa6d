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

// TestDomainOutAndBack takes a failure domain out, brings it back, and takes the other
// one out, so that all new flows have to go to the one that came back.
func TestDomainOutAndBack(t *testing.T) {
	p := newHarness(t, 2, 2, nil)
	out := func(first, second bool) {
		p.configure(func(d *lentilconfig.Document) { d.Domains[0].Out, d.Domains[1].Out = first, second })
	}
	out(false, true)
	shut := p.agents[1].frontend.listener
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := shut.Accept(ctx); !errors.Is(err, quic.ErrServerClosed) {
		t.Errorf("the listener of the failure domain that is out still takes connections: %v", err)
	}
	report := p.runCallers(time.Second, nil)
	if report.Copies["copy-1"] == 0 || report.Copies["copy-2"] != 0 {
		t.Errorf("while out: %v", report.Copies)
	}
	out(false, false)
	out(true, false)
	report = p.runCallers(time.Second, func(o *caller.Options) { o.Name = "back" })
	if report.Copies["copy-2"] == 0 || report.Copies["copy-1"] != 0 {
		t.Errorf("after it came back: %v", report.Copies)
	}
	p.checkInvariants(report)
}

// TestDomainOutDuringHandshakes takes a failure domain out again and again while callers
// open connections. A connection in its handshake can't be told why it ends (RFC 9000,
// section 10.2.3), but its refusal says that nothing on it ran, so nothing fails.
func TestDomainOutDuringHandshakes(t *testing.T) {
	const rounds, every = 8, 150 * time.Millisecond
	p := newHarness(t, 1, 2, nil)
	var report caller.ReportDoc
	var calls sync.WaitGroup
	calls.Go(func() {
		report = p.runCallers(2*rounds*every, func(o *caller.Options) {
			o.Connections, o.Streams, o.Repeatable, o.Once, o.Reconnect = 24, 0, 0, 200, time.Millisecond
		})
	})
	for round := range 2 * rounds {
		time.Sleep(every)
		p.configure(func(d *lentilconfig.Document) { d.Domains[1].Out = round%2 == 0 })
	}
	calls.Wait()
	if report.Once.Failed > report.Once.GivenUp || report.Once.Answered == 0 {
		t.Errorf("%d failed, %d of them with the reason: %v", report.Once.Failed, report.Once.GivenUp, report.Faults)
	}
	p.checkInvariants(report)
}
