// Package lentilmatrix is the fault matrix: the real decisions over small fakes of
// wire, clock, copy and platform, with every fault at every step.
//
// Rows are faults and pairs of faults, columns are steps of an operation. A cell
// runs one fault at one step from a seed, so that it has the same outcome each
// time, and checks the promises. The part about flows is in files flow_*.go, the
// part about requests in files request_*.go.
package lentilmatrix

import (
	"fmt"
	"time"
)

// maxTraceLines bounds the lines that an Outcome keeps: the last ones.
const maxTraceLines = 2000

// maxLinesAfterViolation bounds the lines that follow the first violation in the trace.
const maxLinesAfterViolation = 20

// maxViolations bounds the violations that an Outcome keeps: the first ones.
const maxViolations = 10

// Outcome is what one cell gave. The zero Outcome is one without violations.
type Outcome struct {
	violations          []string
	violationCount      int
	trace               []string
	oldest              int
	linesAfterViolation int
}

// RecordViolationf notes a broken promise.
func (o *Outcome) RecordViolationf(at time.Duration, format string, args ...any) {
	o.violationCount++
	o.Tracef(at, "VIOLATION "+format, args...)
	if len(o.violations) < maxViolations {
		o.violations = append(o.violations, fmt.Sprintf("%8.3fs ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

// Tracef notes what happened at a time since the start of the cell. Soon after the
// first violation the trace ends, so that it shows what led to it.
func (o *Outcome) Tracef(at time.Duration, format string, args ...any) {
	if o.violationCount > 0 {
		o.linesAfterViolation++
		if o.linesAfterViolation > maxLinesAfterViolation {
			return
		}
	}
	line := fmt.Sprintf("%8.3fs ", at.Seconds()) + fmt.Sprintf(format, args...)
	if len(o.trace) < maxTraceLines {
		o.trace = append(o.trace, line)
		return
	}
	o.trace[o.oldest] = line
	o.oldest = (o.oldest + 1) % maxTraceLines
}

// ViolationCount returns how often a promise was broken.
func (o *Outcome) ViolationCount() int { return o.violationCount }

// Violations returns the first violations.
func (o *Outcome) Violations() []string { return o.violations }

// Trace returns the last lines of the trace, oldest first.
func (o *Outcome) Trace() (lines []string) {
	return append(append(lines, o.trace[o.oldest:]...), o.trace[:o.oldest]...)
}
