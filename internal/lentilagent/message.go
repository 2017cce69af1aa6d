package lentilagent

import (
	"context"
	"sync"
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

//go:generate stringer -type=order -trimprefix=order

// order is what the decider tells a handler to do.
type order uint8

const (
	// orderRun means call the copy.
	orderRun order = iota + 1
	// orderRelay means pass the request to a peer.
	orderRelay
	// orderRefuse means answer that the request was not run.
	orderRefuse
	// orderUnknown means answer that the outcome is unknown.
	orderUnknown
	// orderReplay means answer with a stored answer.
	orderReplay
	// orderTicket means answer with a ticket.
	orderTicket
	// orderElsewhere means pass the request to the agent that the ticket names.
	orderElsewhere
	// orderAsk means ask a peer for a ticket, under which the peer runs the request.
	orderAsk
	// orderMisused means answer that the ticket is not for this request.
	orderMisused
)

// reply is an order and what it needs.
type reply struct {
	order      order
	peer       lentilrecord.Record
	retryAfter time.Duration
	reason     lentiladmit.Reason
	answer     lentilticket.Answer
	ticket     lentilticket.Ticket
}

// repliesPerExchange is more than the replies that one exchange ever gets.
const repliesPerExchange = 8

// exchange is one request in the hands of a handler. The decider answers on
// replies and never waits for the handler.
type exchange struct {
	id       uint64
	kind     lentilconfig.Kind
	deadline time.Time
	relayed  bool
	// caller tells callers apart.
	caller uint64
	// fixed requests can't be passed to a peer, since their body is read only once.
	fixed   bool
	replies chan reply

	// ticket is set by the decider alone.
	ticket lentilticket.Ticket

	mu      sync.Mutex
	abort   context.CancelFunc
	aborted bool
}

// reply hands an order to the handler. A handler that has ended doesn't read; its
// orders are dropped when the channel is full.
func (x *exchange) reply(r reply) {
	select {
	case x.replies <- r:
	default:
	}
}

// onAbort sets what ends the call to the copy.
func (x *exchange) onAbort(abort context.CancelFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abort = abort
	if x.aborted {
		abort()
	}
}

// stop ends the call to the copy, also one that is about to begin.
func (x *exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.abort != nil {
		x.abort()
	}
}

// The messages to the decider.
type (
	// arrived is a new request that needs no ticket.
	arrived struct{ exchange *exchange }
	// ticketless is a new request that may not be repeated and brings no ticket.
	ticketless struct{ exchange *exchange }
	// presented is a new request with a ticket of this incarnation.
	presented struct {
		exchange    *exchange
		ticket      lentilticket.Ticket
		fingerprint lentilticket.Fingerprint
	}
	// finished tells how a call to the copy ended of whose answer the caller got
	// something, or which was aborted.
	finished struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// notBegun tells that a call surely did not reach the copy, or that the copy
	// surely did not run it.
	notBegun struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// lost tells that a call may have been run and that the caller got nothing of its answer.
	lost struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// settled gives the whole answer to a call under a ticket.
	settled struct {
		exchange *exchange
		outcome  lentillimit.Outcome
		answer   lentilticket.Answer
	}
	// relayEnded tells how a relay to a peer ended, and the peer's load if it said so.
	relayEnded struct {
		exchange *exchange
		peer     lentilrecord.Owner
		result   lentiladmit.RelayResult
		load     lentilhandoff.Load
		told     bool
	}
	// asked gives the ticket that a peer gave for a request that has not begun here,
	// or no ticket if it gave none.
	asked struct {
		exchange *exchange
		peer     lentilrecord.Owner
		ticket   lentilticket.Ticket
		load     lentilhandoff.Load
		told     bool
		// gone is true if the caller has gone meanwhile.
		gone bool
	}
	// cancelled tells that the caller has gone.
	cancelled struct{ exchange *exchange }
	// tick lets time pass.
	tick struct{}
	// drain begins a planned stop, or ends it if operators change their mind.
	drain struct{ begin bool }
	// configured puts a service's figures in force.
	configured struct {
		slots       int
		connections int
		out         func(domain lentilid.Domain) bool
	}
	// peered puts the peers' records in force.
	peered struct{ records []lentilrecord.Record }
	// cold tells that the copy has to be taken for cold.
	cold struct{}
)

// wasAborted reports whether the decider has ended the call.
func (x *exchange) wasAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}
