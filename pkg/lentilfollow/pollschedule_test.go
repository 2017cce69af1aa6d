package lentilfollow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// TestPollScheduleSharesPolls simulates processes that share the polls of the store. It checks that polls are
// frequent enough to find a change in time, and rare enough for the store.
func TestPollScheduleSharesPolls(t *testing.T) {
	for _, processes := range []int{1, 4, 24, 200} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			clock := &lentilclock.Fake{}
			random := rand.New(rand.NewPCG(1, uint64(processes)))
			schedules := make([]*PollSchedule, processes)
			for i := range schedules {
				schedules[i] = &PollSchedule{Clock: clock, Random: random.Float64}
				schedules[i].SetProcessCount(processes)
			}
			const step, duration, propagation = 20 * time.Millisecond, 60 * time.Second, 500 * time.Millisecond
			type poll struct{ at time.Time }
			// recent holds the polls that the other processes don't know of yet. count is the number of all polls.
			var recent []poll
			count := 0
			var lastPoll time.Time
			var longestGap time.Duration
			for at := time.Duration(0); at < duration; at += step {
				clock.Advance(step)
				recent = slices.DeleteFunc(recent, func(p poll) bool { return clock.Now().Sub(p.at) >= propagation+step })
				for _, s := range schedules {
					for _, p := range recent {
						if ago := clock.Now().Sub(p.at); ago >= propagation && ago < propagation+step {
							s.RecordCheck(ago)
						}
					}
					if s.UntilDue() == 0 {
						s.RecordAttempt(true)
						recent = append(recent, poll{at: clock.Now()})
						count++
						if !lastPoll.IsZero() {
							longestGap = max(longestGap, clock.Now().Sub(lastPoll))
						}
						lastPoll = clock.Now()
					}
				}
			}
			// A change must be in force within 3 s. Of these, half a second is for the notification of the other
			// processes, and some time for reading the change.
			if maxGap := 2 * time.Second; longestGap > maxGap && processes <= 24 {
				t.Errorf("no process polled for %s, maximum %s", longestGap, maxGap)
			}
			// At the planned size, the store serves 2,000 reads per second for all purposes.
			if maxPolls := 10 * int(duration/time.Second); count > maxPolls {
				t.Errorf("%d polls in %s, maximum %d", count, duration, maxPolls)
			}
		})
	}
}

// TestPollScheduleAtStart plays processes that start together, read the store, and learn some time later how many they are.
// Few of them may poll again before they have heard of another one's poll.
func TestPollScheduleAtStart(t *testing.T) {
	const processes, learnAfter, propagation, step = 24, 60 * time.Millisecond, 500 * time.Millisecond, 20 * time.Millisecond
	clock := &lentilclock.Fake{}
	random := rand.New(rand.NewPCG(1, 1))
	var schedules []*PollSchedule
	for range processes {
		s := &PollSchedule{Clock: clock, Random: random.Float64}
		s.UntilDue()
		s.RecordCheck(0)
		s.UntilDue()
		schedules = append(schedules, s)
	}
	polls := 0
	var firstAt time.Duration
	for at := step; polls == 0 || at < firstAt+propagation; at += step {
		clock.Advance(step)
		for _, s := range schedules {
			if at == learnAfter {
				s.SetProcessCount(processes)
			}
			if s.UntilDue() == 0 {
				s.RecordAttempt(true)
				if polls++; polls == 1 {
					firstAt = at
				}
			}
		}
	}
	if polls > processes/3 || firstAt < minPollInterval {
		t.Errorf("%d of %d processes poll before they can know of the first poll, which is after %s", polls, processes, firstAt)
	}
}

func TestPollScheduleFailedAttemptIsNoCheck(t *testing.T) {
	clock := &lentilclock.Fake{}
	s := &PollSchedule{Clock: clock}
	s.UntilDue()
	clock.Advance(time.Minute)
	s.RecordAttempt(false)
	if ago := s.CheckedAgo(); ago < time.Minute {
		t.Errorf("after a poll without an answer: store checked %s ago", ago)
	}
	if due := s.UntilDue(); due <= 0 {
		t.Errorf("after a poll without an answer: the next one is due immediately")
	}
}
