// Package lentilexit holds the exit codes of the programs. An error carries the
// code with which the program is to end; scripts of operators branch on it.
package lentilexit

import (
	"errors"
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilcode"
)

//go:generate stringer -type=Code

// Code is an exit code. The numbers are stable.
type Code uint8

// The exit codes.
const (
	OK Code = iota
	Failure
	Usage
	Settings
	Note
	Conflict
	Pending
	Unavailable
	Unknown
	Promise
)

var docs = []lentilcode.Doc{
	OK: {Title: "done", Text: "The command did what it was asked for."},
	Failure: {Title: "failed", Text: "The command failed for a reason that has no code of its own; " +
		"the reason is on standard error."},
	Usage: {Title: "wrong use", Text: "The command line is wrong; nothing was done."},
	Settings: {Title: "faults in the settings", Text: "The settings have faults; nothing was started. " +
		"Every fault is on standard error with its field, reason and an example."},
	Note: {Title: "faults in the release note", Text: "The release note has faults or does not fit the " +
		"configuration in force; nothing was changed."},
	Conflict: {Title: "conflict with another operator", Text: "Another change was accepted first and touches " +
		"the same things; it is named on standard error. Nothing of this note was changed. Read the other " +
		"change, then plan again."},
	Pending: {Title: "accepted, not yet in force everywhere", Text: "The change is accepted and stays so, but " +
		"some nodes did not report it in force within the time allowed; they are named. Run `status` to follow it."},
	Unavailable: {Title: "the platform or the nodes cannot be reached", Text: "Nothing was changed. Try again; applying " +
		"the same note twice is harmless."},
	Unknown: {Title: "outcome unknown", Text: "A write may or may not have taken effect, and reading it back " +
		"was not possible. Apply the same note again: it settles what happened."},
	Promise: {Title: "a promise or bound was broken", Text: "A demo or measurement ran to its end and found a " +
		"promise broken or a bound missed; its output names which."},
}

// Codes returns an entry for each exit code, in the order of the codes.
func Codes() []lentilcode.Doc {
	out := make([]lentilcode.Doc, 0, len(docs))
	for code, doc := range docs {
		doc.Code = fmt.Sprintf("LX%d", code)
		doc.Properties = []lentilcode.Property{{Name: "Exit code", Value: fmt.Sprint(code)}}
		out = append(out, doc)
	}
	return out
}

// Error is an error with an exit code.
type Error struct {
	code  Code
	cause error
}

// With returns err with an exit code, or nil if err is nil.
func With(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &Error{code: code, cause: err}
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the exit code of err: OK for nil, Failure for an error without a code.
func Of(err error) Code {
	var coded *Error
	switch {
	case err == nil:
		return OK
	case errors.As(err, &coded):
		return coded.code
	default:
		return Failure
	}
}
