// Package lentilrestartmeasure measures the effect of restarts on callers, with real
// processes. Every balancer, and then every agent of a service, is replaced by a new process,
// one after another. At the end a balancer is killed.
package lentilrestartmeasure

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "restart",
	Description: "balancers and agents replaced one after another under load, real processes: broken flows, failed requests and requests that ran twice",
	Run:         run,
}

const (
	// stepTimeout limits the duration of each step.
	stepTimeout = 30 * time.Second
	// maxCallDuration is the longest time that callers run. They are normally stopped earlier.
	maxCallDuration = 5 * time.Minute
	// streamDuration is how long a caller keeps a stream. It is short enough for all streams
	// of a draining agent to end by themselves.
	streamDuration = 4 * time.Second
	streams        = 20
	// repeatableRate and onceRate are in requests per second. They are low enough for cold
	// copies.
	repeatableRate = 8
	onceRate       = 8
)

// phase is one kind of replacement, measured with its own callers.
type phase struct {
	name     string
	workload lentillab.Workload
	replace  func(ctx context.Context, site *lentillab.RunningSite) error
	// planned phases must not break flows, fail requests or leave their outcome unknown.
	planned bool
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	startCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	site, err := lab.StartSite(startCtx, lentillab.Consorzio())
	if err != nil {
		return nil, err
	}
	workload := lentillab.Workload{
		Connections: streams, Streams: streams, RepeatableRate: repeatableRate, OnceRate: onceRate,
		Timeout: 5 * time.Second, ReconnectInterval: 2 * time.Second, Seed: setup.Seed,
	}
	shortStreams := workload
	shortStreams.StreamDuration = streamDuration
	phases := []phase{
		{"balancers", workload, replaceBalancers, true},
		{"agents", shortStreams, replaceAgents, true},
		{"balancerDies", workload, killBalancer, false},
	}
	if setup.Short {
		phases = phases[:1]
	}
	for _, p := range phases {
		measured, err := p.measure(ctx, site, setup)
		if err != nil {
			return figures, err
		}
		figures = append(figures, measured...)
	}
	return figures, nil
}

// measure runs the phase under load and returns the figures of the callers.
func (p phase) measure(ctx context.Context, site *lentillab.RunningSite, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	setup.Progressf("restart: %s", p.name)
	callers, err := site.StartCallers(p.name, site.Site().Services[0], maxCallDuration, p.workload)
	if err != nil {
		return nil, err
	}
	if err = lentillab.Sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	start := time.Now()
	if err = p.replace(ctx, site); err != nil {
		return nil, err
	}
	took := time.Since(start)
	if err = lentillab.Sleep(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	callers.Process().Stop()
	limitedCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	report, err := callers.Report(limitedCtx)
	if err != nil {
		return nil, err
	}
	runs, err := site.RunCounts(limitedCtx)
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
	withPlannedBound := func(f lentilfigure.Figure) lentilfigure.Figure {
		if p.planned {
			return f.AtMost(0)
		}
		return f
	}
	return []lentilfigure.Figure{
		withPlannedBound(lentilfigure.New(name+".brokenFlows", float64(report.Streams.Broken), "flows")),
		withPlannedBound(lentilfigure.New(name+".failed", float64(totals.Failed), "requests")),
		withPlannedBound(lentilfigure.New(name+".unknown", float64(totals.Unknown), "requests")),
		lentilfigure.New(name+".wrong", float64(totals.Wrong), "answers").AtMost(0),
		lentilfigure.New(name+".doubled", float64(len(totals.RanTwice)), "requests").AtMost(0),
		lentilfigure.New(name+".falseRefusals", float64(len(totals.FalseRefusals)), "requests").AtMost(0),
		lentilfigure.New(name+".refused", totals.Share(totals.Refused), "share of requests"),
		lentilfigure.New(name+".longestGap", float64(report.Streams.LongestGapMillis), "ms"),
		lentilfigure.New(name+".took", took.Seconds(), "s"),
	}
}

// replaceBalancers stops each balancer gracefully and starts a new process in its place.
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

// replaceAgents stops each agent of the first service gracefully and starts a new process in
// its place.
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

// killBalancer kills a balancer and starts a new process in its place after a pause.
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

// withStepTimeout runs a step with stepTimeout.
func withStepTimeout(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return step(ctx)
}
