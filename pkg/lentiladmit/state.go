package lentiladmit

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// maxLoad is the largest load that fits into 16 bits.
const maxLoad = 1<<16 - 1

// stage is the processing stage of a request.
type stage uint8

const (
	stageQueued stage = iota + 1
	stageDispatched
	stageRelayed
)

// request is a request that the Admitter holds.
type request struct {
	arrival       Arrival
	stage         stage
	queueSeq      int       // sequence number in the queue, lowest first; zero if it was never queued
	peerCheckedAt time.Time // when ChoosePeer was last called
	attempts      int       // dispatches and relays that may have run it, including the current one
	relays        int
	dispatches    int
	accepted      bool // has been queued, dispatched or relayed
	aborted       bool
	callerDone    bool // the caller is gone or has received its final answer
	hedge         hedge
	mayHaveRun    bool // the first attempt may have run; set when it fails before the extra one
}

// state is the state of an Admitter.
type state struct {
	requests     map[uint64]*request
	queue        []*request // by queueSeq
	active       []*request // dispatched or relayed requests, without streams at the copy
	inFlight     int
	streams      int
	lastQueueSeq int // queueSeq of the request that was queued last
	draining     bool
	lastRetryAt  time.Time // when the last refused caller may retry
	actions      []Action
}

// initialize prepares a zero Admitter for use.
func (a *Admitter) initialize() {
	if a.requests != nil {
		return
	}
	a.requests = make(map[uint64]*request)
	if a.Limiter.Clock == nil {
		a.Limiter.Clock = a.Clock
	}
}

// takeActions returns the pending actions and removes them from the state.
func (a *Admitter) takeActions() (actions []Action) {
	actions, a.actions = a.actions, nil
	return actions
}

func (a *Admitter) addAction(r *request, kind ActionKind) {
	a.actions = append(a.actions, Action{kind: kind, id: r.arrival.ID})
}

// decide relays, dispatches, queues or refuses a request that certainly did not run or may be
// run again. A request from a peer is not queued while the capacity is less than one slot.
func (a *Admitter) decide(r *request) {
	stream := r.arrival.Kind == lentilconfig.KindStream
	switch {
	case a.relay(r):
	case a.draining && !r.accepted:
		a.refuse(r, ReasonDraining)
	case stream && a.streams < a.streamLimit():
		a.dispatch(r)
	case stream:
		a.refuse(r, ReasonConnections)
	case a.missesDeadline(r, 0):
		a.refuse(r, ReasonDeadline)
	case len(a.queue) == 0 && a.Limiter.CanSend():
		a.dispatch(r)
	case a.queueFull(r), r.arrival.Relayed && a.Limiter.Capacity() < lentillimit.Slot:
		a.refuse(r, ReasonQueueFull)
	default:
		a.enqueue(r)
	}
}

// retryNotRun handles a request that certainly did not run. It drops the request if the caller
// is gone, and refuses it after MaxDispatches dispatches.
func (a *Admitter) retryNotRun(r *request) {
	r.attempts = max(0, r.attempts-1)
	switch {
	case r.callerDone:
		delete(a.requests, r.arrival.ID)
	case r.dispatches >= MaxDispatches:
		a.refuse(r, ReasonCopy)
	default:
		a.decide(r)
	}
}

// retryAnswerLost retries a request that may have run, if it is repeatable and the retry budget
// allows. Otherwise its outcome is unknown. A request from a peer is left to that peer to
// retry, so that the retries of two agents do not multiply.
func (a *Admitter) retryAnswerLost(r *request) {
	remaining := r.arrival.Deadline.Sub(a.now())
	if !r.callerDone && !r.aborted && !r.arrival.Relayed && a.RetryBudget.AllowsRetry(r.arrival.Kind, r.attempts, remaining, a.Limiter.ExpectedDuration()) {
		a.RetryBudget.Spend()
		a.decide(r)
		return
	}
	a.reportUnknown(r)
	delete(a.requests, r.arrival.ID)
}

// reportUnknown answers that the outcome is unknown, unless the caller is gone or has its answer.
func (a *Admitter) reportUnknown(r *request) {
	if !r.callerDone {
		a.addAction(r, ActionReportUnknown)
	}
	r.callerDone = true
}

// refuse answers that a request was not run. If an earlier attempt may have run, it reports an
// unknown outcome instead.
func (a *Admitter) refuse(r *request, reason Reason) {
	delete(a.requests, r.arrival.ID)
	if r.attempts > 0 {
		a.reportUnknown(r)
		return
	}
	a.actions = append(a.actions, Action{kind: ActionRefuse, id: r.arrival.ID, reason: reason, retryAfter: a.retryAfter()})
}

func (a *Admitter) dispatch(r *request) {
	r.stage = stageDispatched
	r.accepted = true
	r.attempts++
	r.dispatches++
	a.addAction(r, ActionDispatch)
	if r.arrival.Kind == lentilconfig.KindStream {
		a.streams++
		return
	}
	a.inFlight++
	a.active = append(a.active, r)
	a.Limiter.Started(r.arrival.ID)
}

// relay passes the request to a peer if it may be relayed and ChoosePeer returns one.
func (a *Admitter) relay(r *request) (ok bool) {
	if a.ChoosePeer == nil || r.arrival.Relayed || r.arrival.LocalOnly || r.relays >= MaxRelays {
		return false
	}
	r.peerCheckedAt = a.now()
	peer, ok := a.ChoosePeer(r.arrival)
	if !ok {
		return false
	}
	r.stage = stageRelayed
	r.accepted = true
	r.relays++
	r.attempts++
	a.active = append(a.active, r)
	a.actions = append(a.actions, Action{kind: ActionRelay, id: r.arrival.ID, peer: peer})
	return true
}

// release frees the slot or stream of a dispatched request. It returns nil if the request is
// not dispatched.
func (a *Admitter) release(id uint64, outcome lentillimit.Outcome) (r *request) {
	r = a.requests[id]
	if r == nil || r.stage != stageDispatched {
		return nil
	}
	if r.arrival.Kind == lentilconfig.KindStream {
		a.streams--
		return r
	}
	a.inFlight--
	a.deactivate(r)
	a.Limiter.Ended(id, outcome)
	return r
}

func (a *Admitter) deactivate(r *request) {
	a.active = slices.DeleteFunc(a.active, func(o *request) bool { return o == r })
}

// mayAbort reports whether the call of a request may be cancelled. A request that must not be
// repeated continues, since the caller may still ask for its answer.
func (r *request) mayAbort() bool {
	return r.arrival.Kind == lentilconfig.KindStream || r.arrival.Kind == lentilconfig.KindRepeatable
}

func (a *Admitter) abort(r *request) {
	r.aborted = true
	a.addAction(r, ActionAbort)
}

// expire reports an unknown outcome for requests that have passed their deadline, and aborts
// those that may be aborted. After OnceGrace it aborts the others as well.
func (a *Admitter) expire() {
	now := a.now()
	for _, r := range a.active {
		if r.arrival.Kind == lentilconfig.KindStream || now.Before(r.arrival.Deadline) {
			continue
		}
		a.reportUnknown(r)
		if !r.aborted && (r.mayAbort() || !now.Before(r.arrival.Deadline.Add(OnceGrace))) {
			a.abort(r)
		}
	}
}

// streamLimit returns the maximum number of open streams. It is lower for a cold copy.
func (a *Admitter) streamLimit() int {
	maxStreams := cmp.Or(a.MaxStreams, DefaultMaxStreams)
	slots := cmp.Or(a.Limiter.Slots, lentillimit.DefaultSlots)
	return maxStreams * int(a.Limiter.Weight()) / (slots * lentillimit.Slot)
}

func (a *Admitter) now() time.Time { return lentilclock.OrSystem(a.Clock).Now() }
