// Package lentilcoldmeasure measures the load on copies that turn cold unannounced. It simulates
// the copies in process with the product's agent logic.
package lentilcoldmeasure

import (
	"context"
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilarrival"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "cold",
	Description: "load over capacity of a copy that turned cold unannounced, after the first second, in process",
	Run:         run,
}

const (
	// maxLoadRatio is the upper bound of a cold copy's load over its capacity. It applies to
	// the load of requests that were sent when the copy had been cold for at least a second.
	maxLoadRatio = 1
	// seeds is the number of seeds behind each figure, shortSeeds that of a short run.
	seeds      = 3
	shortSeeds = 1
)

var (
	loads         = []float64{0.7, 0.95, 1.3}
	distributions = []struct {
		name         string
		distribution lentilarrival.WorkDistribution
	}{{"even", lentilarrival.WorkUniform}, {"exponential", lentilarrival.WorkExponential}}
)

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	count := seeds
	if setup.Short {
		count = shortSeeds
	}
	for _, deployment := range lentilarrival.Deployments() {
		for _, load := range loads {
			for _, d := range distributions {
				o := lentilarrival.Options{Copies: deployment.Copies, Slots: deployment.Slots, Load: load, ColdCopies: 1, WorkDistribution: d.distribution}
				product, err := lentilarrival.RunSeeds(ctx, lentilarrival.WeightedHandoff().Apply(o), setup.Seed+1, count)
				if err != nil {
					return nil, err
				}
				o.NoAdmission = true
				baseline, err := lentilarrival.RunSeeds(ctx, lentilarrival.UniformHash().Apply(o), setup.Seed+1, count)
				if err != nil {
					return nil, err
				}
				name := fmt.Sprintf("cold.%s.%s.%.0f", deployment.Name, d.name, 100*load)
				figures = append(figures,
					lentilfigure.New(name+".sent", lentilarrival.Max(product, newLoadRatio), "ratio").AtMost(maxLoadRatio).WithBaseline("equal weights, no admission", lentilarrival.Max(baseline, newLoadRatio)),
					lentilfigure.New(name+".all", lentilarrival.Max(product, loadRatio), "ratio").WithBaseline("equal weights, no admission", lentilarrival.Max(baseline, loadRatio)),
				)
			}
		}
	}
	return figures, nil
}

func newLoadRatio(r lentilarrival.Result) float64 { return r.ColdNewLoadRatio }
func loadRatio(r lentilarrival.Result) float64    { return r.ColdLoadRatio }
