package lentilagent

import (
	"context"
	"time"
)

const (
	// idlePollInterval is how often a planned stop checks whether the agent is idle.
	idlePollInterval = 20 * time.Millisecond
	// idleLinger is how long connections stay open after the last request, so that the end of
	// the last answer arrives even if its packets are lost a few times.
	idleLinger = time.Second
	// closingLinger is how long rejections and the answers to the last requests have to arrive
	// before the connections are closed.
	closingLinger = 300 * time.Millisecond
	// closeTimeout bounds the graceful shutdown of the control server.
	closeTimeout = 2 * time.Second
)

// setOut closes all connections when operators take the agent's failure domain out of
// service. When the failure domain comes back, the copy is treated as cold.
func (a *Agent) setOut(out bool) {
	if a.domainOut.Swap(out) == out {
		return
	}
	if out {
		a.frontend.closeAll()
		return
	}
	a.notify(copyTurnedCold{})
	// listen fails only while the agent is being closed.
	_ = a.listen()
}

// setDraining begins or ends a planned stop, in which callers are sent to other agents.
// Streams go on.
func (a *Agent) setDraining(draining bool) {
	if a.draining.Swap(draining) == draining {
		return
	}
	a.notify(drainingChanged{draining: draining})
	if draining {
		a.sendGoAway()
	}
}

// sendGoAway sends GOAWAY to callers, so that they send new requests over new connections.
// Requests that still reach this agent are refused or relayed to a peer.
func (a *Agent) sendGoAway() {
	previous := a.frontend.swapServer(a.newServer())
	go func() { _ = previous.Shutdown(context.Background()) }()
}

// Run serves until ctx ends, and then drains: it accepts no new work and waits for open
// requests to end. It closes the agent once that is done, the drain limit is reached or kill
// ends.
func (a *Agent) Run(ctx, kill context.Context) {
	<-ctx.Done()
	a.setDraining(true)
	limited, cancel := context.WithTimeout(kill, a.options.DrainLimit)
	defer cancel()
	a.awaitIdle(limited, idleLinger)
	a.closeIdle(limited)
}

// closeIdle closes an idle agent. It first refuses new connections and rejects new requests on
// open ones, so that their callers know that they haven't run, and then waits for requests that
// arrived before.
func (a *Agent) closeIdle(ctx context.Context) {
	a.frontend.closeListener()
	a.sendGoAway()
	a.awaitIdle(ctx, closingLinger)
	a.Close()
}

// awaitIdle returns when the agent has been idle for the time linger, or when ctx ends.
func (a *Agent) awaitIdle(ctx context.Context, linger time.Duration) {
	poll := time.NewTicker(idlePollInterval)
	defer poll.Stop()
	idleSince := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
			if !a.Idle() {
				idleSince = time.Now()
			}
			if time.Since(idleSince) >= linger {
				return
			}
		}
	}
}

// Close closes the agent and its connections at once. Further calls do nothing.
func (a *Agent) Close() { a.closeOnce.Do(a.close) }

// close stops everything that New has started. Some fields are nil if New failed.
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

// runTimers sends ticks to the coordinator, announces the agent's record and checks the
// certificate files, until ctx ends.
func (a *Agent) runTimers(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	certificateChecked := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.notify(tick{})
			a.announce()
			if time.Since(certificateChecked) >= certificateCheckInterval {
				certificateChecked = time.Now()
				a.reloadChangedCertificate()
			}
		}
	}
}

// reloadChangedCertificate reloads the certificate if its files have changed.
func (a *Agent) reloadChangedCertificate() {
	if a.certificate.filesChanged() {
		a.options.OnCertificate(a.certificate.load())
	}
}
