package lentilagent

import (
	"context"
	"time"
)

const (
	// idlePollInterval is how often a planned stop looks whether everything has ended.
	idlePollInterval = 20 * time.Millisecond
	// idleLinger is how long connections stay after their last request, so that the
	// end of the last answer arrives even if its packets are lost a few times.
	idleLinger = time.Second
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
		a.frontend.closeAll()
		return
	}
	a.notify(copyTurnedCold{})
	// Taking connections again fails only while the agent is being closed.
	_ = a.listen()
}

// setDraining begins to send callers elsewhere, or ends it. Streams go on.
func (a *Agent) setDraining(draining bool) {
	if a.draining.Swap(draining) == draining {
		return
	}
	a.notify(drainingChanged{draining: draining})
	if draining {
		a.sendGoAway()
	}
}

// sendGoAway tells callers by GOAWAY to send new requests over new connections.
// Those that come here nevertheless are refused or passed to a peer.
func (a *Agent) sendGoAway() {
	old := a.frontend.swapServer(a.newServer())
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
	poll := time.NewTicker(idlePollInterval)
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
			if time.Since(quietSince) >= idleLinger {
				return
			}
		}
	}
}

// Close ends everything at once. Further calls do nothing.
func (a *Agent) Close() { a.closeOnce.Do(a.close) }

// close ends everything.
func (a *Agent) close() {
	if a.stopWorkers != nil {
		a.stopWorkers()
	}
	if a.frontend != nil {
		a.frontend.closeAll()
	}
	if a.controlServer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if a.controlServer.Shutdown(ctx) != nil {
			_ = a.controlServer.Close()
		}
	}
	if a.quicTransport != nil {
		_ = a.quicTransport.Close()
	}
	_ = a.flowConn.Close()
	_ = a.tunnelConn.Close()
	a.workers.Wait()
	if a.actorSystem != nil {
		a.actorSystem.Root.Stop(a.coordinator)
		a.actorSystem.Shutdown()
	}
}

// runTimers drives what happens by time.
func (a *Agent) runTimers(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	looked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.notify(tick{})
			a.announce()
			if time.Since(looked) >= certificateCheckInterval {
				looked = time.Now()
				a.reloadChangedCertificate()
			}
		}
	}
}

// reloadChangedCertificate reads the certificate anew if its files have changed.
func (a *Agent) reloadChangedCertificate() {
	if a.certificate.filesChanged() {
		a.options.OnCertificate(a.certificate.load())
	}
}
