// Package lentilsitemeasure measures how evenly the copies of a whole site are used, and how
// many requests are answered in time, with real processes. The load is 70, 95 and 130 % of the
// capacity of the copies. One copy is slow all the time, and one turns cold unannounced.
//
// The baseline is the same site with hand-off switched off, which runs at the same time.
package lentilsitemeasure

import (
	"context"
	"errors"
	"sync"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "site",
	Description: "imbalance, requests in time and load on cold copies on whole sites of real processes, against hand-off switched off",
	Run:         run,
}

// baselineName is the name of the baseline in figures.
const baselineName = "weights without hand-off"

// deployment is the site of an existing deployment, with its name in figures.
type deployment struct {
	name string
	site lentillab.Site
}

func deployments() []deployment {
	return []deployment{{name: "consorzio", site: lentillab.Consorzio()}, {name: "sala", site: lentillab.Sala()}}
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, d := range deployments() {
		product, baseline, err := measurePair(ctx, setup, d)
		if err != nil {
			return figures, err
		}
		figures = append(figures, siteFigures(d.name, product, baseline)...)
	}
	return figures, nil
}

// measurePair measures a site with hand-off and one without, at the same time.
func measurePair(ctx context.Context, setup lentilfigure.Setup, d deployment) (product, baseline []phaseResult, err error) {
	var group sync.WaitGroup
	var productErr, baselineErr error
	group.Go(func() { product, productErr = measureSite(ctx, setup, d, "on") })
	group.Go(func() { baseline, baselineErr = measureSite(ctx, setup, d, "off") })
	group.Wait()
	return product, baseline, errors.Join(productErr, baselineErr)
}

// measureSite runs all phases on one site.
func measureSite(ctx context.Context, setup lentilfigure.Setup, d deployment, handOff string) (results []phaseResult, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	plan := d.site
	plan.Services = plan.Services[:1]
	plan.Services[0].ColdDuration = coldDuration
	plan.HandOff = handOff
	startCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	site, err := lab.StartSite(startCtx, plan)
	if err != nil {
		return nil, err
	}
	r := siteRun{site: site, setup: setup, name: d.name + " hand-off " + handOff}
	for _, p := range phases(setup.Short) {
		result, err := r.runPhase(ctx, p)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}
