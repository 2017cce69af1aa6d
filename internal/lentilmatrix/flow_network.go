package lentilmatrix

import (
	"math/rand/v2"
	"time"

	"lentilstair.example/lentilstair/internal/lentilschedule"
)

// One-way delays of packets, without faults.
const (
	minPacketDelay = 400 * time.Microsecond
	maxPacketDelay = 900 * time.Microsecond
)

// flowNetwork simulates time and the network. It runs events in order, and loses, duplicates
// and delays packets at the configured rates.
type flowNetwork struct {
	schedule lentilschedule.Schedule
	random   *rand.Rand
	// lossShare is the share of packets that are lost, duplicateShare the share of packets that
	// are sent twice.
	lossShare, duplicateShare float64
	// delayedShare is the share of packets that are delayed further, by up to maxExtraDelay.
	delayedShare  float64
	maxExtraDelay time.Duration
}

// now returns the simulated time since the start.
func (n *flowNetwork) now() time.Duration { return n.schedule.Elapsed() }

// after schedules an event to run after a delay.
func (n *flowNetwork) after(delay time.Duration, event func()) { n.schedule.After(delay, event) }

// runUntil runs all events up to a time.
func (n *flowNetwork) runUntil(until time.Duration) {
	n.schedule.RunUntil(n.schedule.Now().Add(until - n.now()))
}

// send sends a packet over the network. It calls arrive for each packet that arrives.
func (n *flowNetwork) send(arrive func()) {
	count := 1
	if n.random.Float64() < n.duplicateShare {
		count = 2
	}
	for range count {
		if n.random.Float64() >= n.lossShare {
			n.after(n.packetDelay(), arrive)
		}
	}
}

// packetDelay returns a random one-way delay for a packet.
func (n *flowNetwork) packetDelay() time.Duration {
	delay := n.randomDuration(minPacketDelay, maxPacketDelay)
	if n.random.Float64() < n.delayedShare {
		delay += n.randomDuration(0, n.maxExtraDelay)
	}
	return delay
}

// randomDuration returns a random duration of at least least and below most, or least if the
// range is empty.
func (n *flowNetwork) randomDuration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(n.random.Int64N(int64(most-least)))
}
