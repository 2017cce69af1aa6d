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
	// maxKept is how long a body may be, in bytes, that is read whole before the
	// request is admitted, so that it can be passed to a peer or sent again.
	maxKept = 64 << 10
	// maxOnce is how long the body of a request that may not be repeated may be.
	maxOnce = 1 << 20
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = time.Hour
)

// errTooLarge is the error about a body that is too long to be kept.
var errTooLarge = errors.New("the body is too long")

// input is a caller's request as the agent passes it on, as often as needed.
type input struct {
	request *http.Request
	// target is the path and query without a ticket.
	target string
	// body is what was kept of the body, unless it is only streamed.
	body     []byte
	streamed bool
	deadline time.Time
	timed    bool
	ticket   string
}

// newInput reads what is needed to pass a request on.
func newInput(r *http.Request, now time.Time) (in *input) {
	in = &input{request: r}
	in.target, in.ticket = splitTicket(r.URL)
	if timeout, ok := timeoutOf(r.Header); ok {
		in.deadline, in.timed = now.Add(timeout), true
	}
	return in
}

// timeoutOf returns how long the caller waits, if it says so.
func timeoutOf(h http.Header) (timeout time.Duration, ok bool) {
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
		if value, found := strings.CutPrefix(part, lentilticket.Parameter+"="); found {
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
	return target + separator + lentilticket.Parameter + "=" + ticket
}

// keep reads the body if it is known to be short; a longer one stays streamed.
func (in *input) keep() (err error) {
	if in.request.Body == nil || in.request.Body == http.NoBody || in.request.ContentLength == 0 {
		return nil
	}
	if in.request.ContentLength < 0 || in.request.ContentLength > maxKept {
		in.streamed = true
		return nil
	}
	return in.readAll(maxKept)
}

// readAll reads the body whole, up to a number of bytes.
func (in *input) readAll(limit int64) (err error) {
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

// reader returns the body for one attempt.
func (in *input) reader() (body io.Reader) {
	if in.streamed {
		// The body is not closed with an attempt that sends nothing of it.
		return io.NopCloser(in.request.Body)
	}
	if len(in.body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(in.body)
}

// outgoing returns the request for one attempt at the given base address.
func (in *input) outgoing(ctx context.Context, base, target string, now time.Time) (out *http.Request, err error) {
	out, err = http.NewRequestWithContext(ctx, in.request.Method, base+target, in.reader())
	if err != nil {
		return nil, err
	}
	out.Header = in.request.Header.Clone()
	stripHops(out.Header)
	out.Host = in.request.Host
	if in.streamed {
		out.ContentLength = in.request.ContentLength
	}
	if in.timed {
		left := max(in.deadline.Sub(now).Milliseconds(), 1)
		out.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	} else {
		out.Header.Del(HeaderTimeout)
	}
	return out, nil
}

// hopHeaders are the headers that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// stripHops removes the headers that concern one connection only.
func stripHops(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
