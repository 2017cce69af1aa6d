package lentilconntrack

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// flow is the tracked state of a flow.
type flow struct {
	state flowState
	// balancer last sent a packet of the flow, or asked about the flow while it was open.
	balancer lentilflow.Endpoint
	// firstPacket is the client's packet that opens the flow, kept until the upstream has accepted it.
	firstPacket []byte
	// firstSequence is the client's sequence number in the packet that opens the flow; it is valid if firstSeen is set.
	firstSequence uint32
	firstSeen     bool
	// upstreamRun is the run of the upstream that was registered when the first packet was last passed on.
	upstreamRun uint64
	// waiting is set while the upstream hasn't got the first packet, because it has no room.
	waiting bool
	// initialSequence is the upstream's first sequence number; it is valid if upstreamAccepted is set.
	initialSequence uint32
	// upstreamAccepted is set once the upstream has sent the packet that accepts the flow.
	upstreamAccepted bool
	// acknowledged is the client's last acknowledgement number, or the upstream's sequence number if the client's
	// isn't known. A reset to the client carries it.
	acknowledged uint32
	addedAt      time.Time
	lastUsed     time.Time
	// heardAt is when the upstream last sent a packet of the flow.
	heardAt time.Time
	// openedAt is the value of lastUsed when the flow became open.
	openedAt time.Time
	// requestInFlight is set from a client's data packet until the upstream's next data packet.
	requestInFlight bool
	// requestAt is when the request in flight arrived, and requestLoad how many the upstream then had.
	requestAt   time.Time
	requestLoad int
	closedBy    closeSides
	// unconfirmed is set while only an earlier ledger says that the upstream holds the open flow, or if another flow from its port was
	// refused: the flow may have ended, and another upstream may hold the next one from the port.
	unconfirmed bool
	// nonRepeatable is set if the flow's route says that its requests may not be repeated.
	nonRepeatable bool
	// dataAt is when the last new data of the request in flight arrived, and dataSequence its sequence number.
	dataAt       time.Time
	dataSequence uint32
	// foundSlot is set if the upstream then had a free slot.
	foundSlot bool
	route     *route
}

// flowState is the state of a flow in the connection table.
type flowState uint8

const (
	// unverified flows were unknown to the agent. One of their packets was forwarded to find out whether the
	// upstream holds them.
	unverified flowState = iota
	// halfOpen flows have had their first packet forwarded to the upstream.
	halfOpen
	// open flows are held by the upstream.
	open
	// closed flows were closed by both ends or reset by one of them.
	closed
	// lost flows ended with their upstream, or the upstream no longer holds them.
	lost
)

// closeSides is the set of ends that have closed a flow.
type closeSides uint8

const (
	closedByClient closeSides = 1 << iota
	closedByUpstream
)

func (t *Tracker) recordClose(f *flow, side closeSides) {
	f.closedBy |= side
	if f.closedBy == closedByClient|closedByUpstream && f.state == open {
		t.setState(f, closed)
	}
}

func (t *Tracker) addFlow(key lentilflow.Key, f *flow) {
	if t.flows == nil {
		t.flows = make(map[lentilflow.Key]*flow)
	}
	t.flows[key] = f
	f.addedAt, f.route = t.now(), t.route(key.Service())
}

func (t *Tracker) removeFlow(key lentilflow.Key) {
	if f := t.flows[key]; f != nil {
		t.setState(f, closed)
		t.queue.Remove(key)
		delete(t.flows, key)
	}
}

// setState changes a flow's state and adjusts the counts of open and half-open flows and of requests in flight.
func (t *Tracker) setState(f *flow, to flowState) {
	if f.state == halfOpen && to != halfOpen {
		t.halfOpenFlows--
	}
	if to == halfOpen && f.state != halfOpen {
		t.halfOpenFlows++
	}
	if f.state == open && to != open {
		t.openFlows--
		t.churn++
	}
	if to == open && f.state != open {
		t.openFlows++
		t.churn++
		f.openedAt = f.lastUsed
	}
	if counts := to == halfOpen || to == open; counts != (f.state == halfOpen || f.state == open) {
		change := -1
		if counts {
			change = 1
		}
		t.countFlow(f, change)
	}
	f.state = to
	if to == closed || to == lost {
		t.setRequestInFlight(f, false)
	}
}

func (t *Tracker) setRequestInFlight(f *flow, inFlight bool) {
	if f.requestInFlight == inFlight {
		return
	}
	f.requestInFlight = inFlight
	if inFlight {
		t.requestsInFlight++
	} else {
		t.requestsInFlight--
	}
}
