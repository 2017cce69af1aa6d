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

// Workload describes the load that the callers of a service generate.
type Workload struct {
	// Connections is the number of callers, each with its own connection. Streams is the
	// number of streams that all of them together keep open.
	Connections int
	Streams     int
	// RepeatableRate and OnceRate are in requests per second.
	RepeatableRate float64
	OnceRate       float64
	// AnswerBytes is the length of the filler in answers to repeatable requests.
	AnswerBytes int
	// Timeout is the time in which a caller expects an answer. A later answer counts as
	// late.
	Timeout time.Duration
	// ReconnectInterval is the time after which a caller opens a new connection for its
	// requests; zero means never.
	ReconnectInterval time.Duration
	// StreamDuration is the time after which a caller ends a stream; zero means never.
	StreamDuration time.Duration
	Seed           uint64
}

// CallerGroup is a process that simulates a group of callers of one service.
type CallerGroup struct {
	service Service
	process *Process
}

// StartCallers starts a group of callers that load a service for the given duration.
func (r *RunningSite) StartCallers(name string, service Service, duration time.Duration, workload Workload) (group *CallerGroup, err error) {
	process, err := r.lab.StartLentilstand(name, "caller",
		"--target", "https://"+r.ServiceAddress(service).String(), "--ca", r.lab.Path(certificateFile),
		"--name", name, "--duration", duration.String(),
		"--connections", strconv.Itoa(workload.Connections), "--streams", strconv.Itoa(workload.Streams),
		"--repeatable", fmt.Sprint(workload.RepeatableRate), "--once", fmt.Sprint(workload.OnceRate),
		"--bytes", strconv.Itoa(workload.AnswerBytes), "--timeout", workload.Timeout.String(),
		"--reconnect", workload.ReconnectInterval.String(), "--stream-length", workload.StreamDuration.String(),
		"--seed", strconv.FormatUint(workload.Seed, 10))
	return &CallerGroup{service: service, process: process}, err
}

// Service returns the service that the callers load.
func (c *CallerGroup) Service() Service { return c.service }

// Process returns the callers' process.
func (c *CallerGroup) Process() *Process { return c.process }

// Report waits until the callers' process exits and returns its report.
func (c *CallerGroup) Report(ctx context.Context) (report caller.ReportDoc, err error) {
	out, err := c.process.Output(ctx)
	if err != nil {
		return caller.ReportDoc{}, err
	}
	return report, json.Unmarshal(out, &report)
}

// RunCounts returns how often each non-repeatable request ran, by request ID. It sums
// over all copies whose process still runs.
func (r *RunningSite) RunCounts(ctx context.Context) (runs map[string]int, err error) {
	runs = make(map[string]int)
	for _, c := range r.copies {
		if c.upstream == nil || c.upstream.Exited() {
			continue
		}
		var copyRuns map[string]int
		if err = r.GetJSON(ctx, c.UpstreamURL()+"/journal", &copyRuns); err != nil {
			return nil, err
		}
		for id, n := range copyRuns {
			runs[id] += n
		}
	}
	return runs, nil
}

// CopyState returns the current state of a copy.
func (r *RunningSite) CopyState(ctx context.Context, c *Copy) (state upstream.StateDoc, err error) {
	return state, r.GetJSON(ctx, c.UpstreamURL()+"/state", &state)
}

// DomainPackets returns how many packets from callers have reached the agents of a
// failure domain, whether they were forwarded or dropped.
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
