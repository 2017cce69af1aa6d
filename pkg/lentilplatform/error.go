package lentilplatform

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Reason is the reason of a failed call, as far as callers must distinguish failures.
type Reason uint8

// The reasons.
const (
	// ReasonUnavailable means that the platform can't be reached or doesn't respond in
	// time. Nothing was changed.
	ReasonUnavailable Reason = iota + 1
	// ReasonOutcomeUnknown means that a write got no usable response and may have taken
	// effect.
	ReasonOutcomeUnknown
	// ReasonConflict means that the stored resource version isn't the one that the write
	// states.
	ReasonConflict
	// ReasonExists means that an object with that name exists already.
	ReasonExists
	// ReasonNotFound means that there is no object with that name.
	ReasonNotFound
	// ReasonGone means that the platform no longer knows the resource version from which
	// to watch.
	ReasonGone
	// ReasonLimited means that there are too many calls. Nothing was changed.
	ReasonLimited
	// ReasonTooLarge means that a body is larger than the platform or the client allows.
	ReasonTooLarge
	// ReasonRefused means that the platform refuses the call for another reason.
	ReasonRefused
	// ReasonFaulty means that the response can't be parsed.
	ReasonFaulty
)

// Errors for errors.Is. Every error of a Client matches one of them.
var (
	ErrUnavailable    = &Error{reason: ReasonUnavailable}
	ErrOutcomeUnknown = &Error{reason: ReasonOutcomeUnknown}
	ErrConflict       = &Error{reason: ReasonConflict}
	ErrExists         = &Error{reason: ReasonExists}
	ErrNotFound       = &Error{reason: ReasonNotFound}
	ErrGone           = &Error{reason: ReasonGone}
	ErrLimited        = &Error{reason: ReasonLimited}
	ErrTooLarge       = &Error{reason: ReasonTooLarge}
	ErrRefused        = &Error{reason: ReasonRefused}
	ErrFaulty         = &Error{reason: ReasonFaulty}
)

// Error is the error of a failed call.
type Error struct {
	reason     Reason
	message    string
	retryAfter time.Duration
	cause      error
}

// Reason returns why the call failed.
func (e *Error) Reason() Reason { return e.reason }

// RetryAfter returns how long the platform asks to wait, or zero.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error returns the reason, the message of the platform and the cause.
func (e *Error) Error() string {
	text := "platform: " + e.reason.text()
	if e.message != "" {
		text += ": " + e.message
	}
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether both errors have the same reason.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.reason == e.reason
}

func (r Reason) text() string {
	switch r {
	case ReasonUnavailable:
		return "unavailable"
	case ReasonOutcomeUnknown:
		return "outcome of the write is unknown"
	case ReasonConflict:
		return "the object was changed concurrently"
	case ReasonExists:
		return "the object exists already"
	case ReasonNotFound:
		return "no such object"
	case ReasonGone:
		return "resource version is no longer known"
	case ReasonLimited:
		return "too many calls"
	case ReasonTooLarge:
		return "body is too large"
	case ReasonRefused:
		return "refused"
	default:
		return "response can't be parsed"
	}
}

// statusError returns the error for a response with an error status. A write that was
// answered with a 5xx status, as by a gateway that timed out, may still have taken effect.
func statusError(response *http.Response, status StatusDoc, write bool) *Error {
	failure := &Error{
		reason:     ReasonRefused,
		message:    status.Message,
		retryAfter: retryAfter(response.Header),
	}
	if failure.message == "" {
		failure.message = fmt.Sprintf("status %d", response.StatusCode)
	}
	switch code := response.StatusCode; {
	case code == http.StatusConflict && status.Reason == "AlreadyExists":
		failure.reason = ReasonExists
	case code == http.StatusConflict:
		failure.reason = ReasonConflict
	case code == http.StatusNotFound:
		failure.reason = ReasonNotFound
	case code == http.StatusGone:
		failure.reason = ReasonGone
	case code == http.StatusTooManyRequests:
		failure.reason = ReasonLimited
	case code == http.StatusRequestEntityTooLarge:
		failure.reason = ReasonTooLarge
	case code >= http.StatusInternalServerError && write:
		failure.reason = ReasonOutcomeUnknown
	case code >= http.StatusInternalServerError:
		failure.reason = ReasonUnavailable
	}
	return failure
}

// maxRetryAfter bounds the delay that the platform can ask for.
const maxRetryAfter = time.Minute

// retryAfter returns the delay of the Retry-After header, or zero if it states none in
// seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
