package lentiladmit

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// maxLoad is the most that a load of 16 bits tells.
const maxLoad = 1<<16 - 1

// stage is where a request stands.
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
	queueSeq      int       // place in the queue, lowest first; zero if it never waited
	peerCheckedAt time.Time // when a peer was last looked for
	attempts      int       // dispatches and relays that may have run it, and the present one
	relays        int
	dispatches    int  // dispatches
	accepted      bool // was queued, dispatched or relayed before
	aborted       bool
	callerDone    bool // the caller is gone or has its final answer
}

// state is the state of an Admitter.
type state struct {
	requests     map[uint64]*request
	queue        []*request // by turn
	active       []*request // dispatched or relayed requests other than streams at the copy
	inFlight     int
	streams      int
	lastQueueSeq int // of the request that was queued last
	draining     bool
	lastRetryAt  time.Time // when the caller refused last may come back
	actions      []Action
}

// initialize makes the zero Admitter ready.
func (a *Admitter) initialize() {
	if a.requests != nil {
		return
	}
	a.requests = make(map[uint64]*request)
	if a.Limiter.Clock == nil {
		a.Limiter.Clock = a.Clock
	}
}

// takeActions hands the collected actions out.
func (a *Admitter) takeActions() (actions []Action) {
	actions, a.actions = a.actions, nil
	return actions
}

func (a *Admitter) addAction(r *request, kind ActionKind) {
	a.actions = append(a.actions, Action{kind: kind, id: r.arrival.ID})
}

// decide finds a way for a request that has surely not begun, or may begin once more.
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

// retryNotRun decides anew about a request that surely did not run.
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

// retryAnswerLost decides anew about a request that may have run, if it may be repeated and the
// budget allows. A relayed one is left to the agent that it came from, so that two
// budgets do not multiply.
func (a *Admitter) retryAnswerLost(r *request) {
	remaining := r.arrival.Deadline.Sub(a.now())
	if !r.callerDone && !r.aborted && !r.arrival.Relayed && a.RetryBudget.Allows(r.arrival.Kind, r.attempts, remaining, a.Limiter.ExpectedDuration()) {
		a.RetryBudget.Spend()
		a.decide(r)
		return
	}
	a.reportUnknown(r)
	delete(a.requests, r.arrival.ID)
}

// reportUnknown answers that the outcome is unknown, unless the caller has its answer.
func (a *Admitter) reportUnknown(r *request) {
	if !r.callerDone {
		a.addAction(r, ActionReportUnknown)
	}
	r.callerDone = true
}

// refuse answers that a request was not run. A request of which an earlier attempt may have
// run gets no such answer.
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

// relay passes the request to a peer, if it may go there and a peer wants it.
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

// release frees the slot or stream of a dispatched request; nil means that there is none.
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

// mayAbort reports whether the call of a request may be cancelled. One that may not be
// repeated goes on, since its answer may still be asked for.
func (r *request) mayAbort() bool {
	return r.arrival.Kind == lentilconfig.KindStream || r.arrival.Kind == lentilconfig.KindRepeatable
}

func (a *Admitter) abort(r *request) {
	r.aborted = true
	a.addAction(r, ActionAbort)
}

// expire ends what has run beyond its deadline.
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

// streamLimit returns how many streams the copy holds now: a cold one fewer.
func (a *Admitter) streamLimit() int {
	connections := cmp.Or(a.MaxStreams, DefaultMaxStreams)
	slots := cmp.Or(a.Limiter.Slots, lentillimit.DefaultSlots)
	return connections * int(a.Limiter.Weight()) / (slots * lentillimit.Slot)
}

func (a *Admitter) now() time.Time { return lentilclock.OrSystem(a.Clock).Now() }
