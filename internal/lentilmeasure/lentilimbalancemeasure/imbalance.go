// Package lentilimbalancemeasure measures how evenly copies are used. It simulates the copies
// in process with the product's agent logic.
//
// The utilization of a copy is its busy slot-time over its capacity in the same window. Under a
// fair policy a slow copy is as busy as the others and answers fewer requests. Busy slot-time
// alone is reported too. It shows an imbalance when a cold copy correctly gets less load.
package lentilimbalancemeasure

import (
	"context"
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilarrival"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "imbalance",
	Description: "most utilized copy over mean in 10 s windows with one copy slow, or one slow and one cold, in process",
	Run:         run,
}

const (
	// maxImbalance is the upper bound of the most utilized copy over the mean of all copies.
	maxImbalance = 1.15
	// seeds is the number of seeds behind each figure, shortSeeds that of a short run.
	seeds      = 3
	shortSeeds = 1
)

// copyFault is a combination of faults: the numbers of slow and of cold copies.
type copyFault struct {
	name       string
	slow, cold int
}

var (
	loads      = []float64{0.7, 0.95}
	copyFaults = []copyFault{{"well", 0, 0}, {"slow", 1, 0}, {"slow-cold", 1, 1}}
)

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, deployment := range lentilarrival.Deployments() {
		for _, load := range loads {
			for _, fault := range copyFaults {
				o := lentilarrival.Options{Copies: deployment.Copies, Slots: deployment.Slots, Load: load, SlowCopies: fault.slow, ColdCopies: fault.cold}
				name := fmt.Sprintf("imbalance.%s.%s.%.0f", deployment.Name, fault.name, 100*load)
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

// comparePolicies runs every policy. It returns the figures of the agents' policy with each
// other policy as a baseline.
func comparePolicies(ctx context.Context, setup lentilfigure.Setup, name string, o lentilarrival.Options) (figures []lentilfigure.Figure, err error) {
	count := seeds
	if setup.Short {
		count = shortSeeds
	}
	product, err := lentilarrival.RunSeeds(ctx, lentilarrival.WeightedHandoff().Apply(o), setup.Seed+1, count)
	if err != nil {
		return nil, err
	}
	for _, policy := range lentilarrival.Policies() {
		if policy.Name == lentilarrival.WeightedHandoff().Name {
			continue
		}
		baseline, err := lentilarrival.RunSeeds(ctx, policy.Apply(o), setup.Seed+1, count)
		if err != nil {
			return nil, err
		}
		setup.Progressf("%s: %s: %.2f of requests in time", name, policy.Name, lentilarrival.Mean(baseline, inTimeShare))
		figures = append(figures,
			lentilfigure.New(name+".worst", lentilarrival.Mean(product, worstUtilization), "ratio").AtMost(maxImbalance).WithBaseline(policy.Name, lentilarrival.Mean(baseline, worstUtilization)),
			lentilfigure.New(name+".median", lentilarrival.Mean(product, medianUtilization), "ratio").AtMost(maxImbalance).WithBaseline(policy.Name, lentilarrival.Mean(baseline, medianUtilization)),
			lentilfigure.New(name+".raw.worst", lentilarrival.Mean(product, worstBusyTime), "ratio").WithBaseline(policy.Name, lentilarrival.Mean(baseline, worstBusyTime)),
		)
	}
	relays := lentilarrival.Mean(product, func(r lentilarrival.Result) float64 { return r.Share(r.Relays) })
	return append(figures, lentilfigure.New(name+".relays", relays, "per request")), nil
}

func worstUtilization(r lentilarrival.Result) float64  { return r.UtilizationImbalance.Worst }
func medianUtilization(r lentilarrival.Result) float64 { return r.UtilizationImbalance.Median }
func worstBusyTime(r lentilarrival.Result) float64     { return r.BusyTimeImbalance.Worst }
func inTimeShare(r lentilarrival.Result) float64       { return r.Share(r.InTime) }
