package lentilconfig

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a written form.
type Fault struct {
	// Path names the field, such as "services[2].address".
	Path string `json:"path"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
	// Example is a value that would be right.
	Example string `json:"example"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s (example: %s)", f.Path, f.Reason, f.Example)
}

// FaultError reports every fault of a written form at once.
type FaultError struct{ faults []Fault }

// NewFaultError returns an error that reports the faults, or nil if there are none.
func NewFaultError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &FaultError{faults: faults}
}

// Faults returns the faults in the order of the written form.
func (e *FaultError) Faults() []Fault { return e.faults }

// shownFaults bounds how many faults an error message spells out.
const shownFaults = 20

// Error returns one line a fault, the first shownFaults of them.
func (e *FaultError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for i, fault := range e.faults {
		if i == shownFaults {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.faults)-shownFaults))
			break
		}
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
