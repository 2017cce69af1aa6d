package lentilagent

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// runClock is a clock that doesn't count the time in which the process waits for a processor. On an idle machine it
// runs as the system clock does. Beside other work, bounds on it are bounds on what the process does in the time that
// it gets.
type runClock struct {
	mu     sync.Mutex
	start  time.Time
	offset time.Duration
	timers map[*runTimer]bool
}

// runTimer calls fire at a time of its clock.
type runTimer struct {
	at   time.Duration
	fire func()
}

// clockTick is how often a runClock is updated.
const clockTick = 5 * time.Millisecond

// newRunClock starts a clock that runs until the end of the test.
func newRunClock(t *testing.T) (c *runClock) {
	c = &runClock{start: time.Now(), timers: make(map[*runTimer]bool)}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		last := time.Now()
		lastRan, lastWaited := schedulerTimes()
		for {
			select {
			case <-done:
				return
			case <-time.After(clockTick):
			}
			now := time.Now()
			ran, waited := schedulerTimes()
			c.advance(runnableTime(now.Sub(last), ran-lastRan, waited-lastWaited))
			last, lastRan, lastWaited = now, ran, waited
		}
	}()
	return c
}

// runnableTime returns how much of the elapsed time counts, if the threads of the process ran and waited for a
// processor for the given sums of times.
func runnableTime(elapsed, ran, waited time.Duration) time.Duration {
	if ran < 0 || waited <= 0 {
		return elapsed // Threads have ended, or none has waited.
	}
	lost := min(waited, time.Duration(float64(elapsed)*float64(waited)/float64(ran+waited)))
	return elapsed - lost
}

// schedulerTimes returns the sums of the times for which the threads of the process have run and waited for a
// processor; zero if the kernel doesn't tell.
func schedulerTimes() (ran, waited time.Duration) {
	files, _ := filepath.Glob("/proc/self/task/*/schedstat")
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			continue // The thread has ended.
		}
		var threadRan, threadWaited int64
		if _, err = fmt.Sscan(string(data), &threadRan, &threadWaited); err == nil {
			ran += time.Duration(threadRan)
			waited += time.Duration(threadWaited)
		}
	}
	return ran, waited
}

func (c *runClock) advance(d time.Duration) {
	c.mu.Lock()
	c.offset += d
	var due []*runTimer
	for timer := range c.timers {
		if timer.at <= c.offset {
			due = append(due, timer)
			delete(c.timers, timer)
		}
	}
	c.mu.Unlock()
	for _, timer := range due {
		timer.fire()
	}
}

// Now implements lentilclock.Clock.
func (c *runClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.start.Add(c.offset)
}

// WithTimeout is context.WithTimeout on this clock.
func (c *runClock) WithTimeout(parent context.Context, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &runTimer{at: c.offset + timeout, fire: func() { cancelCause(context.DeadlineExceeded) }}
	c.timers[timer] = true
	return ctx, func() {
		c.mu.Lock()
		delete(c.timers, timer)
		c.mu.Unlock()
		cancelCause(context.Canceled)
	}
}

func TestRunnableTime(t *testing.T) {
	for _, c := range []struct {
		name                       string
		elapsed, ran, waited, want time.Duration
	}{
		{"an idle process", 100, 0, 0, 100},
		{"a process that always gets a processor", 100, 250, 0, 100},
		{"a process that gets half of what it needs", 100, 50, 50, 50},
		{"several threads that get a tenth", 100, 40, 360, 10},
		{"a process that seldom needs a processor", 100, 1, 1, 99},
		{"a thread has ended", 100, -5, 3, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := runnableTime(c.elapsed, c.ran, c.waited); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
