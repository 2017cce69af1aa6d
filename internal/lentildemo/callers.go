package lentildemo

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// crowd is the callers of one service.
type crowd struct {
	service lentillab.Service
	process *lentillab.Process
	report  caller.ReportDoc
}

// demand is what the callers of a service do.
type demand struct {
	connections, streams int
	repeatable, once     float64
	bytes                int
}

// demands are parents with seat-watches and enrolments, and readers of brochures.
var demands = []demand{
	{connections: 40, streams: 40, repeatable: 10, once: 8},
	{connections: 16, streams: 4, repeatable: 8, bytes: 64 << 10},
}

func (d *demo) startCallers() (err error) {
	for i, service := range d.site.Site().Services {
		want := demands[i]
		c := &crowd{service: service}
		c.process, err = d.site.Call("parents-"+service.Name, service, d.times.end,
			"--connections", strconv.Itoa(want.connections), "--streams", strconv.Itoa(want.streams),
			"--repeatable", fmt.Sprint(want.repeatable), "--once", fmt.Sprint(want.once),
			"--bytes", strconv.Itoa(want.bytes), "--timeout", "2s", "--reconnect", "2s",
			"--seed", strconv.FormatUint(d.options.Seed+uint64(i), 10))
		if err != nil {
			return err
		}
		d.callers = append(d.callers, c)
	}
	return nil
}

// collect waits for the callers' reports.
func (d *demo) collect(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for _, c := range d.callers {
		out, err := c.process.Output(ctx)
		if err != nil {
			return err
		}
		if err = json.Unmarshal(out, &c.report); err != nil {
			return err
		}
	}
	return nil
}
