package lentilplacement

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

//go:generate stringer -type=ActionKind,Cause -output=enum_string.go

// ActionKind is what the balancer has to do.
type ActionKind uint8

// The kinds of actions.
const (
	// SendCarry sends Carry to the agent To.
	SendCarry ActionKind = iota
	// SendAsk asks the agent To which of the flows Keys it holds.
	SendAsk
	// ResetClient sends a reset with Sequence to the client of Key, for the reason Cause.
	ResetClient
	// SendRelay sends the client's packet Carry.Packet to the balancer To.
	SendRelay
	// Drop discards the packet of Key, for the reason Cause.
	Drop
	// Hold reports that the first packet of Key is held until there is an agent for it, for the reason Cause.
	Hold
	// SendHello asks the agent To for its status.
	SendHello
	// ProbeMachine tries to connect to the machine of the agent To and passes the result to HandleProbeResult.
	ProbeMachine
	// ReportPlaced reports that the agent To has taken the flow Key, Latency after it was asked.
	ReportPlaced
	// ReportLookup reports that the flow Key is being looked up, for the reason Cause.
	ReportLookup
	// ReportAgent reports that the state of the agent To has changed, as Cause says.
	ReportAgent
	// ReportHedge reports that a flow with an extra offer has opened at the agent To. Hedge says more.
	ReportHedge
)

// Cause is the reason for an action.
type Cause uint8

// The causes.
const (
	// NoCause is the zero Cause, of actions that need no reason.
	NoCause Cause = iota
	// Chosen means that the agent had the lowest cost.
	Chosen
	// ChosenAgain means that another agent had refused the flow or hadn't answered.
	ChosenAgain
	// Sought means that the holder of the flow isn't known, and every agent that may hold it gets the packet.
	Sought
	// SoughtWidely means that the flow wasn't found at its preferred agents, and all agents are asked.
	SoughtWidely
	// Found means that the packet goes to the agent that has taken the flow or confirmed that it holds it.
	Found
	// NoRoute means that the configuration in force doesn't contain the address.
	NoRoute
	// NoConfiguration means that no configuration has been received yet.
	NoConfiguration
	// NoAgent means that no agent of the service can take the flow.
	NoAgent
	// AllRefused means that every agent that could take the flow has refused it.
	AllRefused
	// AllDenied means that every agent that could hold the flow has denied it.
	AllDenied
	// HolderGone means that the agent that held the flow has ended together with its upstream.
	HolderGone
	// ClientGone means that the client has stopped waiting for its flow to open.
	ClientGone
	// HolderDenied means that the agent that held the flow has denied it.
	HolderDenied
	// AskedAlready means that some agents haven't yet answered whether they hold the flow.
	AskedAlready
	// TooManyAsked means that too many flows are queued to ask agents for them.
	TooManyAsked
	// AgentHeard means that an agent has sent its first status, or its first one after it was unresponsive.
	AgentHeard
	// AgentSilent means that an agent has become unresponsive.
	AgentSilent
	// MachineAnswered means that the machine of an unresponsive agent answers connection attempts.
	MachineAnswered
	// AgentChanged means that an agent has restarted, or that its phase or a flag of its status has changed.
	AgentChanged
	// SoughtByKey means that the link has no room for copies of the flow's packets, and the agents that may hold it are asked by
	// its key.
	SoughtByKey
	// BufferFull means that the packet was buffered until its flow is found, and was dropped since it waited too long, its flow
	// has ended, or newer packets needed the room.
	BufferFull
	// Hedged means that the first agent took longer than nearly all agents take, and a second one gets the flow too.
	Hedged
	// Remembered means that an earlier first packet with the same ends went to the agent. It is a retransmission, or the client uses
	// its port again.
	Remembered
	// AgentReplaced means that another agent, or one of another service, has the address of a known one.
	AgentReplaced
)

// Action is one thing for the balancer to do.
type Action struct {
	Kind     ActionKind
	Cause    Cause
	To       lentilflow.Endpoint
	Key      lentilflow.Key
	Keys     []lentilflow.Key
	Sequence uint32
	// Refusal is the reason of the agent that refused the flow last.
	Refusal lentilflow.Refusal
	// Load is the last known load of the agent To. It and AgeMillis are set in a ReportAgent.
	Load lentilflow.Load
	// AgeMillis is the time since the agent To was last seen, in milliseconds.
	AgeMillis int64
	Carry     lentilflow.Carry
	Phase     lentilflow.Phase
	// Latency is the time between sending the first packet to the agent and its answer.
	Latency time.Duration
	// Hedge describes the extra offer of a ReportHedge.
	Hedge *HedgeReport
	// PreviousName and PreviousService are those of the agent that had the address before. They are set if Cause is AgentReplaced.
	PreviousName, PreviousService string
}
