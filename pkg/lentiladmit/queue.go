package lentiladmit

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// peerCheckInterval is how often a peer is looked for again for a request that waits.
const peerCheckInterval = 20 * time.Millisecond

// enqueue puts a request into the queue, first in, first out, so that the enqueue that was expected
// when it was let in does not grow by who comes later. A request that comes back from a peer
// takes its old place.
func (a *Admitter) enqueue(r *request) {
	r.stage = stageQueued
	r.accepted = true
	if r.queueSeq == 0 {
		a.lastQueueSeq++
		r.queueSeq = a.lastQueueSeq
	}
	at, _ := slices.BinarySearchFunc(a.queue, r.queueSeq, func(q *request, turn int) int { return q.queueSeq - turn })
	a.queue = slices.Insert(a.queue, at, r)
}

func (a *Admitter) removeQueued(r *request) {
	a.queue = slices.DeleteFunc(a.queue, func(q *request) bool { return q == r })
}

// queueFull reports whether the queue has no place for a request that could be served in time. A
// caller that holds more than half of the queue may fill it half as far as others.
func (a *Admitter) queueFull(r *request) bool {
	if r.queueSeq > 0 {
		return false
	}
	if len(a.queue) >= a.maxQueue() {
		return true
	}
	margin := time.Duration(waitMargin)
	if a.dominatesQueue(r.arrival.Caller) {
		margin *= 2
	}
	return a.missesDeadline(r, margin*a.expectedWait(len(a.queue)))
}

// dominatesQueue reports whether more than half of what waits is of one caller.
func (a *Admitter) dominatesQueue(caller uint64) bool {
	own := 0
	for _, q := range a.queue {
		if caller != 0 && q.arrival.Caller == caller {
			own++
		}
	}
	return 2*own > len(a.queue)
}

// expectedWait returns the expected wait of a request with so many others ahead of it in the
// queue, while the copy has no room.
func (a *Admitter) expectedWait(ahead int) time.Duration {
	opens := a.Limiter.ExpectedWait()
	if opens == lentillimit.Never {
		return maxWait
	}
	return min(opens+time.Duration(float64(ahead)*float64(a.serviceInterval())), maxWait)
}

// serviceInterval returns how often the copy serves a request, as the time between two.
func (a *Admitter) serviceInterval() time.Duration {
	bears := max(float64(a.Limiter.Capacity())/lentillimit.Slot, minCapacity)
	return time.Duration(a.Limiter.ExpectedDuration().Seconds() / bears * float64(time.Second))
}

// maxWait bounds a wait, so that sums with it stay in range.
const maxWait = time.Hour

// waitMargin is by how much the wait may be longer than expected and a request that is let into
// the queue still finishes in time.
const waitMargin = 2

// queuedWaitMargin is the same for a request that waits already: only a cold copy may still turn
// out slower.
func (a *Admitter) queuedWaitMargin() time.Duration {
	if a.Limiter.Cold() {
		return waitMargin
	}
	return 1
}

// minCapacity keeps the expected wait finite, in slots.
const minCapacity = 0.01

// missesDeadline reports whether a request that waits so long would miss its deadline. One that may not
// be repeated has to fit with its whole expected time, since a run that is cut short leaves
// its outcome unknown; another may try if it is as quick as the quicker half.
func (a *Admitter) missesDeadline(r *request, wait time.Duration) bool {
	needed := a.Limiter.ExpectedDuration()
	if r.arrival.Kind == lentilconfig.KindRepeatable {
		needed /= 2
	}
	return a.now().Add(wait + needed).After(r.arrival.Deadline)
}

// processQueue dispatches what the copy bears, passes on what a peer takes, and refuses what can no
// longer finish in time.
func (a *Admitter) processQueue() {
	for len(a.queue) > 0 && a.Limiter.CanSend() {
		r := a.queue[0]
		a.queue = a.queue[1:]
		if a.missesDeadline(r, 0) {
			a.refuse(r, ReasonDeadline)
			continue
		}
		a.dispatch(r)
	}
	now := a.now()
	kept := a.queue[:0:0]
	for _, r := range a.queue {
		switch {
		case now.Sub(r.peerCheckedAt) >= peerCheckInterval && a.relay(r):
		case a.missesDeadline(r, a.queuedWaitMargin()*a.expectedWait(len(kept))):
			a.refuse(r, ReasonDeadline)
		default:
			kept = append(kept, r)
		}
	}
	a.queue = kept
}

// retryAfter returns when a refused caller may come back. Callers refused one after another
// are given times one after another, as far apart as the copy serves them, so that
// they do not come back together.
func (a *Admitter) retryAfter() time.Duration {
	now := a.now()
	served := a.serviceInterval()
	earliest := now.Add(max(a.expectedWait(len(a.queue)), MinRetryAfter))
	if a.lastRetryAt.Before(earliest) {
		a.lastRetryAt = earliest
	}
	a.lastRetryAt = a.lastRetryAt.Add(served)
	if latest := now.Add(MaxRetryAfter); a.lastRetryAt.After(latest) {
		a.lastRetryAt = latest
	}
	spread := a.lastRetryAt.Sub(now)
	return spread + time.Duration(a.random()*float64(spread)/2)
}

func (a *Admitter) random() float64 {
	if a.Random == nil {
		return 0
	}
	return a.Random()
}

func (a *Admitter) maxQueue() int { return cmp.Or(a.MaxQueue, DefaultMaxQueue) }
