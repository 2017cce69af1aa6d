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
	// Text says in a sentence what is measured and against what.
	Text string
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

// Note writes a line about the progress of the run.
func (s Setup) Note(format string, values ...any) {
	if s.Progress != nil {
		_, _ = fmt.Fprintf(s.Progress, format+"\n", values...)
	}
}

// relation is how a value stands to its bound.
type relation uint8

const (
	unbounded relation = iota
	atMost
	atLeast
)

// Figure is one measured value, with its bound and the same measured on a
// baseline in the same run.
type Figure struct {
	measure       string
	value         float64
	unit          string
	relation      relation
	bound         float64
	baseline      string
	baselineValue float64
}

// New returns a figure without bound and baseline. The measure is the name of
// the experiment, a dot, and what was measured, such as "imbalance.hottest.70".
func New(measure string, value float64, unit string) Figure {
	return Figure{measure: measure, value: value, unit: unit}
}

// AtMost returns the figure with an upper bound.
func (f Figure) AtMost(bound float64) Figure {
	f.relation, f.bound = atMost, bound
	return f
}

// AtLeast returns the figure with a lower bound.
func (f Figure) AtLeast(bound float64) Figure {
	f.relation, f.bound = atLeast, bound
	return f
}

// Against returns the figure with what a baseline gave.
func (f Figure) Against(baseline string, value float64) Figure {
	f.baseline, f.baselineValue = baseline, value
	return f
}

// Measure returns what was measured.
func (f Figure) Measure() string { return f.measure }

// Value returns the measured value.
func (f Figure) Value() float64 { return f.value }

// OK reports whether the value is a number and keeps its bound.
func (f Figure) OK() bool {
	switch {
	case math.IsNaN(f.value), math.IsInf(f.value, 0):
		return false
	case f.relation == atMost:
		return f.value <= f.bound
	case f.relation == atLeast:
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
	doc := Doc{Measure: f.measure, Value: finite(f.value), Unit: f.unit, Baseline: f.baseline, OK: f.OK()}
	switch f.relation {
	case atMost:
		doc.Bound = "<= " + strconv.FormatFloat(f.bound, 'g', -1, 64)
	case atLeast:
		doc.Bound = ">= " + strconv.FormatFloat(f.bound, 'g', -1, 64)
	}
	if f.baseline != "" {
		doc.BaselineValue = finite(f.baselineValue)
	}
	return doc
}

// Write writes the figure as one line of JSON.
func (f Figure) Write(w io.Writer) (err error) {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(f.Doc())
}

func finite(value float64) *float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return nil
	}
	return &value
}
