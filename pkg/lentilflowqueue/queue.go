// Package lentilflowqueue decides when a new flow may open at its upstream: now, as soon as the upstream has
// room, or not here.
//
// It answers two loads. Near capacity, when the balancers' view of the upstreams is older than a request takes,
// a full upstream says so at once, and the flow goes to one with a free slot. Above capacity, as in the seconds
// after all upstreams have restarted, flows wait at the agent and not in the upstream's queue: there they would
// be shed, which costs their clients an attempt, and be served in the order of arrival, which makes all of them
// late as soon as the queue takes as long as the latency objective. The queue first serves the flows that can
// still meet their objective, and the others with the capacity that is left. If an overload lasts, flows that can't
// meet their objective are refused at once: they would wait in vain, or take the room of later ones.
//
// Requests on flows that are already open don't pass the queue, but count as load.
package lentilflowqueue

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

//go:generate stringer -type=Verdict -output=enum_string.go

const (
	// queuedPerSlot is how many requests per slot the upstream gets beyond those that it works on. They keep
	// its slots busy in the time in which a client opens a flow and sends its request.
	queuedPerSlot = 1
	// pendingTimeout is how long a flow that was let through counts as load before its request arrives. Its
	// client may have given up. Opening a flow takes two round trips to the client, some 15 ms.
	pendingTimeout = 60 * time.Millisecond
	// patience is how long a client waits for its flow, less the time in which the flow opens.
	patience = lentilflow.OpeningPatience
	// defaultTarget is the latency objective of flows whose route has none.
	defaultTarget = 250 * time.Millisecond
	// promptShare is the part of the latency objective within which a flow has to leave the queue to be in
	// time. The rest is for the round trips to the client and for the request itself.
	promptShare = 0.4
	// overdueEvery is how often the flow that has waited longest goes first: once in so many times. It keeps
	// flows from waiting in vain while new ones arrive faster than they are served.
	overdueEvery = 10
	// sustainedAfter is how long flows must have been waiting all the time for the overload to count as
	// sustained. It is longer than the seconds in which clients come back after an outage.
	sustainedAfter = 3 * time.Second
	// recoveredAfter is how long no flow must have been refused for a sustained overload to be over.
	recoveredAfter = time.Second
	// maxWaiting bounds the flows that wait: some 100 bytes each.
	maxWaiting = 512
	// initialServiceTime is assumed until responses were measured.
	initialServiceTime = 30 * time.Millisecond
	// serviceTimeWeight is the weight of a new measurement in the mean service time.
	serviceTimeWeight = 0.1
	// defaultSlots is assumed while the upstream hasn't told its slots.
	defaultSlots = 2
)

// Verdict is the decision about a new flow.
type Verdict uint8

// The verdicts.
const (
	// Admit lets the flow open now.
	Admit Verdict = iota
	// Wait holds the flow until Next returns it.
	Wait
	// Busy refuses the flow, since another upstream may have a free slot.
	Busy
	// Full refuses the flow, since its client would give up before its turn.
	Full
	// Overloaded refuses the flow in a sustained overload, since it would miss its latency objective.
	Overloaded
)

// Offer is a new flow.
type Offer struct {
	Key lentilflow.Key
	// Age is how long ago the client first asked for the flow.
	Age   time.Duration
	Terms lentilflow.Terms
	// MayWait is set if the flow may wait, because the other candidates are busy too.
	MayWait bool
	// MayQueue is set if the flow may open while all slots are occupied and few requests wait.
	MayQueue bool
}

// entry is a waiting flow.
type entry struct {
	key lentilflow.Key
	// since is when the client first asked for the flow.
	since    time.Time
	prompt   time.Duration
	priority uint8
	// caller is set if the queue is fair between callers.
	caller *caller
}

// overdue reports whether the flow has waited too long to meet its latency objective.
func (e entry) overdue(now time.Time) bool { return now.Sub(e.since) > e.prompt }

// Queue is the queue of one upstream. The zero Queue is ready to use. It is not safe for concurrent use.
type Queue struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock
	// Fair makes the queue fair between callers. Otherwise flows of the same urgency are served in the order of arrival.
	Fair bool

	slots int
	// waiting is in the order of arrival.
	waiting []entry
	// pending has the flows that were let through and whose request hasn't arrived, with the time.
	pending map[lentilflow.Key]time.Time
	// sinceOverdue counts the flows served since the one that had waited longest was served first.
	sinceOverdue int
	serviceTime  time.Duration
	// emptyAt is when no flow was waiting last. sustained is set in a sustained overload, and refusedAt is when
	// a flow was last refused because of it.
	emptyAt   time.Time
	sustained bool
	refusedAt time.Time

	// callers has the callers with waiting flows and those served lately.
	callers        map[[4]byte]*caller
	callersSweptAt time.Time
	// callersWaiting is the number of callers with waiting flows.
	callersWaiting int
	// evicted has the flows that lost their place to a newcomer.
	evicted []lentilflow.Key
	// share is to be reported, and shareReportedAt is when one was recorded last.
	share           *Share
	shareReportedAt time.Time
	outOfOrder      uint64
}

func (q *Queue) now() time.Time { return lentilclock.OrSystem(q.Clock).Now() }

// Waiting returns the number of waiting flows.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Ahead returns the number of requests and flows that a new flow would find: those at the upstream, of which there are
// inFlight, those let through and those waiting.
func (q *Queue) Ahead(inFlight int) int { return q.load(q.now(), inFlight) + len(q.waiting) }

// SetSlots sets how many requests the upstream processes at once.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

func (q *Queue) slotCount() int { return cmp.Or(max(q.slots, 0), defaultSlots) }

// load returns the requests that the upstream has or is about to get.
func (q *Queue) load(now time.Time, inFlight int) int {
	for key, at := range q.pending {
		if now.Sub(at) > pendingTimeout {
			delete(q.pending, key)
		}
	}
	return inFlight + len(q.pending)
}

// Offer decides about a new flow. inFlight is the number of requests at the upstream. blocked is set while the
// upstream may get no new flow for another reason that ends by itself, such as the limit of a cold upstream.
func (q *Queue) Offer(o Offer, inFlight int, blocked bool) Verdict {
	now := q.now()
	load, slots := q.load(now, inFlight), q.slotCount()
	switch {
	case !blocked && load < slots && len(q.waiting) == 0:
		q.admit(now, o.Key)
		return Admit
	case !blocked && o.MayQueue && load < slots+q.openingSlack() && len(q.waiting) == 0:
		q.admit(now, o.Key)
		return Admit
	case !o.MayWait:
		return Busy
	case !blocked && load < q.limit() && len(q.waiting) == 0:
		q.admit(now, o.Key)
		return Admit
	}
	prompt := time.Duration(float64(cmp.Or(o.Terms.Target, defaultTarget)) * promptShare)
	newcomer := entry{key: o.Key, since: now.Add(-o.Age), prompt: prompt, priority: o.Terms.Priority}
	if q.Fair {
		newcomer.caller = q.caller(now, o.Key)
	}
	switch wait := o.Age + q.expectedWait(now, load, newcomer); {
	case q.updateSustained(now) && wait > prompt:
		q.refusedAt = now
		q.recordRefused(now)
		return Overloaded
	case wait > patience || len(q.waiting) >= maxWaiting && (!q.Fair || !q.evictFor(newcomer.caller)):
		q.recordRefused(now)
		return Full
	}
	if len(q.evicted) > 0 {
		q.recordRefused(now)
	}
	q.waiting = append(q.waiting, newcomer)
	q.countWaiting(newcomer, 1)
	return Wait
}

// recordRefused records that a flow is refused for want of room.
func (q *Queue) recordRefused(now time.Time) {
	if q.Fair {
		q.recordShare(now)
	}
}

// removeAt removes a waiting flow.
func (q *Queue) removeAt(index int) {
	q.countWaiting(q.waiting[index], -1)
	q.waiting = slices.Delete(q.waiting, index, index+1)
}

// openingSlack is by how many requests the load may exceed the slots so that a new flow's request will usually find a free
// one. Opening the flow takes some 12 ms, in which about every other request of 30 ms ends.
func (q *Queue) openingSlack() int { return max(1, q.slotCount()/2) }

// updateSustained updates and returns whether the overload is sustained, before a flow is queued or refused.
func (q *Queue) updateSustained(now time.Time) bool {
	if len(q.waiting) == 0 {
		q.emptyAt = now
	}
	if q.sustained {
		q.sustained = len(q.waiting) > 0 || now.Sub(q.refusedAt) < recoveredAfter
	} else {
		q.sustained = now.Sub(q.emptyAt) >= sustainedAfter
	}
	return q.sustained
}

// limit is the number of requests up to which the upstream gets flows that may wait.
func (q *Queue) limit() int { return q.slotCount() * (1 + queuedPerSlot) }

// expectedWait estimates how long a new flow would wait behind those that are served before it.
func (q *Queue) expectedWait(now time.Time, load int, newcomer entry) time.Duration {
	ahead := max(0, load-q.limit()) + 1
	if q.Fair {
		ahead += q.aheadFair(now, newcomer)
		return time.Duration(ahead) * cmp.Or(q.serviceTime, initialServiceTime) / time.Duration(q.slotCount())
	}
	for _, e := range q.waiting {
		if newcomer.overdue(now) || !e.overdue(now) && e.priority <= newcomer.priority {
			ahead++
		}
	}
	return time.Duration(ahead) * cmp.Or(q.serviceTime, initialServiceTime) / time.Duration(q.slotCount())
}

func (q *Queue) admit(now time.Time, key lentilflow.Key) {
	if q.pending == nil {
		q.pending = make(map[lentilflow.Key]time.Time)
	}
	q.pending[key] = now
	if q.Fair {
		q.caller(now, key).recordServed(now)
	}
}

// Next removes and returns the next flow to open, if the upstream has room for one.
func (q *Queue) Next(inFlight int) (key lentilflow.Key, ok bool) {
	if len(q.waiting) == 0 {
		return key, false
	}
	now := q.now()
	if q.load(now, inFlight) >= q.limit() {
		return key, false
	}
	next := q.first(now)
	key = q.waiting[next].key
	q.removeAt(next)
	q.admit(now, key)
	return key, true
}

// first returns the index of the flow to serve next and counts for overdueEvery.
func (q *Queue) first(now time.Time) (index int) {
	if q.Fair {
		index = q.firstFair(now)
		if q.overtakes(now, index) {
			q.outOfOrder++
		}
		return index
	}
	if q.sinceOverdue++; q.sinceOverdue >= overdueEvery {
		q.sinceOverdue = 0
		return q.oldest()
	}
	index = -1
	for i, e := range q.waiting {
		if e.overdue(now) || index >= 0 && q.waiting[index].priority <= e.priority {
			continue
		}
		index = i
	}
	if index < 0 {
		return q.oldest()
	}
	return index
}

// oldest returns the index of the flow that has waited longest.
func (q *Queue) oldest() (index int) {
	for i, e := range q.waiting {
		if e.since.Before(q.waiting[index].since) {
			index = i
		}
	}
	return index
}

// Expire removes and returns the flows whose clients would give up before they open, and those that lost their place to a
// flow of another caller. In a sustained overload, it also returns those that can't meet their objective any more.
func (q *Queue) Expire() (keys []lentilflow.Key) {
	now := q.now()
	keys, q.evicted = q.evicted, nil
	return append(keys, q.removeIf(func(e entry) bool { return now.Sub(e.since) > patience || q.sustained && e.overdue(now) })...)
}

// removeIf removes and returns the waiting flows for which remove is true.
func (q *Queue) removeIf(remove func(e entry) bool) (keys []lentilflow.Key) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e entry) bool {
		removed := remove(e)
		if removed {
			keys = append(keys, e.key)
			q.countWaiting(e, -1)
		}
		return removed
	})
	return keys
}

// Flush removes and returns all waiting flows.
func (q *Queue) Flush() (keys []lentilflow.Key) {
	keys, q.evicted = q.evicted, nil
	return append(keys, q.removeIf(func(entry) bool { return true })...)
}

// Remove forgets a flow: its request has arrived, or it has ended.
func (q *Queue) Remove(key lentilflow.Key) {
	delete(q.pending, key)
	q.removeIf(func(e entry) bool { return e.key == key })
	q.evicted = slices.DeleteFunc(q.evicted, func(k lentilflow.Key) bool { return k == key })
}

// RecordResponse records how long a request took at the upstream, of which it had the given number when the
// request arrived.
func (q *Queue) RecordResponse(took time.Duration, inFlight int) {
	serviceTime := took
	if slots := q.slotCount(); inFlight > slots {
		serviceTime = took * time.Duration(slots) / time.Duration(inFlight)
	}
	if q.serviceTime == 0 {
		q.serviceTime = serviceTime
		return
	}
	q.serviceTime += time.Duration(serviceTimeWeight * float64(serviceTime-q.serviceTime))
}
