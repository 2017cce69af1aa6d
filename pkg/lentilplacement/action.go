package lentilplacement

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

//go:generate stringer -type=ActionKind,Cause -output=enum_string.go

// ActionKind is what the balancer has to do.
type ActionKind uint8

// The verbs.
const (
	// SendCarry sends Carry to the agent To.
	SendCarry ActionKind = iota
	// SendAsk asks the agent To which of the flows Keys live there.
	SendAsk
	// ResetClient sends the client of Key a reset with Sequence, for the reason Cause.
	ResetClient
	// Drop does nothing with the packet of Key, for the reason Cause.
	Drop
	// SendHello asks the agent To for its status.
	SendHello
	// ReportPlaced tells that an agent has taken a flow, Waited after it was asked.
	ReportPlaced
	// ReportLookup tells that the flow Key is sought, for the reason Cause.
	ReportLookup
	// ReportAgent tells that the balancer believes something new of the agent To.
	ReportAgent
)

// Cause says why a packet goes where it goes.
type Cause uint8

// The causes.
const (
	// NoCause is the cause of nothing.
	NoCause Cause = iota
	// Chosen means that the agent had the least load.
	Chosen
	// ChosenAgain means that another agent had refused the flow or didn't answer.
	ChosenAgain
	// Sought means that the flow isn't known, and every agent that may hold it is asked.
	Sought
	// SoughtWidely means that no agent that would have got the flow holds it.
	SoughtWidely
	// Found means that an agent has said that the flow lives there.
	Found
	// NoRoute means that the configuration in force has no such address.
	NoRoute
	// NoConfiguration means that no configuration is known yet.
	NoConfiguration
	// NoAgent means that no agent of the service can take the flow.
	NoAgent
	// AllRefused means that every agent that might take the flow has refused it.
	AllRefused
	// AllDenied means that no agent that might hold the flow does.
	AllDenied
	// AskedAlready means that the agents that were asked for the flow haven't all answered yet.
	AskedAlready
	// TooManyAsked means that more flows are sought than agents may be asked for.
	TooManyAsked
	// AgentHeard, AgentSilent and AgentChanged say what is new about an agent.
	AgentHeard
	AgentSilent
	AgentChanged
)

// Action is one thing to do.
type Action struct {
	Kind     ActionKind
	Cause    Cause
	To       lentilflow.Endpoint
	Key      lentilflow.Key
	Keys     []lentilflow.Key
	Sequence uint32
	// Refusal is the last reason for which an agent refused the flow.
	Refusal lentilflow.Refusal
	// Load and Age are what was known of the chosen agent, and for how long.
	Load      lentilflow.Load
	AgeMillis int64
	Carry     lentilflow.Carry
	Phase     lentilflow.Phase
	// Latency is the time between question and answer.
	Latency time.Duration
}
