package lentilfinding

import (
	"fmt"

	"lentilstair.example/lentilstair/internal/lentilcode"
)

//go:generate stringer -type=Kind

// Kind classifies a finding.
type Kind uint16

// The kinds of findings. Their numbers are stable: add new ones at the end.
const (
	UnreadableFile Kind = iota + 1001
	NotJSON
	WrongType
	InvalidField
	UnknownField
	DuplicateField
	DuplicateAddress
	UnusedRoute
	UnknownService
	NoService
	NeverChosen
	UnusedService
	OutOfRange
	ObjectiveAboveTimeout
	ColdRateZero
	ColdRateAboveSlots
	IdleTimeoutBelowTimeout
	IneffectiveRule
	NoWorkingCopy
	VersionNotHigher
	NumberChanged
	NumberReused
)

// kindDoc documents a kind. Findings of a kind that is an error make a configuration invalid.
type kindDoc struct {
	title   string
	text    string
	isError bool
}

var kindDocs = map[Kind]kindDoc{
	UnreadableFile: {title: "file can't be read", isError: true, text: "The file does not exist, is not readable for the operator, or is larger than the check reads. " +
		"The configuration was not checked, or not to its end."},
	NotJSON:      {title: "not JSON", isError: true, text: "The file is not one JSON object. The field is the one in which the text ends or breaks off."},
	WrongType:    {title: "wrong type", isError: true, text: "The value can't be decoded as the type of the field. Processes refuse the configuration."},
	InvalidField: {title: "invalid field", isError: true, text: "The configuration can be decoded, but its validation refuses the field. Processes don't apply such a configuration."},
	UnknownField: {title: "unknown field", text: "The object has no field of this name. Processes ignore it, so a misspelled field has no effect."},
	DuplicateField: {title: "duplicate field", text: "The field occurs more than once in its object. The last one counts, and lists of objects may mix the entries of " +
		"both."},
	DuplicateAddress: {title: "duplicate address", text: "A later route has the same address and replaces this one, which never matches."},
	UnusedRoute:      {title: "route is ignored", text: "The address of the route is not an IPv4 address with a port, so packet flows never match the route. Routes of other kinds of traffic are meant to look so."},
	UnknownService:   {title: "unknown service", text: "The list of services has no service of this name. The route works only if copies register under the name."},
	NoService:        {title: "route without a service", text: "The route names no service, so every new flow to its address is refused."},
	NeverChosen: {title: "service is never chosen", text: "The weights of the route, or its list of services, keep the service from getting new flows. A service with weight 0 gets none while another has a " +
		"higher weight. If all weights are 0, the first service gets all flows while it accepts any."},
	UnusedService: {title: "unused service", text: "Packet flows: no route leads to the service. HTTP/3 path: the service has no copies, so all its requests are refused."},
	OutOfRange:    {title: "out of range", text: "The number is outside the range that processes use. They replace it by the nearest value in the range, or its effect is undefined; the reason says which."},
	ObjectiveAboveTimeout: {title: "latency objective above the timeout", text: "The latency objective of the route is longer than its timeout, so requests end before the objective can be missed. Lower the objective " +
		"or raise the timeout."},
	ColdRateZero: {title: "rate of cold copies is zero", text: "The rate of new flows for cold copies of the service is 0 or below. Balancers take this as unstated and keep no bound, so a cold copy gets as many flows as a " +
		"warm one."},
	ColdRateAboveSlots: {title: "rate of cold copies above what slots allow", text: "At this rate of new flows the slots of a copy suffice only for requests that are shorter than the route's latency objective, so a cold copy may " +
		"get more than a warm one can take within the objective. Checked only if the number of slots is given."},
	IdleTimeoutBelowTimeout: {title: "idle timeout below a route's timeout", text: "A flow that waits for its answer may be forgotten as idle before the timeout of its request. Raise the idle timeout, or lower the timeout of the route."},
	IneffectiveRule:         {title: "rule without effect", text: "The rule has the kind that its paths have without it, because of a rule with a shorter prefix."},
	NoWorkingCopy:           {title: "no copy for new work", text: "All copies of the service are draining or in failure domains that are out of service."},
	VersionNotHigher: {title: "version is not higher", text: "The version is not above that of the configuration compared with, although the content differs. Processes only move to a higher version, so " +
		"they would ignore this one."},
	NumberChanged: {title: "number changed", text: "A service or failure domain has another number than in the configuration compared with. Packets carry the number, so flows that are open lose their place."},
	NumberReused:  {title: "number reused", text: "A new service or failure domain has a number that an earlier one had. Packets of old flows may be taken for flows of the new one. Use a number from nextService or nextDomain on."},
}

// Codes returns the documentation of each kind of finding, ordered by number.
func Codes() []lentilcode.Doc {
	docs := make([]lentilcode.Doc, 0, len(kindDocs))
	for kind := UnreadableFile; kind <= NumberReused; kind++ {
		docs = append(docs, lentilcode.Doc{Code: kind.Code(), Title: kindDocs[kind].title, Text: kindDocs[kind].text,
			Properties: []lentilcode.Property{{Name: "Severity", Value: kind.Severity()}}})
	}
	return docs
}

// Code returns the code under which the kind is documented, such as LC1001.
func (k Kind) Code() string { return fmt.Sprintf("LC%d", uint16(k)) }

// Severity returns "error" if a finding of the kind makes a configuration invalid, and else "warning".
func (k Kind) Severity() string {
	if kindDocs[k].isError {
		return "error"
	}
	return "warning"
}
