// Package lentilhandoff chooses the peer to which an agent hands off work that its own copy
// should not take.
//
// Weights in records shift load slowly and equally at all balancers. Hand-off is fast and
// local. An agent hands off the first packet of a flow or a request that has not started. It
// chooses the less loaded of two random peers of its service. A packet is handed off at most
// MaxHops times. A request that came from a peer is not handed off again; the caller of
// ChooseForRequest checks that. Records lag behind the actual load. The Chooser therefore
// adds its own recent hand-offs to the load in a record, and it moves work only if the load
// differs by a minimum gap.
package lentilhandoff

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// MaxPacketHandOffs is the maximum number of times that a first packet is handed off.
const MaxPacketHandOffs = 2

// Load is the load and the capacity of a copy, in hundredths of a slot.
type Load struct {
	// Smoothed is the smoothed load of the last seconds.
	Smoothed uint16
	// Demand is the current load: requests that are running or queued.
	Demand uint16
	// Capacity is the current capacity of the copy.
	Capacity uint16
}

// Chooser chooses peers for one agent. The zero Chooser has no peers and chooses none. It is
// not safe for concurrent use.
type Chooser struct {
	// Clock is the source of the time. Nil means the system clock.
	Clock lentilclock.Clock
	// Random returns uniformly distributed numbers in [0, 1). Nil means 0 for every number.
	Random func() float64
	// Self is the owner of the agent's own record, which is never chosen.
	Self lentilrecord.Owner
	// Out reports whether operators have taken a failure domain out of service. Nil means that
	// no domain is out of service.
	Out func(domain lentilid.Domain) bool
	// MaxAge is the time after its last update during which a peer may be chosen. Zero means
	// DefaultMaxAge.
	MaxAge time.Duration
	state
}

// DefaultMaxAge is the default of Chooser.MaxAge.
const DefaultMaxAge = 10 * time.Second

// ApplyRecord applies a peer's record of the same service. The same record or an older
// version of it only resets the age of the peer. A record of another incarnation of the copy
// replaces the current one.
func (c *Chooser) ApplyRecord(record lentilrecord.Record) { c.applyRecord(record) }

// RemoveRecord removes the peer with the given record owner.
func (c *Chooser) RemoveRecord(owner lentilrecord.Owner) { c.removeRecord(owner) }

// UpdateLoad applies the load that a peer sent in an answer to a relayed request. It is more
// recent than the load in the peer's record.
func (c *Chooser) UpdateLoad(owner lentilrecord.Owner, load Load) { c.updateLoad(owner, load) }

// RecordRefusal records that a peer had no capacity left. Requests are not handed off to it
// for a short time.
func (c *Chooser) RecordRefusal(owner lentilrecord.Owner) { c.recordRefusal(owner) }

// ChooseForPacket chooses a peer for a first packet that was handed off hops times before.
func (c *Chooser) ChooseForPacket(own Load, hops int) (peer lentilrecord.Record, ok bool) {
	return c.chooseForPacket(own, hops)
}

// ChooseForRequest chooses a peer for a request that has not started.
func (c *Chooser) ChooseForRequest(own Load) (peer lentilrecord.Record, ok bool) {
	return c.chooseForRequest(own)
}

// ChooseForHedge chooses a peer for an extra attempt at a request that runs at the own copy. The
// peer is warm, has room and no queue.
func (c *Chooser) ChooseForHedge() (peer lentilrecord.Record, ok bool) { return c.chooseForHedge() }

// RecordSentPacket records that a first packet was handed off to a peer.
func (c *Chooser) RecordSentPacket(owner lentilrecord.Owner) { c.addPendingLoad(owner, packetCost) }

// RecordSentRequest records that a request was handed off to a peer. Expected is how long it
// is expected to run.
func (c *Chooser) RecordSentRequest(owner lentilrecord.Owner, expected time.Duration) {
	c.addPendingLoad(owner, slot*min(expected.Seconds()/pendingDecaySeconds, 1))
}
