package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/internal/lentilmodel"
)

const (
	// copySlots is the number of slots of each copy.
	copySlots = 2
	// coldSymptomFactor times the usual service time is the duration above which an answer shows
	// the agent that the copy is cold.
	coldSymptomFactor = 2
)

// runResult is the result of a run at a copy.
type runResult uint8

const (
	resultAnswered runResult = iota
	resultNotRun
	resultAnswerLost
	resultCancelled
)

// requestCopy is a simulated copy. It takes longer for requests above its capacity, which is low
// while it is cold. It refuses requests while it is dead, while faultCopySheds lasts, and when the
// model sheds them.
type requestCopy struct {
	sim   *requestSimulation
	agent *requestAgent
	model lentilmodel.Copy
	// changedAt is when a fault of the copy last began or ended. coldSeenAt is when an answer or a
	// refusal first showed the agent that the copy is cold.
	changedAt, coldSeenAt time.Time
	dead                  bool
	sheds                 bool // refuses all requests
	hangs                 bool // runs requests without answering
	runs                  []*copyRun
	slotSum               float64 // sum of the slots in use by runs with afterColdSeen, over tickCount ticks
	capacitySum           float64
	tickCount             int
}

// copyRun is a request that a copy runs.
type copyRun struct {
	attempt       *attempt
	onEnd         func(result runResult)
	ended         bool
	afterColdSeen bool // sent to the cold copy a second or more after coldSeenAt
	stream        bool
	stalled       bool
	showsCold     bool // shows the agent that the copy is cold
}

// enableFor turns a fault of the copy on for a time.
func (c *requestCopy) enableFor(d time.Duration, set func(on bool)) {
	set(true)
	c.recordChange()
	c.sim.schedule.After(d, func() {
		set(false)
		c.recordChange()
	})
}

// crash loses all runs. The copy starts again, cold, after requestFaultDuration.
func (c *requestCopy) crash() {
	c.dead = true
	c.resetRuns()
	c.sim.schedule.After(requestFaultDuration, func() {
		c.dead = false
		c.turnCold()
	})
}

// resetRuns loses all runs, with unknown outcomes. The copy keeps running.
func (c *requestCopy) resetRuns() {
	c.recordChange()
	for _, r := range c.runs {
		c.finishRun(r, resultAnswerLost)
	}
}

// recordChange notes that a fault of the copy began or ended.
func (c *requestCopy) recordChange() { c.changedAt = c.sim.schedule.Now() }

// turnCold makes the copy cold. Its capacity rises continuously from then on.
func (c *requestCopy) turnCold() {
	c.model.ResetToCold(c.sim.schedule.Now())
	c.coldSeenAt = time.Time{}
	c.recordChange()
}

// startRun runs an attempt, and calls onEnd once with the result.
func (c *requestCopy) startRun(t *attempt, onEnd func(result runResult)) (r *copyRun) {
	now := c.sim.schedule.Now()
	r = &copyRun{attempt: t, onEnd: onEnd, stream: t.call.kind == kindStream}
	if c.dead || c.sheds {
		c.sim.schedule.After(hopDelay, func() { c.finishRun(r, resultNotRun) })
		return r
	}
	duration := streamDuration
	if !r.stream {
		var shed bool
		if duration, shed = c.model.StartRequest(now, serviceTime); shed {
			c.model.EndRequest(now)
			r.showsCold = true
			c.sim.schedule.After(duration, func() { c.finishRun(r, resultNotRun) })
			return r
		}
	}
	c.sim.recordRun(t)
	_, cold := c.model.ColdFor(now)
	r.afterColdSeen = cold && !c.hangs && !c.coldSeenAt.IsZero() && now.Sub(c.coldSeenAt) >= time.Second
	r.showsCold = cold && duration > coldSymptomFactor*serviceTime
	c.runs = append(c.runs, r)
	if !c.hangs {
		c.sim.schedule.After(duration, func() { c.completeRun(r) })
	}
	return r
}

// completeRun answers a run. It delays the answer of a stalled run by callTimeout plus lateDelay.
func (c *requestCopy) completeRun(r *copyRun) {
	if !r.stalled {
		c.finishRun(r, resultAnswered)
		return
	}
	r.stalled = false
	c.sim.schedule.After(callTimeout+lateDelay, func() { c.completeRun(r) })
}

// stallRuns delays the answers of all runs but streams past the callers' deadlines.
func (c *requestCopy) stallRuns() {
	c.recordChange()
	for _, r := range c.runs {
		r.stalled = !r.stream
	}
}

// cancelRun ends a run that the agent aborted.
func (c *requestCopy) cancelRun(r *copyRun) {
	c.sim.schedule.After(hopDelay, func() { c.finishRun(r, resultCancelled) })
}

// recordColdSeen notes when the agent could first see that the copy is cold.
func (c *requestCopy) recordColdSeen() {
	if c.coldSeenAt.IsZero() {
		c.coldSeenAt = c.sim.schedule.Now()
	}
}

// finishRun removes a run and reports its result, if the run has not ended before.
func (c *requestCopy) finishRun(r *copyRun, result runResult) {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stream && result != resultNotRun {
		c.model.EndRequest(c.sim.schedule.Now())
	}
	kept := c.runs[:0:0]
	for _, other := range c.runs {
		if other != r {
			kept = append(kept, other)
		}
	}
	c.runs = kept
	r.onEnd(result)
}

// checkCapacity records a violation if a cold copy runs more requests than its capacity, on average
// over a second. It counts requests that were sent a second or more after the agent could first see
// that the copy is cold.
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
	c.capacitySum += c.model.Capacity(now)
	c.tickCount++
	if c.tickCount < int(time.Second/tickInterval) {
		return
	}
	if c.slotSum > c.capacitySum {
		c.sim.violatef("cold copy of %s ran %.2f times as many requests as its capacity", c.agent.name, c.slotSum/c.capacitySum)
	}
	c.slotSum, c.capacitySum, c.tickCount = 0, 0, 0
}
