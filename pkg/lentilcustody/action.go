package lentilcustody

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

//go:generate stringer -type=ActionKind,Cause -output=enum_string.go

// ActionKind is what the agent has to do.
type ActionKind uint8

// The verbs.
const (
	// ToUpstream sends Packet to the upstream.
	ToUpstream ActionKind = iota
	// ToClient sends Packet to the client of Key.
	ToClient
	// ResetClient sends the client of Key a reset with Sequence, for the reason Cause.
	ResetClient
	// SendTaken tells the balancer To that the flow lives here.
	SendTaken
	// SendRefused gives Packet back to the balancer To, for the reason Refusal.
	SendRefused
	// SendDenied tells the balancer To that the flows Keys don't live here.
	SendDenied
	// SendStatus tells the balancer To the agent's status.
	SendStatus
	// ReportStateChange tells that the agent believes something new, for the reason Cause.
	ReportStateChange
	// Rediscover publishes the agent again and reads the list of balancers, which may have forgotten each other.
	Rediscover
	// ProbeUpstream tries to connect to the upstream and calls Checked with the outcome.
	ProbeUpstream
)

// Cause says why the agent resets flows or believes something new of its upstream.
type Cause uint8

// The causes.
const (
	// NoCause is the cause of nothing.
	NoCause Cause = iota
	// FlowUnknown means that the upstream gave back a packet of a flow that it had held, or that the
	// flow was reset before and its client has sent again.
	FlowUnknown
	// UpstreamReplaced means that another run of the upstream has registered.
	UpstreamReplaced
	// UpstreamLeft means that the upstream has signed off.
	UpstreamLeft
	// UpstreamRefused means that nothing listens at the upstream's address.
	UpstreamRefused
	// UpstreamSilent means that the upstream answers neither packets nor a connection.
	UpstreamSilent
	// UpstreamOverdue means that the upstream's registration wasn't renewed in time.
	UpstreamOverdue
	// UpstreamRegistered means that the upstream has registered, or is back.
	UpstreamRegistered
	// UpstreamLeaving means that the upstream has announced its end.
	UpstreamLeaving
	// DomainChanged means that operators took the failure domain out or brought it back.
	DomainChanged
	// StopAsked means that the agent was asked to end.
	StopAsked
	// ColdChanged means that the upstream has warmed up, or has become cold.
	ColdChanged
)

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Cause   Cause
	Refusal lentilflow.Refusal
	Open    bool
	// Unsure and Keys go with SendDenied.
	Unsure   bool
	Keys     []lentilflow.Key
	To       lentilflow.Endpoint
	Key      lentilflow.Key
	Sequence uint32
	// ResponseTime goes with the ToClient that begins an answer: how long the upstream worked on it.
	ResponseTime time.Duration
	// Packet shares the memory of the packet that the event brought.
	Packet []byte
}
