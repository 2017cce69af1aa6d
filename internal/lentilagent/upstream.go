package lentilagent

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilticket"
)

const (
	// maxAnswerBytes is the maximum length, in bytes, of the answer to a request that may not
	// be repeated. Such an answer is read completely before any part goes to the caller.
	maxAnswerBytes = 16 << 20
	// streamChunkBytes is the size of the buffer that copies an answer to the caller.
	streamChunkBytes = 32 << 10
	// dialTimeout is how long the copy, on the same machine, may take to accept a connection.
	dialTimeout = 2 * time.Second
)

// onceGrace is how long a call that may not be repeated goes on after the caller's
// deadline, so that a late answer is stored for the caller's next attempt.
const onceGrace = 30 * time.Second

// errNotRun is the error about an answer in which the copy states that it didn't run the
// request. Any other answer to a request that may not be repeated goes to the caller unchanged.
var errNotRun = errors.New("copy did not run the request")

// errAnswerTooLong is the error about an answer longer than maxAnswerBytes.
var errAnswerTooLong = errors.New("answer is too long")

// errNoEnd is the error about an answer that ends with its connection. Such an answer looks
// complete also if the copy was killed while it sent it.
var errNoEnd = errors.New("answer has neither a length nor chunks")

// newCopyTransport returns the transport for requests to the copy. It uses each connection
// once, for three reasons. What a copy sends after an answer, such as the same answer again,
// would be taken for the answer to the next request on a kept connection. If a kept
// connection breaks before the answer, net/http itself resends a request that it considers
// repeatable. And if the copy closes an idle connection just as a request is sent, the
// outcome of the request is unknown.
func newCopyTransport() (transport *http.Transport) {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
}

// failedCallOutcome returns the outcome of a failed call for the limiter.
func failedCallOutcome(ctx context.Context, x *exchange) (outcome lentillimit.Outcome) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lentillimit.OutcomeTimedOut
	case x.wasAborted() || ctx.Err() != nil:
		return lentillimit.OutcomeCancelled
	default:
		return lentillimit.OutcomeFailed
	}
}

// isShedStatus reports whether the copy has refused a request because of load.
func isShedStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// statusOutcome returns the outcome of a complete answer for the limiter.
func statusOutcome(status int) (outcome lentillimit.Outcome) {
	switch {
	case isShedStatus(status):
		return lentillimit.OutcomeShed
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented:
		return lentillimit.OutcomeError
	default:
		return lentillimit.OutcomeDone
	}
}

// callContext returns the context of a call to the copy. It ends with the parent, at the
// deadline, or when the coordinator aborts the call.
func (a *Agent) callContext(parent context.Context, in *callerRequest, x *exchange) (ctx context.Context, cancel context.CancelFunc) {
	if in.hasDeadline && x.kind != lentilconfig.KindStream {
		left := in.deadline.Sub(a.options.Clock.Now())
		if x.kind == lentilconfig.KindOnce {
			left += onceGrace
		}
		ctx, cancel = a.options.WithTimeout(parent, left)
	} else {
		ctx, cancel = context.WithCancel(parent)
	}
	x.setCancelCall(cancel)
	return ctx, cancel
}

// proxyToCopy sends a request to the copy and streams the answer to the caller. If hedgeAfter
// isn't zero, a peer may get an extra attempt after that time. done is false if the caller has
// received nothing; the coordinator then sends another order.
func (a *Agent) proxyToCopy(w http.ResponseWriter, in *callerRequest, x *exchange, hedgeAfter time.Duration) (done bool) {
	ctx, cancel := a.callContext(in.request.Context(), in, x)
	defer cancel()
	if hedgeAfter > 0 {
		return a.proxyHedged(ctx, w, in, x, hedgeAfter)
	}
	response, sent, err := a.callCopy(ctx, in) //nolint:bodyclose // concludeCall closes it
	return a.concludeCall(ctx, w, in, x, callResult{response, sent, err})
}

// concludeCall streams the copy's answer to the caller, or reports the failed call. done is as
// that of proxyToCopy.
func (a *Agent) concludeCall(ctx context.Context, w http.ResponseWriter, in *callerRequest, x *exchange, r callResult) (done bool) {
	if r.err != nil {
		a.reportFailedCall(in, x, failedCallOutcome(ctx, x), r.sent)
		return false
	}
	response := r.response
	defer func() { _ = response.Body.Close() }()
	if !in.streamed && (isShedStatus(response.StatusCode) || claimsNotRun(response)) {
		// The copy has shed the request, so it can safely be sent again, here or to a peer.
		a.notify(callNotRun{x, lentillimit.OutcomeShed})
		return false
	}
	x.answeredAt = a.options.Clock.Now()
	if a.copyAnswer(w, response) != nil {
		a.notify(callFinished{x, failedCallOutcome(ctx, x)})
		// Resets the stream, so that the caller doesn't take a truncated answer for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
	a.notify(callFinished{x, statusOutcome(response.StatusCode)})
	return true
}

// reportFailedCall reports a call without an answer to the coordinator.
func (a *Agent) reportFailedCall(in *callerRequest, x *exchange, outcome lentillimit.Outcome, sent bool) {
	switch {
	case !sent && outcome == lentillimit.OutcomeFailed:
		a.notify(callNotRun{x, outcome})
	case in.streamed || x.wasAborted():
		// A body that was streamed can't be sent again.
		a.notify(callFinished{x, outcome})
		x.sendReply(reply{order: orderReportUnknown})
	default:
		a.notify(callAnswerLost{x, outcome})
	}
}

// claimsNotRun reports whether the copy states that it didn't run the request.
func claimsNotRun(response *http.Response) bool {
	return response.Header.Get(HeaderOutcome) == OutcomeNotRun
}

// callCopy sends one attempt to the copy. sent is false if certainly nothing was sent.
func (a *Agent) callCopy(ctx context.Context, in *callerRequest) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = traceConnection(ctx, &connected)
	out, err := in.newOutgoing(ctx, a.upstreamURL, in.target, a.options.Clock.Now())
	if err != nil {
		return nil, false, err
	}
	if host, _, err := net.SplitHostPort(in.request.RemoteAddr); err == nil {
		out.Header.Set("X-Forwarded-For", host)
	}
	response, err = a.copyTransport.RoundTrip(out)
	return response, connected.Load(), err
}

// traceConnection sets connected when a request gets a connection. Nothing is sent before.
func traceConnection(ctx context.Context, connected *atomic.Bool) (traced context.Context) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}

// endError returns the error about the end of an answer of which all bytes were read. It is
// nil if the answer shows where it ends.
func endError(response *http.Response) (err error) {
	if response.ProtoMajor == 1 && response.ContentLength < 0 && response.Body != http.NoBody && len(response.TransferEncoding) == 0 {
		return errNoEnd
	}
	return nil
}

// copyAnswer streams an answer to the caller. An answer of unknown length is flushed after
// each chunk.
func (a *Agent) copyAnswer(w http.ResponseWriter, response *http.Response) (err error) {
	copyAnswerHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	if response.ContentLength < 0 {
		// The headers of a stream go out before its first chunk.
		_ = controller.Flush()
	}
	chunk := make([]byte, streamChunkBytes)
	for {
		length, err := response.Body.Read(chunk)
		if length > 0 {
			if _, writeErr := w.Write(chunk[:length]); writeErr != nil {
				return writeErr
			}
			if response.ContentLength < 0 {
				_ = controller.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return endError(response)
		}
		if err != nil {
			return err
		}
	}
}

// copyAnswerHeader copies the headers of an answer, except for hop-by-hop headers and those
// that only agents may set.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, "Lentil-") {
			to[name] = append([]string(nil), values...)
		}
	}
	removeHopByHopHeaders(to)
}

// runWithTicket runs a request with a ticket at the copy. It goes on after the caller has
// gone, so that the answer is stored for the caller's next attempt.
func (a *Agent) runWithTicket(in *callerRequest, x *exchange) {
	a.inProgress.Add(1)
	defer a.inProgress.Add(-1)
	ctx, cancel := a.callContext(context.WithoutCancel(in.request.Context()), in, x)
	defer cancel()
	answer, sent, err := a.readAnswer(ctx, in)
	switch {
	case errors.Is(err, errNotRun):
		a.notify(callNotRun{x, lentillimit.OutcomeShed})
	case err == nil:
		a.notify(callAnswered{exchange: x, outcome: statusOutcome(answer.Status), answer: answer})
	case sent:
		a.notify(callAnswerLost{x, failedCallOutcome(ctx, x)})
	default:
		a.notify(callNotRun{x, failedCallOutcome(ctx, x)})
	}
}

// readAnswer sends the request to the copy and reads the complete answer. sent is false if
// certainly nothing was sent.
func (a *Agent) readAnswer(ctx context.Context, in *callerRequest) (answer lentilticket.Answer, sent bool, err error) {
	response, sent, err := a.callCopy(ctx, in)
	if err != nil {
		return lentilticket.Answer{}, sent, err
	}
	defer func() { _ = response.Body.Close() }()
	if claimsNotRun(response) {
		return lentilticket.Answer{}, true, errNotRun
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err = cmp.Or(err, endError(response)); err != nil {
		return lentilticket.Answer{}, true, err
	}
	if len(body) > maxAnswerBytes {
		return lentilticket.Answer{}, true, errAnswerTooLong
	}
	header := make(http.Header, len(response.Header))
	copyAnswerHeader(header, response.Header)
	return lentilticket.Answer{Status: response.StatusCode, Header: header, Body: body}, true, nil
}
