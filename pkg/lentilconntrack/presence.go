package lentilconntrack

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Whether the agent's own upstream has its address. Addresses of upstreams that have ended are used again, also by other services,
// and a packet doesn't say who gets it. So the agent passes first packets on only for as long after the last sign of its upstream as
// the address can't have changed hands.

// upstreamKnown reports whether the agent's own upstream certainly has its address: it has registered with this run of the agent,
// and was heard of so recently that the address can't have gone to another service. Only then it gets first packets of flows.
func (t *Tracker) upstreamKnown(now time.Time) bool {
	u := &t.upstream
	return u.id != "" && (t.AddressReuse == 0 || now.Sub(u.seenAt) < max(t.AddressReuse-pauseThreshold-reuseMargin, t.RenewInterval+reuseMargin))
}

// recordSeen records that the upstream was there at the time at, since it sent a message then that is read now. One that is read right
// after a pause of the agent may have waited all the while. Shorter pauses aren't noticed; upstreamKnown allows for one.
func (t *Tracker) recordSeen(now, at time.Time) {
	if t.justResumed(now) && t.pausedAt.Before(at) {
		at = t.pausedAt
	}
	if at.After(t.upstream.seenAt) {
		t.upstream.seenAt = at
	}
}

// upstreamPresent reports whether the agent's own upstream is registered and certainly has its address.
func (t *Tracker) upstreamPresent(now time.Time) bool {
	return (t.upstream.phase == lentilflow.Ready || t.upstream.phase == lentilflow.Draining) && t.upstreamKnown(now)
}

// contest is the state of an address at which an upstream of another service has registered while the agent's own wasn't known.
// Registrations of the agent's upstream may then have been delayed until after their sender has ended.
type contest struct {
	contested bool
	// incarnation is the latest start of the other upstreams.
	incarnation int64
}

// begin records a registration of an upstream of another service.
func (c *contest) begin(r Registration) {
	c.contested, c.incarnation = true, max(c.incarnation, r.Incarnation)
}

// settledBy reports whether a registration, the last one of the cadence, shows that the agent's own upstream has the address. After one of
// another service it takes two, as far apart as they were sent. It takes more if the other upstream has started later, or doesn't tell.
func (c *contest) settledBy(r Registration, last *cadence) bool {
	if !c.contested {
		return true
	}
	need := 1
	if r.Incarnation <= c.incarnation {
		need = confirmCount
	}
	return last.regular >= need && !last.late()
}

// recordOtherService records that an upstream of another service has registered with the agent. It says nothing new while the agent's own
// one certainly has the address.
func (t *Tracker) recordOtherService(now time.Time, r Registration, actions []Action) []Action {
	if t.upstreamPresent(now) {
		return actions
	}
	if r.Incarnation == 0 || r.Incarnation >= t.cadence.incarnation {
		t.cadence.interrupt(now, r.Service, t.RenewInterval)
	}
	began := !t.contest.contested
	t.contest.begin(r)
	if began {
		actions = append(actions, Action{Kind: ReportStateChange, Cause: AddressContested, Service: r.Service})
	}
	return actions
}

// observeCadence records when a registration of the agent's own service was sent.
func (t *Tracker) observeCadence(now time.Time, r Registration) {
	c := &t.cadence
	for _, known := range []cadence{t.upstream.otherRun, t.upstream.displaced} {
		if known.isOf(r) {
			*c = known
			return
		}
	}
	isNew := !c.isOf(r)
	c.observe(now, r, t.RenewInterval, t.justResumed(now))
	if isNew && r.Incarnation != 0 && r.Incarnation < t.refusedSince.UnixMilli() {
		// The run has ended by then: what it sent is read late.
		c.recordEnd(t.refusedSince)
		c.sentAt = t.refusedSince
	}
}

// observePause records that the agent goes on after a pause.
func (t *Tracker) observePause(now time.Time) {
	ranAt := t.lastTick
	if ranAt.IsZero() {
		ranAt = t.startedAt
	}
	if now.Sub(ranAt) <= pauseThreshold || t.resumedAt.After(ranAt) {
		return
	}
	if !t.justResumed(ranAt) {
		// Otherwise what has waited since the pause before may still be unread.
		t.pausedAt = ranAt
	}
	t.resumedAt = now
}

// justResumed reports whether messages that have waited during a pause of the agent may still be read. Short pauses since then don't
// count for that time.
func (t *Tracker) justResumed(now time.Time) bool {
	return !t.resumedAt.IsZero() && now.Sub(t.resumedAt)-t.shortPause(now) < resumeTime
}

// shortPause returns how long the agent has been paused since its last tick, if that was after its last pause. Half the margin counts as
// running, so that the time after a pause ends also while all ticks are late.
func (t *Tracker) shortPause(now time.Time) time.Duration {
	if gap := now.Sub(t.lastTick); gap > reuseMargin && !t.lastTick.Before(t.resumedAt) {
		return gap - reuseMargin/2
	}
	return 0
}

// recordShortPause leaves a short pause before a tick out of the time after the last pause.
func (t *Tracker) recordShortPause(now time.Time) {
	if t.justResumed(now) {
		t.resumedAt = t.resumedAt.Add(t.shortPause(now))
	}
}
