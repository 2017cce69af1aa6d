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

// traceLines bounds the lines that an Outcome keeps: the last ones.
const traceLines = 2000

// linesAfter bounds the lines that follow the first violation in the trace.
const linesAfter = 20

// violationLines bounds the violations that an Outcome keeps: the first ones.
const violationLines = 10

// Outcome is what one cell gave. The zero Outcome is one without violations.
type Outcome struct {
	violations []string
	violated   int
	trace      []string
	next       int
	after      int
}

// Violatef notes a broken promise.
func (o *Outcome) Violatef(at time.Duration, format string, args ...any) {
	o.violated++
	o.Tracef(at, "VIOLATION "+format, args...)
	if len(o.violations) < violationLines {
		o.violations = append(o.violations, fmt.Sprintf("%8.3fs ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

// Tracef notes what happened at a time since the start of the cell. Soon after the
// first violation the trace ends, so that it shows what led to it.
func (o *Outcome) Tracef(at time.Duration, format string, args ...any) {
	if o.violated > 0 {
		o.after++
		if o.after > linesAfter {
			return
		}
	}
	line := fmt.Sprintf("%8.3fs ", at.Seconds()) + fmt.Sprintf(format, args...)
	if len(o.trace) < traceLines {
		o.trace = append(o.trace, line)
		return
	}
	o.trace[o.next] = line
	o.next = (o.next + 1) % traceLines
}

// Violated returns how often a promise was broken.
func (o *Outcome) Violated() int { return o.violated }

// Violations returns the first violations.
func (o *Outcome) Violations() []string { return o.violations }

// Trace returns the last lines of the trace, oldest first.
func (o *Outcome) Trace() (lines []string) {
	return append(append(lines, o.trace[o.next:]...), o.trace[:o.next]...)
}
