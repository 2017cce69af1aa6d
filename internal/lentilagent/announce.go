package lentilagent

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

const (
	// tickEvery is how often time passes for the decider.
	tickEvery = 20 * time.Millisecond
	// announceEvery is how long the agent waits before it announces a change of load.
	announceEvery = 500 * time.Millisecond
)

// announcer remembers what was announced last.
type announcer struct {
	last lentilrecord.Doc
	at   time.Time
}

// announce spreads the agent's record if it has changed. A change of phase goes
// out at once, a change of weight or load at most every announceEvery.
func (a *Agent) announce() {
	next := a.record()
	last := a.announcer.last
	now := a.options.Clock.Now()
	next.Version = last.Version
	if next == last {
		return
	}
	if next.Phase == last.Phase && now.Sub(a.announcer.at) < announceEvery {
		return
	}
	next.Version++
	a.announcer = announcer{last: next, at: now}
	a.flowsHere.observe(lentilrecord.New(next))
	a.options.Announce(next)
}

// owner returns what the agent's records belong to.
func (a *Agent) owner() (owner lentilrecord.Owner) {
	return lentilrecord.Owner{Copy: a.options.Copy, Incarnation: a.options.Incarnation}
}

// record returns the agent's record as it stands now, without a version.
func (a *Agent) record() (doc lentilrecord.Doc) {
	shown := a.shown.Load()
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
func (f *figures) phase() (phase lentilrecord.Phase) {
	switch {
	case f.draining:
		return lentilrecord.Draining
	case f.cold:
		return lentilrecord.Warming
	default:
		return lentilrecord.Ready
	}
}
