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

// order is an instruction from the coordinator to a handler.
type order uint8

const (
	// orderRun means send the request to the copy.
	orderRun order = iota + 1
	// orderRelay means relay the request to a peer.
	orderRelay
	// orderRefuse means answer that the request was not run.
	orderRefuse
	// orderReportUnknown means answer that the outcome is unknown.
	orderReportUnknown
	// orderReplay means answer with the stored answer.
	orderReplay
	// orderIssueTicket means answer with a ticket.
	orderIssueTicket
	// orderForward means forward the request to the agent that the ticket names.
	orderForward
	// orderRequestTicket means request a ticket from a peer, which then runs the request.
	orderRequestTicket
	// orderRejectTicket means answer that the ticket belongs to another request.
	orderRejectTicket
)

// reply is an order with its arguments.
type reply struct {
	order      order
	peer       lentilrecord.Record
	retryAfter time.Duration
	reason     lentiladmit.Reason
	answer     lentilticket.Answer
	ticket     lentilticket.Ticket
	// hedgeAfter is the time after which a peer may get an extra attempt, or zero.
	hedgeAfter time.Duration
}

// replyQueueSize is more than the number of replies to one exchange.
const replyQueueSize = 8

// exchange is one attempt at a request, served by a handler. The coordinator sends orders
// on replies and never waits for the handler.
type exchange struct {
	id       uint64
	kind     lentilconfig.RequestKind
	deadline time.Time
	relayed  bool
	// callerHash identifies the caller to the admitter.
	callerHash uint64
	// localOnly is true if the request can't be relayed to a peer. A streamed body, for
	// example, can be read only once.
	localOnly bool
	// route identifies the requests whose durations are compared.
	route       uint64
	replies     chan reply
	hedgeGrants chan hedgeGrant
	// answeredAt is when the copy's answer began. The handler sets it before the message that
	// ends the call.
	answeredAt time.Time

	// ticket, begun and dispatchedAt are set and read by the coordinator only. begun is true
	// once the first attempt has begun.
	ticket       lentilticket.Ticket
	begun        bool
	dispatchedAt time.Time

	mu         sync.Mutex
	cancelCall context.CancelFunc
	aborted    bool
}

// sendReply sends an order to the handler without blocking. A handler that has ended no
// longer reads, so orders to it are dropped once the channel is full.
func (x *exchange) sendReply(r reply) {
	select {
	case x.replies <- r:
	default:
	}
}

// setCancelCall sets the function that cancels the call to the copy. It calls the function
// at once if the call has already been aborted.
func (x *exchange) setCancelCall(cancel context.CancelFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelCall = cancel
	if x.aborted {
		cancel()
	}
}

// abortCall cancels the call to the copy, even if it is only about to begin.
func (x *exchange) abortCall() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.cancelCall != nil {
		x.cancelCall()
	}
}

// The messages to the coordinator.
type (
	// requestArrived announces a new request that needs no ticket.
	requestArrived struct{ exchange *exchange }
	// ticketRequested announces a new request that may not be repeated and has no ticket.
	ticketRequested struct{ exchange *exchange }
	// ticketPresented announces a new request with a ticket of this incarnation.
	ticketPresented struct {
		exchange    *exchange
		ticket      lentilticket.Ticket
		fingerprint lentilticket.Fingerprint
	}
	// callFinished reports the outcome of a call to the copy that was aborted, that can't be
	// tried again, or whose answer the caller has received at least in part.
	callFinished struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// callNotRun reports a call that certainly didn't reach the copy or that the copy
	// certainly didn't run.
	callNotRun struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// callAnswerLost reports a call that may have run and of whose answer the caller has
	// received nothing.
	callAnswerLost struct {
		exchange *exchange
		outcome  lentillimit.Outcome
	}
	// callAnswered reports the complete answer to a call under a ticket.
	callAnswered struct {
		exchange *exchange
		outcome  lentillimit.Outcome
		answer   lentilticket.Answer
	}
	// relayEnded reports the result of a relay to a peer, and the peer's load if the peer
	// reported it.
	relayEnded struct {
		exchange *exchange
		peer     lentilrecord.Owner
		result   lentiladmit.RelayResult
		load     lentilhandoff.Load
		hasLoad  bool
	}
	// peerTicketAnswer reports the ticket that a peer issued for a request that has not begun
	// here. The ticket is zero if the peer issued none.
	peerTicketAnswer struct {
		exchange *exchange
		peer     lentilrecord.Owner
		ticket   lentilticket.Ticket
		load     lentilhandoff.Load
		hasLoad  bool
		// callerGone is true if the caller has gone meanwhile.
		callerGone bool
	}
	// requestCancelled reports that the caller has gone.
	requestCancelled struct{ exchange *exchange }
	// tick advances the admitter's timers.
	tick struct{}
	// drainingChanged begins a planned stop, or ends it if operators cancel it.
	drainingChanged struct{ draining bool }
	// serviceConfigured applies the limits of the service. Out reports whether a failure
	// domain is out of service.
	serviceConfigured struct {
		slots       int
		connections int
		out         func(domain lentilid.Domain) bool
	}
	// peersChanged applies the peers' records.
	peersChanged struct{ records []lentilrecord.Record }
	// copyTurnedCold reports that the copy must be treated as cold.
	copyTurnedCold struct{}
)

// wasAborted reports whether the coordinator has aborted the call.
func (x *exchange) wasAborted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}
