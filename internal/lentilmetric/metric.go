// Package lentilmetric holds the metrics of the programs, the registry that
// collects them by tally, and the admin endpoint with /ready, /live and /metrics.
//
// One table names every metric; it also gives the page docs/metrics.md. What is
// not in the table can't be counted, so the page is complete.
package lentilmetric

import (
	"strings"

	"lentilstair.example/lentilstair/internal/lentilcode"
)

//go:generate stringer -type=Kind
//go:generate stringer -type=Metric

// Kind is how a metric is counted and read.
type Kind uint8

// The kinds of metrics.
const (
	Counter Kind = iota
	Gauge
	Histogram
)

// Metric is an entry of the table.
type Metric uint8

// The metrics.
const (
	PacketsForwarded Metric = iota
	PacketsDropped
	PacketsReturned
	PacketsHandedOn
	TunnelRefused
	RequestsAnswered
	RequestsRefused
	OutcomesUnknown
	RequestsInFlight
	RequestsQueued
	StreamsOpen
	CopyBears
	CopyPhase
	ConfigurationVersion
	RecordsKnown
	ControlBytes
	ControlRefused
	PlatformCalls
	PlatformFailures
	FlowsReset
	FlowsRefused
	PlacingTime
	AnswerTime
)

type metricDoc struct {
	name   string
	kind   Kind
	unit   string
	labels []string
	text   string
}

var catalogue = [...]metricDoc{
	PacketsForwarded:     {"packets_forwarded", Counter, "packets", nil, "Packets of callers that a balancer sent to an agent, or that an agent took in."},
	PacketsDropped:       {"packets_dropped", Counter, "packets", []string{"reason"}, "Packets of callers that were dropped: malformed, of another service, into a failure domain that is out, or with nowhere to go."},
	PacketsReturned:      {"packets_returned", Counter, "packets", nil, "Packets sent back to callers."},
	PacketsHandedOn:      {"packets_handed_on", Counter, "packets", nil, "Packets that an agent passed to a peer agent, because the flow lives or had better live there."},
	TunnelRefused:        {"tunnel_refused", Counter, "packets", []string{"reason"}, "Tunnel packets that were malformed, not signed by a key of the ring, or of another service or incarnation."},
	RequestsAnswered:     {"requests_answered", Counter, "requests", nil, "Requests and streams of callers that ended with an answer of a copy, or with a ticket."},
	RequestsRefused:      {"requests_refused", Counter, "requests", nil, "Requests of callers that were surely not run, and whose callers were told so."},
	OutcomesUnknown:      {"outcomes_unknown", Counter, "requests", nil, "Requests of callers that may or may not have run, and whose callers were told so."},
	RequestsInFlight:     {"requests_in_flight", Gauge, "requests", nil, "Requests that the copy works on now, streams not among them."},
	RequestsQueued:       {"requests_queued", Gauge, "requests", nil, "Requests that wait for a slot now."},
	StreamsOpen:          {"streams_open", Gauge, "streams", nil, "Streams that the copy holds now."},
	CopyBears:            {"copy_bears", Gauge, "hundredths of a slot", nil, "What the copy bears now, as its agent judges."},
	CopyPhase:            {"copy_phase", Gauge, "phase", nil, "Where the copy stands: 1 warming, 2 ready, 3 draining; 0 before the agent serves."},
	ConfigurationVersion: {"configuration_version", Gauge, "version", nil, "The version of the configuration in force."},
	RecordsKnown:         {"records_known", Gauge, "records", nil, "Announcements of copies that are known and not expired."},
	ControlBytes:         {"control_bytes", Counter, "bytes", nil, "Bytes of control traffic with other processes of the system, both directions, TLS included."},
	ControlRefused:       {"control_refused", Counter, "calls", nil, "Control calls that were refused for their size, form or number."},
	PlatformCalls:        {"platform_calls", Counter, "calls", []string{"call"}, "Calls to the platform's object API: read, write or watch; a waiting watch counts as one."},
	PlatformFailures:     {"platform_failures", Counter, "calls", nil, "Calls to the platform that failed or timed out."},
	PlacingTime:          {"placing_seconds", Histogram, "seconds", nil, "Time between a balancer's first packet to an agent and the agent's word that it took the flow."},
	AnswerTime:           {"answer_seconds", Histogram, "seconds", nil, "Time between a request's data at an agent and the first data of its upstream's answer."},
	FlowsReset:           {"flows_reset", Counter, "flows", nil, "Packet flows whose clients were told that they have ended."},
	FlowsRefused:         {"flows_refused", Counter, "flows", nil, "First packets of flows that an agent gave back to a balancer."},
}

// namePrefix begins the name of every metric in a scrape.
const namePrefix = "lentilstair"

// FullName returns the name of the metric in a scrape.
func (m Metric) FullName() string { return namePrefix + "_" + catalogue[m].name }

// Codes returns an entry for each metric, in the order of the table.
func Codes() []lentilcode.Doc {
	out := make([]lentilcode.Doc, 0, len(catalogue))
	for i, d := range catalogue {
		facts := []lentilcode.Property{{Name: "Kind", Value: strings.ToLower(d.kind.String())}, {Name: "Unit", Value: d.unit}}
		if len(d.labels) > 0 {
			facts = append(facts, lentilcode.Property{Name: "Labels", Value: strings.Join(d.labels, ", ")})
		}
		out = append(out, lentilcode.Doc{Code: Metric(i).FullName(), Title: strings.ReplaceAll(d.name, "_", " "), Text: d.text, Properties: facts})
	}
	return out
}
