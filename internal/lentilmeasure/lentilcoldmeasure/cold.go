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
	Name: "cold",
	Text: "load on a copy that turned cold unannounced over what it bears, from a second on, in process",
	Run:  run,
}

const (
	// bound is the most that a copy may get over what it bears.
	bound = 1
	// seeds is how many seeds each figure is taken over, and shortSeeds in a short run.
	seeds      = 3
	shortSeeds = 1
)

var (
	loads   = []float64{0.7, 0.95, 1.3}
	spreads = []struct {
		name   string
		spread lentilarrival.Spread
	}{{"even", lentilarrival.SpreadEven}, {"exponential", lentilarrival.SpreadExponential}}
)

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	count := seeds
	if setup.Short {
		count = shortSeeds
	}
	for _, u := range lentilarrival.Users() {
		for _, load := range loads {
			for _, s := range spreads {
				o := lentilarrival.Options{Copies: u.Copies, Slots: u.Slots, Load: load, Cold: 1, Spread: s.spread}
				ours, err := lentilarrival.RunSeeds(ctx, lentilarrival.Both().Apply(o), setup.Seed+1, count)
				if err != nil {
					return nil, err
				}
				o.NoAdmission = true
				bare, err := lentilarrival.RunSeeds(ctx, lentilarrival.Uniform().Apply(o), setup.Seed+1, count)
				if err != nil {
					return nil, err
				}
				name := fmt.Sprintf("cold.%s.%s.%.0f", u.Name, s.name, 100*load)
				figures = append(figures,
					lentilfigure.New(name+".sent", lentilarrival.Most(ours, sent), "ratio").AtMost(bound).Against("equal weights, no admission", lentilarrival.Most(bare, sent)),
					lentilfigure.New(name+".all", lentilarrival.Most(ours, all), "ratio").Against("equal weights, no admission", lentilarrival.Most(bare, all)),
				)
			}
		}
	}
	return figures, nil
}

func sent(r lentilarrival.Result) float64 { return r.ColdSent }
func all(r lentilarrival.Result) float64  { return r.ColdOver }
