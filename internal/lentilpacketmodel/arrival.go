package lentilpacketmodel

import (
	"cmp"
	"time"
)

// arrival is a request of a simulation with Setup.ArrivalRate.
type arrival struct {
	at          time.Time
	retriesLeft int
	// repeatable requests may be sent again after their flow was open.
	repeatable bool
	// upload is set for requests that send Setup.UploadBytes.
	upload bool
}

const (
	// unrepeatableEvery selects one of so many arrivals, which may not be repeated.
	unrepeatableEvery = 6
	// retryDelay is the time between the end of an attempt and the next one.
	retryDelay = 5 * time.Millisecond
)

// arrive lets an idle client make a request, and schedules the next arrival.
func (s *Simulation) arrive() {
	if s.arrivalsStopped {
		return
	}
	s.After(time.Duration(s.Random.ExpFloat64()/s.Setup.ArrivalRate*float64(time.Second)), s.arrive)
	c := s.idleClient()
	s.Stats.Due++
	s.periodAt(s.Clock.Now()).Due++
	c.arrival = &arrival{at: s.Clock.Now(), retriesLeft: s.Setup.Retries, repeatable: s.Stats.Due%unrepeatableEvery != 0}
	if s.Setup.UploadBytes > 0 && s.Stats.Due%uploadEvery == 0 {
		c.arrival.upload = true
	}
	c.domain = s.Random.IntN(s.Setup.Domains)
	c.openFlow()
}

// StopArrivals lets no more requests arrive.
func (s *Simulation) StopArrivals() { s.arrivalsStopped = true }

// idleClient returns a client without a request. It adds one if there is none.
func (s *Simulation) idleClient() (c *client) {
	if n := len(s.idleClients); n > 0 {
		c = s.idleClients[n-1]
		s.idleClients = s.idleClients[:n-1]
		return c
	}
	c = &client{sim: s, number: len(s.clients), port: 1024}
	s.clients = append(s.clients, c)
	return c
}

// endAttempt ends an attempt without an answer. It starts another one if mayRepeat is set and the client has
// retries and time left.
func (c *client) endAttempt(mayRepeat bool) {
	c.attempt++
	c.state = noFlow
	deadline := cmp.Or(c.sim.Setup.Deadline, defaultDeadline)
	if !mayRepeat || c.arrival.retriesLeft == 0 || c.sim.Clock.Now().Sub(c.arrival.at) >= deadline {
		c.recordEnd(false)
		c.release()
		return
	}
	c.arrival.retriesLeft--
	c.sim.After(retryDelay, c.openFlow)
}

// finishArrival records an answered request and closes its flow.
func (c *client) finishArrival() {
	target := c.sim.Setup.Target
	if c.arrival.upload {
		target = cmp.Or(c.sim.Setup.UploadTarget, target)
	}
	if c.sim.Clock.Now().Sub(c.arrival.at) <= target {
		c.sim.Stats.InTarget++
		c.sim.periodAt(c.arrival.at).InTarget++
	} else {
		c.sim.Stats.Late++
		c.sim.periodAt(c.arrival.at).Late++
	}
	c.sendClose()
	c.attempt++
	c.state = noFlow
	c.release()
}

func (c *client) release() {
	c.arrival = nil
	c.sim.idleClients = append(c.sim.idleClients, c)
}
