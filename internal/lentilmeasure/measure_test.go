package lentilmeasure

import (
	"bytes"
	"context"
	"errors"
	"math"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilgolden"
)

func newExperiment(err error, figures ...lentilfigure.Figure) lentilfigure.Experiment {
	return lentilfigure.Experiment{Name: "x", Run: func(context.Context, lentilfigure.Setup) ([]lentilfigure.Figure, error) {
		return figures, err
	}}
}

func TestRun(t *testing.T) {
	var out bytes.Buffer
	met := lentilfigure.New("x.kept", 1.1, "ratio").AtMost(1.15).WithBaseline("uniform hash", 1.9)
	missed := lentilfigure.New("x.missed", 0.5, "ratio").AtLeast(0.99)
	unbounded := lentilfigure.New("x.free", 3, "packets")
	notANumber := lentilfigure.New("x.nothing", math.NaN(), "ratio").AtMost(1)
	for _, tt := range []struct {
		name     string
		selected []lentilfigure.Experiment
		code     lentilexit.Code
	}{
		{"kept", []lentilfigure.Experiment{newExperiment(nil, met, unbounded)}, lentilexit.OK},
		{"missed, others still run", []lentilfigure.Experiment{newExperiment(nil, missed), newExperiment(nil, met)}, lentilexit.Promise},
		{"no number", []lentilfigure.Experiment{newExperiment(nil, notANumber)}, lentilexit.Promise},
		{"failed", []lentilfigure.Experiment{newExperiment(errors.New("no socket"))}, lentilexit.Failure},
	} {
		out.WriteString(tt.name + "\n")
		if got := lentilexit.Of(Run(context.Background(), tt.selected, lentilfigure.Setup{}, &out)); got != tt.code {
			t.Errorf("%s: exit code %s, want %s", tt.name, got, tt.code)
		}
	}
	lentilgolden.Check(t, "testdata/figures.golden", out.String())
}

func TestExperimentTable(t *testing.T) {
	seen := map[string]bool{NameAll: true, NameList: true}
	for _, e := range Experiments() {
		if e.Description == "" || e.Run == nil || seen[e.Name] {
			t.Errorf("experiment %q has no description or no Run function, or its name is a duplicate", e.Name)
		}
		seen[e.Name] = true
		if found, err := Find(e.Name); err != nil || len(found) != 1 {
			t.Errorf("Find(%q) returned %d experiments, error %v", e.Name, len(found), err)
		}
	}
	if _, err := Find("nothing"); lentilexit.Of(err) != lentilexit.Usage {
		t.Errorf("Find of an unknown name returned error %v, want a usage error", err)
	}
}
