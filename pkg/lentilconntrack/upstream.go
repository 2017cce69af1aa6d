package lentilconntrack

import (
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Registration is the state that an upstream reports to its agent, at its start and then at regular intervals.
type Registration struct {
	// ID names the upstream.
	ID string
	// Incarnation is when the run of the upstream started, in milliseconds of Unix time by the clock that the agent's
	// machine shares with it. Later runs have higher values. Zero means that it isn't known.
	Incarnation int64
	// Sequence increases with each registration of a run, so that one that arrives late can be detected.
	Sequence int64
	// Service is the service that the upstream claims to belong to.
	Service string
	// Address is where the upstream says that it is reached.
	Address netip.AddrPort
	// Draining is set when the upstream is about to leave.
	Draining bool
	// ColdFor is how long the upstream still has less than its usual capacity.
	ColdFor time.Duration
	// Slots is the number of requests that the upstream processes at once.
	Slots int
}

// firstSequence is the sequence of the first registration of a run.
const firstSequence = 1

// upstream is the tracked state of the agent's upstream.
type upstream struct {
	phase lentilflow.Phase
	// ended is set while the upstream is known to have ended. It is not set if its registration is only overdue.
	ended bool
	// deregistered is set from a deregistration until the next registration.
	deregistered bool
	id           string
	incarnation  int64
	sequence     int64
	slots        int
	// receivedAt is the time of the last registration. registeredAt is moved on by the pauses of the agent since then.
	receivedAt, registeredAt time.Time
	// seenAt is when the upstream last registered or sent a packet of a flow that it holds, at the earliest.
	seenAt    time.Time
	coldUntil time.Time
	// coldStateKnown is false while the upstream may have become cold and hasn't registered since.
	coldStateKnown bool
	// otherRun has the registrations of a run that seems to be older than the registered one.
	otherRun cadence
	// displaced has those of the run before, as long as it isn't known to have ended: another writer may have registered in its place.
	displaced cadence
	// rival has those of a run that registered while the registered one went on.
	rival cadence
}

// cold reports whether the upstream has, or may have, less than its usual capacity.
func (u *upstream) cold(now time.Time) bool { return !u.coldStateKnown || now.Before(u.coldUntil) }

// Register handles a registration. It is in effect when Register returns, unless it is ignored: if it is of another service, of a run
// that has ended or that registers beside the upstream, or if it doesn't settle a contest of the address.
func (t *Tracker) Register(r Registration, actions []Action) []Action {
	u, now := &t.upstream, t.now()
	t.observePause(now)
	if r.Service != t.Service {
		return t.recordOtherService(now, r, actions)
	}
	if !t.mayBeInEffect(now, r) {
		return actions
	}
	previous := t.cadence
	t.observeCadence(now, r)
	if !t.upstreamPresent(now) && !t.contest.settledBy(r, &t.cadence) {
		t.ignoredRegistrations++
		return actions
	}
	t.contest = contest{}
	t.cadence.settle()
	registered := u.id != ""
	sameRun := registered && u.id == r.ID && u.incarnation == r.Incarnation
	previousPhase := u.phase
	if !registered && r.Sequence <= firstSequence {
		// No run of the agent has had a registration of this run of the upstream before.
		t.concludeFlowsComplete(now, r.Incarnation, r.Sequence)
	}
	goesOn := u.displaced.isOf(r)
	if registered && !sameRun {
		actions = t.replaceRun(now, r, previous, actions)
	}
	u.id, u.incarnation, u.sequence, u.otherRun = r.ID, r.Incarnation, r.Sequence, cadence{}
	t.recordSeen(now, t.cadence.seenAt)
	u.receivedAt, u.registeredAt, u.slots, u.coldStateKnown, u.coldUntil = now, now, r.Slots, !goesOn, now.Add(r.ColdFor)
	u.phase, u.ended, u.deregistered = lentilflow.Ready, false, false
	switch {
	case r.Draining:
		u.phase = lentilflow.Draining
	case !t.upstreamKnown(now):
		// The registration is late, and the upstream may have ended since.
		u.phase = lentilflow.Gone
	}
	t.queue.SetSlots(r.Slots)
	if !sameRun {
		t.probing = false
		t.upstreamRuns++
		t.breaker.Reset()
		t.meter.forgetServiceTime()
		t.runMarkerDue = true
	}
	t.runMarkerDue = t.runMarkerDue && r.Sequence <= maxStartupSequence
	actions = t.admitWaiting(now, t.applyPreviousLedger(actions))
	switch {
	case u.phase != previousPhase && r.Draining:
		return t.announceChange(UpstreamLeaving, actions)
	case u.phase == lentilflow.Gone && sameRun && previousPhase == lentilflow.Gone:
		return append(actions, Action{Kind: ReportStateChange, Cause: RegistrationLate})
	case u.phase == lentilflow.Gone:
		return t.announceChange(RegistrationLate, actions)
	case u.phase != previousPhase || !sameRun:
		return t.announceChange(UpstreamRegistered, actions)
	}
	return actions
}

// startSlack is by how much an upstream may start before the agent when their machine starts. It is less than the time in
// which an agent that has ended is started again.
const startSlack = 100 * time.Millisecond

// concludeFlowsComplete sets FlowsComplete if no earlier run of the agent can have let flows open at the run of the upstream that
// has started at incarnation, and has registered at the given time with the given sequence.
//
// By the time of day, the upstream then hasn't started before the agent. That alone shows nothing, since the time of day may have
// jumped back in between, so the agent must also have been running since before the upstream registered for the first time.
func (t *Tracker) concludeFlowsComplete(registeredAt time.Time, incarnation, sequence int64) {
	if incarnation == 0 || incarnation < t.startedAt.Add(-startSlack).UnixMilli() {
		return
	}
	sinceFirst := time.Duration(sequence-firstSequence) * (t.RenewInterval + reuseMargin)
	if sequence <= firstSequence || t.RenewInterval > 0 && registeredAt.Sub(t.startedAt) >= sinceFirst {
		t.FlowsComplete = true
	}
}

// stale reports whether a registration is older than the last one in effect. Incarnations come from the time of day,
// which may jump back. So a run that seems older is accepted once it registers again, as long after its last registration as
// it was sent, while the registered run is overdue.
func (t *Tracker) stale(now time.Time, r Registration) bool {
	u := &t.upstream
	if r.ID == u.id && r.Incarnation == u.incarnation {
		return r.Sequence <= u.sequence
	}
	if r.Incarnation > u.incarnation {
		return false
	}
	u.otherRun.observe(now, r, t.RenewInterval, t.justResumed(now))
	return !t.overdue(now) || u.otherRun.regular == 0
}

// overdue reports whether the upstream's registration wasn't renewed in time.
func (t *Tracker) overdue(now time.Time) bool {
	return t.RenewInterval > 0 && now.Sub(t.upstream.registeredAt) > overdueAfter(t.RenewInterval)
}

// overdueAfter returns the time after a registration from which on the next one is overdue.
func overdueAfter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * overdueIntervals)
}

// LastRegistration returns the upstream's ID and the sequence of its last registration.
func (t *Tracker) LastRegistration() (id string, sequence int64) {
	return t.upstream.id, t.upstream.sequence
}

// Deregister handles the deregistration of an upstream that is about to exit.
func (t *Tracker) Deregister(id string, actions []Action) []Action {
	if t.upstream.id != id || t.upstream.phase == lentilflow.Gone {
		return actions
	}
	t.upstream.phase, t.upstream.deregistered = lentilflow.Gone, true
	// The flows are reset once a probe shows that nothing listens at the upstream's address any more.
	t.probing = true
	actions = t.admitWaiting(t.now(), actions)
	return append(t.announceChange(UpstreamLeft, actions), Action{Kind: ProbeUpstream})
}

// SetOut sets whether operators have taken the agent's failure domain out of service. When the domain comes back, the
// upstream counts as cold until it registers again.
func (t *Tracker) SetOut(out bool, actions []Action) []Action {
	if t.out == out {
		return actions
	}
	t.out = out
	if !out {
		t.upstream.coldStateKnown = false
	}
	return t.announceChange(DomainChanged, t.admitWaiting(t.now(), actions))
}

// Stop records that the agent was asked to stop. From then on it refuses new flows.
func (t *Tracker) Stop(actions []Action) []Action {
	t.stopping = true
	return t.announceChange(StopAsked, t.admitWaiting(t.now(), actions))
}

// ProbeResult is the result of a connection attempt to the upstream's address.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeAccepted means that the connection was accepted.
	ProbeAccepted ProbeResult = iota
	// ProbeRefused means that the machine refused the connection, since nothing listens at the address.
	ProbeRefused
	// ProbeTimedOut means that there was no answer in time.
	ProbeTimedOut
)

// Probe identifies a probe of the upstream.
type Probe struct {
	// run counts the runs of the upstream that had registered when the probe began, and begunAt is when that was.
	run     uint64
	begunAt time.Time
}

// BeginProbe returns the probe that begins now.
func (t *Tracker) BeginProbe() Probe { return Probe{run: t.upstreamRuns, begunAt: t.now()} }

// HandleProbeResult handles the result of a ProbeUpstream action. It is ignored if another run of the upstream has registered since
// the probe began.
func (t *Tracker) HandleProbeResult(result ProbeResult, probe Probe, actions []Action) []Action {
	if probe.run != t.upstreamRuns {
		return actions
	}
	t.probing = false
	if result == ProbeAccepted {
		t.refusedSince = time.Time{}
	}
	switch {
	case result == ProbeAccepted && t.upstream.deregistered:
		// The upstream has deregistered and hasn't exited yet.
		t.probing = true
		return append(actions, Action{Kind: ProbeUpstream})
	case result == ProbeAccepted:
		t.clearUnanswered()
		return actions
	case result == ProbeTimedOut && t.upstream.phase == lentilflow.Unheard && t.unanswered == 0:
		// The probe was for the restored ledger. An upstream that hangs may still hold its flows.
		return actions
	}
	cause := UpstreamSilent
	if result == ProbeRefused {
		cause = UpstreamRefused
		if t.refusedSince.IsZero() {
			t.refusedSince = probe.begunAt
		}
		if u := &t.upstream; t.cadence.isOf(Registration{ID: u.id, Incarnation: u.incarnation}) {
			t.cadence.recordEnd(probe.begunAt)
		}
		t.upstream.seenAt = time.Time{}
		actions = t.resetPreviousLedger(cause, actions)
	}
	return t.setUpstreamEnded(cause, probe, actions)
}

// UpstreamEnded reports whether the upstream is known to have ended. One whose registration is overdue isn't.
func (t *Tracker) UpstreamEnded() bool { return t.upstream.ended }

// HandlePacketRefused asks for a probe after the upstream's machine has refused a packet.
func (t *Tracker) HandlePacketRefused(actions []Action) []Action {
	if t.probing {
		return actions
	}
	t.probing = true
	return append(actions, Action{Kind: ProbeUpstream})
}

// setUpstreamEnded marks the upstream as ended until it registers again, and resets its flows. Those of which it has sent a packet since
// the probe began are the next run's, which may accept flows before it registers.
func (t *Tracker) setUpstreamEnded(cause Cause, probe Probe, actions []Action) []Action {
	t.clearUnanswered()
	previousPhase := t.upstream.phase
	t.upstream.phase, t.upstream.ended = lentilflow.Gone, true
	if previousPhase != lentilflow.Gone {
		actions = t.announceChange(cause, actions)
	}
	return t.resetFlows(cause, func(f *flow) bool { return f.heardAt.After(probe.begunAt) }, actions)
}

// resetFlows marks all flows as lost after their upstream has gone, and resets the clients of those that it held.
// It returns the first packets of flows that the upstream hadn't accepted. It denies the unverified flows: whether
// the upstream held one isn't known, and another agent may hold it. Flows of another run of the upstream, as isNext says, are left alone.
func (t *Tracker) resetFlows(cause Cause, isNext func(f *flow) bool, actions []Action) []Action {
	for key, f := range t.flows {
		switch {
		case f.state == closed || f.state == lost || isNext(f):
			continue
		case f.state == unverified:
			actions = t.denyFlow(t.now(), key, f, actions)
			continue
		case f.firstPacket != nil:
			actions = t.returnFirstPacket(key, lentilflow.NoUpstream, actions)
			continue
		}
		actions = append(actions, Action{Kind: ResetClient, Cause: cause, Key: key, Sequence: f.acknowledged})
		t.setState(f, lost)
		f.lastUsed = t.now()
	}
	return actions
}

// usedSince reports whether the upstream has sent a packet of the flow since a time in milliseconds of Unix time or, if
// it hasn't confirmed the flow, has got one. It is false if the time is zero.
func (f *flow) usedSince(unixMilli int64) bool {
	used := f.heardAt
	if f.state == unverified || f.state == halfOpen && !f.waiting {
		used = f.lastUsed
	}
	return unixMilli != 0 && used.UnixMilli() >= unixMilli
}

// expectReply counts a packet to the upstream that needs an answer.
func (t *Tracker) expectReply(now time.Time) {
	if t.unanswered == 0 {
		t.unansweredSince = now
	}
	t.unanswered++
}

// clearUnanswered restarts the count of unanswered packets after the upstream has sent a packet, has accepted a
// probe or has ended.
func (t *Tracker) clearUnanswered() { t.unanswered = 0 }

// Tick probes an unresponsive upstream, marks an overdue one as gone, reports a change of the cold state, removes
// expired flows and sends due statuses. Call it several times a second.
func (t *Tracker) Tick(actions []Action) []Action {
	now := t.now()
	t.observePause(now)
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseThreshold {
		// After the agent's own pause, answers and registrations may still be waiting to be read.
		t.unansweredSince = now
		t.upstream.registeredAt = t.upstream.registeredAt.Add(now.Sub(t.lastTick))
	}
	t.recordShortPause(now)
	t.lastTick = now
	t.meter.advance(now, t.requestsInFlight+t.queue.Waiting())
	if t.unanswered >= minUnanswered && now.Sub(t.unansweredSince) >= unansweredTimeout && !t.probing && t.upstream.phase != lentilflow.Gone {
		t.probing = true
		actions = append(actions, Action{Kind: ProbeUpstream})
	}
	if wasCold := t.lastCold; wasCold != t.Cold() {
		t.lastCold = !wasCold
		actions = t.announceChange(ColdChanged, actions)
	}
	if phase := t.upstream.phase; (phase == lentilflow.Ready || phase == lentilflow.Draining) && (t.overdue(now) || !t.upstreamKnown(now)) {
		t.upstream.phase = lentilflow.Gone
		actions = t.announceChange(UpstreamOverdue, actions)
	}
	if now.Sub(t.lastSweep) >= sweepInterval {
		t.lastSweep = now
		t.sweep(now)
	}
	return t.sendDueStatuses(now, t.admitWaiting(now, t.tickBalancers(now, t.tickDisplaced(now, actions))))
}

// sweep removes flows that weren't used for longer than the timeout of their state, counts the idle ones, and stops
// counting requests without an answer.
func (t *Tracker) sweep(now time.Time) {
	idleTimeout := t.IdleTimeout
	if idleTimeout == 0 {
		idleTimeout = lentilflow.DefaultIdleTimeout
	}
	timeouts := [...]time.Duration{unverified: halfOpenTimeout, halfOpen: halfOpenTimeout, open: idleTimeout, closed: closedTimeout, lost: closedTimeout}
	t.idleFlows = 0
	for _, r := range t.routes {
		r.advance(now)
		r.idle = 0
	}
	for key, f := range t.flows {
		if f.state == open && !f.requestInFlight && now.Sub(f.lastUsed) > idleFlowAge {
			t.idleFlows++
			if f.route != nil {
				f.route.idle++
			}
		}
		if f.requestInFlight && now.Sub(f.requestAt) > requestTimeout {
			t.setRequestInFlight(f, false)
		}
		if now.Sub(f.lastUsed) > timeouts[f.state] {
			t.removeFlow(key)
		}
	}
}
