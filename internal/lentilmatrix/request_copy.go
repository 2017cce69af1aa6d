package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/internal/lentilmodel"
)

const (
	copySlots = 2
	// coldSymptomFactor is how many times the usual an answer of a cold copy takes to show it.
	coldSymptomFactor = 2
)

// runResult is how a run at a copy ended.
type runResult uint8

const (
	resultAnswered runResult = iota
	resultNotRun
	resultAnswerLost
	resultCancelled
)

// requestCopy is a copy: it runs what it gets, slower when it is cold and gets too much.
type requestCopy struct {
	sim   *requestSimulation
	agent *requestAgent
	model lentilmodel.Copy
	// changedAt is when the copy last began or ceased to behave badly, coldSeenAt when an
	// answer or a refusal first showed that it is cold.
	changedAt, coldSeenAt time.Time
	dead                  bool
	sheds                 bool
	hangs                 bool
	runs                  []*copyRun
	slotSum               float64 // slots in use by what was sent after a second of being cold
	capacitySum           float64
	tickCount             int
}

// copyRun is a request at a copy.
type copyRun struct {
	attempt       *attempt
	onEnd         func(e runResult)
	ended         bool
	afterColdSeen bool // sent a second or more after the first symptom
	stream        bool
	stalled       bool
	showsCold     bool // shows the agent that the copy is cold
}

func (c *requestCopy) setFor(d time.Duration, set func(on bool)) {
	set(true)
	c.recordChange()
	c.sim.schedule.After(d, func() {
		set(false)
		c.recordChange()
	})
}

// crash drops all runs; the copy starts again, cold, a while later.
func (c *requestCopy) crash() {
	c.dead = true
	c.resetRuns()
	c.sim.schedule.After(requestFaultDuration, func() {
		c.dead = false
		c.turnCold()
	})
}

// resetRuns drops all runs, of which nobody knows how far they came; the copy goes on.
func (c *requestCopy) resetRuns() {
	c.recordChange()
	for _, r := range c.runs {
		c.finishRun(r, resultAnswerLost)
	}
}

func (c *requestCopy) recordChange() { c.changedAt = c.sim.schedule.Now() }

// turnCold makes the copy cold; what it bears rises all the time from then on.
func (c *requestCopy) turnCold() {
	c.model.TurnCold(c.sim.schedule.Now())
	c.coldSeenAt = time.Time{}
	c.recordChange()
}

// startRun runs an attempt and calls end once.
func (c *requestCopy) startRun(t *attempt, end func(e runResult)) (r *copyRun) {
	now := c.sim.schedule.Now()
	r = &copyRun{attempt: t, onEnd: end, stream: t.call.kind == kindStream}
	if c.dead || c.sheds {
		c.sim.schedule.After(hopDelay, func() { c.finishRun(r, resultNotRun) })
		return r
	}
	lasts := streamDuration
	if !r.stream {
		var shed bool
		if lasts, shed = c.model.Begin(now, serviceTime); shed {
			c.model.End(now)
			r.showsCold = true
			c.sim.schedule.After(lasts, func() { c.finishRun(r, resultNotRun) })
			return r
		}
	}
	c.sim.recordRun(t)
	_, cold := c.model.ColdFor(now)
	r.afterColdSeen = cold && !c.hangs && !c.coldSeenAt.IsZero() && now.Sub(c.coldSeenAt) >= time.Second
	r.showsCold = cold && lasts > coldSymptomFactor*serviceTime
	c.runs = append(c.runs, r)
	if !c.hangs {
		c.sim.schedule.After(lasts, func() { c.completeRun(r) })
	}
	return r
}

// completeRun ends a run, later if the copy has stalled.
func (c *requestCopy) completeRun(r *copyRun) {
	if !r.stalled {
		c.finishRun(r, resultAnswered)
		return
	}
	r.stalled = false
	c.sim.schedule.After(callTimeout+lateDelay, func() { c.completeRun(r) })
}

// stallRuns lets all that runs end only after the callers' deadlines.
func (c *requestCopy) stallRuns() {
	c.recordChange()
	for _, r := range c.runs {
		r.stalled = !r.stream
	}
}

// cancelRun ends a run that the agent gave up.
func (c *requestCopy) cancelRun(r *copyRun) {
	c.sim.schedule.After(hopDelay, func() { c.finishRun(r, resultCancelled) })
}

// recordColdSeen notes that the agent can see that the copy is cold.
func (c *requestCopy) recordColdSeen() {
	if c.coldSeenAt.IsZero() {
		c.coldSeenAt = c.sim.schedule.Now()
	}
}

func (c *requestCopy) finishRun(r *copyRun, e runResult) {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stream && e != resultNotRun {
		c.model.End(c.sim.schedule.Now())
	}
	kept := c.runs[:0:0]
	for _, o := range c.runs {
		if o != r {
			kept = append(kept, o)
		}
	}
	c.runs = kept
	r.onEnd(e)
}

// checkCapacity checks, second by second, that a copy gets no more than it bears from a second after
// it first showed that it is cold.
func (c *requestCopy) checkCapacity() {
	now := c.sim.schedule.Now()
	c.model.Advance(now)
	_, cold := c.model.ColdFor(now)
	if !cold || c.coldSeenAt.IsZero() || now.Sub(c.coldSeenAt) < time.Second || c.hangs {
		c.slotSum, c.capacitySum, c.tickCount = 0, 0, 0
		return
	}
	for _, r := range c.runs {
		if r.afterColdSeen && !r.stream {
			c.slotSum++
		}
	}
	c.capacitySum += c.model.Bears(now)
	c.tickCount++
	if c.tickCount < int(time.Second/tickInterval) {
		return
	}
	if c.slotSum > c.capacitySum {
		c.sim.violatef("cold copy of %s worked on %.2f times what it bears", c.agent.name, c.slotSum/c.capacitySum)
	}
	c.slotSum, c.capacitySum, c.tickCount = 0, 0, 0
}
