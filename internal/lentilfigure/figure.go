// Package lentilfigure defines experiments and figures. An Experiment runs and returns
// Figures, and a Figure is written as one line of JSON. Package lentilmeasure lists all
// experiments.
package lentilfigure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
)

// Experiment measures one aspect of the system.
type Experiment struct {
	// Name is the argument of scripts/measure that selects the experiment, in lower case.
	Name string
	// Description states in one line what is measured and the baseline.
	Description string
	// Run runs the experiment. It returns early when ctx ends, and leaves no goroutines or
	// processes behind.
	Run func(ctx context.Context, setup Setup) (figures []Figure, err error)
}

// Setup configures a run of an experiment.
type Setup struct {
	// Seed seeds the random choices, so that a run can be repeated.
	Seed uint64
	// Short requests a smaller run, whose figures are trials and not results.
	Short bool
	// Binaries is the directory of the programs lentilstair and lentilstand, for experiments
	// that start processes.
	Binaries string
	// Progress receives progress messages as lines of text; nil discards them.
	Progress io.Writer
}

// Progressf writes a line of progress text.
func (s Setup) Progressf(format string, values ...any) {
	if s.Progress != nil {
		_, _ = fmt.Fprintf(s.Progress, format+"\n", values...)
	}
}

// boundKind says whether a figure has an upper bound, a lower bound or none.
type boundKind uint8

const (
	noBound boundKind = iota
	upperBound
	lowerBound
)

// Figure is one measured value. It may have a bound, and the value of a baseline from the
// same run.
type Figure struct {
	name          string
	value         float64
	unit          string
	boundKind     boundKind
	bound         float64
	baseline      string
	baselineValue float64
}

// New returns a figure without bound and baseline. The name consists of the name of the
// experiment, a dot and the measured quantity, such as "imbalance.sala.slow.70.worst".
func New(name string, value float64, unit string) Figure {
	return Figure{name: name, value: value, unit: unit}
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

// WithBaseline returns the figure with the name and the value of a baseline.
func (f Figure) WithBaseline(baseline string, value float64) Figure {
	f.baseline, f.baselineValue = baseline, value
	return f
}

// Name returns the name of the figure.
func (f Figure) Name() string { return f.name }

// Value returns the measured value.
func (f Figure) Value() float64 { return f.value }

// OK reports whether the value is finite and within its bound.
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

// Doc is the JSON form of a figure.
type Doc struct {
	Measure string `json:"measure"`
	// Value is null if the value is not finite.
	Value *float64 `json:"value"`
	Unit  string   `json:"unit"`
	// Bound is a comparison operator and a limit, such as "<= 1.15"; empty if there is none.
	Bound string `json:"bound"`
	// Baseline names the baseline that was measured in the same run; empty if there is none.
	Baseline      string   `json:"baseline"`
	BaselineValue *float64 `json:"baselineValue"`
	OK            bool     `json:"ok"`
}

// Doc returns the JSON form of the figure.
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
