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
	// maxAnswer is how long the answer to a request that may not be repeated may
	// be, in bytes; it is read whole before any of it is passed on.
	maxAnswer = 16 << 20
	// pieceBytes is how much of a streamed answer is passed on at once.
	pieceBytes = 32 << 10
	// dialTimeout is how long the copy, on the same machine, may take to accept.
	dialTimeout = 2 * time.Second
)

// onceGrace is how long a call that may not be repeated goes on after the caller's
// deadline, so that a late answer is there if the caller asks again.
const onceGrace = 30 * time.Second

// errNotRun is the error about an answer in which the copy says that it did not run
// the request. Any other answer to a request that may not be repeated is passed on as it is.
var errNotRun = errors.New("the copy did not run the request")

// errLongAnswer is the error about an answer longer than maxAnswer.
var errLongAnswer = errors.New("the answer is too long")

// newPool returns the client for calls that may be repeated; it keeps connections.
func newPool() (transport *http.Transport) {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}
}

// newSingle returns the client for calls that may not be repeated. It uses a
// connection once: net/http sends a request again by itself if a kept connection
// breaks before the answer and the request looks repeatable to it. And a
// connection that the copy closes for idleness would leave the outcome unknown.
func newSingle() (transport *http.Transport) {
	transport = newPool()
	transport.DisableKeepAlives = true
	return transport
}

// outcomeOf returns what a call that failed says of the copy.
func outcomeOf(ctx context.Context, x *exchange) (outcome lentillimit.Outcome) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lentillimit.OutcomeTimedOut
	case x.wasAborted() || ctx.Err() != nil:
		return lentillimit.OutcomeCancelled
	default:
		return lentillimit.OutcomeFailed
	}
}

// sheds reports whether an answer is a refusal of the copy because of load.
func sheds(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// outcomeOfStatus returns what a whole answer says of the copy.
func outcomeOfStatus(status int) (outcome lentillimit.Outcome) {
	switch {
	case sheds(status):
		return lentillimit.OutcomeShed
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented:
		return lentillimit.OutcomeError
	default:
		return lentillimit.OutcomeDone
	}
}

// callContext returns the context of a call to the copy: it ends at the deadline,
// when the decider aborts the call, and with the given parent.
func (a *Agent) callContext(parent context.Context, in *input, x *exchange) (ctx context.Context, cancel context.CancelFunc) {
	if in.timed && x.kind != lentilconfig.KindStream {
		left := in.deadline.Sub(a.options.Clock.Now())
		if x.kind == lentilconfig.KindOnce {
			left += onceGrace
		}
		ctx, cancel = context.WithTimeout(parent, left)
	} else {
		ctx, cancel = context.WithCancel(parent)
	}
	x.onAbort(cancel)
	return ctx, cancel
}

// run calls the copy and passes its answer on as it comes. done is false if nothing
// was passed on; the decider then says what to do.
func (a *Agent) run(w http.ResponseWriter, in *input, x *exchange) (done bool) {
	ctx, cancel := a.callContext(in.request.Context(), in, x)
	defer cancel()
	response, sent, err := a.call(ctx, a.pool, in)
	if err != nil {
		a.runFailed(in, x, outcomeOf(ctx, x), sent)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if !in.streamed && (sheds(response.StatusCode) || saysNotRun(response)) {
		// A copy that sheds may be asked once more without harm, or a peer may.
		a.tell(notBegun{x, lentillimit.OutcomeShed})
		return false
	}
	if err = a.pass(w, response); err != nil {
		a.tell(finished{x, outcomeOf(ctx, x)})
		// The stream is reset, so that the caller doesn't take a part for the whole.
		panic(http.ErrAbortHandler)
	}
	a.tell(finished{x, outcomeOfStatus(response.StatusCode)})
	return true
}

// runFailed tells the decider of a call that gave no answer.
func (a *Agent) runFailed(in *input, x *exchange, outcome lentillimit.Outcome, sent bool) {
	switch {
	case !sent && outcome == lentillimit.OutcomeFailed:
		a.tell(notBegun{x, outcome})
	case in.streamed || x.wasAborted():
		// A body that was streamed can't be sent again.
		a.tell(finished{x, outcome})
		x.reply(reply{order: orderUnknown})
	default:
		a.tell(lost{x, outcome})
	}
}

// saysNotRun reports whether the copy itself says that it didn't run a request.
func saysNotRun(response *http.Response) bool {
	return response.Header.Get(HeaderOutcome) == OutcomeNotRun
}

// call sends one attempt to the copy. sent is false if surely nothing was sent.
func (a *Agent) call(ctx context.Context, transport *http.Transport, in *input) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = traceConnection(ctx, &connected)
	out, err := in.outgoing(ctx, a.upstream, in.target, a.options.Clock.Now())
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

// pass passes an answer on piece by piece.
func (a *Agent) pass(w http.ResponseWriter, response *http.Response) (err error) {
	copyHeader(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	if response.ContentLength < 0 {
		// A stream's headers go out before its first piece.
		_ = controller.Flush()
	}
	piece := make([]byte, pieceBytes)
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

// copyHeader copies an answer's headers, but for those that only agents set.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !strings.HasPrefix(name, "Lentil-") {
			to[name] = append([]string(nil), values...)
		}
	}
	stripHops(to)
}

// runOnce calls the copy under a ticket. It goes on when the caller has gone, so
// that the answer is there if the caller asks again.
func (a *Agent) runOnce(in *input, x *exchange) {
	a.open.Add(1)
	defer a.open.Add(-1)
	ctx, cancel := a.callContext(context.WithoutCancel(in.request.Context()), in, x)
	defer cancel()
	answer, sent, err := a.wholeAnswer(ctx, in)
	switch {
	case errors.Is(err, errNotRun):
		a.tell(notBegun{x, lentillimit.OutcomeShed})
	case err == nil:
		a.tell(settled{exchange: x, outcome: outcomeOfStatus(answer.Status), answer: answer})
	case sent:
		a.tell(lost{x, outcomeOf(ctx, x)})
	default:
		a.tell(notBegun{x, outcomeOf(ctx, x)})
	}
}

// wholeAnswer calls the copy and reads its answer to the end.
func (a *Agent) wholeAnswer(ctx context.Context, in *input) (answer lentilticket.Answer, sent bool, err error) {
	response, sent, err := a.call(ctx, a.single, in)
	if err != nil {
		return lentilticket.Answer{}, sent, err
	}
	defer func() { _ = response.Body.Close() }()
	if saysNotRun(response) {
		return lentilticket.Answer{}, true, errNotRun
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return lentilticket.Answer{}, true, err
	}
	if len(body) > maxAnswer {
		return lentilticket.Answer{}, true, errLongAnswer
	}
	header := make(http.Header, len(response.Header))
	copyHeader(header, response.Header)
	return lentilticket.Answer{Status: response.StatusCode, Header: header, Body: body}, true, nil
}
