// Package lentilrestartmeasure measures with real processes what callers notice
// when every balancer and then every agent of a service is replaced by a new
// process, one after another, and when a balancer dies.
package lentilrestartmeasure

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "restart",
	Description: "balancers and agents replaced one after another under load, real processes: broken flows, failed and doubled requests",
	Run:         run,
}

const (
	// stepTimeout bounds each step.
	stepTimeout = 30 * time.Second
	// maxCallDuration is the longest time that callers go on; they are stopped before.
	maxCallDuration = 5 * time.Minute
	// streamDuration is how long a caller keeps a stream, so that agents that drain get
	// empty without cutting one.
	streamDuration = 4 * time.Second
	streams        = 20
	// repeatableRate and once are requests a second, few enough for cold copies.
	repeatableRate = 8
	onceRate       = 8
)

// phase is one of the replacements with callers of its own.
type phase struct {
	name     string
	workload lentillab.Workload
	replace  func(ctx context.Context, site *lentillab.RunningSite) error
	// planned phases may break nothing.
	planned bool
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	started, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	site, err := lab.StartSite(started, lentillab.Consorzio())
	if err != nil {
		return nil, err
	}
	watching := lentillab.Workload{
		Connections: streams, Streams: streams, RepeatableRate: repeatableRate, OnceRate: onceRate,
		Timeout: 5 * time.Second, ReconnectInterval: 2 * time.Second, Seed: setup.Seed,
	}
	moving := watching
	moving.StreamDuration = streamDuration
	phases := []phase{
		{"balancers", watching, replaceBalancers, true},
		{"agents", moving, replaceAgents, true},
		{"balancerDies", watching, killBalancer, false},
	}
	if setup.Short {
		phases = phases[:1]
	}
	for _, p := range phases {
		part, err := p.measure(ctx, site, setup)
		if err != nil {
			return figures, err
		}
		figures = append(figures, part...)
	}
	return figures, nil
}

// measure runs the phase with callers and returns what they saw.
func (p phase) measure(ctx context.Context, site *lentillab.RunningSite, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	setup.Progressf("restart: %s", p.name)
	crowd, err := site.StartCallers(p.name, site.Site().Services[0], maxCallDuration, p.workload)
	if err != nil {
		return nil, err
	}
	if err = lentillab.Sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	began := time.Now()
	if err = p.replace(ctx, site); err != nil {
		return nil, err
	}
	took := time.Since(began)
	if err = lentillab.Sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	crowd.Process().Stop()
	limited, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	report, err := crowd.Report(limited)
	if err != nil {
		return nil, err
	}
	runs, err := site.RunCounts(limited)
	if err != nil {
		return nil, err
	}
	for _, fault := range report.Faults {
		setup.Progressf("restart: %s: %s", p.name, fault)
	}
	return p.figures(report, runs, took), nil
}

func (p phase) figures(report caller.ReportDoc, runs map[string]int, took time.Duration) (figures []lentilfigure.Figure) {
	totals := lentillab.NewTotals(runs, report)
	name := "restart." + p.name
	planned := func(f lentilfigure.Figure) lentilfigure.Figure {
		if p.planned {
			return f.AtMost(0)
		}
		return f
	}
	return []lentilfigure.Figure{
		planned(lentilfigure.New(name+".brokenFlows", float64(report.Streams.Broken), "flows")),
		planned(lentilfigure.New(name+".failed", float64(totals.Failed), "requests")),
		planned(lentilfigure.New(name+".unknown", float64(totals.Unknown), "requests")),
		lentilfigure.New(name+".wrong", float64(totals.Wrong), "answers").AtMost(0),
		lentilfigure.New(name+".doubled", float64(len(totals.RanTwice)), "requests").AtMost(0),
		lentilfigure.New(name+".falseRefusals", float64(len(totals.FalseRefusals)), "requests").AtMost(0),
		lentilfigure.New(name+".refused", totals.Share(totals.Refused), "share of requests"),
		lentilfigure.New(name+".longestGap", float64(report.Streams.LongestGapMillis), "ms"),
		lentilfigure.New(name+".took", took.Seconds(), "s"),
	}
}

// replaceBalancers stops each balancer gracefully and starts it anew.
func replaceBalancers(ctx context.Context, site *lentillab.RunningSite) (err error) {
	for _, b := range site.Balancers() {
		b.Process().Stop()
		if err = withStepTimeout(ctx, b.Process().Wait); err != nil {
			return err
		}
		if err = site.StartBalancer(b); err != nil {
			return err
		}
		err = withStepTimeout(ctx, func(ctx context.Context) error { return site.AwaitBalancer(ctx, b) })
		if err != nil {
			return err
		}
	}
	return nil
}

// replaceAgents stops each agent of the first service gracefully and starts it anew.
func replaceAgents(ctx context.Context, site *lentillab.RunningSite) (err error) {
	for _, c := range site.Copies() {
		if c.Service() != site.Site().Services[0].Name {
			continue
		}
		c.Agent().Stop()
		if err = withStepTimeout(ctx, c.Agent().Wait); err != nil {
			return err
		}
		if err = site.StartAgent(c); err != nil {
			return err
		}
		err = withStepTimeout(ctx, func(ctx context.Context) error { return site.AwaitCopy(ctx, c) })
		if err != nil {
			return err
		}
	}
	return nil
}

// killBalancer ends a balancer without any warning and starts it anew after a while.
func killBalancer(ctx context.Context, site *lentillab.RunningSite) (err error) {
	killed := site.Balancers()[0]
	killed.Process().Kill()
	if err = lentillab.Sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	if err = site.StartBalancer(killed); err != nil {
		return err
	}
	return withStepTimeout(ctx, func(ctx context.Context) error { return site.AwaitBalancer(ctx, killed) })
}

// withStepTimeout bounds a step.
func withStepTimeout(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return step(ctx)
}
