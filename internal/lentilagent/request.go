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
	// maxBufferedBody is how long a body may be, in bytes, that is read whole before the
	// request is admitted, so that it can be passed to a peer or sent again.
	maxBufferedBody = 64 << 10
	// maxOnceBody is how long the body of a request that may not be repeated may be.
	maxOnceBody = 1 << 20
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = time.Hour
)

// errTooLarge is the error about a body that is too long to be kept.
var errTooLarge = errors.New("the body is too long")

// callerRequest is a caller's request as the agent passes it on, as often as needed.
type callerRequest struct {
	request *http.Request
	// target is the path and query without a ticket.
	target string
	// body is what was kept of the body, unless it is only streamed.
	body        []byte
	streamed    bool
	deadline    time.Time
	hasDeadline bool
	ticketText  string
}

// newCallerRequest reads what is needed to pass a request on.
func newCallerRequest(r *http.Request, now time.Time) (in *callerRequest) {
	in = &callerRequest{request: r}
	in.target, in.ticketText = splitTicket(r.URL)
	if timeout, ok := parseTimeout(r.Header); ok {
		in.deadline, in.hasDeadline = now.Add(timeout), true
	}
	return in
}

// parseTimeout returns how long the caller waits, if it says so.
func parseTimeout(h http.Header) (timeout time.Duration, ok bool) {
	millis, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	if err != nil || millis <= 0 {
		return 0, false
	}
	return min(time.Duration(min(millis, maxTimeout.Milliseconds()))*time.Millisecond, maxTimeout), true
}

// splitTicket returns the target without its ticket, and the ticket's text.
func splitTicket(u *url.URL) (target, ticket string) {
	path := u.EscapedPath()
	if path == "" {
		path = "/"
	}
	var kept []string
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		if value, found := strings.CutPrefix(part, lentilticket.QueryParameter+"="); found {
			ticket = value
		} else if part != "" {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return path, ticket
	}
	return path + "?" + strings.Join(kept, "&"), ticket
}

// withTicket returns the target with a ticket in its query.
func withTicket(target, ticket string) (location string) {
	separator := "?"
	if strings.Contains(target, "?") {
		separator = "&"
	}
	return target + separator + lentilticket.QueryParameter + "=" + ticket
}

// bufferBody reads the body if it is known to be short; a longer one stays streamed.
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

// readBody reads the body whole, up to a number of bytes.
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
		// The body is not closed with an attempt that sends nothing of it.
		return io.NopCloser(in.request.Body)
	}
	if len(in.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(in.body)
}

// newOutgoing returns the request for one attempt at the given base address.
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

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// removeHopByHopHeaders removes the headers that concern one connection only.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
