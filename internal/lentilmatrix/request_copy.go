package lentilmatrix

import (
	"time"

	"lentilstair.example/lentilstair/internal/lentilmodel"
)

const (
	copySlots = 2
	// symptom is how many times the usual an answer of a cold copy takes to show it.
	symptom = 2
)

// runEnd is how a run at a copy ended.
type runEnd uint8

const (
	endAnswer runEnd = iota
	endNotBegun
	endLost
	endCancelled
)

// requestCopy is a copy: it runs what it gets, slower when it is cold and gets too much.
type requestCopy struct {
	world *requestWorld
	agent *requestAgent
	model lentilmodel.Copy
	// changedAt is when the copy last began or ceased to behave badly, symptomAt when an
	// answer or a refusal first showed that it is cold.
	changedAt, symptomAt time.Time
	dead                 bool
	sheds                bool
	hangs                bool
	runs                 []*run
	sum                  float64 // slots in use by what was sent after a second of being cold
	borne                float64
	steps                int
}

// run is a request at a copy.
type run struct {
	attempt *attempt
	end     func(e runEnd)
	ended   bool
	known   bool // sent a second or more after the first symptom
	stream  bool
	stalled bool
	slow    bool // shows the agent that the copy is cold
}

func (c *requestCopy) during(d time.Duration, set func(on bool)) {
	set(true)
	c.changed()
	c.world.schedule.After(d, func() {
		set(false)
		c.changed()
	})
}

// die drops all runs; the copy starts again, cold, a while later.
func (c *requestCopy) die() {
	c.dead = true
	c.reset()
	c.world.schedule.After(faultLength, func() {
		c.dead = false
		c.turnCold()
	})
}

// reset drops all runs, of which nobody knows how far they came; the copy goes on.
func (c *requestCopy) reset() {
	c.changed()
	for _, r := range c.runs {
		c.finish(r, endLost)
	}
}

func (c *requestCopy) changed() { c.changedAt = c.world.schedule.Now() }

// turnCold makes the copy cold; what it bears rises all the time from then on.
func (c *requestCopy) turnCold() {
	c.model.TurnCold(c.world.schedule.Now())
	c.symptomAt = time.Time{}
	c.changed()
}

// begin runs an attempt and calls end once.
func (c *requestCopy) begin(t *attempt, end func(e runEnd)) (r *run) {
	now := c.world.schedule.Now()
	r = &run{attempt: t, end: end, stream: t.call.kind == kindStream}
	if c.dead || c.sheds {
		c.world.schedule.After(hopTime, func() { c.finish(r, endNotBegun) })
		return r
	}
	lasts := streamTime
	if !r.stream {
		var shed bool
		if lasts, shed = c.model.Begin(now, serviceTime); shed {
			c.model.End(now)
			r.slow = true
			c.world.schedule.After(lasts, func() { c.finish(r, endNotBegun) })
			return r
		}
	}
	c.world.ran(t)
	_, cold := c.model.ColdFor(now)
	r.known = cold && !c.hangs && !c.symptomAt.IsZero() && now.Sub(c.symptomAt) >= time.Second
	r.slow = cold && lasts > symptom*serviceTime
	c.runs = append(c.runs, r)
	if !c.hangs {
		c.world.schedule.After(lasts, func() { c.answer(r) })
	}
	return r
}

// answer ends a run, later if the copy has stalled.
func (c *requestCopy) answer(r *run) {
	if !r.stalled {
		c.finish(r, endAnswer)
		return
	}
	r.stalled = false
	c.world.schedule.After(callTimeout+lateBy, func() { c.answer(r) })
}

// stall lets all that runs end only after the callers' deadlines.
func (c *requestCopy) stall() {
	c.changed()
	for _, r := range c.runs {
		r.stalled = !r.stream
	}
}

// cancel ends a run that the agent gave up.
func (c *requestCopy) cancel(r *run) {
	c.world.schedule.After(hopTime, func() { c.finish(r, endCancelled) })
}

// show notes that the agent can see that the copy is cold.
func (c *requestCopy) show() {
	if c.symptomAt.IsZero() {
		c.symptomAt = c.world.schedule.Now()
	}
}

func (c *requestCopy) finish(r *run, e runEnd) {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stream && e != endNotBegun {
		c.model.End(c.world.schedule.Now())
	}
	kept := c.runs[:0:0]
	for _, o := range c.runs {
		if o != r {
			kept = append(kept, o)
		}
	}
	c.runs = kept
	r.end(e)
}

// watch checks, second by second, that a copy gets no more than it bears from a second after
// it first showed that it is cold.
func (c *requestCopy) watch() {
	now := c.world.schedule.Now()
	c.model.Advance(now)
	_, cold := c.model.ColdFor(now)
	if !cold || c.symptomAt.IsZero() || now.Sub(c.symptomAt) < time.Second || c.hangs {
		c.sum, c.borne, c.steps = 0, 0, 0
		return
	}
	for _, r := range c.runs {
		if r.known && !r.stream {
			c.sum++
		}
	}
	c.borne += c.model.Bears(now)
	c.steps++
	if c.steps < int(time.Second/tickTime) {
		return
	}
	if c.sum > c.borne {
		c.world.fail("cold copy of %s worked on %.2f times what it bears", c.agent.name, c.sum/c.borne)
	}
	c.sum, c.borne, c.steps = 0, 0, 0
}
