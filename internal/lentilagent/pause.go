package lentilagent

import "time"

const (
	// maxPause is the longest pause of the agent after which it admits requests at once. After a
	// longer one, its failure domain may have been taken out of service. A change of the failure
	// domain may take a few seconds to be in force.
	maxPause = time.Second
	// resumeTime is how long the agent then holds new requests. A heartbeat is due at once after
	// such a pause, and its answer brings the configuration, which closes the callers'
	// connections if the failure domain is out of service.
	resumeTime = 500 * time.Millisecond
)

// pauseHold holds new requests for resumeTime after a pause of more than maxPause.
type pauseHold struct {
	lastTick, resumedAt time.Time
	held                []*exchange
}

// observe records that the agent goes on after a pause.
func (p *pauseHold) observe(now time.Time) {
	if !p.lastTick.IsZero() && now.Sub(p.lastTick) > maxPause && !p.resumedAt.After(p.lastTick) {
		p.resumedAt = now
	}
}

// holds reports whether a new request has to wait, and keeps it in that case.
func (p *pauseHold) holds(now time.Time, x *exchange) bool {
	p.observe(now)
	if p.resumedAt.IsZero() || now.Sub(p.resumedAt) >= resumeTime {
		return false
	}
	p.held = append(p.held, x)
	return true
}

// release returns the requests that need not wait any longer.
func (p *pauseHold) release(now time.Time) (released []*exchange) {
	p.observe(now)
	p.lastTick = now
	if len(p.held) == 0 || now.Sub(p.resumedAt) < resumeTime {
		return nil
	}
	released, p.held = p.held, nil
	return released
}

func (c *coordinator) now() time.Time { return c.clock.Now() }

// handleTick handles everything that is due. It passes on the requests that were held, except
// those whose callers have gone meanwhile.
func (c *coordinator) handleTick() {
	for _, x := range c.pause.release(c.now()) {
		if c.exchanges[x.id] == x {
			c.passToAdmitter(x)
		}
	}
	c.perform(c.admitter.Tick())
}
