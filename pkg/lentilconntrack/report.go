package lentilconntrack

import (
	"cmp"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// OpenFlows returns the number of open flows.
func (t *Tracker) OpenFlows() int { return t.openFlows }

// Load returns the upstream's load: its open and half-open flows without the idle ones, requests in flight, slots, and
// the measurements from which balancers estimate waits.
func (t *Tracker) Load() lentilflow.Load {
	slots := t.slots()
	load := lentilflow.Load{
		Flows: uint32(max(0, t.openFlows+t.halfOpenFlows-t.idleFlows)), InFlight: uint16(t.requestsInFlight), Slots: uint16(slots),
	}
	now := t.now()
	t.meter.addTo(&load, t.queue.Ahead(t.requestsInFlight), t.routesOccupancy(now))
	return load
}

// slots returns the number of requests that the upstream processes at once.
func (t *Tracker) slots() int { return cmp.Or(t.upstream.slots, defaultSlots) }

// CallersWaiting returns the number of callers with waiting flows, if the queue is fair between callers.
func (t *Tracker) CallersWaiting() int { return t.queue.CallersWaiting() }

// ServedOutOfOrder returns the number of flows that opened before an older one of the same urgency, because the queue is
// fair between callers.
func (t *Tracker) ServedOutOfOrder() uint64 { return t.queue.ServedOutOfOrder() }

// Phase returns the phase of the upstream.
func (t *Tracker) Phase() lentilflow.Phase { return t.upstream.phase }

// RegistrationAge returns the time since the upstream's last registration, without the pauses of the agent. ok is false if the
// upstream hasn't registered since the agent started.
func (t *Tracker) RegistrationAge() (age time.Duration, ok bool) {
	if t.upstream.id == "" {
		return 0, false
	}
	return t.now().Sub(t.upstream.registeredAt), true
}

// SeenAge returns the time since the upstream last registered or sent a packet of a flow that it holds, with the pauses of the agent.
// It decides whether the upstream gets first packets. ok is false if the upstream hasn't registered since the agent started.
func (t *Tracker) SeenAge() (age time.Duration, ok bool) {
	if t.upstream.id == "" {
		return 0, false
	}
	return t.now().Sub(t.upstream.seenAt), true
}

// Contested reports whether upstreams of other services have registered since the agent's own one was last known to have its address.
func (t *Tracker) Contested() bool { return t.contest.contested }

// IgnoredRegistrations returns the number of registrations of the upstream that were ignored, since the address was contested.
func (t *Tracker) IgnoredRegistrations() uint64 { return t.ignoredRegistrations }

// Out reports whether the failure domain is out of service.
func (t *Tracker) Out() bool { return t.out }

// Stopping reports whether the agent was asked to stop.
func (t *Tracker) Stopping() bool { return t.stopping }

// Cold reports whether the upstream has, or may have, less than its usual capacity.
func (t *Tracker) Cold() bool { return t.upstream.cold(t.now()) }
