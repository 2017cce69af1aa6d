// Package lentilmetric defines the metrics of the programs, the registry that
// collects them with tally, and the admin endpoint with /ready, /live and /metrics.
//
// One table lists all metrics. The page docs/metrics.md is generated from it. Metrics
// that are not in the table can't be recorded, so the page is complete.
package lentilmetric

import (
	"strings"

	"lentilstair.example/lentilstair/internal/lentilcode"
)

//go:generate stringer -type=Kind
//go:generate stringer -type=Metric

// Kind is the type of a metric.
type Kind uint8

// The kinds of metrics.
const (
	Counter Kind = iota
	Gauge
	Histogram
)

// Metric identifies a metric of the table.
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
	LinkWaited
	LinkDropped
	LinkQueuedBytes
	LinkUtilization
	LinkFullSeconds
	QueueCallers
	QueueOutOfOrder
	LookupsByKey
	HedgesSent
	HedgesWon
	HedgesCancelled
	HedgesOverBudget
	HedgeShare
	StoreCalls
	RefusedOtherService
	RegistrationRefused
	FlowsRemembered
	AgentsReplaced
	LogLinesDropped
	RegistrationIgnored
)

type metricDoc struct {
	name   string
	kind   Kind
	unit   string
	labels []string
	text   string
}

var catalogue = [...]metricDoc{
	PacketsForwarded:     {"packets_forwarded", Counter, "packets", nil, "Packets of callers that a balancer sent to an agent, or that an agent received. For packet flows, all packets that a balancer received from clients, or that an agent received from balancers or its upstream."},
	PacketsDropped:       {"packets_dropped", Counter, "packets", []string{"reason"}, "Packets from or to callers that were dropped, for example because they were malformed, too large, for another service, for a failure domain that is out of service, or without a destination, or because they could not be sent. The label gives the reason."},
	PacketsReturned:      {"packets_returned", Counter, "packets", nil, "Packets sent back to callers."},
	PacketsHandedOn:      {"packets_handed_on", Counter, "packets", nil, "Packets that an agent passed to a peer agent, because the peer holds the flow or is better suited to hold it."},
	TunnelRefused:        {"tunnel_refused", Counter, "packets", []string{"reason"}, "Tunnel packets that were malformed, not signed by a key of the key ring, or for another service or incarnation."},
	RequestsAnswered:     {"requests_answered", Counter, "requests", nil, "Requests and streams of callers that ended with an answer of a copy or with a ticket."},
	RequestsRefused:      {"requests_refused", Counter, "requests", nil, "Requests of callers that were certainly not run. The callers were informed."},
	OutcomesUnknown:      {"outcomes_unknown", Counter, "requests", nil, "Requests of callers that may or may not have run. The callers were informed."},
	RequestsInFlight:     {"requests_in_flight", Gauge, "requests", nil, "Requests that the copy is processing, without streams."},
	RequestsQueued:       {"requests_queued", Gauge, "requests", nil, "Requests that are waiting for a slot."},
	StreamsOpen:          {"streams_open", Gauge, "streams", nil, "Streams that are open at the copy."},
	CopyBears:            {"copy_bears", Gauge, "hundredths of a slot", nil, "Current capacity of the copy, as estimated by its agent."},
	CopyPhase:            {"copy_phase", Gauge, "phase", nil, "Phase of the copy: 1 warming, 2 ready, 3 draining; 0 before the agent serves."},
	ConfigurationVersion: {"configuration_version", Gauge, "version", nil, "The version of the configuration in force."},
	RecordsKnown:         {"records_known", Gauge, "records", nil, "Known announcements of copies that have not expired."},
	ControlBytes:         {"control_bytes", Counter, "bytes", nil, "Bytes of control traffic with other processes of the system, in both directions, including TLS."},
	ControlRefused:       {"control_refused", Counter, "calls", nil, "Control calls that a balancer answered with an HTTP status of 400 or above: calls refused because of their size, form or rate, and calls that the balancer failed to handle."},
	PlatformCalls:        {"platform_calls", Counter, "calls", []string{"call"}, "Calls to the platform's object API: read, write or watch. An open watch counts as one call."},
	PlatformFailures:     {"platform_failures", Counter, "calls", nil, "Calls to the platform that failed or timed out."},
	PlacingTime:          {"placing_seconds", Histogram, "seconds", nil, "Time from the first packet of a flow that a balancer sends to an agent until the agent reports that it accepted the flow."},
	AnswerTime:           {"answer_seconds", Histogram, "seconds", nil, "Time from the arrival of a request's data at an agent until the first data of the upstream's answer."},
	FlowsReset:           {"flows_reset", Counter, "flows", nil, "Packet flows whose clients were sent a reset."},
	QueueCallers:         {"queue_callers", Gauge, "callers", nil, "Client IP addresses with new flows that wait at an agent of packet flows. Zero unless its queue is fair between callers."},
	QueueOutOfOrder:      {"queue_out_of_order", Counter, "flows", nil, "New flows that opened before an older one of the same urgency, because the queue is fair between callers."},
	HedgesSent:           {"hedges_sent", Counter, "attempts", nil, "Extra attempts at slow requests."},
	HedgesWon:            {"hedges_won", Counter, "attempts", nil, "Extra attempts whose answer the caller got."},
	HedgesCancelled:      {"hedges_cancelled", Counter, "attempts", nil, "Extra attempts that were cancelled in time, since the first attempt succeeded before them."},
	HedgesOverBudget:     {"hedges_over_budget", Counter, "attempts", nil, "Extra attempts that were not made, since they would have exceeded the percentage in the settings."},
	HedgeShare:           {"hedge_share", Gauge, "per attempt", nil, "Extra attempts and retries per first attempt in the last second."},
	FlowsRefused:         {"flows_refused", Counter, "flows", nil, "First packets of flows that an agent returned to a balancer."},
	LinkWaited:           {"link_waited", Counter, "datagrams", []string{"class"}, "Datagrams that a balancer sent after they had waited for its link. The class is control, opening (first packets), short or bulk. Recorded only if `link` is set."},
	LinkDropped:          {"link_dropped", Counter, "datagrams", []string{"class", "reason"}, "Datagrams that a balancer dropped because its link was full. The reason is overflow (the queue was full), late (the datagram had waited 400 ms) or duplicate (the same packet was still queued, so nothing is lost)."},
	LinkQueuedBytes:      {"link_queued_bytes", Gauge, "bytes", nil, "Bytes that wait for the balancer's link, with IP and UDP headers."},
	LinkUtilization:      {"link_utilization", Gauge, "share", nil, "Share of the rate of the balancer's link that was used in the last second."},
	LinkFullSeconds:      {"link_full_seconds", Gauge, "seconds", nil, "For how long the balancer's link has been full, or 0 while it is free. It is full while more than 50 ms of datagrams wait, and until that has not been so for 2 s. See docs/operating/scarce-capacity.md."},
	StoreCalls:           {"store_calls", Counter, "calls", []string{"object", "action"}, "Calls of a process of packet flows to the store, also those that failed: configuration and domains are read or watched; balancers, agents, ledgers and ledgerGroups are read or written."},
	RefusedOtherService:  {"flows_refused_other_service", Counter, "flows", nil, "First packets of flows that an agent returned because the balancer had offered them for another service than the agent's."},
	RegistrationRefused:  {"registrations_rejected", Counter, "registrations", []string{"reason"}, "Registrations that an agent of packet flows rejected: for another service or address than the agent's (service), of another run of its upstream than the registered one (notInForce), or malformed (malformed). One for another service means that another upstream runs at the agent's addresses."},
	FlowsRemembered:      {"flows_remembered", Counter, "packets", nil, "First packets of flows that a balancer sent to the agent that it remembers for an earlier first packet with the same ends: retransmissions, and new flows of clients that use a port again."},
	AgentsReplaced:       {"agents_replaced", Counter, "agents", nil, "Agents, as known to a balancer, whose address another agent, or one of another service, has taken."},
	RegistrationIgnored:  {"registrations_ignored", Counter, "registrations", nil, "Registrations of an agent's own upstream that had no effect, since upstreams of other services have registered with the agent while its own wasn't known. The upstream gets no new flows meanwhile."},
	LogLinesDropped:      {"log_lines_dropped", Counter, "lines", nil, "Lines of the log that were dropped since nobody read it, or since it could not be written."},
	LookupsByKey:         {"lookups_by_key", Counter, "flows", nil, "Lookups of packet flows for which a balancer buffered the packets and asked agents by the flow's key, because its link had no room for copies of the packets."},
}

// namePrefix is the prefix of all metric names in a scrape.
const namePrefix = "lentilstair"

// FullName returns the name of the metric in a scrape.
func (m Metric) FullName() string { return namePrefix + "_" + catalogue[m].name }

// Codes returns the documentation of each metric, in the order of the table.
func Codes() []lentilcode.Doc {
	docs := make([]lentilcode.Doc, 0, len(catalogue))
	for i, d := range catalogue {
		properties := []lentilcode.Property{{Name: "Kind", Value: strings.ToLower(d.kind.String())}, {Name: "Unit", Value: d.unit}}
		if len(d.labels) > 0 {
			properties = append(properties, lentilcode.Property{Name: "Labels", Value: strings.Join(d.labels, ", ")})
		}
		docs = append(docs, lentilcode.Doc{Code: Metric(i).FullName(), Title: strings.ReplaceAll(d.name, "_", " "), Text: d.text, Properties: properties})
	}
	return docs
}
