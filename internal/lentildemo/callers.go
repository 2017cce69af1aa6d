package lentildemo

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// callerGroup is the callers of one service and what they saw.
type callerGroup struct {
	*lentillab.CallerGroup
	report caller.ReportDoc
}

// workloads are parents with seat-watches and enrolments, and readers of brochures.
var workloads = []lentillab.Workload{
	{Connections: 40, Streams: 40, RepeatableRate: 10, OnceRate: 8, Timeout: 2 * time.Second, ReconnectInterval: 2 * time.Second},
	{Connections: 16, Streams: 4, RepeatableRate: 8, AnswerBytes: 64 << 10, Timeout: 2 * time.Second, ReconnectInterval: 2 * time.Second},
}

func (d *demo) startCallers() (err error) {
	for i, service := range d.site.Site().Services {
		demand := workloads[i]
		demand.Seed = d.options.Seed + uint64(i)
		started, err := d.site.StartCallers("parents-"+service.Name, service, d.schedule.endAt, demand)
		if err != nil {
			return err
		}
		d.callers = append(d.callers, &callerGroup{CallerGroup: started})
	}
	return nil
}

// collectReports waits for the callers' reports.
func (d *demo) collectReports(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, c := range d.callers {
		if c.report, err = c.Report(ctx); err != nil {
			return err
		}
	}
	return nil
}
