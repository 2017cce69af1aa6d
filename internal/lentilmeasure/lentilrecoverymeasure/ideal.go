package lentilrecoverymeasure

import (
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/internal/lentilschedule"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Times of clients and of the network.
const (
	// openTime is the time in which a flow opens and its request arrives, and answerTime that of the answer.
	openTime   = 12 * time.Millisecond
	answerTime = 6 * time.Millisecond
	// retryDelay is the time between the end of a try and the next one.
	retryDelay = 5 * time.Millisecond
	// promptAge is the age up to which a flow that leaves the queue is in time.
	promptAge = 100 * time.Millisecond
)

// openDelays are the times at which clients send the first packet of a flow and its copies.
var openDelays = [...]time.Duration{0, 200 * time.Millisecond, lentilflow.LastOpeningAge}

// idealSite is a site whose copies share one queue and lose nothing but the power. Times count from its start. It
// serves the flows first that can be in time, and then the oldest ones.
type idealSite struct {
	random         *rand.Rand
	load           float64
	returnAt       time.Duration
	knowsTrueAge   bool
	schedule       lentilschedule.Schedule
	requests       []*request
	waiting        map[*request]bool
	busy, capacity int
}

// request is a client's request and its current try.
type request struct {
	at, triedAt  time.Duration
	tries        int
	open, served bool
	answeredAt   time.Duration
}

func newIdealSite(seed uint64, load float64, down time.Duration, knowsTrueAge bool) *idealSite {
	return &idealSite{
		random: rand.New(rand.NewPCG(seed, 1)), load: load, returnAt: lostAt + down + restartTime, knowsTrueAge: knowsTrueAge,
		waiting: make(map[*request]bool), capacity: domains * upstreamsPerDomain * slots,
	}
}

func (s *idealSite) now() time.Duration { return s.schedule.Elapsed() }

func (s *idealSite) hasPower() bool { return s.now() < lostAt || s.now() >= s.returnAt }

// run lets requests arrive until some time after the return, and counts them.
func (s *idealSite) run() (outage, afterwards counts) {
	powerAt := s.returnAt - restartTime
	for at := time.Duration(0); at < powerAt+after; at += time.Duration(s.random.ExpFloat64() / arrivalRate(s.load) * float64(time.Second)) {
		r := &request{at: at}
		s.requests = append(s.requests, r)
		s.schedule.After(at, func() { s.try(r) })
	}
	s.schedule.After(lostAt, func() { s.busy = 0 })
	s.schedule.After(s.returnAt, s.serve)
	s.schedule.RunUntil(s.schedule.Now().Add(powerAt + after + tries*deadline))
	for _, r := range s.requests {
		c := counts{due: 1}
		switch {
		case r.served && r.answeredAt-r.at <= target:
			c.inTime = 1
		case r.served:
			c.late = 1
		}
		switch {
		case r.at >= lostAt && r.at < powerAt:
			outage.add(c)
		case r.at >= powerAt:
			afterwards.add(c)
		}
	}
	return outage, afterwards
}

// try begins a try of a request, if its client still waits.
func (s *idealSite) try(r *request) {
	if r.tries >= tries || s.now()-r.at >= deadline {
		return
	}
	r.tries++
	r.triedAt, r.open = s.now(), false
	number := r.tries
	for _, delay := range openDelays {
		s.schedule.After(delay, func() {
			if r.tries == number && !r.open && s.hasPower() {
				s.waiting[r] = true
				s.serve()
			}
		})
	}
	s.schedule.After(lentilflow.OpeningTimeout, func() {
		if r.tries == number && !r.open {
			delete(s.waiting, r)
			s.schedule.After(retryDelay, func() { s.try(r) })
		}
	})
}

// serve opens waiting flows while there are free slots.
func (s *idealSite) serve() {
	for s.hasPower() && s.busy < s.capacity && len(s.waiting) > 0 {
		r := s.next()
		delete(s.waiting, r)
		r.open = true
		s.busy++
		duration := time.Duration(s.random.ExpFloat64() * float64(serviceTime))
		if s.now() >= s.returnAt && s.now() < s.returnAt+coldFor {
			duration = time.Duration(coldSlowness * float64(duration))
		}
		begunAt := s.now()
		s.schedule.After(openTime+duration, func() {
			if begunAt < lostAt && s.now() >= lostAt {
				// The client learns of the end of its flow when it sends again after the return.
				s.schedule.After(max(0, s.returnAt-s.now()), func() { s.try(r) })
				return
			}
			s.busy--
			if answeredAt := s.now() + answerTime; answeredAt-r.at < deadline {
				r.served, r.answeredAt = true, answeredAt
			}
			s.serve()
		})
	}
}

// next returns the flow to serve: the newest one that can be in time, or else the oldest one.
func (s *idealSite) next() (best *request) {
	since := func(r *request) time.Duration {
		if s.knowsTrueAge {
			return r.at
		}
		return r.triedAt
	}
	prompt := func(r *request) bool { return s.now()-since(r) <= promptAge }
	for r := range s.waiting {
		switch {
		case best == nil, prompt(r) && !prompt(best):
			best = r
		case prompt(r) != prompt(best):
		case prompt(r) == (since(r) > since(best)) && since(r) != since(best):
			best = r
		}
	}
	return best
}
