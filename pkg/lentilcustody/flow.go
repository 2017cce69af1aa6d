package lentilcustody

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// flow is what the agent knows of a flow.
type flow struct {
	state    flowState
	balancer lentilflow.Endpoint
	// initialSequence is the upstream's first sequence number, while granted.
	initialSequence  uint32
	upstreamAccepted bool
	// acknowledged is what the client has last acknowledged.
	acknowledged uint32
	lastUsed     time.Time
	// openedAt is when the flow opened.
	openedAt        time.Time
	requestInFlight bool
	// requestAt is when the request in work came.
	requestAt time.Time
	closedBy  closeSides
}

type flowState uint8

const (
	// unverified flows were unknown, and a packet of them has gone to the upstream.
	unverified flowState = iota
	// halfOpen flows have had their first packet passed on.
	halfOpen
	// open flows are held by the upstream.
	open
	// closed flows have been closed by both ends.
	closed
	// lost flows went with their upstream.
	lost
)

type closeSides uint8

const (
	closedByClient closeSides = 1 << iota
	closedByUpstream
)

func (c *Tracker) recordClose(f *flow, by closeSides) {
	f.closedBy |= by
	if f.closedBy == closedByClient|closedByUpstream && f.state == open {
		c.setState(f, closed)
	}
}

func (c *Tracker) addFlow(key lentilflow.Key, f *flow) {
	if c.flows == nil {
		c.flows = make(map[lentilflow.Key]*flow)
	}
	c.flows[key] = f
}

func (c *Tracker) removeFlow(key lentilflow.Key) {
	if f := c.flows[key]; f != nil {
		c.setState(f, closed)
		delete(c.flows, key)
	}
}

// setState changes a flow's state and the counts of open flows and of work.
func (c *Tracker) setState(f *flow, to flowState) {
	if f.state == halfOpen && to != halfOpen {
		c.halfOpenFlows--
	}
	if to == halfOpen && f.state != halfOpen {
		c.halfOpenFlows++
	}
	if f.state == open && to != open {
		c.openFlows--
		c.churn++
	}
	if to == open && f.state != open {
		c.openFlows++
		c.churn++
		f.openedAt = f.lastUsed
	}
	f.state = to
	if to == closed || to == lost {
		c.setRequestInFlight(f, false)
	}
}

func (c *Tracker) setRequestInFlight(f *flow, working bool) {
	if f.requestInFlight == working {
		return
	}
	f.requestInFlight = working
	if working {
		c.requestsInFlight++
	} else {
		c.requestsInFlight--
	}
}
