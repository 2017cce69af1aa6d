package lentilconntrack

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Which of two runs that register is the upstream. Only one can use an address, so a later run shows that the one before has ended, and
// what the earlier one sends is read late; unless another writer sends registrations beside the upstream.
//
// A later run counts at once. The one before is displaced: its flows are reset when its next registration is overdue. If it registers
// twice more before, it counts again, and the other one is its rival, whose registrations are ignored.

// mayBeInEffect reports whether a registration of the agent's own service isn't of a run that has ended, or that registers beside
// the upstream.
func (t *Tracker) mayBeInEffect(now time.Time, r Registration) bool {
	u := &t.upstream
	switch {
	case u.rival.isOf(r) && !t.overdue(now):
		return false
	case u.displaced.isOf(r):
		return t.displacedGoesOn(now, r)
	case u.id != "" && t.stale(now, r):
		if r.ID != u.id || r.Incarnation != u.incarnation {
			// It may be of the next run after the time of day has jumped back, and that one may be cold.
			u.coldStateKnown = false
		}
		return false
	}
	return !t.contest.contested || !t.cadence.supersedes(now, r, t.RenewInterval)
}

// replaceRun handles that another run than the registered one takes its place. previous is the cadence of the registered one.
func (t *Tracker) replaceRun(now time.Time, r Registration, previous cadence, actions []Action) []Action {
	u := &t.upstream
	if u.displaced.isOf(r) {
		u.rival, u.displaced = previous, cadence{}
		return actions
	}
	u.rival = cadence{}
	if d := &u.displaced; !d.receivedAt.IsZero() && !t.displacedOverdue(now, d) {
		// It still has the flows of the runs that registered since.
		return actions
	}
	actions = t.endDisplaced(actions)
	if r.ID != u.id && t.mayGoOn(now, &previous) {
		u.displaced = previous
		u.displaced.settle()
		u.displaced.restart()
		return actions
	}
	return t.resetReplaced(now, r, actions)
}

// Acknowledges reports whether a registration that Register has just handled may be acknowledged: one that says that the upstream drains
// only if the upstream gets no new flows, and none of another service or of a run that has registered while another one goes on.
func (t *Tracker) Acknowledges(r Registration) bool {
	switch {
	case r.Service != t.Service || t.upstream.rival.isOf(r):
		return false
	case r.Draining:
		return t.upstream.phase != lentilflow.Ready || !t.upstreamKnown(t.now())
	}
	return true
}

// mayGoOn reports whether the run of the upstream that is replaced may be there all the same, since its next registration isn't overdue yet.
func (t *Tracker) mayGoOn(now time.Time, replaced *cadence) bool {
	u := &t.upstream
	isRegistered := replaced.isOf(Registration{ID: u.id, Incarnation: u.incarnation})
	return isRegistered && !u.ended && !u.deregistered && replaced.endedAt.IsZero() && !t.displacedOverdue(now, replaced)
}

// displacedOverdue reports whether the next registration of a run that has been displaced is overdue.
func (t *Tracker) displacedOverdue(now time.Time, run *cadence) bool {
	return t.RenewInterval == 0 || now.Sub(run.receivedAt) > overdueAfter(t.RenewInterval) && !t.justResumed(now)
}

// displacedGoesOn records a registration of the run that has been displaced, and reports whether it shows that the run is there: the
// second one since then, as long after the first one as it was sent. The first one may have been sent before.
func (t *Tracker) displacedGoesOn(now time.Time, r Registration) bool {
	d := &t.upstream.displaced
	if r.Sequence <= d.sequence {
		return false
	}
	d.observe(now, r, t.RenewInterval, t.justResumed(now))
	if t.justResumed(now) {
		d.restart()
	}
	return d.regular > 0 && !d.late()
}

// tickDisplaced resets the flows of the run that has been displaced once its next registration is overdue.
func (t *Tracker) tickDisplaced(now time.Time, actions []Action) []Action {
	if d := &t.upstream.displaced; !d.receivedAt.IsZero() && t.displacedOverdue(now, d) {
		return t.endDisplaced(actions)
	}
	return actions
}

// endDisplaced resets the flows of the run that has been displaced, if there is one.
func (t *Tracker) endDisplaced(actions []Action) []Action {
	u := &t.upstream
	if u.displaced.receivedAt.IsZero() {
		return actions
	}
	u.displaced = cadence{}
	return t.resetReplaced(u.receivedAt, Registration{Incarnation: u.incarnation, Sequence: u.sequence}, actions)
}

// resetReplaced resets the flows of the runs before the one that has registered at a time, since only one upstream can use an
// address. It may have accepted flows before it registered.
func (t *Tracker) resetReplaced(registeredAt time.Time, r Registration, actions []Action) []Action {
	actions = t.resetFlows(UpstreamReplaced, func(f *flow) bool { return f.usedSince(r.Incarnation) }, actions)
	t.concludeFlowsComplete(registeredAt, r.Incarnation, r.Sequence)
	return actions
}
