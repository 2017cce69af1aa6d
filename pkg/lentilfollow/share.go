package lentilfollow

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// minPollInterval is the least time between two looks at the store: a change that no watch has told
	// of is then found well within the 3 s after which it is to be in force.
	minPollInterval = 800 * time.Millisecond
	// pollJitter is the random part of the time, and sharePerProcess what it grows by with the number of
	// processes: word of a look takes half a second to spread, and some five processes look in that time.
	pollJitter           = 400 * time.Millisecond
	pollJitterPerProcess = 100 * time.Millisecond
)

// PollSchedule decides when a process reads the store though no watch has told of a change. Watches can go
// deaf, so somebody has to look; one process does, and the others hear of it.
//
// The zero PollSchedule is ready to use. It is not safe for concurrent use.
type PollSchedule struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Random returns evenly spread numbers in [0, 1); nil is always 0.
	Random func() float64
	// ProcessCount is how many processes share the work; zero is one.
	ProcessCount int

	checkedAt time.Time
	// attemptedAt is when this process last tried, whether it got an answer or not.
	attemptedAt time.Time
	interval    time.Duration
}

func (s *PollSchedule) now() time.Time { return lentilclock.OrSystem(s.Clock).Now() }

// RecordCheck tells that some process has read the store so long ago and spread what it found.
func (s *PollSchedule) RecordCheck(ago time.Duration) {
	if at := s.now().Add(-ago); at.After(s.checkedAt) {
		s.checkedAt, s.interval = at, 0
	}
}

// RecordAttempt tells that this process has asked the store, and whether it got an answer. Without one,
// nobody else must believe that the store was read.
func (s *PollSchedule) RecordAttempt(answered bool) {
	s.attemptedAt, s.interval = s.now(), 0
	if answered {
		s.RecordCheck(0)
	}
}

// CheckedAgo returns how long ago the store was read by any process, as far as this one knows.
func (s *PollSchedule) CheckedAgo() time.Duration {
	if s.checkedAt.IsZero() {
		return time.Hour
	}
	return s.now().Sub(s.checkedAt)
}

// UntilDue returns after how long this process should read the store, unless Checked says that another
// one has.
func (s *PollSchedule) UntilDue() (after time.Duration) {
	if s.checkedAt.IsZero() && s.attemptedAt.IsZero() {
		s.attemptedAt = s.now()
	}
	if s.interval == 0 {
		s.interval = minPollInterval
		if s.Random != nil {
			spread := max(pollJitter, time.Duration(s.ProcessCount)*pollJitterPerProcess)
			s.interval += time.Duration(s.Random() * float64(spread))
		}
	}
	return max(0, s.interval-min(s.CheckedAgo(), s.now().Sub(s.attemptedAt)))
}
