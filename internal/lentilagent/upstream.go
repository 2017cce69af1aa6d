package lentilagent

import (
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
	// maxAnswerBytes is how long the answer to a request that may not be repeated may
	// be, in bytes; it is read whole before any of it is passed on.
	maxAnswerBytes = 16 << 20
	// streamChunkBytes is how much of a streamed answer is passed on at once.
	streamChunkBytes = 32 << 10
	// dialTimeout is how long the copy, on the same machine, may take to accept.
	dialTimeout = 2 * time.Second
)

// onceGrace is how long a call that may not be repeated goes on after the caller's
// deadline, so that a late answer is there if the caller asks again.
const onceGrace = 30 * time.Second

// errNotRun is the error about an answer in which the copy says that it did not run
// the request. Any other answer to a request that may not be repeated is passed on as it is.
var errNotRun = errors.New("the copy did not run the request")

// errAnswerTooLong is the error about an answer longer than maxAnswer.
var errAnswerTooLong = errors.New("the answer is too long")

// newPooledTransport returns the client for calls that may be repeated; it keeps connections.
func newPooledTransport() (transport *http.Transport) {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}
}

// newSingleUseTransport returns the client for calls that may not be repeated. It uses a
// connection once: net/http sends a request again by itself if a kept connection
// breaks before the answer and the request looks repeatable to it. And a
// connection that the copy closes for idleness would leave the outcome unknown.
func newSingleUseTransport() (transport *http.Transport) {
	transport = newPooledTransport()
	transport.DisableKeepAlives = true
	return transport
}

// failedCallOutcome returns what a call that failed says of the copy.
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

// isShedStatus reports whether an answer is a refusal of the copy because of load.
func isShedStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// statusOutcome returns what a whole answer says of the copy.
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

// callContext returns the context of a call to the copy: it ends at the deadline,
// when the decider aborts the call, and with the given parent.
func (a *Agent) callContext(parent context.Context, in *callerRequest, x *exchange) (ctx context.Context, cancel context.CancelFunc) {
	if in.hasDeadline && x.kind != lentilconfig.KindStream {
		left := in.deadline.Sub(a.options.Clock.Now())
		if x.kind == lentilconfig.KindOnce {
			left += onceGrace
		}
		ctx, cancel = context.WithTimeout(parent, left)
	} else {
		ctx, cancel = context.WithCancel(parent)
	}
	x.setCancelCall(cancel)
	return ctx, cancel
}

// proxyToCopy calls the copy and passes its answer on as it comes. done is false if nothing
// was passed on; the decider then says what to do.
func (a *Agent) proxyToCopy(w http.ResponseWriter, in *callerRequest, x *exchange) (done bool) {
	ctx, cancel := a.callContext(in.request.Context(), in, x)
	defer cancel()
	response, sent, err := a.callCopy(ctx, a.pooledTransport, in)
	if err != nil {
		a.reportFailedCall(in, x, failedCallOutcome(ctx, x), sent)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if !in.streamed && (isShedStatus(response.StatusCode) || claimsNotRun(response)) {
		// A copy that sheds may be asked once more without harm, or a peer may.
		a.notify(callNotRun{x, lentillimit.OutcomeShed})
		return false
	}
	if err = a.copyAnswer(w, response); err != nil {
		a.notify(callFinished{x, failedCallOutcome(ctx, x)})
		// The stream is reset, so that the caller doesn't take a part for the whole.
		panic(http.ErrAbortHandler)
	}
	a.notify(callFinished{x, statusOutcome(response.StatusCode)})
	return true
}

// reportFailedCall tells the decider of a call that gave no answer.
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

// claimsNotRun reports whether the copy itself says that it didn't run a request.
func claimsNotRun(response *http.Response) bool {
	return response.Header.Get(HeaderOutcome) == OutcomeNotRun
}

// callCopy sends one attempt to the copy. sent is false if surely nothing was sent.
func (a *Agent) callCopy(ctx context.Context, transport *http.Transport, in *callerRequest) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = traceConnection(ctx, &connected)
	out, err := in.newOutgoing(ctx, a.upstreamURL, in.target, a.options.Clock.Now())
	if err != nil {
		return nil, false, err
	}
	if host, _, err := net.SplitHostPort(in.request.RemoteAddr); err == nil {
		out.Header.Set("X-Forwarded-For", host)
	}
	response, err = transport.RoundTrip(out)
	return response, connected.Load(), err
}

// traceConnection notes when a request gets a connection: before, nothing is sent.
func traceConnection(ctx context.Context, connected *atomic.Bool) (traced context.Context) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}

// copyAnswer passes an answer on piece by piece.
func (a *Agent) copyAnswer(w http.ResponseWriter, response *http.Response) (err error) {
	copyAnswerHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	if response.ContentLength < 0 {
		// A stream's headers go out before its first piece.
		_ = controller.Flush()
	}
	piece := make([]byte, streamChunkBytes)
	for {
		length, err := response.Body.Read(piece)
		if length > 0 {
			if _, fault := w.Write(piece[:length]); fault != nil {
				return fault
			}
			if response.ContentLength < 0 {
				_ = controller.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// copyAnswerHeader copies an answer's headers, but for those that only agents set.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, "Lentil-") {
			to[name] = append([]string(nil), values...)
		}
	}
	removeHopByHopHeaders(to)
}

// runWithTicket calls the copy under a ticket. It goes on when the caller has gone, so
// that the answer is there if the caller asks again.
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

// readAnswer calls the copy and reads its answer to the end.
func (a *Agent) readAnswer(ctx context.Context, in *callerRequest) (answer lentilticket.Answer, sent bool, err error) {
	response, sent, err := a.callCopy(ctx, a.singleUseTransport, in)
	if err != nil {
		return lentilticket.Answer{}, sent, err
	}
	defer func() { _ = response.Body.Close() }()
	if claimsNotRun(response) {
		return lentilticket.Answer{}, true, errNotRun
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return lentilticket.Answer{}, true, err
	}
	if len(body) > maxAnswerBytes {
		return lentilticket.Answer{}, true, errAnswerTooLong
	}
	header := make(http.Header, len(response.Header))
	copyAnswerHeader(header, response.Header)
	return lentilticket.Answer{Status: response.StatusCode, Header: header, Body: body}, true, nil
}
