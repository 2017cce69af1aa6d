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

// timetable says when what happens, from the start of the callers.
type timetable struct {
	replace  time.Duration
	replaced int
	stop     time.Duration
	out      time.Duration
	back     time.Duration
	end      time.Duration
}

var (
	fullTimes = timetable{
		replace: 2 * time.Second, replaced: 2, stop: 7 * time.Second, out: 10 * time.Second,
		back: 15 * time.Second, end: 20 * time.Second,
	}
	shortTimes = timetable{
		replace: 500 * time.Millisecond, replaced: 1, stop: time.Second, out: 1500 * time.Millisecond,
		back: 6 * time.Second, end: 8500 * time.Millisecond,
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
	d := &demo{options: options, lab: lab, times: fullTimes}
	if options.Short {
		d.times = shortTimes
	}
	if err = d.start(ctx); err != nil {
		return ReportDoc{}, err
	}
	if err = d.change(ctx); err != nil {
		return ReportDoc{}, errorx.Decorate(err, "logs: %s", d.logs())
	}
	return d.finish(ctx)
}

// demo is one run.
type demo struct {
	options Options
	lab     *lentillab.Lab
	site    *lentillab.Running
	times   timetable
	began   time.Time
	callers []*crowd
	report  ReportDoc

	mu      sync.Mutex
	leaving []*leaver
	// late is how many packets reached the domain that was out, after the quiet time.
	late     uint64
	lateFrom time.Time
}

// leaver is a withdrawn copy and the work that it had done some time afterwards.
type leaver struct {
	copy *lentillab.Copy
	done uint64
	seen bool
}

func (d *demo) start(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	if d.site, err = d.lab.Start(ctx, lentillab.Consorzio()); err != nil {
		return errorx.Decorate(err, "logs: %s", d.logs())
	}
	d.note("%d processes serve after %s", len(d.lab.Processes()), time.Since(began).Round(time.Millisecond))
	d.began = time.Now()
	return d.startCallers()
}

// change goes through the timetable.
func (d *demo) change(ctx context.Context) (err error) {
	for _, step := range []struct {
		at time.Duration
		do func(context.Context) error
	}{
		{d.times.replace, d.replaceCopies},
		{d.times.stop, d.stopBalancer},
		{d.times.out, d.takeOut},
		{d.times.back, d.bringBack},
		{d.times.end, func(context.Context) error { return nil }},
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
	return lentillab.Pause(ctx, time.Until(d.began.Add(at)))
}
