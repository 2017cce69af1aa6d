// Package lentilcontrolmeasure measures the cost and speed of the control plane in three
// parts. The first compares the product's exchange of records with full-state push and plain
// gossip on a simulated network. The second measures the processor time and memory of one
// node at growing numbers of nodes and agents. The third measures bytes, processor time,
// memory and convergence of real processes along several axes. The second and third parts
// include linear fits.
package lentilcontrolmeasure

import (
	"context"

	"lentilstair.example/lentilstair/internal/lentilfigure"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "control",
	Description: "bytes, processor time, memory and convergence of the control plane over nodes, endpoints, services and change rate",
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
