// Package lentildomainmeasure takes a failure domain out of service and back under
// load, with real processes. It measures how long packets still reach the domain, and
// the effect on flows and requests in the other domains.
package lentildomainmeasure

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "domain",
	Description: "a failure domain out of service and back under load, real processes: seconds until its last packet, effect on the other domains",
	Run:         run,
}

const (
	// warmupDuration is the time in which the copies warm up.
	warmupDuration = 25 * time.Second
	// outDuration is how long the failure domain stays out of service.
	outDuration = 8 * time.Second
	// restoredDuration is how long the run goes on after the failure domain is back in service.
	restoredDuration = 8 * time.Second
	// stepTimeout limits the duration of each step.
	stepTimeout = 30 * time.Second
	// pollPeriod is the period at which the packets into the failure domain are counted.
	// The agents publish their counts up to half a second late. The time of the last
	// packet is therefore an upper bound.
	pollPeriod = 50 * time.Millisecond

	// maxLastPacketSeconds is the upper bound of the time until the last packet into the
	// failure domain.
	maxLastPacketSeconds = 3
	// minFinishedShare is the lower bound of the share of requests answered in time.
	minFinishedShare = 0.99
	// maxInForceSeconds is the upper bound of the time until a change is in force everywhere.
	maxInForceSeconds = 2

	// loadShare is the offered load as a share of the slots of all warm copies.
	loadShare = 0.4
	// streams is the number of streams that callers keep open.
	streams = 40
)

// siteRun is one run of the experiment on a site.
type siteRun struct {
	site    *lentillab.RunningSite
	domain  string
	callers *lentillab.CallerGroup
	setup   lentilfigure.Setup
}

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	lab, err := lentillab.New(setup.Binaries)
	if err != nil {
		return nil, err
	}
	defer lab.Close()
	plan := lentillab.Consorzio()
	startCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	r := siteRun{domain: plan.Domains[len(plan.Domains)-1], setup: setup}
	if r.site, err = lab.StartSite(startCtx, plan); err != nil {
		return nil, err
	}
	if err = r.warmUp(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// newWorkload returns a workload that is a share of the capacity of a service's warm copies.
func newWorkload(service lentillab.Service, share float64, seed uint64) lentillab.Workload {
	capacity := float64(service.Copies*service.Slots) / service.WorkDuration.Seconds()
	const onceShare = 0.4
	return lentillab.Workload{
		Connections: streams, RepeatableRate: capacity * share * (1 - onceShare), OnceRate: capacity * share * onceShare,
		Timeout: 2 * time.Second, ReconnectInterval: 2 * time.Second, Seed: seed,
	}
}

// warmUp runs callers until the copies are warm. Their requests are not measured.
func (r *siteRun) warmUp(ctx context.Context) (err error) {
	service := r.site.Site().Services[0]
	duration := warmupDuration
	if r.setup.Short {
		duration /= 5
	}
	r.setup.Progressf("domain: warming %s for %s", service.Name, duration)
	callers, err := r.site.StartCallers("warm", service, duration, newWorkload(service, loadShare, r.setup.Seed))
	if err != nil {
		return err
	}
	limitedCtx, cancel := context.WithTimeout(ctx, duration+stepTimeout)
	defer cancel()
	_, err = callers.Report(limitedCtx)
	return err
}

func (r *siteRun) measure(ctx context.Context) (figures []lentilfigure.Figure, err error) {
	service := r.site.Site().Services[0]
	workload := newWorkload(service, loadShare, r.setup.Seed+1)
	workload.Streams = streams
	const leadDuration = 2 * time.Second
	r.callers, err = r.site.StartCallers("measured", service, leadDuration+outDuration+restoredDuration+stepTimeout, workload)
	if err != nil {
		return nil, err
	}
	if err = lentillab.Sleep(ctx, leadDuration); err != nil {
		return nil, err
	}
	outInForce, lastPacket, err := r.takeOutOfService(ctx)
	if err != nil {
		return nil, err
	}
	backInForce, usedAgain, err := r.bringBackIntoService(ctx)
	if err != nil {
		return nil, err
	}
	r.callers.Process().Stop()
	limitedCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	report, err := r.callers.Report(limitedCtx)
	if err != nil {
		return nil, err
	}
	for _, fault := range report.Faults {
		r.setup.Progressf("domain: %s", fault)
	}
	runs, err := r.site.RunCounts(limitedCtx)
	if err != nil {
		return nil, err
	}
	return append([]lentilfigure.Figure{
		lentilfigure.New("domain.lastPacket", lastPacket.Seconds(), "s after the command began").AtMost(maxLastPacketSeconds),
		lentilfigure.New("domain.inForce.out", outInForce.Seconds(), "s").AtMost(maxInForceSeconds),
		lentilfigure.New("domain.inForce.back", backInForce.Seconds(), "s").AtMost(maxInForceSeconds),
		lentilfigure.New("domain.usedAgain", usedAgain.Seconds(), "s after the command began"),
	}, r.serviceFigures(report, runs)...), nil
}

// serviceFigures returns the figures about flows and requests during the run.
func (r *siteRun) serviceFigures(report caller.ReportDoc, runs map[string]int) (figures []lentilfigure.Figure) {
	brokenElsewhere := report.Streams.Broken
	for _, c := range r.site.Copies() {
		if c.Domain() == r.domain {
			brokenElsewhere -= report.Streams.BrokenByCopy[c.Name()]
		}
	}
	totals := lentillab.NewTotals(runs, report)
	return []lentilfigure.Figure{
		lentilfigure.New("domain.elsewhere.brokenFlows", float64(brokenElsewhere), "flows").AtMost(0),
		lentilfigure.New("domain.finishedInTime", totals.Share(totals.Answered-totals.Late), "share of requests").AtLeast(minFinishedShare),
		lentilfigure.New("domain.refused", totals.Share(totals.Refused), "share of requests"),
		lentilfigure.New("domain.unknown", float64(totals.Unknown), "requests"),
		lentilfigure.New("domain.givenUp", float64(totals.Abandoned), "requests in the failure domain"),
		lentilfigure.New("domain.failed", float64(totals.Failed-totals.Abandoned), "requests elsewhere").AtMost(0),
		lentilfigure.New("domain.wrong", float64(totals.Wrong), "answers").AtMost(0),
		lentilfigure.New("domain.doubled", float64(len(totals.RanTwice)), "requests").AtMost(0),
		lentilfigure.New("domain.falseRefusals", float64(len(totals.FalseRefusals)), "requests").AtMost(0),
	}
}

// takeOutOfService takes the failure domain out of service. It returns the times from the
// start of the command until the change was in force everywhere, and until the last packet
// reached the domain. The command starts before the change is accepted.
func (r *siteRun) takeOutOfService(ctx context.Context) (inForce, lastPacket time.Duration, err error) {
	limitedCtx, cancel := context.WithTimeout(ctx, outDuration+stepTimeout)
	defer cancel()
	start := time.Now()
	type change struct {
		inForce time.Duration
		err     error
	}
	changed := make(chan change, 1)
	go func() {
		took, err := r.site.ChangeConfiguration(limitedCtx, "drain", "domain", r.domain)
		changed <- change{took, err}
	}()
	packets, err := r.site.DomainPackets(limitedCtx, r.domain)
	for err == nil && time.Since(start) < outDuration {
		var current uint64
		if current, err = r.site.DomainPackets(limitedCtx, r.domain); current > packets {
			packets, lastPacket = current, time.Since(start)
		}
		if err == nil {
			err = lentillab.Sleep(limitedCtx, pollPeriod)
		}
	}
	result := <-changed
	if err == nil {
		err = result.err
	}
	return result.inForce, lastPacket, err
}

// bringBackIntoService brings the failure domain back into service. It returns the times from
// the start of the command until the change was in force, and until packets reached the
// domain again.
func (r *siteRun) bringBackIntoService(ctx context.Context) (inForce, usedAgain time.Duration, err error) {
	limitedCtx, cancel := context.WithTimeout(ctx, restoredDuration+stepTimeout)
	defer cancel()
	before, err := r.site.DomainPackets(limitedCtx, r.domain)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	if inForce, err = r.site.ChangeConfiguration(limitedCtx, "restore", "domain", r.domain); err != nil {
		return 0, 0, err
	}
	err = lentillab.Poll(limitedCtx, func() (used bool, err error) {
		current, err := r.site.DomainPackets(limitedCtx, r.domain)
		return current > before, err
	})
	if err != nil {
		return 0, 0, err
	}
	usedAgain = time.Since(start)
	return inForce, usedAgain, lentillab.Sleep(limitedCtx, restoredDuration-usedAgain)
}
