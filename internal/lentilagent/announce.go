package lentilagent

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// tickInterval is the interval of the coordinator's ticks.
	tickInterval = 20 * time.Millisecond
	// announceInterval is the minimum interval between announcements of a changed load.
	announceInterval = 500 * time.Millisecond
)

// announcement is a published record and the time of its publication.
type announcement struct {
	doc    lentilrecord.Doc
	sentAt time.Time
}

// announce publishes the agent's record if it has changed. A change of phase is published
// at once, a change of weight or load at most every announceInterval.
func (a *Agent) announce() {
	next := a.record()
	last := a.lastAnnouncement.doc
	now := a.options.Clock.Now()
	next.Version = last.Version
	if next == last {
		return
	}
	if next.Phase == last.Phase && now.Sub(a.lastAnnouncement.sentAt) < announceInterval {
		return
	}
	next.Version++
	a.lastAnnouncement = announcement{doc: next, sentAt: now}
	a.flowTracker.observeOwnRecord(lentilrecord.New(next))
	a.options.Announce(next)
}

// owner returns the owner of the agent's records.
func (a *Agent) owner() (owner lentilrecord.Owner) {
	return lentilrecord.Owner{Copy: a.options.Copy, Incarnation: a.options.Incarnation}
}

// record returns the agent's current record, without a version.
func (a *Agent) record() (doc lentilrecord.Doc) {
	current := a.snapshot.Load()
	return lentilrecord.Doc{
		Owner:   a.owner(),
		Service: a.options.Service,
		Domain:  a.options.Domain,
		Tunnel:  a.options.Tunnel,
		Control: a.options.Control,
		Phase:   current.phase(),
		Weight:  current.weight,
		Load:    current.load,
	}
}

// phase returns the phase of the copy for the agent's record.
func (s *snapshot) phase() (phase lentilrecord.Phase) {
	switch {
	case s.draining:
		return lentilrecord.Draining
	case s.cold:
		return lentilrecord.Warming
	default:
		return lentilrecord.Ready
	}
}
