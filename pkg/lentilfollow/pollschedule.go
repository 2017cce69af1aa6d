package lentilfollow

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// minPollInterval is the minimum time between two polls of the store. A change that no watch has reported
	// is then found well within the 3 s after which it must be in force.
	minPollInterval = 800 * time.Millisecond
	// pollJitter is the minimum range of the random part of the interval. With many processes the range is
	// pollJitterPerProcess for each of them: it takes half a second until the others learn of a poll, and
	// about five processes poll in that time.
	pollJitter           = 400 * time.Millisecond
	pollJitterPerProcess = 100 * time.Millisecond
)

// PollSchedule decides when a process polls the store although no watch has reported a change. A watch may be
// disconnected without an error, and then misses changes. The processes share the polls: one of them
// polls, and reports the result to the others.
//
// The zero PollSchedule is ready to use. It is not safe for concurrent use.
type PollSchedule struct {
	// Clock provides the time; nil means the system clock.
	Clock lentilclock.Clock
	// Random returns uniformly distributed numbers in [0, 1); nil means that they are all 0.
	Random func() float64

	// processCount is the number of processes that share the polls; zero means one.
	processCount int
	// checkedAt is the time of the last successful poll by any process.
	checkedAt time.Time
	// attemptedAt is the time of this process's last poll, whether the store answered or not.
	attemptedAt time.Time
	// interval is the time from the later of both to the next poll; zero until it is drawn.
	interval time.Duration
}

func (s *PollSchedule) now() time.Time { return lentilclock.OrSystem(s.Clock).Now() }

// ProcessCount returns the number of processes that share the polls, or zero if it isn't known.
func (s *PollSchedule) ProcessCount() int { return s.processCount }

// SetProcessCount sets the number of processes that share the polls. The time of the next poll is drawn again if there are
// many more than before, as when a process that has just started learns of the others: else all that start together poll.
func (s *PollSchedule) SetProcessCount(count int) {
	if count > 2*s.processCount {
		s.interval = 0
	}
	s.processCount = count
}

// RecordCheck records that some process has polled the store at the given time ago and has reported the result.
func (s *PollSchedule) RecordCheck(ago time.Duration) {
	if at := s.now().Add(-ago); at.After(s.checkedAt) {
		s.checkedAt, s.interval = at, 0
	}
}

// RecordAttempt records that this process has polled the store, and whether the store answered. A poll without
// an answer doesn't count as a check, as the other processes would rely on it.
func (s *PollSchedule) RecordAttempt(answered bool) {
	s.attemptedAt, s.interval = s.now(), 0
	if answered {
		s.RecordCheck(0)
	}
}

// CheckedAgo returns the time since the last successful poll by any process, as far as this one knows. It returns
// one hour if none is known.
func (s *PollSchedule) CheckedAgo() time.Duration {
	if s.checkedAt.IsZero() {
		return time.Hour
	}
	return s.now().Sub(s.checkedAt)
}

// UntilDue returns the time until this process must poll the store, unless RecordCheck reports a poll by another
// process before.
func (s *PollSchedule) UntilDue() (remaining time.Duration) {
	if s.checkedAt.IsZero() && s.attemptedAt.IsZero() {
		s.attemptedAt = s.now()
	}
	if s.interval == 0 {
		s.interval = minPollInterval
		if s.Random != nil {
			jitter := max(pollJitter, time.Duration(s.processCount)*pollJitterPerProcess)
			s.interval += time.Duration(s.Random() * float64(jitter))
		}
	}
	return max(0, s.interval-min(s.CheckedAgo(), s.now().Sub(s.attemptedAt)))
}
