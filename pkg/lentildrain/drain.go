// Package lentildrain decides when a balancer that was asked to stop leaves the routers' rotation, and when it ends.
//
// Routers probe each balancer and send it packets until it has missed two probes. If fewer than half of the balancers of
// a failure domain are in rotation, they send packets to all of them, also to those that have ended. A Drain therefore
// waits for a permit before it reports that the balancer isn't ready, and ends as soon as the routers have taken it out.
// Permits, kept by an agent of the failure domain, bounds how many balancers are out of rotation at a time.
//
// The package answers a roll of all balancers of a site, several at a time, and a stop of all of them at once. A lost
// permit only lets more balancers stop at a time: a Drain that gets no answer goes on without one.
package lentildrain

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

//go:generate stringer -type=Phase,Cause -output=enum_string.go

const (
	// requestInterval is the interval between two requests for a permit.
	requestInterval = 100 * time.Millisecond
	// answerTimeout is how long a Drain waits for any answer before it goes on without a permit. It covers four requests,
	// each to another agent.
	answerTimeout = 450 * time.Millisecond
	// drainReserve is the part of KillAfter that is left for leaving the rotation. Two probes half a second apart take
	// the balancer out, another one may be late, and the users want it out 2 s before the process is killed.
	drainReserve = 3500 * time.Millisecond
	// endReserve is the part of KillAfter that is left for ending the process.
	endReserve = 300 * time.Millisecond
	// missesUntilOut is the number of failed probes after which routers take a balancer out of rotation.
	missesUntilOut = 2
	// quietPeriod is how long no client packet must have arrived before the balancer ends. It is longer than clients' first
	// retransmission takes.
	quietPeriod = 250 * time.Millisecond
)

// Phase is how far a graceful stop has got.
type Phase uint8

// The phases, in their order.
const (
	// Serving is the phase before the stop request.
	Serving Phase = iota
	// Waiting balancers are still in rotation, since too many others are out of it.
	Waiting
	// Draining balancers report that they aren't ready and forward what still arrives.
	Draining
	// Ended balancers have nothing left to forward, or no time.
	Ended
)

// Cause is the reason for the latest change of the phase.
type Cause uint8

// The causes.
const (
	// Requested: the process was asked to stop.
	Requested Cause = iota
	// Permitted: an agent has given the permit to leave the rotation.
	Permitted
	// Unanswered: no agent has answered.
	Unanswered
	// Deadline: no time is left before the process is killed.
	Deadline
	// OutOfRotation: routers no longer send packets.
	OutOfRotation
	// GraceExpired: packets still arrive at the end of the grace period, or no router has probed the balancer.
	GraceExpired
)

// Drain is the graceful stop of one balancer. The zero Drain is Serving. It is not safe for concurrent use.
type Drain struct {
	// Clock is the source of time; nil is the system clock.
	Clock lentilclock.Clock
	// Grace is how long the balancer forwards packets at most after it has reported that it isn't ready.
	Grace time.Duration
	// KillAfter is how long after the stop request the process is killed; zero means that it isn't known. Without it no
	// permit is awaited.
	KillAfter time.Duration

	phase                    Phase
	cause                    Cause
	requestedAt, drainingAt  time.Time
	askedAt, answeredAt      time.Time
	packetAt, secondMissedAt time.Time
	misses                   int
	// agent is the number of the agent that is asked for a permit.
	agent int
}

func (d *Drain) now() time.Time { return lentilclock.OrSystem(d.Clock).Now() }

// Start begins the stop.
func (d *Drain) Start() {
	if d.phase != Serving {
		return
	}
	d.phase, d.requestedAt = Waiting, d.now()
	if d.KillAfter == 0 {
		d.startDraining(Requested)
	}
}

func (d *Drain) startDraining(cause Cause) { d.phase, d.cause, d.drainingAt = Draining, cause, d.now() }

// Phase returns the phase that the last call of Advance or Start has led to.
func (d *Drain) Phase() Phase { return d.phase }

// Cause returns the reason for the phase.
func (d *Drain) Cause() Cause { return d.cause }

// Ready reports whether routers may send packets to the balancer.
func (d *Drain) Ready() bool { return d.phase <= Waiting }

// RecordPacket records that a client's packet has arrived from the routers.
func (d *Drain) RecordPacket() {
	if d.phase == Draining {
		d.packetAt = d.now()
	}
}

// RecordProbe records that a router's probe was answered with not ready.
func (d *Drain) RecordProbe() {
	if d.phase != Draining {
		return
	}
	if d.misses++; d.misses == missesUntilOut {
		d.secondMissedAt = d.now()
	}
}

// RecordAnswer records an agent's answer to a request for a permit.
func (d *Drain) RecordAnswer(granted bool) {
	if d.phase != Waiting {
		return
	}
	d.answeredAt = d.now()
	if granted {
		d.startDraining(Permitted)
	}
}

// NextRequest reports whether a request for a permit is due, and the number that selects the agent: the same one as long as
// it answers, else the next one.
func (d *Drain) NextRequest() (agent int, due bool) {
	now := d.now()
	if d.phase != Waiting || now.Sub(d.askedAt) < requestInterval {
		return 0, false
	}
	if !d.askedAt.IsZero() && d.answeredAt.Before(d.askedAt) {
		d.agent++
	}
	d.askedAt = now
	return d.agent, true
}

// Advance moves to the phase that is due.
func (d *Drain) Advance() {
	now := d.now()
	switch d.phase {
	case Serving, Ended:
	case Waiting:
		lastAnswer := d.requestedAt
		if d.answeredAt.After(lastAnswer) {
			lastAnswer = d.answeredAt
		}
		switch {
		case now.Sub(d.requestedAt) >= d.KillAfter-drainReserve:
			d.startDraining(Deadline)
		case now.Sub(lastAnswer) >= answerTimeout:
			d.startDraining(Unanswered)
		}
	case Draining:
		quiet := now.Sub(d.secondMissedAt) >= quietPeriod && now.Sub(d.packetAt) >= quietPeriod
		switch {
		case d.misses >= missesUntilOut && quiet:
			d.phase, d.cause = Ended, OutOfRotation
		case d.KillAfter > 0 && now.Sub(d.requestedAt) >= d.KillAfter-endReserve:
			d.phase, d.cause = Ended, Deadline
		case now.Sub(d.drainingAt) >= d.Grace:
			d.phase, d.cause = Ended, GraceExpired
		}
	}
}
