package lentilconfig

import (
	"fmt"
	"strings"
)

// FieldError is one thing wrong with a written form.
type FieldError struct {
	// Path names the field, such as "services[2].address".
	Path string `json:"path"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
	// Example is a value that would be right.
	Example string `json:"example"`
}

// String returns the fault as one line.
func (f FieldError) String() string {
	return fmt.Sprintf("%s: %s (example: %s)", f.Path, f.Reason, f.Example)
}

// ValidationError reports every fault of a written form at once.
type ValidationError struct{ fieldErrors []FieldError }

// NewValidationError returns an error that reports the faults, or nil if there are none.
func NewValidationError(faults []FieldError) error {
	if len(faults) == 0 {
		return nil
	}
	return &ValidationError{fieldErrors: faults}
}

// FieldErrors returns the faults in the order of the written form.
func (e *ValidationError) FieldErrors() []FieldError { return e.fieldErrors }

// maxReportedErrors bounds how many faults an error message spells out.
const maxReportedErrors = 20

// Error returns one line a fault, the first shownFaults of them.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.fieldErrors))
	for i, fault := range e.fieldErrors {
		if i == maxReportedErrors {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.fieldErrors)-maxReportedErrors))
			break
		}
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
