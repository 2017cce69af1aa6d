package lentilcustody

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Registration is what an upstream tells its agent of itself, at its start and regularly.
type Registration struct {
	// ID names the upstream; Born tells its runs under one ID apart, the later has the higher.
	ID          string
	Incarnation int64
	// Sequence increases with each registration of a run, so that a late one shows.
	Sequence int64
	// Service is the service that it says it belongs to.
	Service string
	// Draining says that it is about to leave.
	Draining bool
	// ColdFor is how long it still bears less than usual.
	ColdFor time.Duration
	// Slots is how many requests it works on at once.
	Slots int
}

// firstSequence is the number of the first registration of a run of an upstream.
const firstSequence = 1

// upstream is what the agent knows of its upstream.
type upstream struct {
	phase lentilflow.Phase
	// ended is set once the upstream is known to have ended, not only to be late.
	ended        bool
	id           string
	incarnation  int64
	sequence     int64
	slots        int
	registeredAt time.Time
	coldUntil    time.Time
	// coldStateKnown is false while the upstream may have become cold without having told so yet.
	coldStateKnown bool
	// rival counts registrations of a run that seems to be older, while the present one is overdue.
	otherRunSequence int64
}

func (u *upstream) cold(now time.Time) bool { return !u.coldStateKnown || now.Before(u.coldUntil) }

// Register takes a registration. It is in force for this agent when Register returns.
func (c *Tracker) Register(r Registration, actions []Action) []Action {
	u, now := &c.upstream, c.now()
	known := u.id != ""
	if r.Service != c.Service || (known && c.stale(now, r)) {
		return actions
	}
	same := known && u.id == r.ID && u.incarnation == r.Incarnation
	former := u.phase
	if !known && r.Sequence <= firstSequence {
		// The agent runs since before its upstream could take a flow.
		c.FlowsComplete = true
	}
	if !same && known {
		// The upstream that held the flows has ended: one address has one upstream.
		actions = c.resetFlows(UpstreamReplaced, actions)
		c.FlowsComplete = true
	}
	u.id, u.incarnation, u.sequence, u.otherRunSequence = r.ID, r.Incarnation, r.Sequence, 0
	u.registeredAt, u.slots, u.coldStateKnown, u.coldUntil = now, r.Slots, true, now.Add(r.ColdFor)
	u.phase, u.ended = lentilflow.Ready, false
	if r.Draining {
		u.phase = lentilflow.Draining
	}
	if !same {
		c.runMarkerDue = r.Sequence <= maxStartupSequence
	}
	actions = c.applyPreviousLedger(actions)
	switch {
	case u.phase != former && r.Draining:
		return c.announceChange(UpstreamLeaving, actions)
	case u.phase != former || !same:
		return c.announceChange(UpstreamRegistered, actions)
	}
	return actions
}

// stale reports whether a registration is older than what is known. Times of day may jump, so a
// run that looks older is believed once it has registered again while the present one is overdue.
func (c *Tracker) stale(now time.Time, r Registration) bool {
	u := &c.upstream
	if r.ID == u.id && r.Incarnation == u.incarnation {
		return r.Sequence <= u.sequence
	}
	if r.Incarnation > u.incarnation {
		return false
	}
	if !c.overdue(now) || u.otherRunSequence == 0 || r.Sequence <= u.otherRunSequence {
		u.otherRunSequence = r.Sequence
		return true
	}
	return false
}

func (c *Tracker) overdue(now time.Time) bool {
	limit := time.Duration(float64(c.RenewInterval) * overdueIntervals)
	return limit > 0 && now.Sub(c.upstream.registeredAt) > limit
}

// LastRegistration returns the upstream's ID and the number of its last registration.
func (c *Tracker) LastRegistration() (id string, number int64) {
	return c.upstream.id, c.upstream.sequence
}

// Deregister takes the sign-off of an upstream that is about to exit.
func (c *Tracker) Deregister(id string, actions []Action) []Action {
	if c.upstream.id != id || c.upstream.phase == lentilflow.Gone {
		return actions
	}
	c.upstream.phase = lentilflow.Gone
	// Its flows are reset once nothing listens at its address any more.
	c.probing = true
	return append(c.announceChange(UpstreamLeft, actions), Action{Kind: ProbeUpstream})
}

// SetOut says whether operators have taken the agent's failure domain out. An upstream whose
// domain comes back counts as cold until it has told otherwise.
func (c *Tracker) SetOut(out bool, actions []Action) []Action {
	if c.out == out {
		return actions
	}
	c.out = out
	if !out {
		c.upstream.coldStateKnown = false
	}
	return c.announceChange(DomainChanged, actions)
}

// Stop says that the agent was asked to end.
func (c *Tracker) Stop(actions []Action) []Action {
	c.stopping = true
	return c.announceChange(StopAsked, actions)
}

// ProbeResult is what a connection to the upstream's address has shown.
type ProbeResult uint8

// The outcomes of a check.
const (
	// ProbeAccepted means that something listens.
	ProbeAccepted ProbeResult = iota
	// ProbeRefused means that the machine says that nothing listens.
	ProbeRefused
	// ProbeTimedOut means that there was no answer in time.
	ProbeTimedOut
)

// HandleProbeResult takes the outcome of a Check.
func (c *Tracker) HandleProbeResult(seen ProbeResult, actions []Action) []Action {
	c.probing = false
	leaving := c.upstream.phase == lentilflow.Gone
	switch {
	case seen == ProbeAccepted && leaving:
		// It signed off and is still there for a moment.
		c.probing = true
		return append(actions, Action{Kind: ProbeUpstream})
	case seen == ProbeAccepted:
		c.markUpstreamAlive()
		return actions
	}
	cause := UpstreamSilent
	if seen == ProbeRefused {
		cause = UpstreamRefused
	}
	return c.setUpstreamEnded(cause, actions)
}

// HandlePacketRefused tells that a packet to the upstream was refused by its machine.
func (c *Tracker) HandlePacketRefused(actions []Action) []Action {
	if c.probing {
		return actions
	}
	c.probing = true
	return append(actions, Action{Kind: ProbeUpstream})
}

// setUpstreamEnded marks the upstream as setUpstreamEnded until it registers again.
func (c *Tracker) setUpstreamEnded(cause Cause, actions []Action) []Action {
	c.markUpstreamAlive()
	former := c.upstream.phase
	c.upstream.phase, c.upstream.ended = lentilflow.Gone, true
	if former != lentilflow.Gone {
		actions = c.announceChange(cause, actions)
	}
	return c.resetFlows(cause, actions)
}

// resetFlows resets every flow: the upstream that held them is gone.
func (c *Tracker) resetFlows(cause Cause, actions []Action) []Action {
	for key, f := range c.flows {
		if f.state == closed || f.state == lost {
			continue
		}
		if f.state != unverified {
			actions = append(actions, Action{Kind: ResetClient, Cause: cause, Key: key, Sequence: f.acknowledged})
		}
		c.setState(f, lost)
		f.lastUsed = c.now()
	}
	return actions
}

// expectReply notes that a packet that has to be answered goes to the upstream.
func (c *Tracker) expectReply(now time.Time) {
	if c.unanswered == 0 {
		c.unansweredSince = now
	}
	c.unanswered++
}

// markUpstreamAlive notes that the upstream has shown that it lives.
func (c *Tracker) markUpstreamAlive() { c.unanswered = 0 }

// Tick does what time brings. Call it some times a second.
func (c *Tracker) Tick(actions []Action) []Action {
	now := c.now()
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseThreshold {
		// Answers may be waiting to be read.
		c.unansweredSince = now
		c.upstream.registeredAt = c.upstream.registeredAt.Add(now.Sub(c.lastTick))
	}
	c.lastTick = now
	if c.unanswered >= minUnanswered && now.Sub(c.unansweredSince) >= unansweredTimeout && !c.probing && c.upstream.phase != lentilflow.Gone {
		c.probing = true
		actions = append(actions, Action{Kind: ProbeUpstream})
	}
	if wasCold := c.lastCold; wasCold != c.Cold() {
		c.lastCold = !wasCold
		actions = c.announceChange(ColdChanged, actions)
	}
	if phase := c.upstream.phase; (phase == lentilflow.Ready || phase == lentilflow.Draining) && c.overdue(now) {
		c.upstream.phase = lentilflow.Gone
		actions = c.announceChange(UpstreamOverdue, actions)
	}
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
	return c.sendDueStatuses(now, actions)
}

// sweep forgets flows that have ended or were not used for long.
func (c *Tracker) sweep(now time.Time) {
	life := c.IdleTimeout
	if life == 0 {
		life = lentilflow.DefaultIdleTimeout
	}
	limits := [...]time.Duration{unverified: halfOpenTimeout, halfOpen: halfOpenTimeout, open: life, closed: closedTimeout, lost: closedTimeout}
	for key, f := range c.flows {
		if now.Sub(f.lastUsed) > limits[f.state] {
			c.removeFlow(key)
		}
	}
}
