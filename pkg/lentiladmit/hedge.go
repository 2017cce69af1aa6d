package lentiladmit

import (
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// hedge is the state of the extra attempt at a request.
type hedge uint8

const (
	// hedgeNone means that no extra attempt was made.
	hedgeNone hedge = iota
	// hedgeRunning means that both attempts are in progress.
	hedgeRunning
	// hedgeAlone means that the first attempt has failed, and the extra one is in progress.
	hedgeAlone
	// hedgeEnded means that the extra attempt has ended without an answer for the caller.
	hedgeEnded
)

// MayHedge reports whether an extra attempt may be made at a request: it is repeatable, at the
// copy, and neither relayed nor tied to this agent, its caller waits, and there was no extra
// attempt before.
func (a *Admitter) MayHedge(id uint64) bool {
	r := a.requests[id]
	return r != nil && r.stage == stageDispatched && r.hedge == hedgeNone && r.arrival.Kind == lentilconfig.KindRepeatable &&
		!r.arrival.Relayed && !r.arrival.LocalOnly && !r.aborted && !r.callerDone && a.now().Before(r.arrival.Deadline)
}

// Hedge records that an extra attempt goes to a peer. MayHedge must hold. The agent reports the
// end of both attempts: that of the first by Finished or FirstFailed, and that of the extra one
// by HedgeEnded unless Finished came first. NotRun or AnswerLost instead mean that the extra
// attempt was not sent.
func (a *Admitter) Hedge(id uint64) {
	if !a.MayHedge(id) {
		return
	}
	r := a.requests[id]
	r.hedge = hedgeRunning
	r.attempts++
}

// FirstFailed records that the first attempt failed while the extra one is in progress. The
// outcome counts for the Limiter and the slot is free at once. Whether the request is retried
// depends on the extra attempt. mayHaveRun is false if the copy certainly did not run the request.
func (a *Admitter) FirstFailed(id uint64, outcome lentillimit.Outcome, mayHaveRun bool) (actions []Action) {
	r := a.release(id, outcome)
	switch {
	case r == nil:
	case r.hedge == hedgeRunning:
		r.hedge = hedgeAlone
		r.stage = stageRelayed
		r.mayHaveRun = mayHaveRun
		if !mayHaveRun {
			r.attempts--
		}
		a.active = append(a.active, r)
	case mayHaveRun:
		a.retryAnswerLost(r)
	default:
		a.retryNotRun(r)
	}
	a.processQueue()
	return a.takeActions()
}

// dropUnsentHedge takes back an extra attempt that was allowed just as the first one failed, so
// that it was never sent. The agent reports the failure by FirstFailed otherwise.
func (r *request) dropUnsentHedge() {
	if r.hedge == hedgeRunning {
		r.hedge = hedgeEnded
		r.attempts--
	}
}

// HedgeEnded records the result of an extra attempt. RelayAnswered means that the caller has its
// answer. While the first attempt is in progress, the request goes on with it. Otherwise the
// request is retried as after its first attempt, if neither of the two has run it, or as after
// a lost answer.
func (a *Admitter) HedgeEnded(id uint64, result RelayResult) (actions []Action) {
	r := a.requests[id]
	if r == nil || r.hedge != hedgeRunning && r.hedge != hedgeAlone {
		return nil
	}
	alone := r.hedge == hedgeAlone
	r.hedge = hedgeEnded
	if result == RelayAnswered {
		r.callerDone = true
	}
	if !alone {
		if result == RelayNotRun {
			r.attempts--
		}
		return nil
	}
	a.deactivate(r)
	switch {
	case result == RelayAnswered:
		delete(a.requests, id)
	case result == RelayNotRun && !r.mayHaveRun:
		a.retryNotRun(r)
	default:
		if result == RelayNotRun {
			r.attempts--
		}
		a.retryAnswerLost(r)
	}
	a.processQueue()
	return a.takeActions()
}
