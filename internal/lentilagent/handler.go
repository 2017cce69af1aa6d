package lentilagent

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// ServeHTTP serves a caller's request and counts its outcome.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.inProgress.Add(1)
	defer a.inProgress.Add(-1)
	r.Header.Del(headerRelayed)
	a.serve(w, r, false)
	a.stats.add(outcomeCounter(w.Header().Get(HeaderOutcome)))
}

// outcomeCounter returns the counter for an answer with the given HeaderOutcome.
func outcomeCounter(outcome string) Counter {
	switch outcome {
	case OutcomeNotRun:
		return RequestsRefused
	case OutcomeUnknown:
		return OutcomesUnknown
	default:
		return RequestsAnswered
	}
}

// serve serves a request from a caller or, if relayed is true, from a peer agent.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request, relayed bool) {
	w.Header().Set(HeaderCopy, a.options.Copy)
	in := newCallerRequest(r, a.options.Clock.Now())
	service := a.service.Load()
	if service == nil {
		refuseAttempt(w, in, http.StatusServiceUnavailable, reasonNoConfiguration)
		return
	}
	if r.Method == http.MethodConnect {
		writeNotRun(w, http.StatusNotImplemented, reasonMethod)
		return
	}
	kind := service.Classify(r.Method, r.URL.Path)
	// A ticket was issued for a request that may not be repeated. The rules may have changed since
	// then, or agents may have different configurations for some seconds.
	if kind == lentilconfig.KindOnce || in.ticketText != "" {
		a.serveOnce(w, in, relayed)
		return
	}
	route := xxhash.Sum64String(r.Method + " " + service.RoutePrefix(r.URL.Path))
	a.serveRepeatable(w, in, kind, route, relayed)
}

// newExchange returns the exchange of one attempt at a request.
func (a *Agent) newExchange(in *callerRequest, kind lentilconfig.RequestKind, relayed bool) (x *exchange) {
	return &exchange{
		id:         a.lastExchangeID.Add(1),
		kind:       kind,
		deadline:   in.deadline,
		relayed:    relayed,
		callerHash: xxhash.Sum64String(in.request.RemoteAddr),
		localOnly:  in.streamed,
		replies:    make(chan reply, replyQueueSize),
		// There is at most one extra attempt.
		hedgeGrants: make(chan hedgeGrant, 1),
	}
}

// serveRepeatable serves a stream or a request that may be repeated.
func (a *Agent) serveRepeatable(w http.ResponseWriter, in *callerRequest, kind lentilconfig.RequestKind, route uint64, relayed bool) {
	if err := in.bufferBody(); err != nil {
		writeNotRun(w, http.StatusBadRequest, reasonBodyBroken)
		return
	}
	if a.options.HedgePercent > 0 && kind == lentilconfig.KindRepeatable {
		if err := in.bufferUnsizedBody(); err != nil {
			writeNotRun(w, http.StatusBadRequest, reasonBodyBroken)
			return
		}
	}
	x := a.newExchange(in, kind, relayed)
	x.route = route
	a.notify(requestArrived{x})
	a.followOrders(w, in, x)
}

// followOrders carries out the coordinator's orders until the caller has an answer or has
// gone.
func (a *Agent) followOrders(w http.ResponseWriter, in *callerRequest, x *exchange) {
	ctx := in.request.Context()
	for done := false; !done; {
		select {
		case <-ctx.Done():
			a.notify(requestCancelled{x})
			return
		case r := <-x.replies:
			switch r.order {
			case orderRun:
				done = a.proxyToCopy(w, in, x, r.hedgeAfter)
			case orderRelay:
				done = a.relayToPeer(w, in, x, r.peer)
			case orderRefuse:
				writeRefusal(w, r.reason, r.retryAfter)
				return
			default:
				writeUnknown(w, reasonTimedOut)
				return
			}
		}
	}
}

// serveOnce serves a request that may run at most once. Without a ticket the request is
// answered with one; with a ticket it runs at the agent that the ticket names.
func (a *Agent) serveOnce(w http.ResponseWriter, in *callerRequest, relayed bool) {
	if err := in.readBody(maxOnceBody); err != nil {
		refuseUnreadableBody(w, in, err)
		return
	}
	if in.ticketText == "" {
		a.serveTicketRequest(w, in, relayed)
		return
	}
	ticket, err := a.ticketKeys.Parse(in.ticketText)
	if err != nil {
		// The request may have run under the ticket before its key was withdrawn.
		writeUnknown(w, reasonTicketMalformed)
		return
	}
	if ticket.Service() != a.options.Service {
		// The request may have run at an agent that had this address before.
		writeUnknown(w, reasonTicketGone)
		return
	}
	if ticket.Incarnation() != a.options.Incarnation {
		a.forwardToTicketIssuer(w, in, ticket, relayed)
		return
	}
	x := a.newExchange(in, lentilconfig.KindOnce, relayed)
	fingerprint := lentilticket.NewFingerprint(in.request.Method, in.target, in.body)
	a.notify(ticketPresented{exchange: x, ticket: ticket, fingerprint: fingerprint})
	a.awaitTicketRun(w, in, x)
}

// refuseUnreadableBody answers a request whose body is too long or can't be read.
func refuseUnreadableBody(w http.ResponseWriter, in *callerRequest, err error) {
	if err == errTooLarge { //nolint:errorlint // the error is never wrapped
		writeNotRun(w, http.StatusRequestEntityTooLarge, reasonTooLarge)
		return
	}
	refuseAttempt(w, in, http.StatusBadRequest, reasonBodyBroken)
}

// serveTicketRequest answers with a redirect that carries a ticket, issued by this agent or
// a peer. It runs nothing.
func (a *Agent) serveTicketRequest(w http.ResponseWriter, in *callerRequest, relayed bool) {
	x := a.newExchange(in, lentilconfig.KindOnce, relayed)
	a.notify(ticketRequested{x})
	r := <-x.replies
	if r.order == orderRelay {
		if a.relayToPeer(w, in, x, r.peer) || in.request.Context().Err() != nil {
			return
		}
		// The peer issued no ticket, and asking for one runs nothing. So this agent issues it.
		x.localOnly = true
		a.notify(ticketRequested{x})
		r = <-x.replies
	}
	if r.order == orderRefuse {
		writeRefusal(w, r.reason, r.retryAfter)
		return
	}
	text, err := a.ticketKeys.Seal(r.ticket)
	if err != nil {
		writeNotRun(w, http.StatusServiceUnavailable, reasonTicketMalformed)
		return
	}
	w.Header().Set("Location", withTicket(in.target, text))
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// awaitTicketRun answers with the result of the run under a ticket, whichever attempt
// started the run.
func (a *Agent) awaitTicketRun(w http.ResponseWriter, in *callerRequest, x *exchange) {
	ctx, cancel := a.callerContext(in)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			a.notify(requestCancelled{x})
			// The run goes on, and its answer is stored for the caller's next attempt.
			writeUnknown(w, reasonTimedOut)
			return
		case r := <-x.replies:
			switch r.order {
			case orderRun:
				go a.runWithTicket(in, x)
			case orderReplay:
				writeStoredAnswer(w, r.answer)
				return
			case orderRequestTicket:
				a.notify(a.requestPeerTicket(ctx, in, x, r.peer))
			case orderForward:
				// This incarnation has delegated the request to the agent that issued
				// r.ticket, so forwarding even a relayed request can't loop.
				a.forwardToTicketIssuer(w, in, r.ticket, false)
				return
			case orderRejectTicket:
				writeNotRun(w, http.StatusBadRequest, reasonTicketMisused)
				return
			case orderRefuse:
				writeRefusal(w, r.reason, r.retryAfter)
				return
			default:
				writeUnknown(w, reasonCopyFailed)
				return
			}
		}
	}
}

// callerContext returns a context that ends when the caller goes or its timeout expires.
func (a *Agent) callerContext(in *callerRequest) (ctx context.Context, cancel context.CancelFunc) {
	if !in.hasDeadline {
		return context.WithCancel(in.request.Context())
	}
	left := in.deadline.Sub(a.options.Clock.Now())
	return a.options.WithTimeout(in.request.Context(), left)
}

// writeStoredAnswer answers with a complete stored answer of the copy.
func writeStoredAnswer(w http.ResponseWriter, answer lentilticket.Answer) {
	copyAnswerHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
