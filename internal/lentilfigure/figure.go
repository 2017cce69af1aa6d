// Package lentilfigure is what experiments are made of: an Experiment runs and
// returns Figures, and a Figure is written as one line of JSON. The table of all
// experiments is in internal/lentilmeasure.
package lentilfigure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
)

// Experiment measures one thing about the system.
type Experiment struct {
	// Name is the word after scripts/measure, in lower case.
	Name string
	// Description says in a sentence what is measured and against what.
	Description string
	// Run measures. It ends early when ctx ends, and leaves nothing running.
	Run func(ctx context.Context, setup Setup) (figures []Figure, err error)
}

// Setup is what an experiment gets.
type Setup struct {
	// Seed makes the random choices of a run repeatable.
	Seed uint64
	// Short asks for a smaller run; its figures are trials.
	Short bool
	// Binaries is the directory with the programs lentilstair and lentilstand, for
	// experiments that start processes.
	Binaries string
	// Progress takes lines for people; nil discards them.
	Progress io.Writer
}

// Progressf writes a line about the progress of the run.
func (s Setup) Progressf(format string, values ...any) {
	if s.Progress != nil {
		_, _ = fmt.Fprintf(s.Progress, format+"\n", values...)
	}
}

// boundKind is how a value stands to its bound.
type boundKind uint8

const (
	noBound boundKind = iota
	upperBound
	lowerBound
)

// Figure is one measured value, with its bound and the same measured on a
// baseline in the same run.
type Figure struct {
	name          string
	value         float64
	unit          string
	boundKind     boundKind
	bound         float64
	baseline      string
	baselineValue float64
}

// New returns a figure without bound and baseline. The measure is the name of
// the experiment, a dot, and what was measured, such as "imbalance.hottest.70".
func New(measure string, value float64, unit string) Figure {
	return Figure{name: measure, value: value, unit: unit}
}

// AtMost returns the figure with an upper bound.
func (f Figure) AtMost(bound float64) Figure {
	f.boundKind, f.bound = upperBound, bound
	return f
}

// AtLeast returns the figure with a lower bound.
func (f Figure) AtLeast(bound float64) Figure {
	f.boundKind, f.bound = lowerBound, bound
	return f
}

// WithBaseline returns the figure with what a baseline gave.
func (f Figure) WithBaseline(baseline string, value float64) Figure {
	f.baseline, f.baselineValue = baseline, value
	return f
}

// Name returns what was measured.
func (f Figure) Name() string { return f.name }

// Value returns the measured value.
func (f Figure) Value() float64 { return f.value }

// OK reports whether the value is a number and keeps its bound.
func (f Figure) OK() bool {
	switch {
	case math.IsNaN(f.value), math.IsInf(f.value, 0):
		return false
	case f.boundKind == upperBound:
		return f.value <= f.bound
	case f.boundKind == lowerBound:
		return f.value >= f.bound
	default:
		return true
	}
}

// Doc is the written form of a figure.
type Doc struct {
	Measure string `json:"measure"`
	// Value is null if the run gave no number.
	Value *float64 `json:"value"`
	Unit  string   `json:"unit"`
	// Bound is a relation and a limit, such as "<= 1.15"; empty if there is none.
	Bound string `json:"bound"`
	// Baseline names what else was measured in the same run; empty if nothing was.
	Baseline      string   `json:"baseline"`
	BaselineValue *float64 `json:"baselineValue"`
	OK            bool     `json:"ok"`
}

// Doc returns the written form.
func (f Figure) Doc() Doc {
	doc := Doc{Measure: f.name, Value: finiteOrNil(f.value), Unit: f.unit, Baseline: f.baseline, OK: f.OK()}
	switch f.boundKind {
	case upperBound:
		doc.Bound = "<= " + strconv.FormatFloat(f.bound, 'g', -1, 64)
	case lowerBound:
		doc.Bound = ">= " + strconv.FormatFloat(f.bound, 'g', -1, 64)
	}
	if f.baseline != "" {
		doc.BaselineValue = finiteOrNil(f.baselineValue)
	}
	return doc
}

// Write writes the figure as one line of JSON.
func (f Figure) Write(w io.Writer) (err error) {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(f.Doc())
}

func finiteOrNil(value float64) *float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return nil
	}
	return &value
}
