package lentilconntrack

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilledger"
)

const (
	// minLedgerInterval is the shortest time between two ledgers of an agent, for up to ledgerBaseBalancers
	// balancers.
	minLedgerInterval = 5 * time.Second
	// ledgerBaseBalancers is the number of balancers beyond which the interval grows in proportion, so that
	// the agents of a large site write no more in total.
	ledgerBaseBalancers = 16
	// minExposedLedgerInterval is the shortest time between two ledgers of an agent that are due because of exposed
	// flows, for up to ledgerBaseBalancers balancers. A write takes the store some milliseconds.
	minExposedLedgerInterval = time.Second
	// minLedgerFlowAge is the age from which on a flow is listed in a ledger. Flows of a single request have
	// ended by then, and most flows that last longer are used again.
	minLedgerFlowAge = 2 * time.Second
	// startupTime is the age up to which an upstream's registrations have sequences of at most maxStartupSequence. It
	// is that many intervals of 1.2 s, and one more for registrations that are late.
	startupTime = 5 * time.Second
	// ledgerChurnDivisor gives the share of the listed flows, 1/8, that must have come or gone since the last
	// ledger before the next one is due. Below that share the stored ledger is accurate enough.
	ledgerChurnDivisor = 8
	// maxLedgerFlows bounds the flows in a ledger. A ledger of this many takes 700 KB in the store.
	maxLedgerFlows = 1 << 15
	// maxStartupSequence is the last registration sequence at which an upstream counts as just started. It is
	// more than 1 because machine and agent start together, and an upstream that can't reach its agent yet
	// registers again.
	maxStartupSequence = 3
)

// matches reports whether the ledger was written for the given run of an upstream.
func matches(l *lentilledger.Ledger, u upstream) bool {
	return l.UpstreamID == u.id && l.UpstreamIncarnation == u.incarnation
}

// DueLedger returns the ledger to store now and reports whether one is due. A ledger without flows, the run marker,
// is due with the first flow of a run of the upstream that has just started. It shows a later run of the agent that
// this one may have let flows open at that upstream. A run that isn't new shows it by its registration sequence.
func (t *Tracker) DueLedger() (ledger lentilledger.Ledger, due bool) {
	now := t.now()
	if t.RunMarkerDue() {
		t.runMarkerDue = false
		return t.newLedger(), true
	}
	if t.upstream.id == "" || t.previousLedger != nil || t.churn == 0 || t.LedgerCovered != nil && t.LedgerCovered() {
		return ledger, false
	}
	exposed := now.Sub(t.ledgerWrittenAt) >= t.ledgerInterval(minExposedLedgerInterval) && t.hasExposedFlow(now)
	if !exposed && now.Sub(t.ledgerWrittenAt) < t.ledgerInterval(minLedgerInterval) {
		return ledger, false
	}
	ledger = t.newLedger()
	listed := make(map[lentilflow.Key]bool)
	changes := 0
	for key, f := range t.flows {
		if f.state == open && t.lasts(now, f) && len(ledger.Flows) < maxLedgerFlows {
			ledger.Flows = append(ledger.Flows, lentilledger.Flow{Key: key, Acknowledged: f.acknowledged})
			listed[key] = true
			if !t.ledgerFlows[key] {
				changes++
			}
		}
	}
	for key := range t.ledgerFlows {
		if !listed[key] {
			changes++
		}
	}
	if changes == 0 || !exposed && changes*ledgerChurnDivisor < max(len(listed), len(t.ledgerFlows)) {
		return lentilledger.Ledger{}, false
	}
	t.ledgerWrittenAt, t.churn, t.ledgerFlows = now, 0, listed
	return ledger, true
}

// minReportAge is the age from which on a flow whose requests may not be repeated is reported to the writer of the agent's
// group. Flows of a single request have usually ended by then.
const minReportAge = 200 * time.Millisecond

// CurrentLedger returns the ledger for reports to the writer of the agent's group. ok is false while the upstream or its
// earlier flows aren't known.
func (t *Tracker) CurrentLedger() (ledger lentilledger.Ledger, ok bool) {
	if t.upstream.id == "" || t.previousLedger != nil {
		return ledger, false
	}
	now := t.now()
	ledger = t.newLedger()
	for key, f := range t.flows {
		minAge := minLedgerFlowAge
		if f.nonRepeatable {
			minAge = minReportAge
		}
		if f.state == open && now.Sub(f.openedAt) >= minAge && len(ledger.Flows) < maxLedgerFlows {
			ledger.Flows = append(ledger.Flows, lentilledger.Flow{Key: key, Acknowledged: f.acknowledged})
		}
	}
	return ledger, true
}

// ledgerInterval returns the shortest time between two ledgers, given the one for a small site.
func (t *Tracker) ledgerInterval(small time.Duration) time.Duration {
	return max(small, small*time.Duration(len(t.balancers))/ledgerBaseBalancers)
}

// lasts reports whether an open flow is old enough to be listed in a ledger.
func (t *Tracker) lasts(now time.Time, f *flow) bool {
	minAge := minLedgerFlowAge
	if t.MaxUnlisted > 0 && f.nonRepeatable {
		minAge = min(minAge, t.MaxUnlisted)
	}
	return now.Sub(f.openedAt) >= minAge
}

// hasExposedFlow reports whether a flow whose requests may not be repeated has been open for MaxUnlisted, and isn't
// listed in the last ledger. After a loss of power such a flow is reset only when its client sends the next request,
// which is lost with it.
func (t *Tracker) hasExposedFlow(now time.Time) bool {
	if t.MaxUnlisted == 0 {
		return false
	}
	for key, f := range t.flows {
		if f.state == open && f.nonRepeatable && !t.ledgerFlows[key] && now.Sub(f.openedAt) >= t.MaxUnlisted {
			return true
		}
	}
	return false
}

// RunMarkerDue reports whether the run marker is due. Until it is stored, a later run of the agent can't know that this
// one may have let flows open.
func (t *Tracker) RunMarkerDue() bool { return t.runMarkerDue && t.openFlows+t.halfOpenFlows > 0 }

// LedgerFailed records that a ledger could not be stored. A run marker is due again; a later ledger replaces another one,
// which is due as soon as the interval allows if flows may be exposed.
func (t *Tracker) LedgerFailed(ledger lentilledger.Ledger) {
	if t.MaxUnlisted > 0 {
		t.ledgerFlows = nil
		t.churn++
	}
	if len(ledger.Flows) == 0 && matches(&ledger, t.upstream) && t.upstream.sequence <= maxStartupSequence {
		t.runMarkerDue = true
	}
}

// newLedger returns a ledger of the upstream's run without flows.
func (t *Tracker) newLedger() lentilledger.Ledger {
	return lentilledger.Ledger{Service: t.Service, Address: t.Address, UpstreamID: t.upstream.id, UpstreamIncarnation: t.upstream.incarnation}
}

// Restore takes the ledger that an earlier run of the agent has stored, and the era in which it was read. Its flows
// are open if the same run of the upstream registers, and are reset if another one does. A ledger of another service
// or address is ignored.
func (t *Tracker) Restore(ledger lentilledger.Ledger, era uint64, actions []Action) []Action {
	if ledger.Service != t.Service || ledger.Address != t.Address {
		ledger = lentilledger.Ledger{}
	}
	t.previousLedger, t.previousLedgerEra = &ledger, era
	actions = t.applyPreviousLedger(actions)
	if t.previousLedger != nil && len(ledger.Flows) > 0 && !t.probing {
		// An upstream that was leaving when its VM lost power never registers again.
		t.probing = true
		actions = append(actions, Action{Kind: ProbeUpstream})
	}
	return actions
}

// resetPreviousLedger resets the flows of the restored ledger, whose upstream has ended before one has registered.
func (t *Tracker) resetPreviousLedger(cause Cause, actions []Action) []Action {
	if t.previousLedger == nil {
		return actions
	}
	now := t.now()
	for _, l := range t.previousLedger.Flows {
		if t.flows[l.Key] == nil {
			actions = t.resetListed(now, l, cause, actions)
		}
	}
	t.previousLedger.Flows = nil
	return actions
}

// resetListed resets a flow of the restored ledger.
func (t *Tracker) resetListed(now time.Time, l lentilledger.Flow, cause Cause, actions []Action) []Action {
	f := &flow{acknowledged: l.Acknowledged, lastUsed: now}
	t.addFlow(l.Key, f)
	t.setState(f, lost)
	return append(actions, Action{Kind: ResetClient, Cause: cause, Key: l.Key, Sequence: l.Acknowledged})
}

// RenewLedger makes the ledger due, since the store may have lost the last one.
func (t *Tracker) RenewLedger() {
	t.ledgerFlows, t.ledgerWrittenAt, t.runMarkerDue = nil, time.Time{}, t.upstream.id != ""
	t.churn++
}

// confirmFlowsComplete concludes from the age of the store's era that a ledger which wasn't found in it has not been
// lost with a return from an older copy, and hence has never been written.
func (t *Tracker) confirmFlowsComplete(state lentilflow.StoreState) {
	if t.missingLedgerEra != 0 && state.Era == t.missingLedgerEra && state.EraAge >= startupTime+t.now().Sub(t.startedAt) {
		t.missingLedgerEra = 0
		t.concludeFlowsComplete(t.upstream.receivedAt, t.upstream.incarnation, t.upstream.sequence)
	}
}

// applyPreviousLedger opens or resets the flows of the restored ledger once the upstream has registered.
func (t *Tracker) applyPreviousLedger(actions []Action) []Action {
	ledger := t.previousLedger
	if ledger == nil || t.upstream.id == "" {
		return actions
	}
	t.previousLedger = nil
	now := t.now()
	if t.upstream.sequence <= maxStartupSequence && !matches(ledger, t.upstream) {
		// No earlier run of the agent has let flows open at this run of the upstream, or it has failed to store its run
		// marker, or the store has lost the ledger that would show it.
		if ledger.Era == t.previousLedgerEra {
			t.concludeFlowsComplete(t.upstream.receivedAt, t.upstream.incarnation, t.upstream.sequence)
		} else {
			t.missingLedgerEra = t.previousLedgerEra
		}
	}
	sameRun := matches(ledger, t.upstream)
	for _, l := range ledger.Flows {
		if t.flows[l.Key] != nil {
			continue
		}
		if sameRun {
			f := &flow{acknowledged: l.Acknowledged, lastUsed: now, unconfirmed: true}
			t.addFlow(l.Key, f)
			t.setState(f, open)
			continue
		}
		actions = t.resetListed(now, l, UpstreamReplaced, actions)
	}
	return actions
}
