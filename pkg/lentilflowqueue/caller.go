package lentilflowqueue

import (
	"math"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Fair queueing between callers. Among waiting flows of the same urgency, the caller that was served least lately goes
// first, and then its oldest flow. A caller with many flows gets no more than the others while they wait, and all room if
// nobody else does. It also pays when the queue is full: with its own newest flow.

const (
	// serviceHalfLife is the time in which the service that a caller got counts half.
	serviceHalfLife = time.Second
	// maxCallers bounds the callers whose service is counted: some 50 bytes each.
	maxCallers = 1024
	// minService is the count below which a caller without waiting flows is forgotten. After one flow this takes 7 s.
	minService = 0.01
	// callerSweepInterval is the time between two removals of such callers.
	callerSweepInterval = time.Second
	// shareReportInterval is the time between two reports of the caller that holds most of the queue.
	shareReportInterval = time.Second
)

// caller is what the queue knows of a client's IP address. Clients behind one address count as one caller.
type caller struct {
	address [4]byte
	// service counts the flows that were let through, halved every serviceHalfLife, as of countedAt.
	service   float64
	countedAt time.Time
	waiting   int
	// ahead is used by expectedWait alone.
	ahead int
}

// serviceAt returns the decayed count of the flows that were let through.
func (c *caller) serviceAt(now time.Time) float64 {
	if c.service == 0 {
		return 0
	}
	return c.service * math.Exp2(-now.Sub(c.countedAt).Seconds()/serviceHalfLife.Seconds())
}

func (c *caller) recordServed(now time.Time) { c.service, c.countedAt = c.serviceAt(now)+1, now }

// Share is what a caller held of the queue when a flow was refused for want of room.
type Share struct {
	// Caller is the client's IP address.
	Caller [4]byte
	// Flows is the number of its waiting flows, and Waiting that of all.
	Flows, Waiting int
}

// caller returns the state of a flow's caller.
func (q *Queue) caller(now time.Time, key lentilflow.Key) *caller {
	address := key.Client().Address()
	if c := q.callers[address]; c != nil {
		return c
	}
	if q.callers == nil {
		q.callers = make(map[[4]byte]*caller)
	}
	if now.Sub(q.callersSweptAt) >= callerSweepInterval || len(q.callers) >= maxCallers {
		q.sweepCallers(now)
	}
	c := &caller{address: address}
	q.callers[address] = c
	return c
}

// sweepCallers forgets the callers that were hardly served lately and have no waiting flows. If there are still too many,
// it also forgets one without waiting flows that was. There is one, since fewer than maxCallers flows wait.
func (q *Queue) sweepCallers(now time.Time) {
	if now.Sub(q.callersSweptAt) >= callerSweepInterval {
		q.callersSweptAt = now
		for address, c := range q.callers {
			if c.waiting == 0 && c.serviceAt(now) < minService {
				delete(q.callers, address)
			}
		}
	}
	if len(q.callers) < maxCallers {
		return
	}
	for address, c := range q.callers {
		if c.waiting == 0 {
			delete(q.callers, address)
			return
		}
	}
}

// fairest returns the index of the flow to serve next among the candidates, or -1 if there is none.
func (q *Queue) fairest(now time.Time, candidate func(e entry) bool) (index int) {
	index = -1
	least := 0.0
	for i, e := range q.waiting {
		if !candidate(e) {
			continue
		}
		service := e.caller.serviceAt(now)
		if index < 0 || service < least || service == least && e.since.Before(q.waiting[index].since) {
			index, least = i, service
		}
	}
	return index
}

// firstFair returns the index of the flow to serve next, by urgency and then by caller, and counts for overdueEvery.
func (q *Queue) firstFair(now time.Time) (index int) {
	overdue := func(e entry) bool { return e.overdue(now) }
	if q.sinceOverdue++; q.sinceOverdue >= overdueEvery {
		q.sinceOverdue = 0
		if index = q.fairest(now, overdue); index >= 0 {
			return index
		}
	}
	urgent, found := uint8(0), false
	for _, e := range q.waiting {
		if !e.overdue(now) && (!found || e.priority < urgent) {
			urgent, found = e.priority, true
		}
	}
	if !found {
		return q.fairest(now, overdue)
	}
	return q.fairest(now, func(e entry) bool { return !e.overdue(now) && e.priority == urgent })
}

// overtakes reports whether an older flow of the same urgency than the given one waits.
func (q *Queue) overtakes(now time.Time, index int) bool {
	served := q.waiting[index]
	for _, e := range q.waiting {
		if e.since.Before(served.since) && e.overdue(now) == served.overdue(now) && e.priority == served.priority {
			return true
		}
	}
	return false
}

// aheadFair returns how many waiting flows are served before a newcomer: all more urgent ones, those of its own caller,
// and of each other caller as many as until both have got the same service.
func (q *Queue) aheadFair(now time.Time, newcomer entry) (ahead int) {
	overdue := newcomer.overdue(now)
	sameUrgency := func(e entry) bool { return e.overdue(now) == overdue && (overdue || e.priority == newcomer.priority) }
	turn := newcomer.caller.serviceAt(now)
	for _, e := range q.waiting {
		e.caller.ahead = 0
		if e.caller == newcomer.caller && sameUrgency(e) {
			turn++
		}
	}
	for _, e := range q.waiting {
		switch {
		case sameUrgency(e):
			if e.caller == newcomer.caller || e.caller.serviceAt(now)+float64(e.caller.ahead) <= turn {
				e.caller.ahead++
				ahead++
			}
		case !e.overdue(now) && (overdue || e.priority < newcomer.priority):
			ahead++
		}
	}
	return ahead
}

// largest returns the caller with most waiting flows, or nil.
func (q *Queue) largest() (largest *caller) {
	for _, e := range q.waiting {
		if largest == nil || e.caller.waiting > largest.waiting {
			largest = e.caller
		}
	}
	return largest
}

// evictFor makes room for a newcomer in a full queue, if another caller has more waiting flows. That caller loses its
// newest one, which Expire returns.
func (q *Queue) evictFor(newcomer *caller) (evicted bool) {
	largest := q.largest()
	if largest == nil || largest.waiting <= newcomer.waiting {
		return false
	}
	for i := len(q.waiting) - 1; i >= 0; i-- {
		if q.waiting[i].caller == largest {
			q.evicted = append(q.evicted, q.waiting[i].key)
			q.removeAt(i)
			return true
		}
	}
	return false
}

// recordShare records which caller holds most of the queue after a flow was refused for want of room.
func (q *Queue) recordShare(now time.Time) {
	if !q.shareReportedAt.IsZero() && now.Sub(q.shareReportedAt) < shareReportInterval {
		return
	}
	if largest := q.largest(); largest != nil && largest.waiting > 1 {
		q.shareReportedAt = now
		q.share = &Share{Caller: largest.address, Flows: largest.waiting, Waiting: len(q.waiting)}
	}
}

// TakeShare returns the share of the caller that holds most of the queue, once after a flow was refused for want of room
// and at most once a second. ok is false if there is nothing to report.
func (q *Queue) TakeShare() (share Share, ok bool) {
	if q.share == nil {
		return share, false
	}
	share, q.share = *q.share, nil
	return share, true
}

// countWaiting changes the number of waiting flows of a flow's caller.
func (q *Queue) countWaiting(e entry, change int) {
	if e.caller == nil {
		return
	}
	if e.caller.waiting == 0 {
		q.callersWaiting++
	}
	if e.caller.waiting += change; e.caller.waiting == 0 {
		q.callersWaiting--
	}
}

// CallersWaiting returns the number of callers with waiting flows.
func (q *Queue) CallersWaiting() int { return q.callersWaiting }

// ServedOutOfOrder returns the number of flows that were served before an older one of the same urgency.
func (q *Queue) ServedOutOfOrder() uint64 { return q.outOfOrder }
