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

// Workload is what the callers of a service do.
type Workload struct {
	Connections int
	Streams     int
	// RepeatableRate and Once are requests a second.
	RepeatableRate float64
	OnceRate       float64
	// AnswerBytes is the length of the answers that may be repeated.
	AnswerBytes int
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// ReconnectInterval is after how long a caller opens a new connection; zero is never.
	ReconnectInterval time.Duration
	// StreamDuration is after how long a caller ends a stream itself; zero is never.
	StreamDuration time.Duration
	Seed           uint64
}

// CallerGroup is the callers of a service, one process.
type CallerGroup struct {
	service Service
	process *Process
}

// StartCallers starts callers of a service.
func (r *RunningSite) StartCallers(name string, service Service, duration time.Duration, demand Workload) (crowd *CallerGroup, err error) {
	process, err := r.lab.StartLentilstand(name, "caller",
		"--target", "https://"+r.ServiceAddress(service).String(), "--ca", r.lab.Path(certificateFile),
		"--name", name, "--duration", duration.String(),
		"--connections", strconv.Itoa(demand.Connections), "--streams", strconv.Itoa(demand.Streams),
		"--repeatable", fmt.Sprint(demand.RepeatableRate), "--once", fmt.Sprint(demand.OnceRate),
		"--bytes", strconv.Itoa(demand.AnswerBytes), "--timeout", demand.Timeout.String(),
		"--reconnect", demand.ReconnectInterval.String(), "--stream-length", demand.StreamDuration.String(),
		"--seed", strconv.FormatUint(demand.Seed, 10))
	return &CallerGroup{service: service, process: process}, err
}

// Service returns the service that is called.
func (c *CallerGroup) Service() Service { return c.service }

// Process returns the callers' process.
func (c *CallerGroup) Process() *Process { return c.process }

// Report waits for the end of the callers and returns what they saw.
func (c *CallerGroup) Report(ctx context.Context) (report caller.ReportDoc, err error) {
	out, err := c.process.Output(ctx)
	if err != nil {
		return caller.ReportDoc{}, err
	}
	return report, json.Unmarshal(out, &report)
}

// RunCounts returns how often each request that may not be repeated ran, over all
// copies whose process still runs.
func (r *RunningSite) RunCounts(ctx context.Context) (runs map[string]int, err error) {
	runs = make(map[string]int)
	for _, c := range r.copies {
		if c.upstream == nil || c.upstream.Exited() {
			continue
		}
		var journal map[string]int
		if err = r.GetJSON(ctx, c.UpstreamURL()+"/journal", &journal); err != nil {
			return nil, err
		}
		for id, n := range journal {
			runs[id] += n
		}
	}
	return runs, nil
}

// CopyState returns what a copy does.
func (r *RunningSite) CopyState(ctx context.Context, c *Copy) (state upstream.StateDoc, err error) {
	return state, r.GetJSON(ctx, c.UpstreamURL()+"/state", &state)
}

// DomainPackets returns how many packets of callers have reached the agents of a
// failure domain, taken in or not.
func (r *RunningSite) DomainPackets(ctx context.Context, domain string) (packets uint64, err error) {
	for _, c := range r.copies {
		if c.domain != domain || c.agent == nil {
			continue
		}
		text, err := r.GetText(ctx, c.AdminURL()+"/metrics")
		if err != nil {
			return 0, err
		}
		packets += SumMetric(text, "lentilstair_packets_forwarded") + SumMetric(text, "lentilstair_packets_dropped")
	}
	return packets, nil
}
