package lentilconntrack

import (
	"encoding/binary"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/pkg/lentilflow"
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
	// flowRecordSize is the size in bytes of an encoded flow in a ledger.
	flowRecordSize = 16
)

// ErrLedger is the type of errors about ledgers that can't be parsed. Its namespace, which is part of the printed
// errors, is an earlier name of this package.
var ErrLedger = errorx.NewNamespace("lentilcustody").NewType("ledger")

// Ledger is the stored list of an upstream's flows, which outlives the agent. After a whole machine has lost
// power, it lets the restarted agent reset the flows at once. Otherwise clients would notice only when they next
// send on a flow, and a request that may not be repeated would be lost with it.
type Ledger struct {
	// Service and Address are those of the agent that wrote the ledger.
	Service string
	Address lentilflow.Endpoint
	// Era is the era of the store, as far as the agent knew, in which the ledger was written.
	Era uint64
	// UpstreamID and UpstreamIncarnation identify the run of the upstream.
	UpstreamID          string
	UpstreamIncarnation int64
	Flows               []LedgerFlow
}

// LedgerFlow is a flow and the last acknowledgement number of its client.
type LedgerFlow struct {
	Key          lentilflow.Key
	Acknowledged uint32
}

// AppendFlows appends the encoded flows to dst, 16 bytes each.
func (l Ledger) AppendFlows(dst []byte) []byte {
	for _, f := range l.Flows {
		for _, endpoint := range []lentilflow.Endpoint{f.Key.Client(), f.Key.Service()} {
			address := endpoint.Address()
			dst = binary.BigEndian.AppendUint16(append(dst, address[:]...), endpoint.Port())
		}
		dst = binary.BigEndian.AppendUint32(dst, f.Acknowledged)
	}
	return dst
}

// ParseFlows parses flows that AppendFlows encoded.
func ParseFlows(data []byte) (flows []LedgerFlow, err error) {
	if len(data)%flowRecordSize != 0 {
		return nil, ErrLedger.New("length of %d bytes is not a multiple of the flow record size", len(data))
	}
	const clientPortOffset, serviceOffset, servicePortOffset, acknowledgedOffset = 4, 6, 10, 12
	for ; len(data) > 0; data = data[flowRecordSize:] {
		flows = append(flows, LedgerFlow{
			Key: lentilflow.NewKey(
				lentilflow.NewEndpoint([4]byte(data), binary.BigEndian.Uint16(data[clientPortOffset:])),
				lentilflow.NewEndpoint([4]byte(data[serviceOffset:]), binary.BigEndian.Uint16(data[servicePortOffset:]))),
			Acknowledged: binary.BigEndian.Uint32(data[acknowledgedOffset:]),
		})
	}
	return flows, nil
}

// matches reports whether the ledger was written for the given run of an upstream.
func (l *Ledger) matches(u upstream) bool {
	return l.UpstreamID == u.id && l.UpstreamIncarnation == u.incarnation
}

// DueLedger returns the ledger to store now and reports whether one is due. A ledger without flows, the run marker,
// is due with the first flow of a run of the upstream that has just started. It shows a later run of the agent that
// this one may have let flows open at that upstream. A run that isn't new shows it by its registration sequence.
func (t *Tracker) DueLedger() (ledger Ledger, due bool) {
	now := t.now()
	if t.RunMarkerDue() {
		t.runMarkerDue = false
		return t.newLedger(), true
	}
	if t.upstream.id == "" || t.previousLedger != nil || t.churn == 0 {
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
			ledger.Flows = append(ledger.Flows, LedgerFlow{Key: key, Acknowledged: f.acknowledged})
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
		return Ledger{}, false
	}
	t.ledgerWrittenAt, t.churn, t.ledgerFlows = now, 0, listed
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
func (t *Tracker) LedgerFailed(ledger Ledger) {
	if t.MaxUnlisted > 0 {
		t.ledgerFlows = nil
		t.churn++
	}
	if len(ledger.Flows) == 0 && ledger.matches(t.upstream) && t.upstream.sequence <= maxStartupSequence {
		t.runMarkerDue = true
	}
}

// newLedger returns a ledger of the upstream's run without flows.
func (t *Tracker) newLedger() Ledger {
	return Ledger{Service: t.Service, Address: t.Address, UpstreamID: t.upstream.id, UpstreamIncarnation: t.upstream.incarnation}
}

// Restore takes the ledger that an earlier run of the agent has stored, and the era in which it was read. Its flows
// are open if the same run of the upstream registers, and are reset if another one does. A ledger of another service
// or address is ignored.
func (t *Tracker) Restore(ledger Ledger, era uint64, actions []Action) []Action {
	if ledger.Service != t.Service || ledger.Address != t.Address {
		ledger = Ledger{}
	}
	t.previousLedger, t.previousLedgerEra = &ledger, era
	return t.applyPreviousLedger(actions)
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
		t.FlowsComplete, t.missingLedgerEra = true, 0
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
	if t.upstream.sequence <= maxStartupSequence && !ledger.matches(t.upstream) {
		// No earlier run of the agent has let flows open at this run of the upstream, or the store has lost the
		// ledger that would show it.
		if ledger.Era == t.previousLedgerEra {
			t.FlowsComplete = true
		} else {
			t.missingLedgerEra = t.previousLedgerEra
		}
	}
	sameRun := ledger.matches(t.upstream)
	for _, l := range ledger.Flows {
		if t.flows[l.Key] != nil {
			continue
		}
		f := &flow{acknowledged: l.Acknowledged, lastUsed: now}
		t.addFlow(l.Key, f)
		if sameRun {
			t.setState(f, open)
			continue
		}
		t.setState(f, lost)
		actions = append(actions, Action{Kind: ResetClient, Cause: UpstreamReplaced, Key: l.Key, Sequence: l.Acknowledged})
	}
	return actions
}
