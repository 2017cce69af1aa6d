package lentilagent

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// TestDomainOutAndBack takes a failure domain out and brings it back: its copy is
// used again, and a listener that was shut ends its accept loop.
func TestDomainOutAndBack(t *testing.T) {
	p := newPath(t, 2, 2, nil)
	out := func(out bool) {
		p.configure(func(d *lentilconfig.Document) { d.Domains[1].Out = out })
	}
	out(true)
	shut := p.agents[1].web.listener
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := shut.Accept(ctx); !errors.Is(err, quic.ErrServerClosed) {
		t.Errorf("the listener of the failure domain that is out still takes connections: %v", err)
	}
	report := p.call(time.Second, nil)
	if report.Copies["copy-1"] == 0 || report.Copies["copy-2"] != 0 {
		t.Errorf("while out: %v", report.Copies)
	}
	out(false)
	// A cold copy gets a tenth of the new connections, so many are opened.
	report = p.call(2*time.Second, func(o *caller.Options) { o.Name, o.Connections, o.Repeatable = "back", 200, 100 })
	if report.Copies["copy-2"] == 0 {
		t.Errorf("after it came back: %v", report.Copies)
	}
	p.checkPromises(report)
}
