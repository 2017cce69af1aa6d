// Package lentilcoldmeasure measures the load on copies that turn cold without telling anybody, in
// process with the agents' real decisions.
package lentilcoldmeasure

import (
	"context"
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilarrival"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "cold",
	Description: "load on a copy that turned cold unannounced over what it bears, from a second on, in process",
	Run:         run,
}

const (
	// maxLoadRatio is the most that a copy may get over what it bears.
	maxLoadRatio = 1
	// seeds is how many seeds each figure is taken over, and shortSeeds in a short run.
	seeds      = 3
	shortSeeds = 1
)

var (
	loads         = []float64{0.7, 0.95, 1.3}
	distributions = []struct {
		name   string
		spread lentilarrival.WorkDistribution
	}{{"even", lentilarrival.WorkUniform}, {"exponential", lentilarrival.WorkExponential}}
)

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	count := seeds
	if setup.Short {
		count = shortSeeds
	}
	for _, u := range lentilarrival.Deployments() {
		for _, load := range loads {
			for _, s := range distributions {
				o := lentilarrival.Options{Copies: u.Copies, Slots: u.Slots, Load: load, ColdCopies: 1, WorkDistribution: s.spread}
				ours, err := lentilarrival.RunSeeds(ctx, lentilarrival.WeightedHandoff().Apply(o), setup.Seed+1, count)
				if err != nil {
					return nil, err
				}
				o.NoAdmission = true
				bare, err := lentilarrival.RunSeeds(ctx, lentilarrival.UniformHash().Apply(o), setup.Seed+1, count)
				if err != nil {
					return nil, err
				}
				name := fmt.Sprintf("cold.%s.%s.%.0f", u.Name, s.name, 100*load)
				figures = append(figures,
					lentilfigure.New(name+".sent", lentilarrival.Max(ours, newLoadRatio), "ratio").AtMost(maxLoadRatio).WithBaseline("equal weights, no admission", lentilarrival.Max(bare, newLoadRatio)),
					lentilfigure.New(name+".all", lentilarrival.Max(ours, loadRatio), "ratio").WithBaseline("equal weights, no admission", lentilarrival.Max(bare, loadRatio)),
				)
			}
		}
	}
	return figures, nil
}

func newLoadRatio(r lentilarrival.Result) float64 { return r.ColdNewLoadRatio }
func loadRatio(r lentilarrival.Result) float64    { return r.ColdLoadRatio }
