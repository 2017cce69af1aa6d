package lentilagent

import (
	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentillimit"
)

// removeFinished removes the exchange of a message if the admitter no longer holds it.
func (c *coordinator) removeFinished(message any) {
	var x *exchange
	switch m := message.(type) {
	case callFinished:
		x = m.exchange
	case callAnswerLost:
		x = m.exchange
	case callAnswered:
		x = m.exchange
	case relayEnded:
		x = m.exchange
	case peerTicketAnswer:
		x = m.exchange
	case firstFailed:
		x = m.exchange
	case hedgeEnded:
		x = m.exchange
	default:
		return
	}
	if !c.admitter.Holds(x.id) {
		delete(c.exchanges, x.id)
	}
}

// cancel handles a caller that has gone. A run under a ticket goes on. The handler has
// ended, so its unread orders are cancelled too.
func (c *coordinator) cancel(x *exchange) {
	if c.waiters[x.id] != nil {
		delete(c.waiters, x.id)
		c.ledger.RemoveWaiter(x.ticket, x.id)
		return
	}
	if c.exchanges[x.id] == nil {
		return
	}
	c.perform(c.admitter.Cancelled(x.id))
	c.cancelUnreadOrders(x)
	c.refuseAbandoned(x)
}

// cancelUnreadOrders reports each run and relay that a handler was ordered to start, and
// did not, as not run to the admitter. Otherwise its slot would stay occupied.
func (c *coordinator) cancelUnreadOrders(x *exchange) {
	for {
		select {
		case r := <-x.replies:
			switch r.order {
			case orderRun:
				c.perform(c.admitter.NotRun(x.id, lentillimit.OutcomeCancelled))
			case orderRelay, orderRequestTicket:
				c.perform(c.admitter.RelayEnded(x.id, lentiladmit.RelayNotRun))
			}
		default:
			return
		}
	}
}

// handleRelayEnded reports the result of a relay to the admitter and the chooser.
func (c *coordinator) handleRelayEnded(m relayEnded) {
	if m.hasLoad {
		c.chooser.UpdateLoad(m.peer, m.load)
	}
	if m.result == lentiladmit.RelayNotRun {
		c.chooser.RecordRefusal(m.peer)
	}
	c.perform(c.admitter.RelayEnded(m.exchange.id, m.result))
}
