// Package lentilplacementmeasure compares ways of placing packet flows on the model of a site, with the same
// seeds: the product's, by hash, one after the other, and the better of two.
package lentilplacementmeasure

import (
	"context"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilpacketmodel"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "placement",
	Description: "packet flows on a modelled site at several loads: busiest copy over mean, waits and answers, against other ways of placing",
	Run:         run,
}

const (
	// maxPeakToMean is the most that the busiest copy may have over the mean, as docs/design/flows.md states it.
	maxPeakToMean = 1.15
	// runDuration is how long each site is played, and shortLength in a short run.
	runDuration      = 40 * time.Second
	shortRunDuration = 10 * time.Second
	// seeds is how many seeds each figure is the mean of, and shortSeeds in a short run.
	seeds      = 3
	shortSeeds = 1
)

var loads = []float64{0.45, 0.7, 0.95}

var policies = []struct {
	name   string
	choose func() func(w *lentilpacketmodel.Simulation, key lentilpacketmodel.Key) int
}{
	{"product", func() func(*lentilpacketmodel.Simulation, lentilpacketmodel.Key) int { return nil }},
	{"hash", func() func(*lentilpacketmodel.Simulation, lentilpacketmodel.Key) int {
		return lentilpacketmodel.ChooseByHash
	}},
	{"roundRobin", lentilpacketmodel.ChooseRoundRobin},
	{"twoChoices", func() func(*lentilpacketmodel.Simulation, lentilpacketmodel.Key) int {
		return lentilpacketmodel.ChooseLessLoadedOfTwo
	}},
}

// meanStats is what a way of placing gave, as a mean over seeds.
type meanStats struct{ peakToMean, p99Millis, answeredShare float64 }

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, load := range loads {
		results := make(map[string]meanStats, len(policies))
		for _, way := range policies {
			if err = ctx.Err(); err != nil {
				return nil, err
			}
			results[way.name] = simulate(setup, load, way.choose)
		}
		ours := results["product"]
		for _, way := range policies[1:] {
			other := results[way.name]
			name := fmt.Sprintf("placement.%.0f.%s", 100*load, way.name)
			figures = append(figures,
				lentilfigure.New(name+".busiest", ours.peakToMean, "ratio").AtMost(maxPeakToMean).WithBaseline(way.name, other.peakToMean),
				lentilfigure.New(name+".p99", ours.p99Millis, "ms").WithBaseline(way.name, other.p99Millis),
				lentilfigure.New(name+".served", ours.answeredShare, "share").WithBaseline(way.name, other.answeredShare),
			)
		}
	}
	return figures, nil
}

func simulate(setup lentilfigure.Setup, load float64, choose func() func(*lentilpacketmodel.Simulation, lentilpacketmodel.Key) int) (mean meanStats) {
	count, d := seeds, runDuration
	if setup.Short {
		count, d = shortSeeds, shortRunDuration
	}
	for i := range count {
		site := lentilpacketmodel.Setup{
			Seed: setup.Seed + uint64(i) + 1, Domains: 4, BalancersPerDomain: 1, UpstreamsPerDomain: 2, Slots: 2, QueueLimit: 8,
			ServiceTime: 15 * time.Millisecond, ExponentialServiceTime: true, ThinkTime: 300 * time.Millisecond, RequestsPerFlow: 40, ChooseAgent: choose(),
		}
		site.Clients = site.ClientsForLoad(load)
		w := lentilpacketmodel.New(site)
		w.Run(d)
		const tail = 0.99
		mean.peakToMean += w.Stats.PeakToMean() / float64(count)
		mean.p99Millis += float64(w.Stats.LatencyQuantile(tail).Microseconds()) / 1000 / float64(count) //nolint:mnd // Microseconds in a millisecond.
		mean.answeredShare += w.Stats.AnsweredShare() / float64(count)
	}
	return mean
}
