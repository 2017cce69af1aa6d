package lentilflowmeasure

import (
	"testing"

	"lentilstair.example/lentilstair/internal/lentilfigure"
)

func TestFiguresMeetBounds(t *testing.T) {
	figures, err := Experiment.Run(t.Context(), lentilfigure.Setup{Seed: 7, Short: true})
	if err != nil || len(figures) == 0 {
		t.Fatalf("got %d figures, error %v", len(figures), err)
	}
	for _, figure := range figures {
		if !figure.OK() {
			t.Errorf("figure misses its bound: %+v", figure.Doc())
		}
	}
}
