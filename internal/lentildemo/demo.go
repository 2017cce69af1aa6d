// Package lentildemo is the demo: a whole site (lentillab.Consorzio) as separate
// processes, callers at work, and while they are: copies replaced one after another,
// a balancer stopped, a failure domain taken out and brought back. At the end it says
// which promises held.
package lentildemo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"lentilstair.example/lentilstair/internal/lentillab"
)

// Options say how the demo runs.
type Options struct {
	// Binaries is the directory of the programs.
	Binaries string
	// Short runs through the same changes in less time.
	Short bool
	Seed  uint64
	// Progress takes lines for people.
	Progress io.Writer
}

// schedule says when what happens, from the start of the callers.
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
	// reportTimeout bounds how long callers take for their report after the end.
	reportTimeout = 15 * time.Second
)

// Run runs the demo and returns what was seen. The error says that the demo itself
// could not run; a broken promise is no error.
func Run(ctx context.Context, options Options) (report ReportDoc, err error) {
	defer func() {
		if err != nil {
			err = errorx.Decorate(err, "run the demo")
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

// demo is one run.
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
	// latePackets is how many packets reached the domain that was out, after the quiet time.
	latePackets    uint64
	lateCountStart time.Time
}

// withdrawnCopy is a withdrawn copy and the work that it had done some time afterwards.
type withdrawnCopy struct {
	copy      *lentillab.Copy
	completed uint64
	stateRead bool
}

func (d *demo) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	if d.site, err = d.lab.StartSite(ctx, lentillab.Consorzio()); err != nil {
		return errorx.Decorate(err, "logs: %s", d.failureLogs())
	}
	d.printProgress("%d processes serve after %s", len(d.lab.Processes()), time.Since(began).Round(time.Millisecond))
	d.startedAt = time.Now()
	return d.startCallers()
}

// runSchedule goes through the timetable.
func (d *demo) runSchedule(ctx context.Context) (err error) {
	for _, step := range []struct {
		at time.Duration
		do func(context.Context) error
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
		limited, cancel := context.WithTimeout(ctx, changeTimeout)
		err = step.do(limited)
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
