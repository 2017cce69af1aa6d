// Package lentilmatrix tests the product against a matrix of faults and steps. It runs the
// product's decisions with simulated copies, network, clock and platform.
//
// Rows are faults and pairs of faults, columns are steps of an operation. A cell injects its
// faults at one step and checks the promises. It runs from a seed, which makes its outcome
// repeatable.
//
// Files flow_*.go hold the part about flows. Its main promise is that no flow breaks, except
// where its agent died or its failure domain went out of service. Files request_*.go hold the
// part about requests. Its main promises are that no ticket runs twice, that no request is
// answered "not run" after a copy ran it, and that no cold copy is overloaded for long.
package lentilmatrix

import (
	"fmt"
	"time"
)

// maxTraceLines is the number of trace lines that an Outcome keeps. It keeps the last ones.
const maxTraceLines = 2000

// maxLinesAfterViolation is the number of trace lines that are kept after the first violation.
const maxLinesAfterViolation = 20

// maxViolations is the number of violations that an Outcome keeps. It keeps the first ones.
const maxViolations = 10

// Outcome is the outcome of one cell. The zero Outcome has no violations.
type Outcome struct {
	violations          []string
	violationCount      int
	trace               []string
	oldest              int
	linesAfterViolation int
}

// RecordViolationf records the violation of a promise at a time since the start of the cell.
func (o *Outcome) RecordViolationf(at time.Duration, format string, args ...any) {
	o.violationCount++
	o.Tracef(at, "VIOLATION "+format, args...)
	if len(o.violations) < maxViolations {
		o.violations = append(o.violations, fmt.Sprintf("%8.3fs ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

// Tracef adds a line to the trace at a time since the start of the cell. The trace ends soon
// after the first violation, which keeps the lines that led to it.
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

// ViolationCount returns the number of violations.
func (o *Outcome) ViolationCount() int { return o.violationCount }

// Violations returns the text of the first violations.
func (o *Outcome) Violations() []string { return o.violations }

// Trace returns the last lines of the trace, oldest first.
func (o *Outcome) Trace() (lines []string) {
	return append(append(lines, o.trace[o.oldest:]...), o.trace[:o.oldest]...)
}
