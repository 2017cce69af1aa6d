package lentilagent

import (
	"context"
	"time"
)

const (
	// idlePoll is how often a planned stop looks whether everything has ended.
	idlePoll = 20 * time.Millisecond
	// linger is how long connections stay after their last request, so that the
	// end of the last answer arrives even if its packets are lost a few times.
	linger = time.Second
	// closeTimeout bounds how long what has ended may take to close.
	closeTimeout = 2 * time.Second
)

// setOut closes every flow when operators take the own failure domain out, and
// counts the copy as cold when they bring it back.
func (a *Agent) setOut(out bool) {
	if a.domainOut.Swap(out) == out {
		return
	}
	if out {
		a.web.closeAll()
		return
	}
	a.tell(cold{})
	// Taking connections again fails only while the agent is being closed.
	_ = a.listen()
}

// setDraining begins to send callers elsewhere, or ends it. Streams go on.
func (a *Agent) setDraining(draining bool) {
	if a.leaving.Swap(draining) == draining {
		return
	}
	a.tell(drain{begin: draining})
	if draining {
		a.sendGoAway()
	}
}

// sendGoAway tells callers by GOAWAY to send new requests over new connections.
// Those that come here nevertheless are refused or passed to a peer.
func (a *Agent) sendGoAway() {
	old := a.web.swap(a.newServer())
	go func() { _ = old.Shutdown(context.Background()) }()
}

// Run serves until ctx ends, then stops without cutting a request: it takes no
// new work, and goes on until what is open has ended, or the drain limit or kill has.
func (a *Agent) Run(ctx, kill context.Context) {
	<-ctx.Done()
	a.setDraining(true)
	a.awaitIdle(kill)
	a.Close()
}

// awaitIdle returns when nothing has been open for a while.
func (a *Agent) awaitIdle(kill context.Context) {
	limit := time.NewTimer(a.options.DrainLimit)
	defer limit.Stop()
	poll := time.NewTicker(idlePoll)
	defer poll.Stop()
	quietSince := time.Now()
	for {
		select {
		case <-kill.Done():
			return
		case <-limit.C:
			return
		case <-poll.C:
			if !a.Idle() {
				quietSince = time.Now()
			}
			if time.Since(quietSince) >= linger {
				return
			}
		}
	}
}

// Close ends everything at once. Further calls do nothing.
func (a *Agent) Close() { a.closing.Do(a.close) }

// close ends everything.
func (a *Agent) close() {
	if a.stop != nil {
		a.stop()
	}
	if a.web != nil {
		a.web.closeAll()
	}
	if a.control != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if a.control.Shutdown(ctx) != nil {
			_ = a.control.Close()
		}
	}
	if a.quic != nil {
		_ = a.quic.Close()
	}
	_ = a.flows.Close()
	_ = a.tunnel.Close()
	a.workers.Wait()
	if a.system != nil {
		a.system.Root.Stop(a.decider)
		a.system.Shutdown()
	}
}

// keepTime drives what happens by time.
func (a *Agent) keepTime(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	looked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.tell(tick{})
			a.announce()
			if time.Since(looked) >= recheck {
				looked = time.Now()
				a.recheckCertificate()
			}
		}
	}
}

// recheckCertificate reads the certificate anew if its files have changed.
func (a *Agent) recheckCertificate() {
	if a.callers.stale() {
		a.options.OnCertificate(a.callers.load())
	}
}
