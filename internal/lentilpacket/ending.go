package lentilpacket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilcustody"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// stop tells the balancers and goes on for a moment. Balancers that start while it is away learn from its
// entry that it was asked to end. An agent whose upstream has ended is not needed again under its name; it
// goes on resetting the flows that its clients still hold for open.
func (a *Agent) stop(forced context.Context, self Peer) {
	a.handleEvent(a.tracker.Stop)
	if a.upstreamPhase() == lentilflow.Unheard {
		// An upstream that went on leaving while its agent was away has told this run nothing.
		a.probeUpstream()
	}
	gone := a.upstreamPhase() == lentilflow.Gone
	pause, what := handoverDelay, "mark"
	tell := func(ctx context.Context) error {
		self.Stopping = true
		return a.Store.Agents.Publish(ctx, self)
	}
	if gone {
		pause, what = min(lingerLimit, a.Settings.StopGrace()), "withdraw"
		tell = func(ctx context.Context) error { return a.Store.Agents.Withdraw(ctx, self.Node.Name) }
	}
	limited, cancel := context.WithTimeout(forced, pause)
	defer cancel()
	if err := tell(limited); err != nil {
		a.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", what), lentilevent.Err(err))
	}
	<-limited.Done()
}

// probeUpstream looks whether something still listens at the upstream's address. It makes no request.
func (a *Agent) probeUpstream() {
	select {
	case <-time.After(probeDelay):
	case <-a.ctx.Done():
		return
	}
	dialer := net.Dialer{Timeout: checkTimeout}
	conn, err := dialer.DialContext(a.ctx, "tcp4", a.Settings.UpstreamAddress().String())
	seen := lentilcustody.ProbeTimedOut
	switch {
	case err == nil:
		seen = lentilcustody.ProbeAccepted
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		seen = lentilcustody.ProbeRefused
	}
	a.handleEvent(func(actions []lentilcustody.Action) []lentilcustody.Action {
		return a.tracker.HandleProbeResult(seen, actions)
	})
}
