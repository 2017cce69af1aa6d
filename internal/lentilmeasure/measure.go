// Package lentilmeasure lists the experiments and runs them. An experiment measures the
// product against bounds and against baselines, and reports the results as figures. It is
// a small package in a directory below this one that exports
//
//	var Experiment = lentilfigure.Experiment{Name: ..., Description: ..., Run: ...}
//
// and has one line in the list in table.go.
package lentilmeasure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilfigure"
)

// NameAll selects every experiment.
const NameAll = "all"

// NameList prints the list of experiments instead of running one.
const NameList = "list"

// Experiments returns every experiment, in the order in which NameAll runs them.
func Experiments() []lentilfigure.Experiment { return experiments }

// Find returns the experiment with the given name, or every experiment for NameAll.
func Find(name string) (found []lentilfigure.Experiment, err error) {
	if name == NameAll {
		return experiments, nil
	}
	for _, e := range experiments {
		if e.Name == name {
			return []lentilfigure.Experiment{e}, nil
		}
	}
	return nil, lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("unknown experiment %q", name))
}

// WriteList writes the name and description of each experiment.
func WriteList(w io.Writer) (err error) {
	for _, e := range experiments {
		if _, err = fmt.Fprintf(w, "%-12s %s\n", e.Name, e.Description); err != nil {
			return err
		}
	}
	return nil
}

// Run runs the experiments one after another and writes each figure as a line of
// JSON. A missed bound or a failed experiment does not stop the other experiments;
// the returned error names every missed bound and every failed experiment.
func Run(ctx context.Context, selected []lentilfigure.Experiment, setup lentilfigure.Setup, w io.Writer) (err error) {
	var missed, failed []string
	for _, e := range selected {
		start := time.Now()
		figures, runErr := e.Run(ctx, setup)
		for _, f := range figures {
			if err = f.Write(w); err != nil {
				return err
			}
			if !f.OK() {
				missed = append(missed, f.Name())
			}
		}
		if runErr != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", e.Name, runErr))
		}
		setup.Progressf("%s took %s", e.Name, time.Since(start).Round(time.Millisecond))
	}
	return runError(missed, failed)
}

func runError(missed, failed []string) error {
	switch {
	case len(failed) > 0:
		return errorx.ExternalError.New("failed: %q; bounds missed: %q", failed, missed)
	case len(missed) > 0:
		return lentilexit.With(lentilexit.Promise, errorx.AssertionFailed.New("bounds missed: %q", missed))
	default:
		return nil
	}
}
