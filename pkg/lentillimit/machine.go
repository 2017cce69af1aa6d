package lentillimit

import (
	"math"
	"slices"
	"time"
)

const (
	// smoothing is the time constant of Load, in seconds.
	smoothing = 4.0
	// slack is the deviation, in standard deviations, that counts as usual; alarm is the sum
	// of what goes beyond it at which the copy is taken as cold. Together they let pure
	// chance raise an alarm about once in exp(2*slack*alarm) requests.
	slack = 0.75
	alarm = 10.0
	// leastDeviation and mostDeviation bound what one request can add to the sum.
	leastDeviation = -2.0
	mostDeviation  = 5.0
	// hangDeviations, and the factors over the typical time that bound it, say when a
	// request is stuck. unknownHang, in seconds, holds if no time is known.
	hangDeviations = 4.0
	minHangFactor  = 3.0
	maxHangFactor  = 20.0
	unknownHang    = 2.0
	// maxFalls bounds how often the time to warm up doubles after repeated falls.
	maxFalls = 3
	// fallFactor is the growth over the start from which a fall counts as a failed try.
	fallFactor = 2.0
	// idleAfter is for how long, in seconds, a copy may give no normal completion
	// before it is trusted with one request at a time only.
	idleAfter = 10.0
	// resumeFactor is the growth for each normal completion after such a pause.
	resumeFactor = 1.25
	// lowUse is the share of what the copy bears at whose use the level grows at full speed,
	// and leastUse is the share of that speed for a copy that is hardly used.
	lowUse   = 0.5
	leastUse = 0.25
	// evidence is for how many expected times a normal completion lets the level
	// grow, and leastEvidence is the least such time in seconds.
	evidence      = 4.0
	leastEvidence = 1.0
	// rest is for how long a copy that has fallen gets nothing, so that it recovers from
	// what made it fall.
	rest = time.Second
	// weightSteps is in how many steps Weight rises.
	weightSteps = 10
)

// flight is a request at the copy.
type flight struct {
	id    uint64
	start time.Time
	stuck bool // was taken as stuck
}

// machine is the state of a Limiter. Levels are in slots.
type machine struct {
	begun     bool
	level     float64
	resume    float64 // level before a pause, or zero
	debt      float64 // slot-seconds used beyond the level
	busy      float64 // smoothed slots in use
	at        time.Time
	flights   []flight
	times     times
	suspicion float64
	normalAt  time.Time // last normal completion
	fellAt    time.Time // what began before says nothing of the copy since
	restsFrom time.Time
	fullAt    time.Time // when all slots were reached, zero below
	falls     int
	allFalls  int
	announced float64
}

func (l *Limiter) started(id uint64) {
	now := l.advance()
	l.flights = append(l.flights, flight{id: id, start: now})
}

func (l *Limiter) ended(id uint64, outcome Outcome) {
	now := l.advance()
	i := slices.IndexFunc(l.flights, func(f flight) bool { return f.id == id })
	if i < 0 {
		return
	}
	start := l.flights[i].start
	l.flights = slices.Delete(l.flights, i, i+1)
	// Requests from before the last fall ended under the load that caused it.
	if outcome == OutcomeCancelled || start.Before(l.fellAt) {
		return
	}
	switch outcome {
	case OutcomeDone:
		l.completed(now, now.Sub(start))
	case OutcomeTimedOut:
		l.timedOut(now, start)
	case OutcomeError:
		l.suspect(mostDeviation - slack)
	default:
		l.fall()
	}
}

// completed weighs a whole answer that took d.
func (l *Limiter) completed(now time.Time, d time.Duration) {
	if l.suspect(l.excess(d)) {
		return
	}
	l.times.learn(d)
	l.normalAt = now
	if l.resume > 0 {
		l.level = min(l.resume, l.level*resumeFactor)
	}
	if l.level >= l.resume {
		l.resume = 0
	}
}

// timedOut weighs a request that was given up. A short deadline says little of a copy that
// answers others in the meantime.
func (l *Limiter) timedOut(now, start time.Time) {
	excess := l.excess(now.Sub(start))
	if !l.normalAt.After(start) {
		excess = mostDeviation - slack
	}
	l.suspect(excess)
}

// suspect adds evidence of slowness, and falls if there is enough.
func (l *Limiter) suspect(excess float64) (fell bool) {
	l.suspicion = max(0, l.suspicion+excess)
	if l.suspicion <= alarm {
		return false
	}
	l.fall()
	return true
}

// excess returns what a request that took d adds to the suspicion.
func (l *Limiter) excess(d time.Duration) float64 {
	return min(max(l.times.deviation(d), leastDeviation), mostDeviation) - slack
}

// fall takes the copy as cold. At a copy that is at its start already nothing was gained that
// could be lost: it only rests, and is learned from, since its times may have changed for good.
func (l *Limiter) fall() {
	l.restsFrom = l.at
	l.suspicion = 0
	if l.level <= l.start() && !l.fellAt.IsZero() {
		return
	}
	switch {
	case !l.fullAt.IsZero():
		l.falls = 0
	case l.level > fallFactor*l.start():
		l.falls = min(l.falls+1, maxFalls)
	}
	l.allFalls++
	l.level = l.start()
	l.resume = 0
	l.fullAt, l.normalAt = time.Time{}, time.Time{}
	l.fellAt = l.at
	l.times.doubt()
}

func (l *Limiter) tick() {
	now := l.advance()
	l.pause(now)
	running := l.suspicion
	stuck := false
	hung := l.times.hung()
	for i := range l.flights {
		f := &l.flights[i]
		age := now.Sub(f.start)
		f.stuck = f.stuck || age.Seconds() > hung
		if f.start.Before(l.fellAt) {
			continue
		}
		running += max(0, l.excess(age))
		stuck = stuck || (f.stuck && !l.normalAt.After(f.start))
	}
	if stuck || running > alarm {
		l.fall()
	}
}

// pause trusts a copy that was not used for long with one request at a time.
func (l *Limiter) pause(now time.Time) {
	rested := l.normalAt.IsZero() || now.Sub(l.normalAt).Seconds() > idleAfter
	if rested && len(l.flights) == 0 && l.level > 1 && l.resume == 0 {
		l.resume = l.level
		l.level = 1
	}
}

// advance carries debt, smoothed load and growth up to now.
func (l *Limiter) advance() (now time.Time) {
	now = l.now()
	if !l.begun {
		l.begin(now)
	}
	seconds := now.Sub(l.at).Seconds()
	if seconds <= 0 {
		return l.at
	}
	inFlight := float64(len(l.flights))
	l.debt = max(0, l.debt+(inFlight-l.level)*seconds)
	l.busy += (inFlight - l.busy) * (1 - math.Exp(-seconds/smoothing))
	l.at = now
	l.grow(now, seconds)
	l.announce()
	return now
}

func (l *Limiter) begin(now time.Time) {
	l.begun = true
	l.at = now
	l.level = l.start()
	l.announced = l.level
	l.times.hint(l.Typical)
}

// grow raises the level by a constant factor a second, while normal completions show
// that the copy bears it. A factor stays below any even rise of what the copy bears.
func (l *Limiter) grow(now time.Time, seconds float64) {
	full := float64(l.slots())
	recent := max(leastEvidence, evidence*l.times.expected()/l.level)
	if l.resume > 0 || l.level >= full || l.normalAt.IsZero() || now.Sub(l.normalAt).Seconds() > recent {
		return
	}
	if l.suspicion > alarm/2 {
		return
	}
	use := min(max(l.busy/l.level/lowUse, leastUse), 1)
	rate := math.Log(full/l.start()) / l.warm().Seconds() / float64(int(1)<<l.falls)
	l.level = min(full, l.level*math.Exp(rate*use*seconds))
	if l.level >= full {
		l.fullAt = now
	}
}

func (l *Limiter) bears() uint16 { return uint16(l.current() * Slot) }

// current returns the level, also before the first event.
func (l *Limiter) current() float64 {
	if !l.begun {
		return l.start()
	}
	return l.level
}

func (l *Limiter) weight() uint16 {
	if !l.begun {
		return l.bears()
	}
	return uint16(l.announced * Slot)
}

// announce follows the level: down at once, up in steps, so that records change seldom. A
// pause is not announced.
func (l *Limiter) announce() {
	level := max(l.level, l.resume)
	full := float64(l.slots())
	if level < l.announced || level >= full || level >= l.announced+full/weightSteps {
		l.announced = level
	}
}

func (l *Limiter) load() uint16 { return uint16(min(l.busy*Slot, math.MaxUint16)) }

// free reports whether one more request fits below the level, or, for the last part of a
// slot, whether the work beyond the level has been made up for.
func (l *Limiter) free() bool {
	now := l.now()
	inFlight := float64(len(l.flights))
	if l.resting(now) {
		return false
	}
	if inFlight+1 <= l.current() {
		return true
	}
	return inFlight < l.current() && l.debtAt(now) <= 0
}

// debtAt returns the debt at a time after the last event.
func (l *Limiter) debtAt(now time.Time) float64 {
	if !l.begun {
		return 0
	}
	return max(0, l.debt+(float64(len(l.flights))-l.level)*now.Sub(l.at).Seconds())
}

func (l *Limiter) freeAt() time.Time {
	if l.free() {
		return l.now()
	}
	inFlight := float64(len(l.flights))
	if inFlight >= l.current() {
		return time.Time{}
	}
	wait := l.debt / (l.current() - inFlight)
	at := l.at.Add(time.Duration(math.Ceil(wait * float64(time.Second))))
	if l.resting(at) {
		return l.restsFrom.Add(rest)
	}
	return at
}

// opens looks at how many of the requests at the copy have to end before there is room, and
// at how long they have run.
func (l *Limiter) opens() time.Duration {
	now := l.now()
	if at := l.freeAt(); !at.IsZero() {
		return at.Sub(now)
	}
	remaining := make([]time.Duration, 0, len(l.flights))
	for _, f := range l.flights {
		remaining = append(remaining, l.remaining(now, f))
	}
	slices.Sort(remaining)
	mustEnd := len(l.flights) + 1 - max(int(l.current()), 1)
	return remaining[max(mustEnd, 1)-1]
}

// remaining returns how long a request is expected to run on: one that has run longer than
// usual as long again, and one that looks stuck without an end.
func (l *Limiter) remaining(now time.Time, f flight) time.Duration {
	if f.stuck {
		return Never
	}
	age := now.Sub(f.start)
	return max(l.expected()-age, age)
}

// resting reports whether the copy still recovers from a fall at that time.
func (l *Limiter) resting(now time.Time) bool {
	return !l.restsFrom.IsZero() && now.Before(l.restsFrom.Add(rest))
}

func (l *Limiter) cold() bool { return max(l.current(), l.resume) < float64(l.slots()) }

func (l *Limiter) expected() time.Duration {
	if !l.begun && l.Typical > 0 {
		return l.Typical
	}
	return time.Duration(l.times.expected() * float64(time.Second))
}

// start returns the level of a cold copy.
func (l *Limiter) start() float64 {
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

func (l *Limiter) warm() time.Duration {
	if l.Warm == 0 {
		return DefaultWarm
	}
	return l.Warm
}

func (l *Limiter) now() time.Time {
	if l.Clock == nil {
		return time.Now()
	}
	return l.Clock.Now()
}
