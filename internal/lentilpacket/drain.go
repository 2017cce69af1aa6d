package lentilpacket

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilframe"
	"lentilstair.example/lentilstair/pkg/lentildrain"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// drainTickInterval is how often a stopping balancer checks how far its stop has got. It is short beside the half second
// between two probes.
const drainTickInterval = 20 * time.Millisecond

// runDrain leaves the routers' rotation, and returns when the balancer may end or when forced ends.
func (b *Balancer) runDrain(forced context.Context) {
	ticker := time.NewTicker(drainTickInterval)
	defer ticker.Stop()
	b.mu.Lock()
	b.drain.Start()
	b.mu.Unlock()
	for b.tickDrain() != lentildrain.Ended {
		select {
		case <-ticker.C:
		case <-forced.Done():
			return
		}
	}
}

// withdrawTimeout bounds the time that a stopped balancer takes to withdraw its entry.
const withdrawTimeout = 500 * time.Millisecond

// withdrawEntry removes the entry of the balancer from the store. It may not come back, and entries of balancers that have ended would make
// up more and more of the list. Agents that start don't introduce themselves to a balancer without an entry, so it must not get packets any more.
func (b *Balancer) withdrawEntry(forced context.Context, self Peer) {
	ctx, cancel := context.WithTimeout(forced, withdrawTimeout)
	defer cancel()
	if err := b.Store.Balancers.Withdraw(ctx, self); err != nil {
		b.Logger.Write(lentilevent.StoreLost, lentilevent.Str("what", "withdraw"), lentilevent.Err(err))
	}
}

// tickDrain asks for a permit if a request is due, and returns the phase of the stop.
func (b *Balancer) tickDrain() (phase lentildrain.Phase) {
	before := lentildrain.Serving
	defer func() {
		if before != lentildrain.Draining && phase == lentildrain.Draining {
			// Agents choose another writer for their ledgers.
			b.sendHelloToAll()
		}
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	before = b.drain.Phase()
	if number, due := b.drain.NextRequest(); due {
		if arbiter, ok := b.placer.StopArbiter(number); ok {
			m := lentilflow.StopRequest{Name: b.Settings.Name(), Domain: b.Settings.Domain(), RunID: b.runID}
			b.send(lentilframe.AppendStopRequest(b.frameBuffer[:0], m), arbiter)
		}
	}
	b.drain.Advance()
	if phase = b.drain.Phase(); phase != before {
		b.Logger.Write(lentilevent.DrainAdvanced, lentilevent.Str("phase", phase.String()), lentilevent.Str("cause", b.drain.Cause().String()))
	}
	return phase
}
