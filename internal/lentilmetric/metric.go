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
	TunnelRefused
	FlowsOpened
	FlowsOpen
	FlowsHandedOff
	RequestsStarted
	RequestsFinished
	RequestsRefused
	RequestsRelayed
	RequestsInFlight
	RequestsQueued
	RequestMillis
	OutcomesUnknown
	AnswersReplayed
	CopyBears
	CopyPhase
	ConfigurationVersion
	ConfigurationAge
	RecordsKnown
	RecordsRefused
	PeersKnown
	ControlBytes
	PlatformCalls
	PlatformFailures
)

type doc struct {
	name   string
	kind   Kind
	unit   string
	labels []string
	text   string
}

var catalogue = [...]doc{
	PacketsForwarded:     {"packets_forwarded", Counter, "packets", []string{"service"}, "Packets of callers that were sent to an agent or taken in by it."},
	PacketsDropped:       {"packets_dropped", Counter, "packets", []string{"reason"}, "Packets of callers that were dropped: malformed, of another service, or with nowhere to go."},
	PacketsReturned:      {"packets_returned", Counter, "packets", []string{"service"}, "Packets sent back to callers."},
	TunnelRefused:        {"tunnel_refused", Counter, "packets", []string{"reason"}, "Tunnel packets that were malformed or not signed by a key of the ring."},
	FlowsOpened:          {"flows_opened", Counter, "flows", []string{"service"}, "Flows that an agent accepted."},
	FlowsOpen:            {"flows_open", Gauge, "flows", []string{"service"}, "Flows that are open at an agent now."},
	FlowsHandedOff:       {"flows_handed_off", Counter, "flows", []string{"service"}, "First packets that an agent passed to a peer with more room."},
	RequestsStarted:      {"requests_started", Counter, "requests", []string{"kind"}, "Requests that were sent to the copy."},
	RequestsFinished:     {"requests_finished", Counter, "requests", []string{"kind", "result"}, "Requests that the copy answered, failed or gave up."},
	RequestsRefused:      {"requests_refused", Counter, "requests", []string{"kind", "reason"}, "Requests that were surely not run, and whose callers were told so."},
	RequestsRelayed:      {"requests_relayed", Counter, "requests", []string{"kind"}, "Requests that were passed to a peer agent before they had begun."},
	RequestsInFlight:     {"requests_in_flight", Gauge, "requests", nil, "Requests that the copy works on now."},
	RequestsQueued:       {"requests_queued", Gauge, "requests", nil, "Requests that wait for a slot now."},
	RequestMillis:        {"request_millis", Histogram, "milliseconds", []string{"kind"}, "Time from taking a request in to the end of its answer."},
	OutcomesUnknown:      {"outcomes_unknown", Counter, "requests", nil, "Requests of which it can't be known whether they ran, and whose callers were told so."},
	AnswersReplayed:      {"answers_replayed", Counter, "requests", nil, "Second attempts of a request that runs at most once, answered with the stored answer."},
	CopyBears:            {"copy_bears", Gauge, "hundredths of a slot", nil, "What the copy bears now, as its agent judges."},
	CopyPhase:            {"copy_phase", Gauge, "phase", nil, "Where the copy stands: 1 warming, 2 ready, 3 draining, 4 gone."},
	ConfigurationVersion: {"configuration_version", Gauge, "version", nil, "The version of the configuration in force."},
	ConfigurationAge:     {"configuration_age", Gauge, "seconds", nil, "Time since the configuration in force was last confirmed by the platform or a peer."},
	RecordsKnown:         {"records_known", Gauge, "records", nil, "Announcements of copies that are known and not expired."},
	RecordsRefused:       {"records_refused", Counter, "records", []string{"reason"}, "Announcements that were refused."},
	PeersKnown:           {"peers_known", Gauge, "balancers", nil, "Balancers that are known and alive."},
	ControlBytes:         {"control_bytes", Counter, "bytes", []string{"direction"}, "Bytes of control traffic with other processes of the system."},
	PlatformCalls:        {"platform_calls", Counter, "calls", []string{"call"}, "Calls to the platform's object API; a waiting watch counts as one."},
	PlatformFailures:     {"platform_failures", Counter, "calls", []string{"call"}, "Calls to the platform that failed or timed out."},
}

// namePrefix begins the name of every metric in a scrape.
const namePrefix = "lentilstair"

// FullName returns the name of the metric in a scrape.
func (m Metric) FullName() string { return namePrefix + "_" + catalogue[m].name }

// Codes returns an entry for each metric, in the order of the table.
func Codes() []lentilcode.Doc {
	out := make([]lentilcode.Doc, 0, len(catalogue))
	for i, d := range catalogue {
		facts := []lentilcode.Fact{{Name: "Kind", Value: strings.ToLower(d.kind.String())}, {Name: "Unit", Value: d.unit}}
		if len(d.labels) > 0 {
			facts = append(facts, lentilcode.Fact{Name: "Labels", Value: strings.Join(d.labels, ", ")})
		}
		out = append(out, lentilcode.Doc{Code: Metric(i).FullName(), Title: strings.ReplaceAll(d.name, "_", " "), Text: d.text, Facts: facts})
	}
	return out
}
