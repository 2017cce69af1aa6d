package lentilpacket

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilconntrack"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// stop tells the balancers that the agent stops, and keeps it running for a short time. The agent's entry in
// the store is marked as stopping, for balancers that start while it is away.
//
// An agent whose upstream has ended will not return under its name, so its entry is withdrawn instead. Until it
// ends, it resets the flows that clients still consider open.
func (a *Agent) stop(forced context.Context, self Peer) {
	a.handleEvent(a.tracker.Stop)
	if phase, ended := a.upstreamState(); !ended && (phase == lentilflow.Unheard || phase == lentilflow.Gone) {
		// An upstream that left while its agent was away has not registered with this run, and one whose registration
		// is overdue may still hold its flows.
		a.probeUpstream()
	}
	_, gone := a.upstreamState()
	pause, operation := handoverDelay, "mark"
	updateEntry := func(ctx context.Context) error {
		self.Stopping, self.Publication = true, rand.Uint64()
		return a.Store.Agents.Publish(ctx, self)
	}
	if gone {
		pause, operation = min(lingerLimit, a.Settings.StopGrace()), "withdraw"
		updateEntry = func(ctx context.Context) error { return a.Store.Agents.Withdraw(ctx, self) }
	}
	limited, cancel := context.WithTimeout(forced, pause)
	defer cancel()
	if err := updateEntry(limited); err != nil {
		a.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", operation), lentilevent.Err(err))
	}
	<-limited.Done()
}

// probeUpstream checks whether something listens at the upstream's address. It connects over TCP and sends
// nothing.
func (a *Agent) probeUpstream() {
	a.mu.Lock()
	ctx := a.ctx
	a.mu.Unlock()
	select {
	case <-time.After(probeDelay):
	case <-ctx.Done():
		return
	}
	a.mu.Lock()
	probe := a.tracker.BeginProbe()
	a.mu.Unlock()
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", a.Settings.UpstreamAddress().String())
	result := lentilconntrack.ProbeTimedOut
	switch {
	case err == nil:
		result = lentilconntrack.ProbeAccepted
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		result = lentilconntrack.ProbeRefused
	}
	a.handleEvent(func(actions []lentilconntrack.Action) []lentilconntrack.Action {
		return a.tracker.HandleProbeResult(result, probe, actions)
	})
}
