// Package lentilcontrolmeasure measures what control costs and how fast it is: the
// exchange of records against pushing full state and plain gossip over a fake
// wire, the time and memory of one node at growing fleets, and bytes, processor
// time, memory and convergence of real processes, each axis with a linear fit.
package lentilcontrolmeasure

import (
	"context"

	"lentilstair.example/lentilstair/internal/lentilfigure"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "control",
	Description: "bytes, processor time, memory and convergence of control over nodes, endpoints, services and change rate",
	Run:         run,
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	parts := []func(context.Context, lentilfigure.Setup) ([]lentilfigure.Figure, error){
		measurePropagation, measureScale, measureSites,
	}
	for _, part := range parts {
		more, err := part(ctx, setup)
		figures = append(figures, more...)
		if err != nil {
			return figures, err
		}
	}
	return figures, nil
}
