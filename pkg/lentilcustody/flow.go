package lentilcustody

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// flow is what the agent knows of a flow.
type flow struct {
	state    state
	balancer lentilflow.Endpoint
	// opening is the upstream's first sequence number, while granted.
	opening uint32
	granted bool
	// acknowledged is what the client has last acknowledged.
	acknowledged uint32
	used         time.Time
	// since is when the flow opened.
	since   time.Time
	working bool
	// asked is when the request in work came.
	asked  time.Time
	closes closes
}

type state uint8

const (
	// sought flows were unknown, and a packet of them has gone to the upstream.
	sought state = iota
	// halfOpen flows have had their first packet passed on.
	halfOpen
	// open flows are held by the upstream.
	open
	// ended flows have been closed by both ends.
	ended
	// lost flows went with their upstream.
	lost
)

type closes uint8

const (
	byClient closes = 1 << iota
	byUpstream
)

func (c *Custodian) closed(f *flow, by closes) {
	f.closes |= by
	if f.closes == byClient|byUpstream && f.state == open {
		c.setState(f, ended)
	}
}

func (c *Custodian) add(key lentilflow.Key, f *flow) {
	if c.flows == nil {
		c.flows = make(map[lentilflow.Key]*flow)
	}
	c.flows[key] = f
}

func (c *Custodian) remove(key lentilflow.Key) {
	if f := c.flows[key]; f != nil {
		c.setState(f, ended)
		delete(c.flows, key)
	}
}

// setState changes a flow's state and the counts of open flows and of work.
func (c *Custodian) setState(f *flow, to state) {
	if f.state == halfOpen && to != halfOpen {
		c.half--
	}
	if to == halfOpen && f.state != halfOpen {
		c.half++
	}
	if f.state == open && to != open {
		c.open--
		c.churn++
	}
	if to == open && f.state != open {
		c.open++
		c.churn++
		f.since = f.used
	}
	f.state = to
	if to == ended || to == lost {
		c.setWorking(f, false)
	}
}

func (c *Custodian) setWorking(f *flow, working bool) {
	if f.working == working {
		return
	}
	f.working = working
	if working {
		c.busy++
	} else {
		c.busy--
	}
}
