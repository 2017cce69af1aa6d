package lentilagent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilticket"
)

const (
	// maxBufferedBody is the maximum length, in bytes, of a body that is buffered before the
	// request is admitted, so that the request can be relayed to a peer or sent again.
	maxBufferedBody = 64 << 10
	// maxOnceBody is the maximum length, in bytes, of the body of a request that may not be
	// repeated.
	maxOnceBody = 1 << 20
	// maxTimeout is the longest timeout that a caller can set.
	maxTimeout = time.Hour
)

// errTooLarge is the error about a body that is longer than its limit.
var errTooLarge = errors.New("request body is too long")

// callerRequest is a caller's request in a form that can be sent to the copy or to peers in
// several attempts.
type callerRequest struct {
	request *http.Request
	// target is the path and query without the ticket.
	target string
	// body is the buffered body. It is empty if streamed is true.
	body []byte
	// streamed is true if the body is not buffered and can be read only once.
	streamed    bool
	deadline    time.Time
	hasDeadline bool
	ticketText  string
}

// newCallerRequest splits the ticket from the target and computes the deadline. It doesn't
// read the body.
func newCallerRequest(r *http.Request, now time.Time) (in *callerRequest) {
	in = &callerRequest{request: r}
	in.target, in.ticketText = splitTicket(r.URL)
	if timeout, ok := parseTimeout(r.Header); ok {
		in.deadline, in.hasDeadline = now.Add(timeout), true
	}
	return in
}

// parseTimeout returns the caller's timeout. ok is false if the caller sets none.
func parseTimeout(h http.Header) (timeout time.Duration, ok bool) {
	millis, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return min(time.Duration(min(millis, maxTimeout.Milliseconds()))*time.Millisecond, maxTimeout), true
}

// splitTicket returns the path and query without the ticket parameter, and the ticket's text.
func splitTicket(u *url.URL) (target, ticket string) {
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	var others []string
	for parameter := range strings.SplitSeq(u.RawQuery, "&") {
		if value, found := strings.CutPrefix(parameter, lentilticket.QueryParameter+"="); found {
			ticket = value
		} else if parameter != "" {
			others = append(others, parameter)
		}
	}
	if len(others) == 0 {
		return path, ticket
	}
	return path + "?" + strings.Join(others, "&"), ticket
}

// withTicket returns the target with the ticket as a query parameter.
func withTicket(target, ticket string) (location string) {
	separator := "?"
	if strings.Contains(target, "?") {
		separator = "&"
	}
	return target + separator + lentilticket.QueryParameter + "=" + ticket
}

// bufferBody reads a body of known length up to maxBufferedBody. Any other body is marked as
// streamed.
func (in *callerRequest) bufferBody() (err error) {
	if in.request.Body == nil || in.request.Body == http.NoBody || in.request.ContentLength == 0 {
		return nil
	}
	if in.request.ContentLength < 0 || in.request.ContentLength > maxBufferedBody {
		in.streamed = true
		return nil
	}
	return in.readBody(maxBufferedBody)
}

// bufferUnsizedBody reads the body of a GET, HEAD or OPTIONS request without Content-Length, up to
// maxBufferedBody. Over HTTP/3 such a request has an unknown length even if it has no body.
func (in *callerRequest) bufferUnsizedBody() (err error) {
	switch in.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	default:
		return nil
	}
	if !in.streamed || in.request.ContentLength >= 0 {
		return nil
	}
	rest := in.request.Body
	begin, err := io.ReadAll(io.LimitReader(rest, maxBufferedBody+1))
	switch {
	case err != nil:
		return err
	case len(begin) > maxBufferedBody:
		in.request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(begin), rest))
		return nil
	}
	in.body, in.streamed = begin, false
	return nil
}

// readBody reads the complete body. It returns errTooLarge for a body of more than limit
// bytes.
func (in *callerRequest) readBody(limit int64) (err error) {
	if in.request.Body == nil {
		return nil
	}
	in.body, err = io.ReadAll(io.LimitReader(in.request.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(in.body)) > limit {
		return errTooLarge
	}
	if want := in.request.ContentLength; want >= 0 && int64(len(in.body)) != want {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// bodyReader returns the body for one attempt.
func (in *callerRequest) bodyReader() (body io.Reader) {
	if in.streamed {
		// An attempt that sends nothing of the body must not close it.
		return io.NopCloser(in.request.Body)
	}
	if len(in.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(in.body)
}

// newOutgoing returns the request of one attempt, to the target below the base URL.
func (in *callerRequest) newOutgoing(ctx context.Context, base, target string, now time.Time) (out *http.Request, err error) {
	out, err = http.NewRequestWithContext(ctx, in.request.Method, base+target, in.bodyReader())
	if err != nil {
		return nil, err
	}
	out.Header = in.request.Header.Clone()
	removeHopByHopHeaders(out.Header)
	out.Host = in.request.Host
	if in.streamed {
		out.ContentLength = in.request.ContentLength
	}
	if in.hasDeadline {
		left := max(in.deadline.Sub(now).Milliseconds(), 1)
		out.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	} else {
		out.Header.Del(HeaderTimeout)
	}
	return out, nil
}

// hopByHopHeaders are headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the Connection
// header lists.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
