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
	// relayPrefix is where agents take each other's requests on the control address.
	relayPrefix = "/relay"
	// headerRelayed carries the caller's address in a relayed request.
	headerRelayed = "Lentil-Relayed"
	// headerLoad, headerNow and headerBears carry the peer's load in answers, in hundredths of a slot.
	headerLoad  = "Lentil-Load"
	headerNow   = "Lentil-Pressing"
	headerBears = "Lentil-Bears"
	// relayDialTimeout is how long a peer may take to accept a connection.
	relayDialTimeout = time.Second
)

// relay passes a request that has not begun to a peer. done is false if the peer gave
// no answer; the decider then says what to do.
func (a *Agent) relay(w http.ResponseWriter, in *input, x *exchange, peer lentilrecord.Record) (done bool) {
	response, sent, err := a.ask(in.request.Context(), in, peer.Control(), in.target)
	ended := relayEnded{exchange: x, peer: peer.Owner(), result: lentiladmit.RelayAnswered}
	if err != nil {
		ended.result = lentiladmit.RelayNotRun
		if sent {
			ended.result = lentiladmit.RelayAnswerLost
		}
		a.tell(ended)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	ended.load, ended.told = loadOf(response.Header)
	if response.Header.Get(HeaderOutcome) == OutcomeNotRun && response.StatusCode == http.StatusServiceUnavailable {
		ended.result = lentiladmit.RelayNotRun
		a.tell(ended)
		return false
	}
	a.tell(ended)
	a.passRelayed(w, response)
	return true
}

// serveElsewhere passes a request to the one incarnation that its ticket names.
func (a *Agent) serveElsewhere(w http.ResponseWriter, in *input, ticket lentilticket.Ticket, relayed bool) {
	if relayed || ticket.Control() == a.options.Control {
		// The named incarnation isn't there any more, and nobody else may run it.
		unknown(w, reasonTicketGone)
		return
	}
	text, err := a.tickets.Seal(ticket)
	if err != nil {
		unknown(w, reasonRelayFailed)
		return
	}
	response, _, err := a.ask(in.request.Context(), in, ticket.Control(), withTicket(in.target, text))
	if err != nil {
		// An earlier attempt may have run there.
		unknown(w, reasonTicketGone)
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.passRelayed(w, response)
}

// askTicket asks a peer for a ticket for a request that has not begun. Nothing runs by that.
func (a *Agent) askTicket(ctx context.Context, in *input, x *exchange, peer lentilrecord.Record) (m asked) {
	m = asked{exchange: x, peer: peer.Owner()}
	response, _, err := a.ask(ctx, in, peer.Control(), in.target)
	m.gone = ctx.Err() != nil
	if err != nil {
		return m
	}
	defer func() { _ = response.Body.Close() }()
	m.load, m.told = loadOf(response.Header)
	location, err := url.Parse(response.Header.Get("Location"))
	if err != nil || response.StatusCode != http.StatusTemporaryRedirect {
		return m
	}
	_, text := splitTicket(location)
	ticket, err := a.tickets.Parse(text)
	if err == nil && ticket.Incarnation() == peer.Owner().Incarnation && ticket.Service() == a.options.Service {
		m.ticket = ticket
	}
	return m
}

// ask sends a request to a peer agent. sent is false if surely nothing was sent.
func (a *Agent) ask(ctx context.Context, in *input, control netip.AddrPort, target string) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = traceConnection(ctx, &connected)
	out, err := in.outgoing(ctx, "https://"+control.String()+relayPrefix, target, a.options.Clock.Now())
	if err != nil {
		return nil, false, err
	}
	out.Header.Set(headerRelayed, in.request.RemoteAddr)
	response, err = a.peers.RoundTrip(out)
	return response, connected.Load(), err
}

// passRelayed passes a peer's answer on, with what the peer says of its outcome.
func (a *Agent) passRelayed(w http.ResponseWriter, response *http.Response) {
	for _, name := range []string{HeaderOutcome, HeaderCopy} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	if a.pass(w, response) != nil {
		panic(http.ErrAbortHandler)
	}
}

// loadOf returns the load that a peer told in an answer.
func loadOf(h http.Header) (load lentilhandoff.Load, told bool) {
	busy, err := strconv.ParseUint(h.Get(headerLoad), 10, 16)
	if err != nil {
		return lentilhandoff.Load{}, false
	}
	now, err := strconv.ParseUint(h.Get(headerNow), 10, 16)
	if err != nil {
		return lentilhandoff.Load{}, false
	}
	bears, err := strconv.ParseUint(h.Get(headerBears), 10, 16)
	if err != nil {
		return lentilhandoff.Load{}, false
	}
	return lentilhandoff.Load{Busy: uint16(busy), Now: uint16(now), Bears: uint16(bears)}, true
}

// serveRelayed serves requests that peer agents pass on. TLS has checked the peer.
func (a *Agent) serveRelayed(w http.ResponseWriter, r *http.Request) {
	a.open.Add(1)
	defer a.open.Add(-1)
	r.RemoteAddr = r.Header.Get(headerRelayed)
	r.Header.Del(headerRelayed)
	r.URL.Path = strings.TrimPrefix(r.URL.Path, relayPrefix)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, relayPrefix)
	shown := a.shown.Load()
	w.Header().Set(headerLoad, strconv.Itoa(int(shown.load)))
	w.Header().Set(headerNow, strconv.Itoa(int(shown.pressing)))
	w.Header().Set(headerBears, strconv.Itoa(int(shown.bears)))
	a.serve(w, r, true)
}
