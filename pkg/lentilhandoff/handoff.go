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
	// Busy is the work of the last seconds, smoothed.
	Busy uint16
	// Now is what the copy works on and what waits for it at this moment.
	Now uint16
	// Bears is what the copy bears now.
	Bears uint16
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
	peers
}

// DefaultMaxAge is how old a record may be to be chosen.
const DefaultMaxAge = 10 * time.Second

// Learn takes in a peer's record of the same service. A record that is not newer
// than the known one of the same copy only renews its age.
func (c *Chooser) Learn(record lentilrecord.Record) { c.learn(record) }

// Forget drops what is known of an owner's record.
func (c *Chooser) Forget(owner lentilrecord.Owner) { c.forget(owner) }

// Observe takes in what a peer said of its load in an answer to a relay, which is
// fresher than its record.
func (c *Chooser) Observe(owner lentilrecord.Owner, load Load) { c.observe(owner, load) }

// Refused tells that a peer had no room, so that it rests for a moment.
func (c *Chooser) Refused(owner lentilrecord.Owner) { c.refused(owner) }

// ForPacket chooses a peer for a first packet that has made hops hops.
func (c *Chooser) ForPacket(own Load, hops int) (peer lentilrecord.Record, ok bool) {
	return c.forPacket(own, hops)
}

// ForRequest chooses a peer for a request that has not begun.
func (c *Chooser) ForRequest(own Load) (peer lentilrecord.Record, ok bool) {
	return c.forRequest(own)
}

// SentPacket tells that a first packet was handed to a peer.
func (c *Chooser) SentPacket(owner lentilrecord.Owner) { c.sent(owner, packetCost) }

// SentRequest tells that a request was passed to a peer, where it is expected to take so long.
func (c *Chooser) SentRequest(owner lentilrecord.Owner, expected time.Duration) {
	c.sent(owner, slot*min(expected.Seconds()/settle, 1))
}
