// Package lentilhandoff chooses a peer for work that a copy had better not take.
//
// Weights steer callers slowly and for all balancers alike; hand-off is fast and
// local. An agent passes on a first packet (at most MaxHops times) or a request that has
// not begun (once) to the less loaded of two peers of its service. Records lag, so
// the chooser adds its own recent hand-offs to what a record says and asks for a
// clear gain before it moves anything.
package lentilhandoff

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// MaxHops is how many agents may pass on the same first packet.
const MaxHops = 2

// Load is what a copy works on and what it bears, in hundredths of a slot.
type Load struct {
	// Smoothed is the work of the last seconds, smoothed.
	Smoothed uint16
	// Demand is what the copy works on and what waits for it at this moment.
	Demand uint16
	// Capacity is what the copy bears now.
	Capacity uint16
}

// Chooser chooses peers for one agent. The zero Chooser knows no peer and chooses
// none. It is not safe for concurrent use.
type Chooser struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// Random returns evenly spread numbers in [0, 1); nil always takes the first.
	Random func() float64
	// Self is the agent's own record owner; it is never chosen.
	Self lentilrecord.Owner
	// Out reports whether operators have taken a failure domain out; nil is never.
	Out func(domain lentilid.Domain) bool
	// MaxAge is how old a record may be to be chosen; zero is DefaultMaxAge.
	MaxAge time.Duration
	state
}

// DefaultMaxAge is how old a record may be to be chosen.
const DefaultMaxAge = 10 * time.Second

// ApplyRecord takes in a peer's record of the same service. A record that is not newer
// than the known one of the same copy only renews its age.
func (c *Chooser) ApplyRecord(record lentilrecord.Record) { c.applyRecord(record) }

// RemoveRecord drops what is known of an owner's record.
func (c *Chooser) RemoveRecord(owner lentilrecord.Owner) { c.removeRecord(owner) }

// UpdateLoad takes in what a peer said of its load in an answer to a relay, which is
// fresher than its record.
func (c *Chooser) UpdateLoad(owner lentilrecord.Owner, load Load) { c.updateLoad(owner, load) }

// RecordRefusal tells that a peer had no room, so that it rests for a moment.
func (c *Chooser) RecordRefusal(owner lentilrecord.Owner) { c.recordRefusal(owner) }

// ChooseForPacket chooses a peer for a first packet that has made hops hops.
func (c *Chooser) ChooseForPacket(own Load, hops int) (peer lentilrecord.Record, ok bool) {
	return c.chooseForPacket(own, hops)
}

// ChooseForRequest chooses a peer for a request that has not begun.
func (c *Chooser) ChooseForRequest(own Load) (peer lentilrecord.Record, ok bool) {
	return c.chooseForRequest(own)
}

// RecordSentPacket tells that a first packet was handed to a peer.
func (c *Chooser) RecordSentPacket(owner lentilrecord.Owner) { c.addPendingLoad(owner, packetCost) }

// RecordSentRequest tells that a request was passed to a peer, where it is expected to take so long.
func (c *Chooser) RecordSentRequest(owner lentilrecord.Owner, expected time.Duration) {
	c.addPendingLoad(owner, slot*min(expected.Seconds()/pendingDecaySeconds, 1))
}
