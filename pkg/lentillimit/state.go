package lentillimit

import (
	"math"
	"slices"
	"time"
)

const (
	// loadTimeConstant is the time constant of the moving average that Load returns, in seconds.
	loadTimeConstant = 4.0
	// slack is the deviation of a duration, in standard deviations, that counts as usual.
	// suspicionThreshold is the sum of the deviations beyond slack at which the copy is
	// considered cold (a CUSUM test). With these values random variation alone reaches the
	// threshold about once in exp(2*slack*suspicionThreshold) requests.
	slack              = 0.75
	suspicionThreshold = 10.0
	// minDeviation and maxDeviation bound the deviation that one request adds to the sum.
	minDeviation = -2.0
	maxDeviation = 5.0
	// A request is considered stuck when its duration is stuckDeviations standard deviations
	// above the usual. minStuckFactor and maxStuckFactor bound this limit in multiples of the
	// usual duration; it is at least minStuckSeconds. defaultStuckSeconds is the limit while no duration is known.
	stuckDeviations     = 4.0
	minStuckFactor      = 3.0
	maxStuckFactor      = 20.0
	defaultStuckSeconds = 2.0
	// maxWarmupBackoff bounds how often the warm-up time doubles after repeated cold resets.
	maxWarmupBackoff = 3
	// minBackoffGrowth is the multiple of the cold limit above which a reset counts as a
	// failed warm-up.
	minBackoffGrowth = 2.0
	// idleSeconds is the time without a normal completion after which an unused copy may get
	// only one request at a time.
	idleSeconds = 10.0
	// idleGrowthFactor multiplies the limit at each normal completion after such an idle time.
	idleGrowthFactor = 1.25
	// fullGrowthUse is the share of the limit that has to be in use for the limit to grow at
	// full speed. minGrowthShare is the share of that speed for a copy that is hardly used.
	fullGrowthUse  = 0.5
	minGrowthShare = 0.25
	// growthWindowFactor is the time for which the limit may grow after a normal completion, in
	// expected durations divided by the limit. minGrowthWindow is its minimum in seconds.
	growthWindowFactor = 4.0
	minGrowthWindow    = 1.0
	// recoveryTime is the time after a cold reset in which the copy gets no requests, to
	// recover from the cause of the reset.
	recoveryTime = time.Second
	// weightSteps is the number of steps in which Weight rises to all slots.
	weightSteps = 10
)

// request is a request that was sent to the copy and has not ended.
type request struct {
	id    uint64
	start time.Time
	stuck bool // has run longer than stuckSeconds
}

// state is the state of a Limiter. Limits are in slots.
type state struct {
	initialized     bool
	limit           float64
	limitBeforeIdle float64 // limit before the copy was idle, or zero
	debt            float64 // slot-seconds used beyond the limit
	smoothedLoad    float64 // moving average of the slots in use
	updatedAt       time.Time
	requests        []request
	durations       durationStats
	suspicion       float64   // sum of the deviations beyond slack, not below zero
	lastNormalAt    time.Time // last normal completion since resetAt
	resetAt         time.Time // last cold reset; outcomes of requests from before are ignored
	recoveryStart   time.Time // start of the last recovery time
	warmAt          time.Time // when the limit reached all slots, zero below
	warmupBackoff   int       // how often the warm-up time is doubled
	coldResets      int
	announcedLimit  float64
}

func (l *Limiter) started(id uint64) {
	now := l.advance()
	l.requests = append(l.requests, request{id: id, start: now})
}

func (l *Limiter) ended(id uint64, outcome Outcome) {
	now := l.advance()
	i := slices.IndexFunc(l.requests, func(r request) bool { return r.id == id })
	if i < 0 {
		return
	}
	start := l.requests[i].start
	l.requests = slices.Delete(l.requests, i, i+1)
	// Requests from before the last reset ran under the load that caused it.
	if outcome == OutcomeCancelled || start.Before(l.resetAt) {
		return
	}
	switch outcome {
	case OutcomeDone:
		l.completed(now, now.Sub(start))
	case OutcomeTimedOut:
		l.timedOut(now, start)
	case OutcomeOvertaken:
		l.overtaken(now.Sub(start))
	case OutcomeError:
		l.addSuspicion(maxDeviation - slack)
	default:
		l.resetToCold()
	}
}

// completed handles a complete answer that took d.
func (l *Limiter) completed(now time.Time, d time.Duration) {
	if l.addSuspicion(l.excess(d)) {
		return
	}
	l.durations.add(d)
	l.lastNormalAt = now
	if l.limitBeforeIdle > 0 {
		l.limit = min(l.limitBeforeIdle, l.limit*idleGrowthFactor)
	}
	if l.limit >= l.limitBeforeIdle {
		l.limitBeforeIdle = 0
	}
}

// overtaken handles a request that was abandoned after d. It would have taken at least that
// long. The limit doesn't grow.
func (l *Limiter) overtaken(d time.Duration) {
	if !l.addSuspicion(l.excess(d)) {
		l.durations.add(d)
	}
}

// timedOut handles a request that was abandoned at its deadline. If another request completed
// normally since its start, only its duration counts, since its deadline may have been short.
// Otherwise it counts with the maximum deviation.
func (l *Limiter) timedOut(now, start time.Time) {
	excess := l.excess(now.Sub(start))
	if !l.lastNormalAt.After(start) {
		excess = maxDeviation - slack
	}
	l.addSuspicion(excess)
}

// addSuspicion adds excess to the suspicion, and resets the limit above suspicionThreshold.
// It reports whether it did.
func (l *Limiter) addSuspicion(excess float64) (reset bool) {
	l.suspicion = max(0, l.suspicion+excess)
	if l.suspicion <= suspicionThreshold {
		return false
	}
	l.resetToCold()
	return true
}

// excess returns what a request that took d adds to the suspicion.
func (l *Limiter) excess(d time.Duration) float64 {
	return min(max(l.durations.zScore(d), minDeviation), maxDeviation) - slack
}

// resetToCold sets the limit to that of a cold copy and starts the recovery time. A copy that
// was reset before and is still at the cold limit only gets a new recovery time. Its later
// completions are still recorded, since its durations may have changed permanently.
func (l *Limiter) resetToCold() {
	l.recoveryStart = l.updatedAt
	l.suspicion = 0
	if l.limit <= l.coldLimit() && !l.resetAt.IsZero() {
		return
	}
	switch {
	case !l.warmAt.IsZero():
		l.warmupBackoff = 0
	case l.limit > minBackoffGrowth*l.coldLimit():
		l.warmupBackoff = min(l.warmupBackoff+1, maxWarmupBackoff)
	}
	l.coldResets++
	l.limit = l.coldLimit()
	l.limitBeforeIdle = 0
	l.warmAt, l.lastNormalAt = time.Time{}, time.Time{}
	l.resetAt = l.updatedAt
	l.durations.reduceWeight()
}

func (l *Limiter) tick() {
	now := l.advance()
	l.limitAfterIdle(now)
	suspicion := l.suspicion
	stuck := false
	stuckSeconds := l.durations.stuckSeconds()
	for i := range l.requests {
		r := &l.requests[i]
		age := now.Sub(r.start)
		r.stuck = r.stuck || age.Seconds() > stuckSeconds
		if r.start.Before(l.resetAt) {
			continue
		}
		suspicion += max(0, l.excess(age))
		stuck = stuck || (r.stuck && !l.lastNormalAt.After(r.start))
	}
	if stuck || suspicion > suspicionThreshold {
		l.resetToCold()
	}
}

// limitAfterIdle lowers the limit to one request if the copy has no requests and has completed
// none normally for idleSeconds, or none at all since it started or was reset.
func (l *Limiter) limitAfterIdle(now time.Time) {
	idle := l.lastNormalAt.IsZero() || now.Sub(l.lastNormalAt).Seconds() > idleSeconds
	if idle && len(l.requests) == 0 && l.limit > 1 && l.limitBeforeIdle == 0 {
		l.limitBeforeIdle = l.limit
		l.limit = 1
	}
}

// advance updates the debt, the smoothed load and the limit to the current time, and returns it.
func (l *Limiter) advance() (now time.Time) {
	now = l.now()
	if !l.initialized {
		l.initialize(now)
	}
	seconds := now.Sub(l.updatedAt).Seconds()
	if seconds <= 0 {
		return l.updatedAt
	}
	inFlight := float64(len(l.requests))
	l.debt = max(0, l.debt+(inFlight-l.limit)*seconds)
	l.smoothedLoad += (inFlight - l.smoothedLoad) * (1 - math.Exp(-seconds/loadTimeConstant))
	l.updatedAt = now
	l.grow(now, seconds)
	l.updateAnnouncedLimit()
	return now
}

func (l *Limiter) initialize(now time.Time) {
	l.initialized = true
	l.updatedAt = now
	l.limit = l.coldLimit()
	l.announcedLimit = l.limit
	l.durations.seed(l.TypicalDuration)
}

// grow raises the limit by a constant factor per second, as long as recent normal completions
// show that the copy keeps up. This exponential growth stays below a linear rise of the
// copy's real capacity.
func (l *Limiter) grow(now time.Time, seconds float64) {
	slots := float64(l.slots())
	window := max(minGrowthWindow, growthWindowFactor*l.durations.expectedSeconds()/l.limit)
	if l.limitBeforeIdle > 0 || l.limit >= slots || l.lastNormalAt.IsZero() || now.Sub(l.lastNormalAt).Seconds() > window {
		return
	}
	if l.suspicion > suspicionThreshold/2 {
		return
	}
	use := min(max(l.smoothedLoad/l.limit/fullGrowthUse, minGrowthShare), 1)
	rate := math.Log(slots/l.coldLimit()) / l.warmupTime().Seconds() / float64(int(1)<<l.warmupBackoff)
	l.limit = min(slots, l.limit*math.Exp(rate*use*seconds))
	if l.limit >= slots {
		l.warmAt = now
	}
}

func (l *Limiter) capacity() uint16 { return uint16(l.currentLimit() * Slot) }

// currentLimit returns the limit, also before the first event.
func (l *Limiter) currentLimit() float64 {
	if !l.initialized {
		return l.coldLimit()
	}
	return l.limit
}

func (l *Limiter) weight() uint16 {
	if !l.initialized {
		return l.capacity()
	}
	return uint16(l.announcedLimit * Slot)
}

// updateAnnouncedLimit lowers the announced limit at once and raises it in steps, so that
// records change seldom. The lower limit of an idle copy is not announced.
func (l *Limiter) updateAnnouncedLimit() {
	limit := max(l.limit, l.limitBeforeIdle)
	slots := float64(l.slots())
	if limit < l.announcedLimit || limit >= slots || limit >= l.announcedLimit+slots/weightSteps {
		l.announcedLimit = limit
	}
}

func (l *Limiter) load() uint16 { return uint16(min(l.smoothedLoad*Slot, math.MaxUint16)) }

// canSend reports whether one more request fits within the limit. If only a fraction of a slot
// is left, a request may be sent once the debt of earlier ones is paid off.
func (l *Limiter) canSend() bool {
	now := l.now()
	inFlight := float64(len(l.requests))
	if l.recovering(now) {
		return false
	}
	if inFlight+1 <= l.currentLimit() {
		return true
	}
	return inFlight < l.currentLimit() && l.debtAt(now) <= 0
}

// debtAt returns the debt at now, which is not before the last event.
func (l *Limiter) debtAt(now time.Time) float64 {
	if !l.initialized {
		return 0
	}
	return max(0, l.debt+(float64(len(l.requests))-l.limit)*now.Sub(l.updatedAt).Seconds())
}

func (l *Limiter) canSendAt() time.Time {
	if l.canSend() {
		return l.now()
	}
	inFlight := float64(len(l.requests))
	if inFlight >= l.currentLimit() {
		return time.Time{}
	}
	wait := l.debt / (l.currentLimit() - inFlight)
	at := l.updatedAt.Add(time.Duration(math.Ceil(wait * float64(time.Second))))
	if l.recovering(at) {
		return l.recoveryStart.Add(recoveryTime)
	}
	return at
}

// expectedWait computes how many of the requests at the copy have to end before another may
// be sent, and when that is expected from how long they have run.
func (l *Limiter) expectedWait() time.Duration {
	now := l.now()
	if at := l.canSendAt(); !at.IsZero() {
		return at.Sub(now)
	}
	remaining := make([]time.Duration, 0, len(l.requests))
	for _, r := range l.requests {
		remaining = append(remaining, l.remainingTime(now, r))
	}
	slices.Sort(remaining)
	mustEnd := len(l.requests) + 1 - max(int(l.currentLimit()), 1)
	return remaining[max(mustEnd, 1)-1]
}

// remainingTime returns how much longer a request is expected to run. A request that has run
// longer than half the expected duration is expected to run for its age again. A stuck request
// is expected never to end.
func (l *Limiter) remainingTime(now time.Time, r request) time.Duration {
	if r.stuck {
		return Never
	}
	age := now.Sub(r.start)
	return max(l.expectedDuration()-age, age)
}

// recovering reports whether now is within the recovery time after a cold reset.
func (l *Limiter) recovering(now time.Time) bool {
	return !l.recoveryStart.IsZero() && now.Before(l.recoveryStart.Add(recoveryTime))
}

func (l *Limiter) cold() bool { return max(l.currentLimit(), l.limitBeforeIdle) < float64(l.slots()) }

func (l *Limiter) expectedDuration() time.Duration {
	if !l.initialized && l.TypicalDuration > 0 {
		return l.TypicalDuration
	}
	return time.Duration(l.durations.expectedSeconds() * float64(time.Second))
}

// coldLimit returns the limit of a cold copy.
func (l *Limiter) coldLimit() float64 {
	percent := DefaultStartPercent
	if l.StartPercent != 0 {
		percent = l.StartPercent
	}
	return float64(l.slots()*percent) / 100
}

func (l *Limiter) slots() int {
	if l.Slots == 0 {
		return DefaultSlots
	}
	return l.Slots
}

func (l *Limiter) warmupTime() time.Duration {
	if l.WarmupTime == 0 {
		return DefaultWarmupTime
	}
	return l.WarmupTime
}

func (l *Limiter) now() time.Time {
	if l.Clock == nil {
		return time.Now()
	}
	return l.Clock.Now()
}
