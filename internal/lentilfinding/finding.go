// Package lentilfinding checks a configuration file before it is sent. It decodes the file
// with the types of the product and runs the product's validation, whose errors become
// findings with a place in the file. Further findings are warnings about a configuration that
// processes accept, but that is probably not meant. The package only reads.
package lentilfinding

import (
	"fmt"
	"slices"
	"strings"
)

// maxFindings is the maximum number of errors and of warnings that a report lists. A file of the
// largest size can have some million unknown fields.
const maxFindings = 1000

// Finding is one error or warning.
type Finding struct {
	Kind Kind
	// Field is the path of the field, such as "services[2].address". It is empty for the file as a whole.
	Field  string
	Reason string
	// Example is a valid value, or empty.
	Example string
}

// Place is a position in a file. Both numbers start at 1; the zero Place is unknown.
type Place struct {
	Line int `json:"line"`
	// Column counts bytes.
	Column int `json:"column"`
}

// FindingDoc is the JSON form of a finding.
type FindingDoc struct {
	Code     string `json:"code"`
	Severity string `json:"severity"`
	Title    string `json:"title"`
	Place    *Place `json:"place,omitempty"`
	Field    string `json:"field,omitempty"`
	Reason   string `json:"reason"`
	Example  string `json:"example,omitempty"`
}

// String returns the finding as one line.
func (d FindingDoc) String() string {
	var line strings.Builder
	if d.Place != nil {
		fmt.Fprintf(&line, "%d:%d: ", d.Place.Line, d.Place.Column)
	}
	fmt.Fprintf(&line, "%s %s: ", d.Severity, d.Code)
	if d.Field != "" {
		line.WriteString(d.Field + ": ")
	}
	fmt.Fprintf(&line, "%s: %s", d.Title, d.Reason)
	if d.Example != "" {
		fmt.Fprintf(&line, "; for example %s", d.Example)
	}
	return line.String()
}

// collector collects findings. It counts those above maxFindings of a severity without keeping them.
type collector struct {
	findings []Finding
	errors   int
	warnings int
}

// count returns the number of findings of the same severity as the kind.
func (c *collector) count(kind Kind) *int {
	if kindDocs[kind].isError {
		return &c.errors
	}
	return &c.warnings
}

// full reports whether a further finding of the kind isn't kept.
func (c *collector) full(kind Kind) bool { return *c.count(kind) >= maxFindings }

func (c *collector) add(finding Finding) {
	if !c.full(finding.Kind) {
		c.findings = append(c.findings, finding)
	}
	*c.count(finding.Kind)++
}

func (c *collector) addf(kind Kind, field, format string, args ...any) {
	if c.full(kind) {
		*c.count(kind)++
		return
	}
	c.add(Finding{Kind: kind, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// Report is the result of checking a file.
type Report struct {
	collector
	source      *Source
	against     string
	differences []DifferenceDoc
}

// NewReport returns the report on a source with the findings of its scan.
func NewReport(source *Source) *Report {
	return &Report{source: source, collector: source.collector}
}

// SetDifferences sets what differs from the configuration that against names.
func (r *Report) SetDifferences(against string, differences []DifferenceDoc) {
	r.against, r.differences = against, differences
}

// Results of a check.
const (
	resultValid      = "valid"
	resultWarnings   = "valid with warnings"
	resultInvalid    = "invalid"
	resultUnreadable = "unreadable"
)

func (r *Report) result() string {
	switch {
	case r.unreadable():
		return resultUnreadable
	case r.errors > 0:
		return resultInvalid
	case r.warnings > 0:
		return resultWarnings
	default:
		return resultValid
	}
}

func (r *Report) unreadable() bool {
	return slices.ContainsFunc(r.findings, func(f Finding) bool { return f.Kind == UnreadableFile })
}

// ReportDoc is the JSON form of a report.
type ReportDoc struct {
	File     string       `json:"file"`
	Result   string       `json:"result"`
	Errors   int          `json:"errors"`
	Warnings int          `json:"warnings"`
	Findings []FindingDoc `json:"findings"`
	// Omitted is the number of findings that are not listed.
	Omitted int `json:"omitted,omitempty"`
	// Against names the configuration that the file was compared with.
	Against     string          `json:"against,omitempty"`
	Differences []DifferenceDoc `json:"differences,omitempty"`
}

// Doc returns the JSON form.
func (r *Report) Doc() (doc ReportDoc) {
	doc = ReportDoc{
		File: r.source.name, Result: r.result(), Errors: r.errors, Warnings: r.warnings,
		Findings: []FindingDoc{}, Omitted: r.errors + r.warnings - len(r.findings), Against: r.against, Differences: r.differences,
	}
	for _, f := range r.findings {
		finding := FindingDoc{Code: f.Kind.Code(), Severity: f.Kind.Severity(), Title: kindDocs[f.Kind].title, Field: f.Field, Reason: f.Reason, Example: f.Example}
		if place, known := r.source.place(f.Field); known {
			finding.Place = &place
		}
		doc.Findings = append(doc.Findings, finding)
	}
	return doc
}
