package lentilcustody

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// Registration is what an upstream tells its agent of itself, at its start and regularly.
type Registration struct {
	// ID names the upstream; Born tells its runs under one ID apart, the later has the higher.
	ID   string
	Born int64
	// Number increases with each registration of a run, so that a late one shows.
	Number int64
	// Service is the service that it says it belongs to.
	Service string
	// Draining says that it is about to leave.
	Draining bool
	// ColdFor is how long it still bears less than usual.
	ColdFor time.Duration
	// Slots is how many requests it works on at once.
	Slots int
}

// firstNumber is the number of the first registration of a run of an upstream.
const firstNumber = 1

// upstream is what the agent knows of its upstream.
type upstream struct {
	phase lentilflow.Phase
	// ended is set once the upstream is known to have ended, not only to be late.
	ended    bool
	id       string
	born     int64
	number   int64
	slots    int
	heardAt  time.Time
	coldTill time.Time
	// coldKnown is false while the upstream may have become cold without having told so yet.
	coldKnown bool
	// rival counts registrations of a run that seems to be older, while the present one is overdue.
	rivalNumber int64
}

func (u *upstream) cold(now time.Time) bool { return !u.coldKnown || now.Before(u.coldTill) }

// Register takes a registration. It is in force for this agent when Register returns.
func (c *Custodian) Register(r Registration, actions []Action) []Action {
	u, now := &c.upstream, c.now()
	known := u.id != ""
	if r.Service != c.Service || (known && c.stale(now, r)) {
		return actions
	}
	same := known && u.id == r.ID && u.born == r.Born
	former := u.phase
	if !known && r.Number <= firstNumber {
		// The agent runs since before its upstream could take a flow.
		c.Whole = true
	}
	if !same && known {
		// The upstream that held the flows has ended: one address has one upstream.
		actions = c.lose(UpstreamReplaced, actions)
		c.Whole = true
	}
	u.id, u.born, u.number, u.rivalNumber = r.ID, r.Born, r.Number, 0
	u.heardAt, u.slots, u.coldKnown, u.coldTill = now, r.Slots, true, now.Add(r.ColdFor)
	u.phase, u.ended = lentilflow.Ready, false
	if r.Draining {
		u.phase = lentilflow.Draining
	}
	if !same {
		c.unmarked = r.Number <= earlyNumber
	}
	actions = c.settle(actions)
	switch {
	case u.phase != former && r.Draining:
		return c.announce(UpstreamLeaving, actions)
	case u.phase != former || !same:
		return c.announce(UpstreamRegistered, actions)
	}
	return actions
}

// stale reports whether a registration is older than what is known. Times of day may jump, so a
// run that looks older is believed once it has registered again while the present one is overdue.
func (c *Custodian) stale(now time.Time, r Registration) bool {
	u := &c.upstream
	if r.ID == u.id && r.Born == u.born {
		return r.Number <= u.number
	}
	if r.Born > u.born {
		return false
	}
	if !c.overdue(now) || u.rivalNumber == 0 || r.Number <= u.rivalNumber {
		u.rivalNumber = r.Number
		return true
	}
	return false
}

func (c *Custodian) overdue(now time.Time) bool {
	limit := time.Duration(float64(c.RenewInterval) * overdueIntervals)
	return limit > 0 && now.Sub(c.upstream.heardAt) > limit
}

// Registration returns the upstream's ID and the number of its last registration.
func (c *Custodian) Registration() (id string, number int64) { return c.upstream.id, c.upstream.number }

// Leave takes the sign-off of an upstream that is about to exit.
func (c *Custodian) Leave(id string, actions []Action) []Action {
	if c.upstream.id != id || c.upstream.phase == lentilflow.Gone {
		return actions
	}
	c.upstream.phase = lentilflow.Gone
	// Its flows are reset once nothing listens at its address any more.
	c.checking = true
	return append(c.announce(UpstreamLeft, actions), Action{Verb: Check})
}

// SetOut says whether operators have taken the agent's failure domain out. An upstream whose
// domain comes back counts as cold until it has told otherwise.
func (c *Custodian) SetOut(out bool, actions []Action) []Action {
	if c.out == out {
		return actions
	}
	c.out = out
	if !out {
		c.upstream.coldKnown = false
	}
	return c.announce(DomainChanged, actions)
}

// Stop says that the agent was asked to end.
func (c *Custodian) Stop(actions []Action) []Action {
	c.stopping = true
	return c.announce(StopAsked, actions)
}

// Listening is what a connection to the upstream's address has shown.
type Listening uint8

// The outcomes of a check.
const (
	// Accepts means that something listens.
	Accepts Listening = iota
	// Refuses means that the machine says that nothing listens.
	Refuses
	// Silent means that there was no answer in time.
	Silent
)

// Checked takes the outcome of a Check.
func (c *Custodian) Checked(seen Listening, actions []Action) []Action {
	c.checking = false
	leaving := c.upstream.phase == lentilflow.Gone
	switch {
	case seen == Accepts && leaving:
		// It signed off and is still there for a moment.
		c.checking = true
		return append(actions, Action{Verb: Check})
	case seen == Accepts:
		c.heard()
		return actions
	}
	cause := UpstreamSilent
	if seen == Refuses {
		cause = UpstreamRefused
	}
	return c.ended(cause, actions)
}

// Refused tells that a packet to the upstream was refused by its machine.
func (c *Custodian) Refused(actions []Action) []Action {
	if c.checking {
		return actions
	}
	c.checking = true
	return append(actions, Action{Verb: Check})
}

// ended marks the upstream as ended until it registers again.
func (c *Custodian) ended(cause Cause, actions []Action) []Action {
	c.heard()
	former := c.upstream.phase
	c.upstream.phase, c.upstream.ended = lentilflow.Gone, true
	if former != lentilflow.Gone {
		actions = c.announce(cause, actions)
	}
	return c.lose(cause, actions)
}

// lose resets every flow: the upstream that held them is gone.
func (c *Custodian) lose(cause Cause, actions []Action) []Action {
	for key, f := range c.flows {
		if f.state == ended || f.state == lost {
			continue
		}
		if f.state != sought {
			actions = append(actions, Action{Verb: ResetClient, Cause: cause, Key: key, Sequence: f.acknowledged})
		}
		c.setState(f, lost)
		f.used = c.now()
	}
	return actions
}

// expect notes that a packet that has to be answered goes to the upstream.
func (c *Custodian) expect(now time.Time) {
	if c.unanswered == 0 {
		c.quietSince = now
	}
	c.unanswered++
}

// heard notes that the upstream has shown that it lives.
func (c *Custodian) heard() { c.unanswered = 0 }

// Tick does what time brings. Call it some times a second.
func (c *Custodian) Tick(actions []Action) []Action {
	now := c.now()
	if !c.ticked.IsZero() && now.Sub(c.ticked) > pauseLimit {
		// Answers may be waiting to be read.
		c.quietSince = now
		c.upstream.heardAt = c.upstream.heardAt.Add(now.Sub(c.ticked))
	}
	c.ticked = now
	if c.unanswered >= quietPackets && now.Sub(c.quietSince) >= quietLimit && !c.checking && c.upstream.phase != lentilflow.Gone {
		c.checking = true
		actions = append(actions, Action{Verb: Check})
	}
	if wasCold := c.wasCold; wasCold != c.Cold() {
		c.wasCold = !wasCold
		actions = c.announce(ColdChanged, actions)
	}
	if phase := c.upstream.phase; (phase == lentilflow.Ready || phase == lentilflow.Draining) && c.overdue(now) {
		c.upstream.phase = lentilflow.Gone
		actions = c.announce(UpstreamOverdue, actions)
	}
	if now.Sub(c.swept) >= sweepInterval {
		c.swept = now
		c.sweep(now)
	}
	return c.tickBalancers(now, actions)
}

// sweep forgets flows that have ended or were not used for long.
func (c *Custodian) sweep(now time.Time) {
	life := c.Life
	if life == 0 {
		life = lentilflow.DefaultIdleTimeout
	}
	limits := [...]time.Duration{sought: halfOpenLife, halfOpen: halfOpenLife, open: life, ended: endedLife, lost: endedLife}
	for key, f := range c.flows {
		if now.Sub(f.used) > limits[f.state] {
			c.remove(key)
		}
	}
}
