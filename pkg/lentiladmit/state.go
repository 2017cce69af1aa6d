package lentiladmit

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// stage is where a request stands.
type stage uint8

const (
	queued stage = iota + 1
	dispatched
	relayedOut
)

// request is a request that the Admitter holds.
type request struct {
	arrival Arrival
	stage   stage
}

// state is the state of an Admitter.
type state struct {
	requests map[uint64]*request
	queue    []*request
	inFlight int
	streams  int
	draining bool
}

func (a *Admitter) arrive(arrival Arrival) (actions []Action) {
	if a.requests == nil {
		a.requests = make(map[uint64]*request)
	}
	if arrival.Deadline.IsZero() {
		arrival.Deadline = a.now().Add(DefaultTimeout)
	}
	r := &request{arrival: arrival}
	if a.draining {
		return []Action{{kind: ActionRefuse, id: arrival.ID, reason: ReasonDraining, retryAfter: time.Second}}
	}
	a.requests[arrival.ID] = r
	if arrival.Kind == lentilconfig.KindStream || a.Limiter.Free() {
		return []Action{a.dispatch(r)}
	}
	r.stage = queued
	a.queue = append(a.queue, r)
	return nil
}

func (a *Admitter) dispatch(r *request) Action {
	r.stage = dispatched
	if r.arrival.Kind == lentilconfig.KindStream {
		a.streams++
	} else {
		a.inFlight++
		a.Limiter.Started(r.arrival.ID)
	}
	return Action{kind: ActionDispatch, id: r.arrival.ID}
}

func (a *Admitter) finished(id uint64, outcome lentillimit.Outcome) (actions []Action) {
	r := a.requests[id]
	if r == nil || r.stage != dispatched {
		return nil
	}
	delete(a.requests, id)
	if r.arrival.Kind == lentilconfig.KindStream {
		a.streams--
	} else {
		a.inFlight--
		a.Limiter.Ended(id, outcome)
	}
	return a.tick()
}

func (a *Admitter) relayed(id uint64, _ RelayResult) (actions []Action) {
	delete(a.requests, id)
	return nil
}

func (a *Admitter) cancelled(id uint64) (actions []Action) {
	r := a.requests[id]
	if r == nil {
		return nil
	}
	if r.stage == dispatched {
		return []Action{{kind: ActionAbort, id: id}}
	}
	a.queue = slices.DeleteFunc(a.queue, func(q *request) bool { return q == r })
	delete(a.requests, id)
	return nil
}

func (a *Admitter) tick() (actions []Action) {
	for len(a.queue) > 0 && a.Limiter.Free() {
		r := a.queue[0]
		a.queue = a.queue[1:]
		actions = append(actions, a.dispatch(r))
	}
	return actions
}

func (a *Admitter) drain() (actions []Action) {
	a.draining = true
	return nil
}

func (a *Admitter) wake() time.Time { return time.Time{} }

func (a *Admitter) now() time.Time {
	if a.Clock == nil {
		return time.Now()
	}
	return a.Clock.Now()
}
