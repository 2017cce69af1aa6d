// Package lentilimbalancemeasure measures how evenly copies are used, in process with the
// agents' real decisions.
//
// The use of a copy is its busy slot-time over what it bore in the same window: a slow copy
// is as busy as the others when it is fair, and answers fewer requests. Raw busy slot-time is given
// beside it; it calls a cold copy that is rightly spared an imbalance.
package lentilimbalancemeasure

import (
	"context"
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilarrival"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "imbalance",
	Description: "hottest copy over mean in 10 s windows with one copy slow, or one slow and one cold, in process",
	Run:         run,
}

const (
	// maxImbalance is the most that the hottest copy may be used over the mean.
	maxImbalance = 1.15
	// seeds is how many seeds each figure is taken over, and shortSeeds in a short run.
	seeds      = 3
	shortSeeds = 1
)

// copyFault is what is wrong with the copies.
type copyFault struct {
	name       string
	slow, cold int
}

var (
	loads      = []float64{0.7, 0.95}
	copyFaults = []copyFault{{"well", 0, 0}, {"slow", 1, 0}, {"slow-cold", 1, 1}}
)

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, u := range lentilarrival.Deployments() {
		for _, load := range loads {
			for _, t := range copyFaults {
				o := lentilarrival.Options{Copies: u.Copies, Slots: u.Slots, Load: load, SlowCopies: t.slow, ColdCopies: t.cold}
				name := fmt.Sprintf("imbalance.%s.%s.%.0f", u.Name, t.name, 100*load)
				more, err := comparePolicies(ctx, setup, name, o)
				if err != nil {
					return nil, err
				}
				figures = append(figures, more...)
			}
		}
	}
	return figures, nil
}

// comparePolicies runs every way and returns the figures of what agents do beside each other way.
func comparePolicies(ctx context.Context, setup lentilfigure.Setup, name string, o lentilarrival.Options) (figures []lentilfigure.Figure, err error) {
	count := seeds
	if setup.Short {
		count = shortSeeds
	}
	both, err := lentilarrival.RunSeeds(ctx, lentilarrival.WeightedHandoff().Apply(o), setup.Seed+1, count)
	if err != nil {
		return nil, err
	}
	for _, w := range lentilarrival.Policies() {
		if w.Name == lentilarrival.WeightedHandoff().Name {
			continue
		}
		other, err := lentilarrival.RunSeeds(ctx, w.Apply(o), setup.Seed+1, count)
		if err != nil {
			return nil, err
		}
		setup.Progressf("%s: %s: %.2f of requests in time", name, w.Name, lentilarrival.Mean(other, inTimeShare))
		figures = append(figures,
			lentilfigure.New(name+".worst", lentilarrival.Mean(both, worstUtilization), "ratio").AtMost(maxImbalance).WithBaseline(w.Name, lentilarrival.Mean(other, worstUtilization)),
			lentilfigure.New(name+".median", lentilarrival.Mean(both, medianUtilization), "ratio").AtMost(maxImbalance).WithBaseline(w.Name, lentilarrival.Mean(other, medianUtilization)),
			lentilfigure.New(name+".raw.worst", lentilarrival.Mean(both, worstBusyTime), "ratio").WithBaseline(w.Name, lentilarrival.Mean(other, worstBusyTime)),
		)
	}
	relays := lentilarrival.Mean(both, func(r lentilarrival.Result) float64 { return r.Share(r.Relays) })
	return append(figures, lentilfigure.New(name+".relays", relays, "per request")), nil
}

func worstUtilization(r lentilarrival.Result) float64  { return r.UtilizationImbalance.Worst }
func medianUtilization(r lentilarrival.Result) float64 { return r.UtilizationImbalance.Median }
func worstBusyTime(r lentilarrival.Result) float64     { return r.BusyTimeImbalance.Worst }
func inTimeShare(r lentilarrival.Result) float64       { return r.Share(r.InTime) }
