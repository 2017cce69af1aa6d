package lentillimit

import (
	"math"
	"slices"
	"time"
)

const (
	// loadTimeConstant is the time constant of Load, in seconds.
	loadTimeConstant = 4.0
	// slack is the deviation, in standard deviations, that counts as usual; alarm is the sum
	// of what goes beyond it at which the copy is taken as cold. Together they let pure
	// chance raise an alarm about once in exp(2*slack*alarm) requests.
	slack              = 0.75
	suspicionThreshold = 10.0
	// minDeviation and mostDeviation bound what one request can add to the sum.
	minDeviation = -2.0
	maxDeviation = 5.0
	// stuckDeviations, and the factors over the typical time that bound it, say when a
	// request is stuck. unknownHang, in seconds, holds if no time is known.
	stuckDeviations     = 4.0
	minStuckFactor      = 3.0
	maxStuckFactor      = 20.0
	defaultStuckSeconds = 2.0
	// maxWarmupBackoff bounds how often the time to warm up doubles after repeated falls.
	maxWarmupBackoff = 3
	// minBackoffGrowth is the growth over the start from which a fall counts as a failed try.
	minBackoffGrowth = 2.0
	// idleSeconds is for how long, in seconds, a copy may give no normal completion
	// before it is trusted with one request at a time only.
	idleSeconds = 10.0
	// idleGrowthFactor is the growth for each normal completion after such a pause.
	idleGrowthFactor = 1.25
	// fullGrowthUse is the share of what the copy bears at whose use the level grows at full speed,
	// and leastUse is the share of that speed for a copy that is hardly used.
	fullGrowthUse  = 0.5
	minGrowthShare = 0.25
	// growthWindowFactor is for how many expected times a normal completion lets the level
	// grow, and leastEvidence is the least such time in seconds.
	growthWindowFactor = 4.0
	minGrowthWindow    = 1.0
	// recoveryTime is for how long a copy that has fallen gets nothing, so that it recovers from
	// what made it fall.
	recoveryTime = time.Second
	// weightSteps is in how many steps Weight rises.
	weightSteps = 10
)

// request is a request at the copy.
type request struct {
	id    uint64
	start time.Time
	stuck bool // was taken as stuck
}

// state is the state of a Limiter. Levels are in slots.
type state struct {
	initialized     bool
	limit           float64
	limitBeforeIdle float64 // level before a pause, or zero
	debt            float64 // slot-seconds used beyond the level
	smoothedLoad    float64 // smoothed slots in use
	updatedAt       time.Time
	requests        []request
	durations       durationStats
	suspicion       float64
	lastNormalAt    time.Time // last normal completion
	resetAt         time.Time // what began before says nothing of the copy since
	recoveryStart   time.Time
	warmAt          time.Time // when all slots were reached, zero below
	warmupBackoff   int
	coldResets      int
	announcedLimit  float64
}

func (l *Limiter) started(id uint64) {
	now := l.advance()
	l.requests = append(l.requests, request{id: id, start: now})
}

func (l *Limiter) ended(id uint64, outcome Outcome) {
	now := l.advance()
	i := slices.IndexFunc(l.requests, func(f request) bool { return f.id == id })
	if i < 0 {
		return
	}
	start := l.requests[i].start
	l.requests = slices.Delete(l.requests, i, i+1)
	// Requests from before the last fall ended under the load that caused it.
	if outcome == OutcomeCancelled || start.Before(l.resetAt) {
		return
	}
	switch outcome {
	case OutcomeDone:
		l.completed(now, now.Sub(start))
	case OutcomeTimedOut:
		l.timedOut(now, start)
	case OutcomeError:
		l.addSuspicion(maxDeviation - slack)
	default:
		l.resetToCold()
	}
}

// completed weighs a whole answer that took d.
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

// timedOut weighs a request that was given up. A short deadline says little of a copy that
// answers others in the meantime.
func (l *Limiter) timedOut(now, start time.Time) {
	excess := l.excess(now.Sub(start))
	if !l.lastNormalAt.After(start) {
		excess = maxDeviation - slack
	}
	l.addSuspicion(excess)
}

// addSuspicion adds evidence of slowness, and falls if there is enough.
func (l *Limiter) addSuspicion(excess float64) (fell bool) {
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

// resetToCold takes the copy as cold. At a copy that is at its start already nothing was gained that
// could be lost: it only rests, and is learned from, since its times may have changed for good.
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
	running := l.suspicion
	stuck := false
	hung := l.durations.stuckSeconds()
	for i := range l.requests {
		f := &l.requests[i]
		age := now.Sub(f.start)
		f.stuck = f.stuck || age.Seconds() > hung
		if f.start.Before(l.resetAt) {
			continue
		}
		running += max(0, l.excess(age))
		stuck = stuck || (f.stuck && !l.lastNormalAt.After(f.start))
	}
	if stuck || running > suspicionThreshold {
		l.resetToCold()
	}
}

// limitAfterIdle trusts a copy that was not used for long with one request at a time.
func (l *Limiter) limitAfterIdle(now time.Time) {
	rested := l.lastNormalAt.IsZero() || now.Sub(l.lastNormalAt).Seconds() > idleSeconds
	if rested && len(l.requests) == 0 && l.limit > 1 && l.limitBeforeIdle == 0 {
		l.limitBeforeIdle = l.limit
		l.limit = 1
	}
}

// advance carries debt, smoothed load and growth up to now.
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

// grow raises the level by a constant factor a second, while normal completions show
// that the copy bears it. A factor stays below any even rise of what the copy bears.
func (l *Limiter) grow(now time.Time, seconds float64) {
	full := float64(l.slots())
	recent := max(minGrowthWindow, growthWindowFactor*l.durations.expectedSeconds()/l.limit)
	if l.limitBeforeIdle > 0 || l.limit >= full || l.lastNormalAt.IsZero() || now.Sub(l.lastNormalAt).Seconds() > recent {
		return
	}
	if l.suspicion > suspicionThreshold/2 {
		return
	}
	use := min(max(l.smoothedLoad/l.limit/fullGrowthUse, minGrowthShare), 1)
	rate := math.Log(full/l.coldLimit()) / l.warmupTime().Seconds() / float64(int(1)<<l.warmupBackoff)
	l.limit = min(full, l.limit*math.Exp(rate*use*seconds))
	if l.limit >= full {
		l.warmAt = now
	}
}

func (l *Limiter) capacity() uint16 { return uint16(l.currentLimit() * Slot) }

// currentLimit returns the level, also before the first event.
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

// updateAnnouncedLimit follows the level: down at once, up in steps, so that records change seldom. A
// pause is not announced.
func (l *Limiter) updateAnnouncedLimit() {
	level := max(l.limit, l.limitBeforeIdle)
	full := float64(l.slots())
	if level < l.announcedLimit || level >= full || level >= l.announcedLimit+full/weightSteps {
		l.announcedLimit = level
	}
}

func (l *Limiter) load() uint16 { return uint16(min(l.smoothedLoad*Slot, math.MaxUint16)) }

// canSend reports whether one more request fits below the level, or, for the last part of a
// slot, whether the work beyond the level has been made up for.
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

// debtAt returns the debt at a time after the last event.
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

// expectedWait looks at how many of the requests at the copy have to end before there is room, and
// at how long they have run.
func (l *Limiter) expectedWait() time.Duration {
	now := l.now()
	if at := l.canSendAt(); !at.IsZero() {
		return at.Sub(now)
	}
	remaining := make([]time.Duration, 0, len(l.requests))
	for _, f := range l.requests {
		remaining = append(remaining, l.remainingTime(now, f))
	}
	slices.Sort(remaining)
	mustEnd := len(l.requests) + 1 - max(int(l.currentLimit()), 1)
	return remaining[max(mustEnd, 1)-1]
}

// remainingTime returns how long a request is expected to run on: one that has run longer than
// usual as long again, and one that looks stuck without an end.
func (l *Limiter) remainingTime(now time.Time, f request) time.Duration {
	if f.stuck {
		return Never
	}
	age := now.Sub(f.start)
	return max(l.expectedDuration()-age, age)
}

// recovering reports whether the copy still recovers from a fall at that time.
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

// coldLimit returns the level of a cold copy.
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
