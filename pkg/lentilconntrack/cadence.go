package lentilconntrack

import (
	"slices"
	"time"
)

const (
	// lateTolerance is how late a registration may seem to be and still count as sent when it is read. upstreamKnown allows for a pause
	// that isn't noticed, which is that much longer than a renewal may be late.
	lateTolerance = pauseThreshold - reuseMargin
	// confirmCount is the number of registrations in a row, each as long after the one before as it was sent, after which those of a run
	// count as sent when they are read, though earlier ones came late. They span 3.6 s at the usual interval. Registrations of an
	// upstream that has ended go on for as long only if all of them are late by the same 5.6 s or more.
	confirmCount = 3
	// resumeConfirmCount takes its place for a registration that has waited during a pause of the agent.
	resumeConfirmCount = 2
	// maxSequenceStep bounds the step between two sequences for which a time is computed.
	maxSequenceStep = 1 << 16
	// maxInterruptingServices is how many other services may interrupt a run one after the other: one that another writer makes up,
	// and one that has got the address.
	maxInterruptingServices = 2
	// settleIntervals is the number of renewal intervals within which a run that goes on settles a contest after the last interruption:
	// the first registration, confirmCount more, and one interval for a late one.
	settleIntervals = confirmCount + 2
)

// cadence estimates when the registrations of a run of an upstream were sent. A registration may be read long after that, when its
// sender has ended and an upstream of another service has the address. It doesn't tell when it was sent, but its sequence tells how
// many were sent since the one before, at the renewal interval.
type cadence struct {
	id                    string
	incarnation, sequence int64
	receivedAt            time.Time
	// sentAt is when the last registration was sent, at the latest. seenAt is the time from which upstreamKnown counts; zero if the
	// registration shows nothing.
	sentAt, seenAt time.Time
	// regular is the number of registrations in a row that came as long after the one before as they were sent. It is -1 if the run
	// was interrupted after the last one.
	regular int
	// interruptedBy has the other services that have interrupted the run in the present contest, and interruptedAt is when one did last.
	interruptedBy []string
	interruptedAt time.Time
	// unconfirmed is how many of them have to follow until registrations count as sent when they are read.
	unconfirmed int
	// endedAt is when nothing listened at the upstream's address any more, until registrations that follow are confirmed.
	endedAt time.Time
}

// isOf reports whether the cadence is that of the run which sent a registration.
func (c *cadence) isOf(r Registration) bool {
	return !c.receivedAt.IsZero() && c.id == r.ID && c.incarnation == r.Incarnation
}

// observe records a registration that was read now. resumed is set if that is right after a pause of the agent. A registration
// of another run begins a new estimate. One that isn't newer than the last one is left out.
func (c *cadence) observe(now time.Time, r Registration, interval time.Duration, resumed bool) {
	if !c.isOf(r) {
		*c = newCadence(now, r, interval)
		return
	}
	if r.Sequence <= c.sequence {
		return
	}
	due := time.Duration(min(r.Sequence-c.sequence, maxSequenceStep)) * interval
	early := due - now.Sub(c.receivedAt)
	isRegular := interval == 0 || early.Abs() <= lateTolerance
	if isRegular || c.regular < 0 {
		c.regular++
	} else {
		c.regular = 0
	}
	c.sequence, c.receivedAt = r.Sequence, now
	latest := c.sentAt.Add(due + reuseMargin)
	if !c.endedAt.IsZero() && latest.After(c.endedAt) {
		latest = c.endedAt
	}
	switch {
	case interval == 0 || !latest.Before(now), isRegular && c.unconfirmed <= 1:
		c.sentAt, c.unconfirmed, c.endedAt = now, 0, time.Time{}
	case isRegular:
		c.sentAt = latest
		c.unconfirmed--
	case resumed && c.endedAt.IsZero():
		// It has waited during the pause, and the upstream may send the next one only after it is answered.
		c.sentAt, c.unconfirmed = latest, resumeConfirmCount
	default:
		c.sentAt, c.unconfirmed = latest, confirmCount
	}
	switch c.seenAt = now; {
	case !c.endedAt.IsZero():
		c.seenAt = time.Time{}
	case c.late():
		c.seenAt = c.sentAt.Add(lateTolerance)
	}
}

// recordEnd records that nothing listened at the upstream's address at a time. What the run has sent was sent before, and doesn't
// show that it is there.
func (c *cadence) recordEnd(at time.Time) {
	if c.endedAt.IsZero() {
		c.endedAt = at
	}
	c.unconfirmed, c.seenAt = confirmCount, time.Time{}
}

// newCadence returns the estimate after the first registration of a run that the agent has read. That of an upstream which has just
// started was sent within an interval of its start.
func newCadence(now time.Time, r Registration, interval time.Duration) (c cadence) {
	c = cadence{id: r.ID, incarnation: r.Incarnation, sequence: r.Sequence, receivedAt: now, sentAt: now, seenAt: now}
	if r.Incarnation == 0 || r.Sequence > maxStartupSequence || interval == 0 {
		return c
	}
	sinceStart := time.Duration(min(now.UnixMilli()-r.Incarnation, int64(maxSequenceStep))) * time.Millisecond
	late := sinceStart - time.Duration(r.Sequence-firstSequence)*interval
	if late <= lateTolerance {
		return c
	}
	c.sentAt, c.seenAt, c.unconfirmed = now.Add(-late), now.Add(lateTolerance-late), 1
	if late > interval+reuseMargin {
		c.unconfirmed = confirmCount
	}
	return c
}

// restart starts the count of regular registrations anew.
func (c *cadence) restart() { c.regular = -1 }

// interrupt records that an upstream of another service has registered, which may have started after the run. If it has, the run has
// ended before, and what it has sent stops soon. More registrations of the same service don't show more than that, so they
// interrupt the run again only once it has had the time to settle the contest. Otherwise a writer that goes on for ever would keep it from that.
func (c *cadence) interrupt(now time.Time, service string, interval time.Duration) {
	isNew := len(c.interruptedBy) < maxInterruptingServices && !slices.Contains(c.interruptedBy, service)
	if !isNew && now.Sub(c.interruptedAt) < settleIntervals*interval {
		return
	}
	if isNew {
		c.interruptedBy = append(c.interruptedBy, service)
	}
	c.interruptedAt = now
	c.restart()
}

// settle forgets the interruptions after the contest is settled.
func (c *cadence) settle() { c.interruptedBy, c.interruptedAt = nil, time.Time{} }

// late reports whether the last registration may have been sent long before it was read.
func (c *cadence) late() bool { return c.receivedAt.Sub(c.sentAt) > lateTolerance }

// supersedes reports whether a registration is of an earlier run than the last one, and that one isn't overdue.
func (c *cadence) supersedes(now time.Time, r Registration, interval time.Duration) bool {
	return !c.receivedAt.IsZero() && !c.isOf(r) && r.Incarnation <= c.incarnation && now.Sub(c.receivedAt) <= overdueAfter(interval)
}
