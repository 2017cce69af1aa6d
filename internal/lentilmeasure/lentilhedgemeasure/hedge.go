// Package lentilhedgemeasure measures what hedged requests change at several loads, on simulated
// agents with one slow copy in ten, with copies that pause, and with neither.
package lentilhedgemeasure

import (
	"context"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilhedgemodel"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "hedge",
	Description: "extra attempts at slow requests: 99th percentile, share in time and extra work at several loads and percentages, against none",
	Run:         run,
}

const (
	// runDuration is the simulated time of each run, shortRunDuration that of a short run.
	runDuration      = 10 * time.Second
	shortRunDuration = 3 * time.Second
	// seeds is the number of seeds behind each mean, shortSeeds that of a short run.
	seeds      = 3
	shortSeeds = 1
)

// means holds the means of a setting over the seeds.
type means struct{ p99Millis, inTime, extra, lateExtras float64 }

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	setup.Progressf("%-8s %-5s %-8s %-8s %-8s %s", "copies", "load", "percent", "p99 ms", "in time", "extra attempts per request")
	for _, scenario := range lentilhedgemodel.Scenarios() {
		for _, load := range lentilhedgemodel.Loads() {
			var without means
			for _, percent := range lentilhedgemodel.Percents() {
				m, err := measure(ctx, setup, scenario, load, percent)
				if err != nil {
					return nil, err
				}
				setup.Progressf("%-8s %-5.1f %-8d %-8.1f %-8.4f %.4f", scenario.Name, load, percent, m.p99Millis, m.inTime, m.extra)
				if percent == 0 {
					without = m
					continue
				}
				figures = append(figures, compare(fmt.Sprintf("hedge.%s.%.0f.%d", scenario.Name, 100*load, percent), load, percent, m, without)...)
			}
		}
	}
	return figures, nil
}

// compare returns the figures of a percentage, with those without extra attempts as the baseline.
// Loads above 1 are overloads, in which there must be no extra attempts.
func compare(name string, load float64, percent int, m, without means) (figures []lentilfigure.Figure) {
	const hundred = 100
	figures = []lentilfigure.Figure{
		lentilfigure.New(name+".p99", m.p99Millis, "ms").WithBaseline("no extra attempts", without.p99Millis),
		lentilfigure.New(name+".inTime", m.inTime, "of requests").WithBaseline("no extra attempts", without.inTime),
		lentilfigure.New(name+".extra", m.extra, "per request").AtMost(float64(percent) / hundred),
	}
	if load > 1 {
		figures = append(figures, lentilfigure.New(name+".inOverload", m.lateExtras, "attempts").AtMost(0))
	}
	return figures
}

// measure returns the means of one setting.
func measure(ctx context.Context, setup lentilfigure.Setup, scenario lentilhedgemodel.Scenario, load float64, percent int) (m means, err error) {
	count, duration := uint64(seeds), runDuration
	if setup.Short {
		count, duration = shortSeeds, shortRunDuration
	}
	for seed := range count {
		if err = ctx.Err(); err != nil {
			return means{}, err
		}
		r := lentilhedgemodel.Run(lentilhedgemodel.Options{
			Seed: setup.Seed + 1 + seed, Load: load, Percent: percent, SlowCopies: scenario.SlowCopies, Pauses: scenario.Pauses, Duration: duration,
		})
		m.p99Millis += float64(r.P99) / float64(time.Millisecond) / float64(count)
		m.inTime += r.InTimeShare() / float64(count)
		m.extra += r.ExtraShare() / float64(count)
		m.lateExtras += float64(r.LateExtras)
	}
	return m, nil
}
