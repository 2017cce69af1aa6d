package lentilplatform

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Reason says why a call failed, as far as a caller has to tell failures apart.
type Reason uint8

// The reasons.
const (
	// ReasonUnavailable: the platform can't be reached or doesn't answer in time, and
	// nothing was changed.
	ReasonUnavailable Reason = iota + 1
	// ReasonOutcomeUnknown: no answer to a write came, and it may have taken effect.
	ReasonOutcomeUnknown
	// ReasonConflict: the object isn't at the version that the write states.
	ReasonConflict
	// ReasonExists: an object of that name exists already.
	ReasonExists
	// ReasonNotFound: there is no object of that name.
	ReasonNotFound
	// ReasonGone: the platform no longer knows the version from which to watch.
	ReasonGone
	// ReasonLimited: too many calls; nothing was changed.
	ReasonLimited
	// ReasonTooLarge: a body is larger than the platform or the client allows.
	ReasonTooLarge
	// ReasonRefused: the platform refuses the call for another reason.
	ReasonRefused
	// ReasonFaulty: the answer can't be read.
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

// Error is a failed call.
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

// Error returns the reason and what the platform said.
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

// Unwrap returns the error of the connection, if there is one.
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
		return "the object was changed by someone else"
	case ReasonExists:
		return "the object exists already"
	case ReasonNotFound:
		return "no such object"
	case ReasonGone:
		return "version is no longer known"
	case ReasonLimited:
		return "too many calls"
	case ReasonTooLarge:
		return "body is too large"
	case ReasonRefused:
		return "refused"
	default:
		return "answer can't be read"
	}
}

// statusError turns a refusal into an error. A write that a gateway gave up may
// have taken effect all the same.
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

// maxRetryAfter bounds how long a platform may ask to wait.
const maxRetryAfter = time.Minute

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
