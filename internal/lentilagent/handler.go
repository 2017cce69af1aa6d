package lentilagent

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

// ServeHTTP serves a caller's request.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.open.Add(1)
	defer a.open.Add(-1)
	r.Header.Del(headerRelayed)
	a.serve(w, r, false)
	a.tally.add(outcomeCounter(w.Header().Get(HeaderOutcome)))
}

// outcomeCounter says what counts an answer with the given outcome.
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

// serve serves a request of a caller or, if relayed is true, of a peer agent.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request, relayed bool) {
	w.Header().Set(HeaderCopy, a.options.Copy)
	service := a.service.Load()
	if service == nil {
		refuseFor(w, http.StatusServiceUnavailable, reasonNoConfiguration)
		return
	}
	if r.Method == http.MethodConnect {
		refuseFor(w, http.StatusNotImplemented, reasonMethod)
		return
	}
	in := newInput(r, a.options.Clock.Now())
	kind := service.Classify(r.Method, r.URL.Path)
	if kind == lentilconfig.KindOnce {
		a.serveOnce(w, in, relayed)
		return
	}
	a.serveAgain(w, in, kind, relayed)
}

// newExchange returns an exchange for one attempt at a request.
func (a *Agent) newExchange(in *input, kind lentilconfig.Kind, relayed bool) (x *exchange) {
	return &exchange{
		id:       a.ids.Add(1),
		kind:     kind,
		deadline: in.deadline,
		relayed:  relayed,
		caller:   xxhash.Sum64String(in.request.RemoteAddr),
		fixed:    in.streamed,
		replies:  make(chan reply, repliesPerExchange),
	}
}

// serveAgain serves a stream or a request that may be repeated.
func (a *Agent) serveAgain(w http.ResponseWriter, in *input, kind lentilconfig.Kind, relayed bool) {
	if err := in.keep(); err != nil {
		refuseFor(w, http.StatusBadRequest, reasonBodyBroken)
		return
	}
	x := a.newExchange(in, kind, relayed)
	a.tell(arrived{x})
	a.carry(w, in, x)
}

// carry does what the decider orders until the caller has an answer or is gone.
func (a *Agent) carry(w http.ResponseWriter, in *input, x *exchange) {
	ctx := in.request.Context()
	for done := false; !done; {
		select {
		case <-ctx.Done():
			a.tell(cancelled{x})
			return
		case r := <-x.replies:
			switch r.order {
			case orderRun:
				done = a.run(w, in, x)
			case orderRelay:
				done = a.relay(w, in, x, r.peer)
			case orderRefuse:
				refuse(w, r.reason, r.retryAfter)
				return
			default:
				unknown(w, reasonTimedOut)
				return
			}
		}
	}
}

// serveOnce serves a request that may not be repeated.
func (a *Agent) serveOnce(w http.ResponseWriter, in *input, relayed bool) {
	if err := in.readAll(maxOnce); err != nil {
		a.refuseBody(w, err)
		return
	}
	if in.ticket == "" {
		a.serveTicketless(w, in, relayed)
		return
	}
	ticket, err := a.tickets.Parse(in.ticket)
	if err != nil {
		refuseFor(w, http.StatusBadRequest, reasonTicketMalformed)
		return
	}
	if ticket.Service() != a.options.Service {
		refuseFor(w, http.StatusBadRequest, reasonTicketMisused)
		return
	}
	if ticket.Incarnation() != a.options.Incarnation {
		a.serveElsewhere(w, in, ticket, relayed)
		return
	}
	x := a.newExchange(in, lentilconfig.KindOnce, relayed)
	fingerprint := lentilticket.NewFingerprint(in.request.Method, in.target, in.body)
	a.tell(presented{exchange: x, ticket: ticket, fingerprint: fingerprint})
	a.awaitOnce(w, in, x)
}

// refuseBody answers a request whose body can't be kept.
func (a *Agent) refuseBody(w http.ResponseWriter, err error) {
	if err == errTooLarge { //nolint:errorlint // the error is never wrapped
		refuseFor(w, http.StatusRequestEntityTooLarge, reasonTooLarge)
		return
	}
	refuseFor(w, http.StatusBadRequest, reasonBodyBroken)
}

// serveTicketless answers with a ticket, its own or a peer's, and runs nothing.
func (a *Agent) serveTicketless(w http.ResponseWriter, in *input, relayed bool) {
	x := a.newExchange(in, lentilconfig.KindOnce, relayed)
	a.tell(ticketless{x})
	r := <-x.replies
	if r.order == orderRelay {
		if a.relay(w, in, x, r.peer) || in.request.Context().Err() != nil {
			return
		}
		// Nothing was run by asking the peer for a ticket; this agent gives one.
		x.fixed = true
		a.tell(ticketless{x})
		r = <-x.replies
	}
	if r.order == orderRefuse {
		refuse(w, r.reason, r.retryAfter)
		return
	}
	text, err := a.tickets.Seal(r.ticket)
	if err != nil {
		refuseFor(w, http.StatusServiceUnavailable, reasonTicketMalformed)
		return
	}
	w.Header().Set("Location", withTicket(in.target, text))
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// awaitOnce waits for the end of a run under a ticket, whoever began it.
func (a *Agent) awaitOnce(w http.ResponseWriter, in *input, x *exchange) {
	ctx, cancel := a.callerContext(in)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			a.tell(cancelled{x})
			// The run goes on; its answer waits for the caller's next attempt.
			unknown(w, reasonTimedOut)
			return
		case r := <-x.replies:
			switch r.order {
			case orderRun:
				go a.runOnce(in, x)
			case orderReplay:
				replay(w, r.answer)
				return
			case orderAsk:
				a.tell(a.askTicket(ctx, in, x, r.peer))
			case orderElsewhere:
				// This incarnation has handed the request over and knows to whom, so that
				// one more step can't go round in a circle.
				a.serveElsewhere(w, in, r.ticket, false)
				return
			case orderMisused:
				refuseFor(w, http.StatusBadRequest, reasonTicketMisused)
				return
			case orderRefuse:
				refuse(w, r.reason, r.retryAfter)
				return
			default:
				unknown(w, reasonCopyFailed)
				return
			}
		}
	}
}

// callerContext ends when the caller goes or stops waiting.
func (a *Agent) callerContext(in *input) (ctx context.Context, cancel context.CancelFunc) {
	if !in.timed {
		return context.WithCancel(in.request.Context())
	}
	left := in.deadline.Sub(a.options.Clock.Now())
	return context.WithTimeout(in.request.Context(), left)
}

// replay answers with a whole answer of the copy.
func replay(w http.ResponseWriter, answer lentilticket.Answer) {
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
