// Package lentildomainmeasure measures with real processes what happens when a
// failure domain is taken out and brought back under load: how long packets still
// reach it, and how the service elsewhere fares meanwhile.
package lentildomainmeasure

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "domain",
	Description: "a failure domain out and back under load, real processes: seconds until its last packet, service elsewhere",
	Run:         run,
}

const (
	// warmupDuration is how long the copies get to become warm.
	warmupDuration = 25 * time.Second
	// outDuration is how long the failure domain stays out.
	outDuration = 8 * time.Second
	// restoredDuration is how long it is watched after it came back.
	restoredDuration = 8 * time.Second
	// stepTimeout bounds each step.
	stepTimeout = 30 * time.Second
	// pollPeriod is how often the packets into the failure domain are counted. The
	// agents show counts up to half a second late, so that the figure is an upper bound.
	pollPeriod = 50 * time.Millisecond

	// maxLastPacketSeconds is until when packets may reach the failure domain, in seconds.
	maxLastPacketSeconds = 3
	// minFinishedShare is the least share of requests finished in time.
	minFinishedShare = 0.99
	// maxInForceSeconds is until when a change is in force everywhere, in seconds.
	maxInForceSeconds = 2

	// loadShare is how much of the slots of all warm copies the callers ask for.
	loadShare = 0.4
	// streams is how many streams are kept open.
	streams = 40
)

// siteRun is one run on one site.
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
	started, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	t := siteRun{domain: plan.Domains[len(plan.Domains)-1], setup: setup}
	if t.site, err = lab.StartSite(started, plan); err != nil {
		return nil, err
	}
	if err = t.warmUp(ctx); err != nil {
		return nil, err
	}
	return t.measure(ctx)
}

// newWorkload asks for a share of what the warm copies of a service do.
func newWorkload(service lentillab.Service, share float64, seed uint64) lentillab.Workload {
	capacity := float64(service.Copies*service.Slots) / service.WorkDuration.Seconds()
	const onceShare = 0.4
	return lentillab.Workload{
		Connections: streams, RepeatableRate: capacity * share * (1 - onceShare), OnceRate: capacity * share * onceShare,
		Timeout: 2 * time.Second, ReconnectInterval: 2 * time.Second, Seed: seed,
	}
}

// warmUp calls until the copies are warmUp. Nothing of it is counted.
func (t *siteRun) warmUp(ctx context.Context) (err error) {
	service := t.site.Site().Services[0]
	warmth := warmupDuration
	if t.setup.Short {
		warmth /= 5
	}
	t.setup.Progressf("domain: warming %s for %s", service.Name, warmth)
	crowd, err := t.site.StartCallers("warm", service, warmth, newWorkload(service, loadShare, t.setup.Seed))
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, warmth+stepTimeout)
	defer cancel()
	_, err = crowd.Report(limited)
	return err
}

func (t *siteRun) measure(ctx context.Context) (figures []lentilfigure.Figure, err error) {
	service := t.site.Site().Services[0]
	wanted := newWorkload(service, loadShare, t.setup.Seed+1)
	wanted.Streams = streams
	const lead = 2 * time.Second
	t.callers, err = t.site.StartCallers("measured", service, lead+outDuration+restoredDuration+stepTimeout, wanted)
	if err != nil {
		return nil, err
	}
	if err = lentillab.Sleep(ctx, lead); err != nil {
		return nil, err
	}
	outForce, last, err := t.takeOutOfService(ctx)
	if err != nil {
		return nil, err
	}
	backForce, use, err := t.bringBackIntoService(ctx)
	if err != nil {
		return nil, err
	}
	t.callers.Process().Stop()
	limited, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	report, err := t.callers.Report(limited)
	if err != nil {
		return nil, err
	}
	for _, fault := range report.Faults {
		t.setup.Progressf("domain: %s", fault)
	}
	runs, err := t.site.RunCounts(limited)
	if err != nil {
		return nil, err
	}
	return append([]lentilfigure.Figure{
		lentilfigure.New("domain.lastPacket", last.Seconds(), "s after the command began").AtMost(maxLastPacketSeconds),
		lentilfigure.New("domain.inForce.out", outForce.Seconds(), "s").AtMost(maxInForceSeconds),
		lentilfigure.New("domain.inForce.back", backForce.Seconds(), "s").AtMost(maxInForceSeconds),
		lentilfigure.New("domain.usedAgain", use.Seconds(), "s after the command began"),
	}, t.serviceFigures(report, runs)...), nil
}

// serviceFigures returns the figures about the service elsewhere.
func (t *siteRun) serviceFigures(report caller.ReportDoc, runs map[string]int) (figures []lentilfigure.Figure) {
	elsewhere := report.Streams.Broken
	for _, c := range t.site.Copies() {
		if c.Domain() == t.domain {
			elsewhere -= report.Streams.BrokenByCopy[c.Name()]
		}
	}
	totals := lentillab.NewTotals(runs, report)
	return []lentilfigure.Figure{
		lentilfigure.New("domain.elsewhere.brokenFlows", float64(elsewhere), "flows").AtMost(0),
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

// takeOutOfService takes the failure domain out and returns how long after the start of the
// command, which is before the acceptance, the change was in force everywhere and
// the last packet reached the domain.
func (t *siteRun) takeOutOfService(ctx context.Context) (inForce, last time.Duration, err error) {
	limited, cancel := context.WithTimeout(ctx, outDuration+stepTimeout)
	defer cancel()
	began := time.Now()
	type change struct {
		inForce time.Duration
		err     error
	}
	changed := make(chan change, 1)
	go func() {
		took, err := t.site.ChangeConfiguration(limited, "drain", "domain", t.domain)
		changed <- change{took, err}
	}()
	packets, err := t.site.DomainPackets(limited, t.domain)
	for err == nil && time.Since(began) < outDuration {
		var now uint64
		if now, err = t.site.DomainPackets(limited, t.domain); now > packets {
			packets, last = now, time.Since(began)
		}
		if err == nil {
			err = lentillab.Sleep(limited, pollPeriod)
		}
	}
	result := <-changed
	if err == nil {
		err = result.err
	}
	return result.inForce, last, err
}

// bringBackIntoService brings the failure domain back and returns how long after the start of
// the command the change was in force, and packets reached the domain again.
func (t *siteRun) bringBackIntoService(ctx context.Context) (inForce, use time.Duration, err error) {
	limited, cancel := context.WithTimeout(ctx, restoredDuration+stepTimeout)
	defer cancel()
	before, err := t.site.DomainPackets(limited, t.domain)
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if inForce, err = t.site.ChangeConfiguration(limited, "restore", "domain", t.domain); err != nil {
		return 0, 0, err
	}
	err = lentillab.Poll(limited, func() (used bool, err error) {
		now, err := t.site.DomainPackets(limited, t.domain)
		return now > before, err
	})
	if err != nil {
		return 0, 0, err
	}
	use = time.Since(began)
	return inForce, use, lentillab.Sleep(limited, restoredDuration-use)
}
