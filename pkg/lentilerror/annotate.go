// Package lentilerror annotates errors so that errors.Is and errors.As still see
// what lies below. The release of errorx on which the project builds predates
// Unwrap, so that errorx.Decorate alone hides sentinel and struct errors.
package lentilerror

import "github.com/joomcode/errorx"

// annotated is a decorated error that can be unwrapped.
type annotated struct {
	decorated *errorx.Error
	cause     error
}

// Error returns the annotation and the cause.
func (a *annotated) Error() string { return a.decorated.Error() }

// Unwrap returns the cause.
func (a *annotated) Unwrap() error { return a.cause }

// Annotate replaces the error that err points to, if there is one, by one that
// says what was being done. It is meant for a deferred call in a function with
// named results. Errors of errorx types keep their type: errorx.IsOfType needs
// the cause itself, which errors.As finds.
func Annotate(err *error, message string, args ...any) {
	if *err == nil {
		return
	}
	*err = &annotated{decorated: errorx.Decorate(*err, message, args...), cause: *err}
}
