package lentilconntrack

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
	"lentilstair.example/lentilstair/pkg/lentilflowqueue"
)

//go:generate stringer -type=ActionKind,Cause -output=enum_string.go

// ActionKind is the operation that an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	// ToUpstream sends Packet to the upstream.
	ToUpstream ActionKind = iota
	// ToClient sends Packet to the client of the flow Key.
	ToClient
	// ResetClient sends a reset with the sequence number Sequence to the client of the flow Key. Cause is the reason.
	ResetClient
	// SendTaken notifies the balancer To that this agent holds the flow Key.
	SendTaken
	// SendRefused returns Packet, which would open a flow, to the balancer To. Refusal is the reason.
	SendRefused
	// SendDenied notifies the balancer To that this agent doesn't hold the flows Keys.
	SendDenied
	// SendStatus sends the agent's status to the balancer To.
	SendStatus
	// ReportStateChange reports to the operators that the state of the agent or its upstream changed. Cause is the reason.
	ReportStateChange
	// Rediscover publishes the agent again and rereads the list of balancers: agent and balancers may have
	// expired each other's entries.
	Rediscover
	// ProbeUpstream tries to connect to the upstream and passes the result to HandleProbeResult.
	ProbeUpstream
	// ReportQueueShare reports to the operators which caller held most of the queue, Share, when a flow was refused for want
	// of room.
	ReportQueueShare
)

// Cause is the reason why the agent resets flows or reports a state change.
type Cause uint8

// The causes.
const (
	// NoCause is the zero value, for actions without a cause.
	NoCause Cause = iota
	// FlowUnknown means that the upstream returned a packet of a flow that it held before, or that the
	// client sent another packet on a flow that had been reset.
	FlowUnknown
	// UpstreamReplaced means that another upstream, or another run of the same one, has registered.
	UpstreamReplaced
	// UpstreamLeft means that the upstream has deregistered.
	UpstreamLeft
	// UpstreamRefused means that nothing listens at the upstream's address.
	UpstreamRefused
	// UpstreamSilent means that the upstream answers neither packets nor a connection attempt.
	UpstreamSilent
	// UpstreamOverdue means that the upstream's registration wasn't renewed in time.
	UpstreamOverdue
	// UpstreamRegistered means that the upstream has registered, or that it is ready again.
	UpstreamRegistered
	// UpstreamLeaving means that the upstream has started to drain.
	UpstreamLeaving
	// DomainChanged means that operators took the failure domain out of service or brought it back.
	DomainChanged
	// StopAsked means that the agent was asked to stop.
	StopAsked
	// UpstreamFails means that the upstream ends requests without an answer, and gets no new flows for a while.
	UpstreamFails
	// UpstreamWorks means that an upstream that had failed answers requests again.
	UpstreamWorks
	// DomainKeptOut means that the failure domain stays out of service although the store, which has returned from
	// an older copy, doesn't say so: that may be missing from the copy.
	DomainKeptOut
	// ColdChanged means that the upstream has warmed up, or has become cold.
	ColdChanged
	// RegistrationLate means that a registration may have been sent so long ago that the upstream has ended since. It gets no new
	// flows.
	RegistrationLate
	// AddressContested means that an upstream of another service has registered while the agent's own one wasn't known. The own one
	// gets no new flows until its registrations show that it has the address.
	AddressContested
)

// Action is one operation for the agent to perform. Which fields are set depends on Kind.
type Action struct {
	Kind    ActionKind
	Cause   Cause
	Refusal lentilflow.Refusal
	// Service is the service that the offer of a new flow names, in a SendTaken and a SendRefused that answer one, and the service
	// that has registered, in a ReportStateChange with AddressContested.
	Service string
	// Open is set in a SendTaken if the flow is open, not half-open.
	Open bool
	// Unsure and Keys are set for SendDenied. Unsure means that the agent can't exclude that its upstream
	// holds the flows.
	Unsure   bool
	Keys     []lentilflow.Key
	To       lentilflow.Endpoint
	Key      lentilflow.Key
	Sequence uint32
	Share    lentilflowqueue.Share
	// ResponseTime is the time from a request to the first packet of its answer. It is set in the ToClient
	// with that packet.
	ResponseTime time.Duration
	// Packet shares the memory of the packet that was passed to the Tracker.
	Packet []byte
}
