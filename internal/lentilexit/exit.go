// Package lentilexit defines the exit codes of the programs. Operators' scripts branch
// on them. An error can carry the exit code with which the program ends.
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
	Warnings
	Configuration
	Unreadable
)

var docs = []lentilcode.Doc{
	OK: {Title: "done", Text: "The command succeeded."},
	Failure: {Title: "failed", Text: "The command failed for a reason without an exit code of its own. " +
		"The reason is on standard error."},
	Usage: {Title: "usage error", Text: "The command line is invalid. Nothing was done."},
	Settings: {Title: "invalid settings", Text: "The settings are invalid. Nothing was started. " +
		"Standard error lists every invalid field with the reason and an example."},
	Note: {Title: "invalid release note", Text: "The release note is invalid or does not fit the " +
		"configuration in force. Nothing was changed."},
	Conflict: {Title: "conflict with another operator", Text: "Another change that affects the same " +
		"objects was accepted first. Standard error names it. Nothing of this release note was applied. Read the other " +
		"change, then plan again."},
	Pending: {Title: "accepted, not yet in force everywhere", Text: "The change is accepted and remains accepted, but " +
		"some nodes did not report it as in force in time. The output names them. Run `status` to follow the change."},
	Unavailable: {Title: "the platform or the nodes cannot be reached", Text: "Nothing was changed. Try again: applying " +
		"the same release note twice is harmless."},
	Unknown: {Title: "outcome unknown", Text: "A write may or may not have taken effect, and the result could not be " +
		"read back. Apply the same release note again to determine the outcome."},
	Promise: {Title: "a promise or bound was violated", Text: "A demo or measurement completed and found a " +
		"violated promise or a missed bound. Its output names it."},
	Warnings: {Title: "valid configuration with warnings", Text: "The checked configuration is valid, but it has entries that " +
		"are probably not meant. The output of `check-config` lists them. Nothing was changed."},
	Configuration: {Title: "invalid configuration", Text: "Processes would refuse the checked configuration. The output of " +
		"`check-config` lists the errors with place, field and reason. Nothing was changed."},
	Unreadable: {Title: "configuration can't be read", Text: "The file of the configuration can't be read or is too large, or the " +
		"one to compare with can't be read or decoded. Nothing was checked or changed."},
}

// Codes returns the documentation of each exit code, in the order of the codes.
func Codes() []lentilcode.Doc {
	numberedDocs := make([]lentilcode.Doc, 0, len(docs))
	for code, doc := range docs {
		doc.Code = fmt.Sprintf("LX%d", code)
		doc.Properties = []lentilcode.Property{{Name: "Exit code", Value: fmt.Sprint(code)}}
		numberedDocs = append(numberedDocs, doc)
	}
	return numberedDocs
}

// Error is an error with an exit code.
type Error struct {
	code  Code
	cause error
}

// With adds an exit code to err. It returns nil if err is nil.
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

// Of returns the exit code of err. It is OK for nil and Failure for an error without a code.
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
