package lentiladmit

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// askEvery is how often a peer is looked for again for a request that waits.
const askEvery = 20 * time.Millisecond

// wait puts a request into the queue, first in, first out, so that the wait that was expected
// when it was let in does not grow by who comes later. A request that comes back from a peer
// takes its old place.
func (a *Admitter) wait(r *request) {
	r.stage = waiting
	r.taken = true
	if r.turn == 0 {
		a.turn++
		r.turn = a.turn
	}
	at, _ := slices.BinarySearchFunc(a.queue, r.turn, func(q *request, turn int) int { return q.turn - turn })
	a.queue = slices.Insert(a.queue, at, r)
}

func (a *Admitter) unqueue(r *request) {
	a.queue = slices.DeleteFunc(a.queue, func(q *request) bool { return q == r })
}

// full reports whether the queue has no place for a request that could be served in time. A
// caller that holds more than half of the queue may fill it half as far as others.
func (a *Admitter) full(r *request) bool {
	if r.turn > 0 {
		return false
	}
	if len(a.queue) >= a.maxQueue() {
		return true
	}
	margin := time.Duration(caution)
	if a.crowds(r.arrival.Caller) {
		margin *= 2
	}
	return a.late(r, margin*a.waitBehind(len(a.queue)))
}

// crowds reports whether more than half of what waits is of one caller.
func (a *Admitter) crowds(caller uint64) bool {
	own := 0
	for _, q := range a.queue {
		if caller != 0 && q.arrival.Caller == caller {
			own++
		}
	}
	return 2*own > len(a.queue)
}

// waitBehind returns the expected wait of a request with so many others ahead of it in the
// queue, while the copy has no room.
func (a *Admitter) waitBehind(ahead int) time.Duration {
	opens := a.Limiter.Opens()
	if opens == lentillimit.Never {
		return longest
	}
	return min(opens+time.Duration(float64(ahead)*float64(a.perRequest())), longest)
}

// perRequest returns how often the copy serves a request, as the time between two.
func (a *Admitter) perRequest() time.Duration {
	bears := max(float64(a.Limiter.Bears())/lentillimit.Slot, leastBears)
	return time.Duration(a.Limiter.Expected().Seconds() / bears * float64(time.Second))
}

// longest bounds a wait, so that sums with it stay in range.
const longest = time.Hour

// caution is by how much the wait may be longer than expected and a request that is let into
// the queue still finishes in time.
const caution = 2

// keepCaution is the same for a request that waits already: only a cold copy may still turn
// out slower.
func (a *Admitter) keepCaution() time.Duration {
	if a.Limiter.Cold() {
		return caution
	}
	return 1
}

// leastBears keeps the expected wait finite, in slots.
const leastBears = 0.01

// late reports whether a request that waits so long would miss its deadline. One that may not
// be repeated has to fit with its whole expected time, since a run that is cut short leaves
// its outcome unknown; another may try if it is as quick as the quicker half.
func (a *Admitter) late(r *request, wait time.Duration) bool {
	needed := a.Limiter.Expected()
	if r.arrival.Kind == lentilconfig.KindRepeatable {
		needed /= 2
	}
	return a.now().Add(wait + needed).After(r.arrival.Deadline)
}

// move dispatches what the copy bears, passes on what a peer takes, and refuses what can no
// longer finish in time.
func (a *Admitter) move() {
	for len(a.queue) > 0 && a.Limiter.Free() {
		r := a.queue[0]
		a.queue = a.queue[1:]
		if a.late(r, 0) {
			a.refuse(r, ReasonDeadline)
			continue
		}
		a.dispatch(r)
	}
	now := a.now()
	kept := a.queue[:0:0]
	for _, r := range a.queue {
		switch {
		case now.Sub(r.askedAt) >= askEvery && a.relay(r):
		case a.late(r, a.keepCaution()*a.waitBehind(len(kept))):
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
	served := a.perRequest()
	earliest := now.Add(max(a.waitBehind(len(a.queue)), MinRetryAfter))
	if a.returnAt.Before(earliest) {
		a.returnAt = earliest
	}
	a.returnAt = a.returnAt.Add(served)
	if latest := now.Add(MaxRetryAfter); a.returnAt.After(latest) {
		a.returnAt = latest
	}
	spread := a.returnAt.Sub(now)
	return spread + time.Duration(a.random()*float64(spread)/2)
}

func (a *Admitter) random() float64 {
	if a.Random == nil {
		return 0
	}
	return a.Random()
}

func (a *Admitter) maxQueue() int { return cmp.Or(a.Queue, DefaultQueue) }
