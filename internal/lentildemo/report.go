package lentildemo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// ReportDoc is the JSON form of the demo's report.
type ReportDoc struct {
	Seconds   float64     `json:"seconds"`
	Processes int         `json:"processes"`
	Changes   []ChangeDoc `json:"changes"`
	// Services holds the callers' report for each service.
	Services map[string]caller.ReportDoc `json:"services"`
	// Balancers holds how many packets the fabric sent to each balancer.
	Balancers map[string]uint64 `json:"balancers"`
	// Copies holds how many requests each copy completed.
	Copies map[string]uint64 `json:"copies"`
	// BrokenFlows counts the streams that broke outside the failure domain that was
	// taken out of service.
	BrokenFlows int `json:"brokenFlows"`
	// RefusedShare is the share of all requests that were refused as not run. Most of
	// them are refused while the copies are still cold.
	RefusedShare float64      `json:"refusedShare"`
	Promises     []PromiseDoc `json:"promises"`
	// ViolatedPromises counts the promises that were not kept.
	ViolatedPromises int  `json:"violatedPromises"`
	OK               bool `json:"ok"`
}

// ChangeDoc is the JSON form of a change during the demo.
type ChangeDoc struct {
	Name string `json:"name"`
	// AtSeconds is the time from the start of the callers to the start of the change.
	AtSeconds float64 `json:"atSeconds"`
	// TookMillis is the time until a configuration change was in force at every process,
	// or until a stopped balancer had exited.
	TookMillis int64 `json:"tookMillis"`
}

// PromiseDoc is the JSON form of the check of one promise.
type PromiseDoc struct {
	Promise string `json:"promise"`
	// Measured is the number of violations or the measured value. The promise is kept
	// if it is at most Allowed.
	Measured float64 `json:"seen"`
	Allowed  float64 `json:"allowed"`
	Kept     bool    `json:"kept"`
	Detail   string  `json:"detail,omitempty"`
}

// addPromise adds the check of a promise to the report. The promise is kept if the
// measured value is at most the allowed one. The detail is reported only if it isn't.
func (r *ReportDoc) addPromise(text string, measured, allowed float64, detail string) {
	kept := measured <= allowed
	if kept {
		detail = ""
	} else {
		r.ViolatedPromises++
	}
	r.Promises = append(r.Promises, PromiseDoc{Promise: text, Measured: measured, Allowed: allowed, Kept: kept, Detail: detail})
}

// WriteJSON writes the report as indented JSON.
func (r ReportDoc) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as text tables.
func (r ReportDoc) WriteText(w io.Writer) (err error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := printer{w: table}
	p.line("service\tstreams\tticks\trequests\tanswered\trefused\tunknown\tfailed\tp50 ms\tp99 ms")
	for name, report := range r.Services {
		for kind, requests := range map[string]caller.RequestsDoc{"repeatable": report.Repeatable, "once": report.Once} {
			if requests.Sent == 0 {
				continue
			}
			p.line("%s %s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f", name, kind, report.Streams.Opened, report.Streams.Ticks,
				requests.Sent, requests.Answered, requests.NotRun, requests.Unknown, requests.Failed, requests.MillisP50, requests.MillisP99)
		}
	}
	p.line("")
	p.line("change\tat s\tin force after ms")
	for _, c := range r.Changes {
		p.line("%s\t%.1f\t%d", c.Name, c.AtSeconds, c.TookMillis)
	}
	p.line("")
	p.line("promise\tseen\tallowed\tkept")
	for _, promise := range r.Promises {
		p.line("%s\t%g\t%g\t%t", promise.Promise, promise.Measured, promise.Allowed, promise.Kept)
		if promise.Detail != "" {
			p.line("  %s", promise.Detail)
		}
	}
	p.line("")
	p.line("share of requests refused as not run, with a retry delay: %.3f", r.RefusedShare)
	p.line("%d of %d promises kept, %d processes, %.1f s", len(r.Promises)-r.ViolatedPromises, len(r.Promises), r.Processes, r.Seconds)
	if p.err == nil {
		p.err = table.Flush()
	}
	return p.err
}

// printer writes lines until a write fails, and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", values...)
	}
}
