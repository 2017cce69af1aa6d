// Package lentilsitemeasure measures with real processes how evenly the copies of a
// whole site are used, and how many requests finish in time, at 70, 95 and 130 % of what
// the copies bear. One copy is slow throughout, and one turns cold unannounced.
//
// The same site with hand-off switched off, run at the same time, is the baseline.
package lentilsitemeasure

import (
	"context"
	"errors"
	"sync"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "site",
	Description: "imbalance, requests in time and cold copies on whole sites of real processes, against hand-off switched off",
	Run:         run,
}

// baselineName names what is measured beside the system.
const baselineName = "weights without hand-off"

// deployment is a deployment's site and the short name of its figures.
type deployment struct {
	name string
	site lentillab.Site
}

func deployments() []deployment {
	return []deployment{{name: "consorzio", site: lentillab.Consorzio()}, {name: "sala", site: lentillab.Sala()}}
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, u := range deployments() {
		own, base, err := measurePair(ctx, setup, u)
		if err != nil {
			return figures, err
		}
		figures = append(figures, siteFigures(u.name, own, base)...)
	}
	return figures, nil
}

// measurePair measures a site with and without hand-off, side by side.
func measurePair(ctx context.Context, setup lentilfigure.Setup, u deployment) (own, base []phaseResult, err error) {
	var both sync.WaitGroup
	var ownErr, baseErr error
	both.Go(func() { own, ownErr = measureSite(ctx, setup, u, "on") })
	both.Go(func() { base, baseErr = measureSite(ctx, setup, u, "off") })
	both.Wait()
	return own, base, errors.Join(ownErr, baseErr)
}

// measureSite runs all phases on one site.
func measureSite(ctx context.Context, setup lentilfigure.Setup, u deployment, handOff string) (results []phaseResult, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	plan := u.site
	plan.Services = plan.Services[:1]
	plan.Services[0].ColdDuration = coldDuration
	plan.HandOff = handOff
	started, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	site, err := lab.StartSite(started, plan)
	if err != nil {
		return nil, err
	}
	t := siteRun{site: site, setup: setup, name: u.name + " hand-off " + handOff}
	for _, p := range phases(setup.Short) {
		result, err := t.runPhase(ctx, p)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}
