// Package lentiloverloadmeasure measures the outcomes of requests at loads below, near and above
// the capacity of the copies. It simulates the copies in process with the product's agent logic.
package lentiloverloadmeasure

import (
	"context"
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmeasure/lentilarrival"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "overload",
	Description: "requests in time, refusals and their delay, and false refusals at 70, 95 and 130 % of the slots, in process",
	Run:         run,
}

const (
	// seeds is the number of seeds behind each figure, shortSeeds that of a short run.
	seeds      = 3
	shortSeeds = 1
	// overloadLoad is the load at which goodput has a bound.
	overloadLoad = 1.3
	// minGoodput is the lower bound of the goodput over capacity at overloadLoad.
	minGoodput = 0.95
	// maxRefusalSeconds is the upper bound of the time from the arrival of a request to its
	// refusal.
	maxRefusalSeconds = 0.1
)

// loadLevel is a load with the lower bound of the share of requests answered in time.
type loadLevel struct{ load, minInTime float64 }

var loadLevels = []loadLevel{{0.7, 1}, {0.95, 0.99}, {overloadLoad, 0}}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, deployment := range lentilarrival.Deployments() {
		for _, level := range loadLevels {
			more, err := measureLevel(ctx, setup, deployment, level)
			if err != nil {
				return nil, err
			}
			figures = append(figures, more...)
		}
	}
	return figures, nil
}

// measureLevel returns the figures of one deployment at one load.
func measureLevel(ctx context.Context, setup lentilfigure.Setup, deployment lentilarrival.Deployment, level loadLevel) (figures []lentilfigure.Figure, err error) {
	count := seeds
	if setup.Short {
		count = shortSeeds
	}
	options := lentilarrival.Options{Copies: deployment.Copies, Slots: deployment.Slots, Load: level.load}
	product, err := lentilarrival.RunSeeds(ctx, lentilarrival.WeightedHandoff().Apply(options), setup.Seed+1, count)
	if err != nil {
		return nil, err
	}
	options.NoAdmission = true
	baseline, err := lentilarrival.RunSeeds(ctx, lentilarrival.UniformHash().Apply(options), setup.Seed+1, count)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("overload.%s.%.0f", deployment.Name, 100*level.load)
	const baselineName = "uniform hash, no admission"
	figure := func(quantity, unit string, value func(r lentilarrival.Result) float64) lentilfigure.Figure {
		return lentilfigure.New(name+"."+quantity, lentilarrival.Mean(product, value), unit).WithBaseline(baselineName, lentilarrival.Mean(baseline, value))
	}
	inTime := figure("in-time", "share", func(r lentilarrival.Result) float64 { return r.Share(r.InTime) })
	goodput := figure("goodput", "share of capacity", func(r lentilarrival.Result) float64 { return r.Goodput })
	if level.load == overloadLoad {
		goodput = goodput.AtLeast(minGoodput)
	} else {
		inTime = inTime.AtLeast(level.minInTime)
	}
	return []lentilfigure.Figure{
		inTime, goodput,
		figure("refused", "share", func(r lentilarrival.Result) float64 { return r.Share(r.Refused) }),
		figure("late", "share", func(r lentilarrival.Result) float64 { return r.Share(r.Late) }),
		figure("false-not-run", "requests", func(r lentilarrival.Result) float64 { return float64(r.FalseRefusals) }).AtMost(0),
		figure("refusal.slowest", "seconds", func(r lentilarrival.Result) float64 { return r.SlowestRefusal.Seconds() }).AtMost(maxRefusalSeconds),
		figure("refusal.median", "seconds", func(r lentilarrival.Result) float64 { return r.MedianRefusal.Seconds() }),
		figure("return.peak", "peak over mean per second", func(r lentilarrival.Result) float64 { return r.RetryPeakToMean }),
	}, nil
}
