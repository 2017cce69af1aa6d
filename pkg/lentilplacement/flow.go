package lentilplacement

import (
	"container/list"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// flow is the cached state of a flow.
type flow struct {
	state flowState
	// agent is the agent that holds the flow, or to which its first packet was sent last.
	agent lentilflow.Endpoint
	// service is the service for which the agent was chosen or, if the agent has confirmed that it holds the flow, the one that it
	// then served.
	service string
	// firstPacket is the packet that opens the flow, kept until the flow is known to be open.
	firstPacket []byte
	// since is when the client first asked for the flow.
	since time.Time
	// sentAt is when firstPacket was sent to agent.
	sentAt time.Time
	// triedAgents has the agents to which the first packet was sent.
	triedAgents []lentilflow.Endpoint
	// possibleHolders has the agents to which the first packet was sent and that haven't refused or denied the flow.
	possibleHolders []lentilflow.Endpoint
	lastRefusal     lentilflow.Refusal
	// busyAgents has the agents that refused the flow because they had no free slot, and fullRefusals counts
	// those at which it would have waited too long.
	busyAgents   []lentilflow.Endpoint
	fullRefusals int
	// overloaded is set once one of these agents has been overloaded for long.
	overloaded bool
	// failingSeen is set once an agent has refused the flow because its upstream fails, and lastResort once
	// all agents have refused it and such an agent may be asked again.
	failingSeen, lastResort bool
	// deniedBy has the agents that have said since denialsSince that they don't hold the flow.
	deniedBy []lentilflow.Endpoint
	// unsureAgents has the agents that have said since denialsSince that they need a packet of the flow to decide.
	unsureAgents []lentilflow.Endpoint
	denialsSince time.Time
	// lookupStartedAt is when the lookup of the flow began.
	lookupStartedAt time.Time
	// askedAllAt is when all agents were last asked for the flow, or queued to be asked.
	askedAllAt time.Time
	// heldPacket is a packet of the client, kept during the lookup for the agent that holds the flow, and heldSentTo has the agents that
	// were sent this or a later one.
	heldPacket []byte
	heldSentTo sendings
	// acknowledged and sequence are the client's numbers in its last packet; they are valid if numbersSeen is set.
	acknowledged, sequence uint32
	numbersSeen            bool
	// confirmed is set once the agent has said that it holds the flow while the client's numbers were known. Before, that may have been
	// about an earlier flow from the client's port.
	confirmed bool
	// portReusedAt is when the balancer last learned that the client uses its port for another flow.
	portReusedAt time.Time
	// holderLost is why the agent that held the flow doesn't any more: HolderDenied or HolderGone, or NoCause.
	holderLost Cause
	// buffered has the flow's packets in Placer.buffer, in order.
	buffered []*list.Element
	// askedPreferredAt is when the agents that most likely hold the flow were last asked for it, and probedAt when an agent was
	// last sent a buffered packet of it to decide.
	askedPreferredAt, probedAt time.Time
	// firstOfferTo and firstOfferAt are the agent to which the flow was offered first, and when; the time is zero once
	// it has answered.
	firstOfferTo lentilflow.Endpoint
	firstOfferAt time.Time
	// offered is set once the flow has been offered to an agent, and hedge if there was an extra offer.
	offered bool
	hedge   *hedgeOffer
}

// flowState is what the balancer assumes about a flow.
type flowState uint8

const (
	// stateLookup flows are open for their clients, but the agent that holds them isn't known.
	stateLookup flowState = iota
	// statePlacing flows have been offered to an agent that hasn't answered yet.
	statePlacing
	// statePlaced flows have been taken by an agent, but not confirmed by their client yet.
	statePlaced
	// stateKnown flows are open, and their agent has confirmed that it holds them.
	stateKnown
)
