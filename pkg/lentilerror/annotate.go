// Package lentilerror annotates errors in a way that errors.Is and errors.As still find the
// cause. The release of errorx that the project uses has no Unwrap, and errorx.Decorate alone
// hides sentinel and struct errors.
package lentilerror

import "github.com/joomcode/errorx"

// annotated is an error decorated by errorx that can be unwrapped.
type annotated struct {
	decorated *errorx.Error
	cause     error
}

// Error returns the annotation and the cause.
func (a *annotated) Error() string { return a.decorated.Error() }

// Unwrap returns the cause.
func (a *annotated) Unwrap() error { return a.cause }

// Annotate wraps *err, if it is not nil, in an error whose text starts with the message. It is
// meant for deferred calls in functions with named results. The errorx type of the cause is
// kept, but errorx.IsOfType must be called with the cause itself, which errors.As finds.
func Annotate(err *error, message string, args ...any) {
	if *err == nil {
		return
	}
	*err = &annotated{decorated: errorx.Decorate(*err, message, args...), cause: *err}
}
