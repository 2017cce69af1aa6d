package lentilagent

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

const (
	// relayPrefix is the path prefix of relayed requests on the control address.
	relayPrefix = "/relay"
	// headerRelayed carries the caller's address in a relayed request.
	headerRelayed = "Lentil-Relayed"
	// headerService carries the number of the service in a relayed request. Earlier releases
	// don't send it.
	headerService = "Lentil-Service"
	// headerLoad, headerDemand and headerCapacity carry the load of the answering agent's
	// copy, in hundredths of a slot.
	headerLoad     = "Lentil-Load"
	headerDemand   = "Lentil-Pressing"
	headerCapacity = "Lentil-Bears"
	// relayDialTimeout is how long a peer may take to accept a connection.
	relayDialTimeout = time.Second
)

// relayToPeer relays a request that has not begun to a peer. done is false if the peer gave
// no answer or refused the request; the coordinator then sends another order.
func (a *Agent) relayToPeer(w http.ResponseWriter, in *callerRequest, x *exchange, peer lentilrecord.Record) (done bool) {
	response, sent, err := a.sendToPeer(in.request.Context(), in, peer.Control(), in.target)
	ended := relayEnded{exchange: x, peer: peer.Owner(), result: lentiladmit.RelayAnswered}
	if err != nil {
		ended.result = lentiladmit.RelayNotRun
		if sent {
			ended.result = lentiladmit.RelayAnswerLost
		}
		a.notify(ended)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	ended.load, ended.hasLoad = parseLoad(response.Header)
	if response.Header.Get(HeaderOutcome) == OutcomeNotRun && response.StatusCode == http.StatusServiceUnavailable {
		ended.result = lentiladmit.RelayNotRun
		a.notify(ended)
		return false
	}
	a.notify(ended)
	a.copyPeerAnswer(w, response)
	return true
}

// forwardToTicketIssuer forwards a request to the incarnation that issued its ticket, the
// only one that may run it.
func (a *Agent) forwardToTicketIssuer(w http.ResponseWriter, in *callerRequest, ticket lentilticket.Ticket, relayed bool) {
	if relayed || ticket.Control() == a.options.Control {
		// The incarnation has ended, and no other agent may run the request.
		writeUnknown(w, reasonTicketGone)
		return
	}
	text, err := a.ticketKeys.Seal(ticket)
	if err != nil {
		writeUnknown(w, reasonRelayFailed)
		return
	}
	response, _, err := a.sendToPeer(in.request.Context(), in, ticket.Control(), withTicket(in.target, text))
	if err != nil {
		// The request may have run at the issuer in an earlier attempt.
		writeUnknown(w, reasonTicketGone)
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.copyPeerAnswer(w, response)
}

// requestPeerTicket requests a ticket from a peer for a request that has not begun. The
// peer issues a ticket without running the request.
func (a *Agent) requestPeerTicket(ctx context.Context, in *callerRequest, x *exchange, peer lentilrecord.Record) (m peerTicketAnswer) {
	m = peerTicketAnswer{exchange: x, peer: peer.Owner()}
	response, _, err := a.sendToPeer(ctx, in, peer.Control(), in.target)
	m.callerGone = ctx.Err() != nil
	if err != nil {
		return m
	}
	defer func() { _ = response.Body.Close() }()
	m.load, m.hasLoad = parseLoad(response.Header)
	location, err := url.Parse(response.Header.Get("Location"))
	if err != nil || response.StatusCode != http.StatusTemporaryRedirect {
		return m
	}
	_, text := splitTicket(location)
	ticket, err := a.ticketKeys.Parse(text)
	if err == nil && ticket.Incarnation() == peer.Owner().Incarnation && ticket.Service() == a.options.Service {
		m.ticket = ticket
	}
	return m
}

// sendToPeer sends a request to a peer agent. sent is false if certainly nothing was sent.
func (a *Agent) sendToPeer(ctx context.Context, in *callerRequest, control netip.AddrPort, target string) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = traceConnection(ctx, &connected)
	out, err := in.newOutgoing(ctx, "https://"+control.String()+relayPrefix, target, a.options.Clock.Now())
	if err != nil {
		return nil, false, err
	}
	out.Header.Set(headerRelayed, in.request.RemoteAddr)
	out.Header.Set(headerService, strconv.Itoa(int(a.options.Service)))
	response, err = a.peerTransport.RoundTrip(out)
	return response, connected.Load(), err
}

// copyPeerAnswer copies a peer's answer to the caller, including the headers for the outcome
// and the copy. If copying fails, it aborts the caller's stream.
func (a *Agent) copyPeerAnswer(w http.ResponseWriter, response *http.Response) {
	for _, name := range []string{HeaderOutcome, HeaderCopy} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	if a.copyAnswer(w, response) != nil {
		panic(http.ErrAbortHandler)
	}
}

// parseLoad returns the load in the headers of a peer's answer. ok is false if a header is
// missing or malformed.
func parseLoad(h http.Header) (load lentilhandoff.Load, ok bool) {
	smoothed, err := strconv.ParseUint(h.Get(headerLoad), 10, 16)
	if err != nil {
		return lentilhandoff.Load{}, false
	}
	demand, err := strconv.ParseUint(h.Get(headerDemand), 10, 16)
	if err != nil {
		return lentilhandoff.Load{}, false
	}
	capacity, err := strconv.ParseUint(h.Get(headerCapacity), 10, 16)
	if err != nil {
		return lentilhandoff.Load{}, false
	}
	return lentilhandoff.Load{Smoothed: uint16(smoothed), Demand: uint16(demand), Capacity: uint16(capacity)}, true
}

// serveRelayed serves requests that peer agents relay. The TLS handshake has authenticated
// the peer.
func (a *Agent) serveRelayed(w http.ResponseWriter, r *http.Request) {
	a.inProgress.Add(1)
	defer a.inProgress.Add(-1)
	r.RemoteAddr = r.Header.Get(headerRelayed)
	r.Header.Del(headerRelayed)
	r.URL.Path = strings.TrimPrefix(r.URL.Path, relayPrefix)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, relayPrefix)
	service := r.Header.Get(headerService)
	r.Header.Del(headerService)
	if service != "" && service != strconv.Itoa(int(a.options.Service)) {
		// The agent that had this address before belonged to another service.
		refuseAttempt(w, newCallerRequest(r, a.options.Clock.Now()), http.StatusServiceUnavailable, reasonOtherService)
		return
	}
	current := a.snapshot.Load()
	w.Header().Set(headerLoad, strconv.Itoa(int(current.load)))
	w.Header().Set(headerDemand, strconv.Itoa(int(current.demand)))
	w.Header().Set(headerCapacity, strconv.Itoa(int(current.capacity)))
	a.serve(w, r, true)
}
