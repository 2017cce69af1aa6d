package lentillab

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
)

// Demand is what the callers of a service do.
type Demand struct {
	Connections int
	Streams     int
	// Repeatable and Once are requests a second.
	Repeatable float64
	Once       float64
	// Bytes is the length of the answers that may be repeated.
	Bytes int
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// Reconnect is after how long a caller opens a new connection; zero is never.
	Reconnect time.Duration
	// StreamLength is after how long a caller ends a stream itself; zero is never.
	StreamLength time.Duration
	Seed         uint64
}

// Crowd is the callers of a service, one process.
type Crowd struct {
	service Service
	process *Process
}

// StartCrowd starts callers of a service.
func (r *Running) StartCrowd(name string, service Service, duration time.Duration, demand Demand) (crowd *Crowd, err error) {
	process, err := r.lab.Stand(name, "caller",
		"--target", "https://"+r.Address(service).String(), "--ca", r.lab.Path(certificateFile),
		"--name", name, "--duration", duration.String(),
		"--connections", strconv.Itoa(demand.Connections), "--streams", strconv.Itoa(demand.Streams),
		"--repeatable", fmt.Sprint(demand.Repeatable), "--once", fmt.Sprint(demand.Once),
		"--bytes", strconv.Itoa(demand.Bytes), "--timeout", demand.Timeout.String(),
		"--reconnect", demand.Reconnect.String(), "--stream-length", demand.StreamLength.String(),
		"--seed", strconv.FormatUint(demand.Seed, 10))
	return &Crowd{service: service, process: process}, err
}

// Service returns the service that is called.
func (c *Crowd) Service() Service { return c.service }

// Process returns the callers' process.
func (c *Crowd) Process() *Process { return c.process }

// Report waits for the end of the callers and returns what they saw.
func (c *Crowd) Report(ctx context.Context) (report caller.ReportDoc, err error) {
	out, err := c.process.Output(ctx)
	if err != nil {
		return caller.ReportDoc{}, err
	}
	return report, json.Unmarshal(out, &report)
}

// Runs returns how often each request that may not be repeated ran, over all
// copies whose process still runs.
func (r *Running) Runs(ctx context.Context) (runs map[string]int, err error) {
	runs = make(map[string]int)
	for _, c := range r.copies {
		if c.upstream == nil || c.upstream.Over() {
			continue
		}
		var journal map[string]int
		if err = r.Get(ctx, c.URL()+"/journal", &journal); err != nil {
			return nil, err
		}
		for id, n := range journal {
			runs[id] += n
		}
	}
	return runs, nil
}

// State returns what a copy does.
func (r *Running) State(ctx context.Context, c *Copy) (state upstream.StateDoc, err error) {
	return state, r.Get(ctx, c.URL()+"/state", &state)
}

// PacketsInto returns how many packets of callers have reached the agents of a
// failure domain, taken in or not.
func (r *Running) PacketsInto(ctx context.Context, domain string) (packets uint64, err error) {
	for _, c := range r.copies {
		if c.domain != domain || c.agent == nil {
			continue
		}
		text, err := r.Text(ctx, c.Admin()+"/metrics")
		if err != nil {
			return 0, err
		}
		packets += Sum(text, "lentilstair_packets_forwarded") + Sum(text, "lentilstair_packets_dropped")
	}
	return packets, nil
}
