package lentillimit

import "time"

// machine is the state of a Limiter.
type machine struct {
	flights map[uint64]time.Time
}

func (l *Limiter) started(id uint64) {
	if l.flights == nil {
		l.flights = make(map[uint64]time.Time)
	}
	l.flights[id] = l.now()
}

func (l *Limiter) ended(id uint64, _ Outcome) { delete(l.flights, id) }

func (l *Limiter) tick() {}

func (l *Limiter) bears() uint16 { return uint16(l.slots() * Slot) }

func (l *Limiter) weight() uint16 { return l.bears() }

func (l *Limiter) load() uint16 { return uint16(len(l.flights) * Slot) }

func (l *Limiter) free() bool { return len(l.flights) < l.slots() }

func (l *Limiter) freeAt() time.Time { return time.Time{} }

func (l *Limiter) cold() bool { return false }

func (l *Limiter) expected() time.Duration { return max(l.Typical, time.Millisecond) }

func (l *Limiter) slots() int {
	if l.Slots == 0 {
		return DefaultSlots
	}
	return l.Slots
}

func (l *Limiter) now() time.Time {
	if l.Clock == nil {
		return time.Now()
	}
	return l.Clock.Now()
}
