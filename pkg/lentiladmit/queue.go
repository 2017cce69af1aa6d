package lentiladmit

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// peerCheckInterval is the interval at which ChoosePeer is called again for a queued request.
const peerCheckInterval = 20 * time.Millisecond

// enqueue adds a request to the queue. The queue is first in, first out, so that later requests
// do not lengthen the wait that was expected when a request was admitted. A request that was
// relayed to a peer without success gets its old place again.
func (a *Admitter) enqueue(r *request) {
	r.stage = stageQueued
	r.accepted = true
	if r.queueSeq == 0 {
		a.lastQueueSeq++
		r.queueSeq = a.lastQueueSeq
	}
	i, _ := slices.BinarySearchFunc(a.queue, r.queueSeq, func(q *request, seq int) int { return q.queueSeq - seq })
	a.queue = slices.Insert(a.queue, i, r)
}

func (a *Admitter) removeQueued(r *request) {
	a.queue = slices.DeleteFunc(a.queue, func(q *request) bool { return q == r })
}

// queueFull reports whether the queue is at its maximum length or so long that the request
// would miss its deadline. For a caller that has more than half of the queued requests the
// expected wait counts twice, so that it can fill the queue only half as far as others. A
// request that was queued before always has a place.
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

// dominatesQueue reports whether more than half of the queued requests are from the caller.
func (a *Admitter) dominatesQueue(caller uint64) bool {
	own := 0
	for _, q := range a.queue {
		if caller != 0 && q.arrival.Caller == caller {
			own++
		}
	}
	return 2*own > len(a.queue)
}

// expectedWait returns the expected wait of a request with the given number of requests ahead
// of it in the queue, while the copy has no capacity left.
func (a *Admitter) expectedWait(ahead int) time.Duration {
	wait := a.Limiter.ExpectedWait()
	if wait == lentillimit.Never {
		return maxWait
	}
	return min(wait+time.Duration(float64(ahead)*float64(a.serviceInterval())), maxWait)
}

// serviceInterval returns the expected time between two completions at the copy.
func (a *Admitter) serviceInterval() time.Duration {
	capacity := max(float64(a.Limiter.Capacity())/lentillimit.Slot, minCapacity)
	return time.Duration(a.Limiter.ExpectedDuration().Seconds() / capacity * float64(time.Second))
}

// maxWait is the maximum expected wait. It keeps sums with the wait from overflowing.
const maxWait = time.Hour

// waitMargin is the factor by which the wait may exceed the expected one while a request that is
// admitted to the queue still finishes in time.
const waitMargin = 2

// queuedWaitMargin returns the waitMargin of a request that is queued already. It is above 1 only
// for a cold copy, which may still be slower than expected.
func (a *Admitter) queuedWaitMargin() time.Duration {
	if a.Limiter.Cold() {
		return waitMargin
	}
	return 1
}

// minCapacity is the minimum capacity, in slots, in the computation of the expected wait. It
// keeps the wait finite.
const minCapacity = 0.01

// missesDeadline reports whether a request would miss its deadline after the given wait. For a
// request that must not be repeated, the whole expected duration has to fit, since its outcome
// is unknown if it is aborted. For a repeatable request, half of it has to fit: the request
// may still finish in time if it is among the faster half.
func (a *Admitter) missesDeadline(r *request, wait time.Duration) bool {
	needed := a.Limiter.ExpectedDuration()
	if r.arrival.Kind == lentilconfig.KindRepeatable {
		needed /= 2
	}
	return a.now().Add(wait + needed).After(r.arrival.Deadline)
}

// processQueue dispatches queued requests up to the capacity of the copy. It then relays those
// for which a peer is found, and refuses those that can no longer finish in time.
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

// retryAfter returns the delay after which a refused caller may retry. Successive refused
// callers get successive times, as far apart as the copy completes requests, so that they do
// not all retry at once.
func (a *Admitter) retryAfter() time.Duration {
	now := a.now()
	interval := a.serviceInterval()
	earliest := now.Add(max(a.expectedWait(len(a.queue)), MinRetryAfter))
	if a.lastRetryAt.Before(earliest) {
		a.lastRetryAt = earliest
	}
	a.lastRetryAt = a.lastRetryAt.Add(interval)
	if latest := now.Add(MaxRetryAfter); a.lastRetryAt.After(latest) {
		a.lastRetryAt = latest
	}
	delay := a.lastRetryAt.Sub(now)
	return delay + time.Duration(a.random()*float64(delay)/2)
}

func (a *Admitter) random() float64 {
	if a.Random == nil {
		return 0
	}
	return a.Random()
}

func (a *Admitter) maxQueue() int { return cmp.Or(a.MaxQueue, DefaultMaxQueue) }
