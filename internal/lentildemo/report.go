package lentildemo

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// ReportDoc is the written form of what the demo saw.
type ReportDoc struct {
	Seconds   float64     `json:"seconds"`
	Processes int         `json:"processes"`
	Changes   []ChangeDoc `json:"changes"`
	// Services holds what the callers of each service saw.
	Services map[string]caller.ReportDoc `json:"services"`
	// Balancers holds the packets that the fabric gave to each balancer.
	Balancers map[string]uint64 `json:"balancers"`
	// Copies holds the requests that each copy answered.
	Copies map[string]uint64 `json:"copies"`
	// BrokenFlows counts the streams that broke outside the failure domain that was taken out.
	BrokenFlows int `json:"brokenFlows"`
	// RefusedShare is the share of all requests that were truly refused, most of
	// them while the copies are still cold.
	RefusedShare float64      `json:"refusedShare"`
	Promises     []PromiseDoc `json:"promises"`
	// ViolatedPromises counts the promises that were not kept.
	ViolatedPromises int  `json:"violatedPromises"`
	OK               bool `json:"ok"`
}

// ChangeDoc is the written form of a change during the demo.
type ChangeDoc struct {
	Name       string  `json:"name"`
	AtSeconds  float64 `json:"atSeconds"`
	TookMillis int64   `json:"tookMillis"`
}

// PromiseDoc is the written form of whether a promise held.
type PromiseDoc struct {
	Promise string `json:"promise"`
	// Measured counts what must not be, or measures what must stay below Allowed.
	Measured float64 `json:"seen"`
	Allowed  float64 `json:"allowed"`
	Kept     bool    `json:"kept"`
	Detail   string  `json:"detail,omitempty"`
}

// addPromise notes whether a addPromise held: what was seen is at most what is allowed.
func (r *ReportDoc) addPromise(text string, seen, allowed float64, detail string) {
	kept := seen <= allowed
	if kept {
		detail = ""
	} else {
		r.ViolatedPromises++
	}
	r.Promises = append(r.Promises, PromiseDoc{Promise: text, Measured: seen, Allowed: allowed, Kept: kept, Detail: detail})
}

// WriteJSON writes the report for programs.
func (r ReportDoc) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report for people.
func (r ReportDoc) WriteText(w io.Writer) (err error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := printer{w: table}
	p.line("service\tstreams\tticks\trequests\tanswered\trefused\tunknown\tfailed\tp50 ms\tp99 ms")
	for name, s := range r.Services {
		for kind, q := range map[string]caller.RequestsDoc{"repeatable": s.Repeatable, "once": s.Once} {
			if q.Sent == 0 {
				continue
			}
			p.line("%s %s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f", name, kind, s.Streams.Opened, s.Streams.Ticks,
				q.Sent, q.Answered, q.NotRun, q.Unknown, q.Failed, q.MillisP50, q.MillisP99)
		}
	}
	p.line("")
	p.line("change\tat s\tin force after ms")
	for _, c := range r.Changes {
		p.line("%s\t%.1f\t%d", c.Name, c.AtSeconds, c.TookMillis)
	}
	p.line("")
	p.line("promise\tseen\tallowed\tkept")
	for _, q := range r.Promises {
		p.line("%s\t%g\t%g\t%t", q.Promise, q.Measured, q.Allowed, q.Kept)
		if q.Detail != "" {
			p.line("  %s", q.Detail)
		}
	}
	p.line("")
	p.line("share of requests refused, truly and with a time to come back: %.3f", r.RefusedShare)
	p.line("%d of %d promises kept, %d processes, %.1f s", len(r.Promises)-r.ViolatedPromises, len(r.Promises), r.Processes, r.Seconds)
	if p.err == nil {
		p.err = table.Flush()
	}
	return p.err
}

// printer writes lines until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", values...)
	}
}
