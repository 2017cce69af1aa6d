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

// WatchTimeout is after how long the platform is asked to end a watch, so that
// a connection that has died unnoticed is replaced.
const WatchTimeout = 5 * time.Minute

// watchGrace is how much longer than WatchTimeout the client waits.
const watchGrace = 10 * time.Second

// watchIdleTimeout bounds the silence on a watch. The platform sends a bookmark every
// minute at the latest.
const watchIdleTimeout = 90 * time.Second

// Watch calls each for every event after the resource version from, in order, and
// returns when the watch ends. The error is nil after an ordinary end, ErrGone if
// the platform no longer knows the version (list again), the error of each, or
// ErrUnavailable if the stream was cut; watch again from the version seen last.
func (c *Client) Watch(ctx context.Context, kind Kind, from string, each func(Event) error) (err error) {
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
	return readEvents(response.Body, kind, idle, each)
}

func watchQuery(from string) url.Values {
	return url.Values{
		"watch":               {"true"},
		"allowWatchBookmarks": {"true"},
		"resourceVersion":     {from},
		"timeoutSeconds":      {strconv.Itoa(int(WatchTimeout / time.Second))},
	}
}

// idleTimer ends a watch that has gone silent.
type idleTimer struct{ timer *time.Timer }

func newIdleTimer(cancel func()) *idleTimer {
	return &idleTimer{timer: time.AfterFunc(watchIdleTimeout, cancel)}
}

func (t *idleTimer) reset() { t.timer.Reset(watchIdleTimeout) }

func (t *idleTimer) stop() { t.timer.Stop() }

func readEvents(body io.Reader, kind Kind, idle *idleTimer, each func(Event) error) (err error) {
	bounded := &limitedReader{reader: body}
	decoder := json.NewDecoder(bounded)
	for {
		bounded.remaining = maxResponseSize
		var doc EventDoc
		err = decoder.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, errLimitExceeded) {
			return &Error{reason: ReasonTooLarge, message: "an event"}
		}
		if err != nil {
			return &Error{reason: ReasonUnavailable, cause: err}
		}
		idle.reset()
		event, err := doc.event(kind)
		if err != nil {
			return err
		}
		if err = each(event); err != nil {
			return err
		}
	}
}

// eventTypes are the written forms of the types of events.
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
		return Event{}, &Error{reason: ReasonFaulty, message: "event of type " + strconv.Quote(d.Type)}
	}
	var doc ObjectDoc
	if err = json.Unmarshal(d.Object, &doc); err != nil {
		return Event{}, &Error{reason: ReasonFaulty, cause: err}
	}
	event.object = doc.object(kind)
	return event, nil
}

// streamError reads the status that ends a watch.
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

var errLimitExceeded = errors.New("too long")

// limitedReader bounds what may be read before left is set again.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

// Read reads at most what is left.
func (r *limitedReader) Read(buf []byte) (n int, err error) {
	if r.remaining <= 0 {
		return 0, errLimitExceeded
	}
	n, err = r.reader.Read(buf[:min(len(buf), r.remaining)])
	r.remaining -= n
	return n, err
}
