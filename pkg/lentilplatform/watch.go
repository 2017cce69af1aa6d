package lentilplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// WatchTimeout is the duration after which the platform is asked to end a watch. This
// replaces a connection that was lost without being detected.
const WatchTimeout = 5 * time.Minute

// watchGrace is added to WatchTimeout for the client's own timeout.
const watchGrace = 10 * time.Second

// watchIdleTimeout is the maximum time between two events of a watch. The platform sends
// a bookmark at least once per minute.
const watchIdleTimeout = 90 * time.Second

// Watch calls handle for every event after the resource version from, in order, and
// returns when the watch ends. The error is nil if the platform ended the watch
// normally. It is ErrGone if the platform no longer knows the resource version; the
// caller must then list the objects again. It is ErrUnavailable if the stream was cut;
// the caller can then watch again from the last resource version. An error of handle
// ends the watch and is returned.
func (c *Client) Watch(ctx context.Context, kind Kind, from string, handle func(Event) error) (err error) {
	defer func() {
		if err != nil {
			c.calls.failures.Add(1)
			lentilerror.Annotate(&err, "watch %s from version %s", kind.Plural(), from)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout+watchGrace)
	defer cancel()
	if err = c.waitForLimiter(ctx); err != nil {
		return err
	}
	c.calls.watches.Add(1)
	idle := newIdleTimer(cancel)
	defer idle.stop()
	response, err := c.send(ctx, request{method: http.MethodGet, path: c.objectPath(kind, ""), query: watchQuery(from)})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		body, readErr := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
		if readErr != nil {
			return &Error{reason: ReasonUnavailable, cause: readErr}
		}
		return errorResponse(response, body, false)
	}
	return readEvents(response.Body, kind, idle, handle)
}

func watchQuery(from string) url.Values {
	return url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"resourceVersion":     {from},
		"timeoutSeconds":      {strconv.Itoa(int(WatchTimeout / time.Second))},
	}
}

// idleTimer cancels a watch on which no event arrives for watchIdleTimeout.
type idleTimer struct{ timer *time.Timer }

func newIdleTimer(cancel func()) *idleTimer {
	return &idleTimer{timer: time.AfterFunc(watchIdleTimeout, cancel)}
}

func (t *idleTimer) reset() { t.timer.Reset(watchIdleTimeout) }

func (t *idleTimer) stop() { t.timer.Stop() }

// readEvents passes each event to handle until the stream ends. The size limit applies to
// each event and not to the stream.
func readEvents(body io.Reader, kind Kind, idle *idleTimer, handle func(Event) error) (err error) {
	limited := &limitedReader{reader: body}
	decoder := json.NewDecoder(limited)
	for {
		limited.remaining = maxResponseSize
		var doc EventDoc
		err = decoder.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, errLimitExceeded) {
			return &Error{reason: ReasonTooLarge, message: "the watch event"}
		}
		if err != nil {
			return &Error{reason: ReasonUnavailable, cause: err}
		}
		idle.reset()
		event, err := doc.event(kind)
		if err != nil {
			return err
		}
		if err = handle(event); err != nil {
			return err
		}
	}
}

// eventTypes maps the types of events as the platform sends them.
var eventTypes = map[string]EventType{
	"ADDED":    EventAdded,
	"MODIFIED": EventModified,
	"DELETED":  EventDeleted,
	"BOOKMARK": EventBookmark,
}

func (d EventDoc) event(kind Kind) (event Event, err error) {
	if d.Type == "ERROR" {
		return Event{}, d.streamError()
	}
	event.eventType = eventTypes[d.Type]
	if event.eventType == 0 {
		return Event{}, &Error{reason: ReasonFaulty, message: "unknown event type " + strconv.Quote(d.Type)}
	}
	var doc ObjectDoc
	if err = json.Unmarshal(d.Object, &doc); err != nil {
		return Event{}, &Error{reason: ReasonFaulty, cause: err}
	}
	event.object = doc.object(kind)
	return event, nil
}

// streamError returns the error of an error event, which ends a watch.
func (d EventDoc) streamError() *Error {
	var status StatusDoc
	if err := json.Unmarshal(d.Object, &status); err != nil {
		return &Error{reason: ReasonFaulty, cause: err}
	}
	if status.Code == http.StatusGone {
		return &Error{reason: ReasonGone, message: status.Message}
	}
	return &Error{reason: ReasonUnavailable, message: status.Message}
}

// errLimitExceeded is returned by limitedReader after the last permitted byte.
var errLimitExceeded = errors.New("size limit exceeded")

// limitedReader bounds the bytes that may be read until remaining is set again.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

// Read reads at most the remaining bytes.
func (r *limitedReader) Read(buf []byte) (n int, err error) {
	if r.remaining <= 0 {
		return 0, errLimitExceeded
	}
	n, err = r.reader.Read(buf[:min(len(buf), r.remaining)])
	r.remaining -= n
	return n, err
}
