package lentilconfig

import (
	"fmt"
	"strings"
)

// FieldError describes one invalid field of a document.
type FieldError struct {
	// Path names the field, such as "services[2].address".
	Path string `json:"path"`
	// Reason says why the field is invalid.
	Reason string `json:"reason"`
	// Example is a valid value.
	Example string `json:"example"`
}

// String returns the error as one line.
func (f FieldError) String() string {
	return fmt.Sprintf("%s: %s (example: %s)", f.Path, f.Reason, f.Example)
}

// ValidationError reports all invalid fields of a document.
type ValidationError struct{ fieldErrors []FieldError }

// NewValidationError returns a *ValidationError with the field errors, or nil if there are none.
func NewValidationError(fieldErrors []FieldError) error {
	if len(fieldErrors) == 0 {
		return nil
	}
	return &ValidationError{fieldErrors: fieldErrors}
}

// FieldErrors returns the errors in the order in which they were found.
func (e *ValidationError) FieldErrors() []FieldError { return e.fieldErrors }

// maxReportedErrors is the maximum number of field errors in an error message.
const maxReportedErrors = 20

// Error returns a line for each of the first maxReportedErrors field errors, followed
// by the number of omitted ones.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.fieldErrors))
	for i, fieldError := range e.fieldErrors {
		if i == maxReportedErrors {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.fieldErrors)-maxReportedErrors))
			break
		}
		lines = append(lines, fieldError.String())
	}
	return strings.Join(lines, "\n")
}
