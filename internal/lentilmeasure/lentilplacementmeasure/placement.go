// Package lentilplacementmeasure compares placement policies for packet flows on a simulated site,
// with the same seeds: the product's policy, a hash, round robin, and the less loaded of two
// random agents.
package lentilplacementmeasure

import (
	"context"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilpacketmodel"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "placement",
	Description: "packet flows on a simulated site at several loads: busiest copy over mean, latency and answered requests, against other placement policies",
	Run:         run,
}

const (
	// maxPeakToMean is the upper bound of the busiest copy over the mean, as stated in
	// docs/design/flows.md.
	maxPeakToMean = 1.15
	// runDuration is the simulated time of each run, shortRunDuration that of a short run.
	runDuration      = 40 * time.Second
	shortRunDuration = 10 * time.Second
	// seeds is the number of seeds behind each mean, shortSeeds that of a short run.
	seeds      = 3
	shortSeeds = 1
)

var loads = []float64{0.45, 0.7, 0.95}

// policies lists the placement policies. The function that choose returns picks the agent for a
// new flow; nil keeps the balancers' own choice, which is the product's policy.
var policies = []struct {
	name   string
	choose func() func(s *lentilpacketmodel.Simulation, key lentilpacketmodel.Key) int
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

// meanStats holds the figures of a placement policy, as means over the seeds.
type meanStats struct{ peakToMean, p99Millis, answeredShare float64 }

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, load := range loads {
		results := make(map[string]meanStats, len(policies))
		for _, policy := range policies {
			if err = ctx.Err(); err != nil {
				return nil, err
			}
			results[policy.name] = simulate(setup, load, policy.choose)
		}
		product := results["product"]
		for _, policy := range policies[1:] {
			baseline := results[policy.name]
			name := fmt.Sprintf("placement.%.0f.%s", 100*load, policy.name)
			figures = append(figures,
				lentilfigure.New(name+".busiest", product.peakToMean, "ratio").AtMost(maxPeakToMean).WithBaseline(policy.name, baseline.peakToMean),
				lentilfigure.New(name+".p99", product.p99Millis, "ms").WithBaseline(policy.name, baseline.p99Millis),
				lentilfigure.New(name+".served", product.answeredShare, "share").WithBaseline(policy.name, baseline.answeredShare),
			)
		}
	}
	return figures, nil
}

func simulate(setup lentilfigure.Setup, load float64, choose func() func(*lentilpacketmodel.Simulation, lentilpacketmodel.Key) int) (mean meanStats) {
	count, duration := seeds, runDuration
	if setup.Short {
		count, duration = shortSeeds, shortRunDuration
	}
	for i := range count {
		siteSetup := lentilpacketmodel.Setup{
			Seed: setup.Seed + uint64(i) + 1, Domains: 4, BalancersPerDomain: 1, UpstreamsPerDomain: 2, Slots: 2, QueueLimit: 8,
			ServiceTime: 15 * time.Millisecond, ExponentialServiceTime: true, ThinkTime: 300 * time.Millisecond, RequestsPerFlow: 40, ChooseAgent: choose(),
		}
		siteSetup.Clients = siteSetup.ClientsForLoad(load)
		simulation := lentilpacketmodel.New(siteSetup)
		simulation.Run(duration)
		const quantile = 0.99
		mean.peakToMean += simulation.Stats.PeakToMean() / float64(count)
		mean.p99Millis += float64(simulation.Stats.LatencyQuantile(quantile).Microseconds()) / 1000 / float64(count) //nolint:mnd // Microseconds in a millisecond.
		mean.answeredShare += simulation.Stats.AnsweredShare() / float64(count)
	}
	return mean
}
