// Package lentildemo runs the demo. It starts the site lentillab.Consorzio as separate
// processes, and callers that load its services. Under this load it replaces copies one
// after another, stops a balancer, takes a failure domain out of service and returns it
// to service. The report lists which of the product's promises were kept.
package lentildemo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentillab"
)

// Options configure the demo.
type Options struct {
	// Binaries is the directory that holds the programs lentilstair and lentilstand.
	Binaries string
	// Short selects a schedule with the same kinds of changes in less time.
	Short bool
	Seed  uint64
	// Progress receives readable lines about the progress. It may be nil.
	Progress io.Writer
}

// schedule holds when each change happens, as the time since the start of the callers.
type schedule struct {
	replaceAt    time.Duration
	replaceCount int
	stopAt       time.Duration
	outAt        time.Duration
	backAt       time.Duration
	endAt        time.Duration
}

var (
	fullSchedule = schedule{
		replaceAt: 2 * time.Second, replaceCount: 2, stopAt: 7 * time.Second, outAt: 10 * time.Second,
		backAt: 15 * time.Second, endAt: 20 * time.Second,
	}
	shortSchedule = schedule{
		replaceAt: 500 * time.Millisecond, replaceCount: 1, stopAt: time.Second, outAt: 1500 * time.Millisecond,
		backAt: 6 * time.Second, endAt: 8500 * time.Millisecond,
	}
)

const (
	// startTimeout bounds the start of the site.
	startTimeout = 30 * time.Second
	// changeTimeout bounds each change.
	changeTimeout = 15 * time.Second
	// reportTimeout bounds how long callers may take to report after endAt.
	reportTimeout = 15 * time.Second
)

// Run runs the demo and returns its report. An error means that the demo itself could
// not run. A broken promise is not an error: it stands in the report.
func Run(ctx context.Context, options Options) (report ReportDoc, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "run demo")
		}
	}()
	lab, err := lentillab.New(options.Binaries)
	if err != nil {
		return ReportDoc{}, err
	}
	defer lab.Close()
	d := &demo{options: options, lab: lab, schedule: fullSchedule}
	if options.Short {
		d.schedule = shortSchedule
	}
	if err = d.start(ctx); err != nil {
		return ReportDoc{}, err
	}
	if err = d.runSchedule(ctx); err != nil {
		return ReportDoc{}, errorx.Decorate(err, "logs: %s", d.failureLogs())
	}
	return d.buildReport(ctx)
}

// demo is the state of one run.
type demo struct {
	options   Options
	lab       *lentillab.Lab
	site      *lentillab.RunningSite
	schedule  schedule
	startedAt time.Time
	callers   []*callerGroup
	report    ReportDoc

	mu        sync.Mutex
	withdrawn []*withdrawnCopy
	// latePackets is how many packets reached the failure domain that was out of service
	// after lateCountStart. Until the domain returns to service it holds the agents'
	// total at lateCountStart.
	latePackets    uint64
	lateCountStart time.Time
}

// withdrawnCopy is a withdrawn copy and its requests at the end of withdrawalGrace.
type withdrawnCopy struct {
	copy *lentillab.Copy
	// completed counts the requests that were completed or in flight.
	completed uint64
	// stateRead is set if completed could be read.
	stateRead bool
}

func (d *demo) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	startBegan := time.Now()
	if d.site, err = d.lab.StartSite(ctx, lentillab.Consorzio()); err != nil {
		return errorx.Decorate(err, "logs: %s", d.failureLogs())
	}
	d.printProgress("%d processes ready after %s", len(d.lab.Processes()), time.Since(startBegan).Round(time.Millisecond))
	d.startedAt = time.Now()
	return d.startCallers()
}

// runSchedule runs the changes of the schedule, each at its time.
func (d *demo) runSchedule(ctx context.Context) (err error) {
	for _, step := range []struct {
		at  time.Duration
		run func(context.Context) error
	}{
		{d.schedule.replaceAt, d.replaceCopies},
		{d.schedule.stopAt, d.stopBalancer},
		{d.schedule.outAt, d.takeDomainOut},
		{d.schedule.backAt, d.bringDomainBack},
		{d.schedule.endAt, func(context.Context) error { return nil }},
	} {
		if err = d.sleepUntil(ctx, step.at); err != nil {
			return err
		}
		stepCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		err = step.run(stepCtx)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) sleepUntil(ctx context.Context, at time.Duration) error {
	return lentillab.Sleep(ctx, time.Until(d.startedAt.Add(at)))
}
