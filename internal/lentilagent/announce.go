package lentilagent

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// tickInterval is how often time passes for the decider.
	tickInterval = 20 * time.Millisecond
	// announceInterval is how long the agent waits before it announces a change of load.
	announceInterval = 500 * time.Millisecond
)

// announcement remembers what was announced last.
type announcement struct {
	doc    lentilrecord.Doc
	sentAt time.Time
}

// announce spreads the agent's record if it has changed. A change of phase goes
// out at once, a change of weight or load at most every announceEvery.
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

// owner returns what the agent's records belong to.
func (a *Agent) owner() (owner lentilrecord.Owner) {
	return lentilrecord.Owner{Copy: a.options.Copy, Incarnation: a.options.Incarnation}
}

// record returns the agent's record as it stands now, without a version.
func (a *Agent) record() (doc lentilrecord.Doc) {
	shown := a.snapshot.Load()
	return lentilrecord.Doc{
		Owner:   a.owner(),
		Service: a.options.Service,
		Domain:  a.options.Domain,
		Tunnel:  a.options.Tunnel,
		Control: a.options.Control,
		Phase:   shown.phase(),
		Weight:  shown.weight,
		Load:    shown.load,
	}
}

// phase returns where the copy stands in its life.
func (f *snapshot) phase() (phase lentilrecord.Phase) {
	switch {
	case f.draining:
		return lentilrecord.Draining
	case f.cold:
		return lentilrecord.Warming
	default:
		return lentilrecord.Ready
	}
}
