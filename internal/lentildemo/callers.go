package lentildemo

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// crowd is the callers of one service and what they saw.
type crowd struct {
	*lentillab.Crowd
	report caller.ReportDoc
}

// demands are parents with seat-watches and enrolments, and readers of brochures.
var demands = []lentillab.Demand{
	{Connections: 40, Streams: 40, Repeatable: 10, Once: 8, Timeout: 2 * time.Second, Reconnect: 2 * time.Second},
	{Connections: 16, Streams: 4, Repeatable: 8, Bytes: 64 << 10, Timeout: 2 * time.Second, Reconnect: 2 * time.Second},
}

func (d *demo) startCallers() (err error) {
	for i, service := range d.site.Site().Services {
		demand := demands[i]
		demand.Seed = d.options.Seed + uint64(i)
		started, err := d.site.StartCrowd("parents-"+service.Name, service, d.times.end, demand)
		if err != nil {
			return err
		}
		d.callers = append(d.callers, &crowd{Crowd: started})
	}
	return nil
}

// collect waits for the callers' reports.
func (d *demo) collect(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, c := range d.callers {
		if c.report, err = c.Report(ctx); err != nil {
			return err
		}
	}
	return nil
}
