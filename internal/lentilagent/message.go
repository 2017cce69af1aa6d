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
	// orderReportUnknown means answer that the outcome is unknown.
	orderReportUnknown
	// orderReplay means answer with a stored answer.
	orderReplay
	// orderIssueTicket means answer with a ticket.
	orderIssueTicket
	// orderForward means pass the request to the agent that the ticket names.
	orderForward
	// orderRequestTicket means ask a peer for a ticket, under which the peer runs the request.
	orderRequestTicket
	// orderRejectTicket means answer that the ticket is not for this request.
	orderRejectTicket
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

// replyQueueSize is more than the replies that one exchange ever gets.
const replyQueueSize = 8

// exchange is one request in the hands of a handler. The decider answers on
// replies and never waits for the handler.
type exchange struct {
	id       uint64
	kind     lentilconfig.RequestKind
	deadline time.Time
	relayed  bool
	// callerHash tells callers apart.
	callerHash uint64
	// localOnly requests can't be passed to a peer, since their body is read only once.
	localOnly bool
	replies   chan reply

	// ticket is set by the decider alone.
	ticket lentilticket.Ticket

	mu         sync.Mutex
	cancelCall context.CancelFunc
	aborted    bool
}

// sendReply hands an order to the handler. A handler that has ended doesn't read; its
// orders are dropped when the channel is full.
func (x *exchange) sendReply(r reply) {
	select {
	case x.replies <- r:
	default:
	}
}

// setCancelCall sets what ends the call to the copy.
func (x *exchange) setCancelCall(abort context.CancelFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelCall = abort
	if x.aborted {
		abort()
	}
}

// abortCall ends the call to the copy, also one that is about to begin.
func (x *exchange) abortCall() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.cancelCall != nil {
		x.cancelCall()
	}
}

// The messages to the decider.
type (
	// requestArrived is a new request that needs no ticket.
	requestArrived struct{ exchange *exchange }
	// ticketRequested is a new request that may not be repeated and brings no ticket.
	ticketRequested struct{ exchange *exchange }
	// ticketPresented is a new request with a ticket of this incarnation.
	ticketPresented struct {
		exchange    *exchange
		ticket      lentilticket.Ticket
		fingerprint lentilticket.Fingerprint
	}
	// callFinished tells how a call to the copy ended of whose answer the caller got
	// something, or which was aborted.
	callFinished struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// callNotRun tells that a call surely did not reach the copy, or that the copy
	// surely did not run it.
	callNotRun struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// callAnswerLost tells that a call may have been run and that the caller got nothing of its answer.
	callAnswerLost struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// callAnswered gives the whole answer to a call under a ticket.
	callAnswered struct {
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
		hasLoad  bool
	}
	// peerTicketAnswer gives the ticket that a peer gave for a request that has not begun here,
	// or no ticket if it gave none.
	peerTicketAnswer struct {
		exchange *exchange
		peer     lentilrecord.Owner
		ticket   lentilticket.Ticket
		load     lentilhandoff.Load
		hasLoad  bool
		// callerGone is true if the caller has callerGone meanwhile.
		callerGone bool
	}
	// requestCancelled tells that the caller has gone.
	requestCancelled struct{ exchange *exchange }
	// tick lets time pass.
	tick struct{}
	// drainingChanged begins a planned stop, or ends it if operators change their mind.
	drainingChanged struct{ draining bool }
	// serviceConfigured puts a service's figures in force.
	serviceConfigured struct {
		slots       int
		connections int
		out         func(domain lentilid.Domain) bool
	}
	// peersChanged puts the peers' records in force.
	peersChanged struct{ records []lentilrecord.Record }
	// copyTurnedCold tells that the copy has to be taken for copyTurnedCold.
	copyTurnedCold struct{}
)

// wasAborted reports whether the decider has ended the call.
func (x *exchange) wasAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}
