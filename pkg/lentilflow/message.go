package lentilflow

import "time"

//go:generate stringer -type=Purpose,Refusal,Phase -output=enum_string.go

// Purpose says why a balancer sends a packet to an agent.
type Purpose uint8

// The purposes.
const (
	// Place asks the agent to take a new flow.
	Place Purpose = iota
	// Owned packets belong to a flow that lives at the agent, as the balancer believes.
	Owned
	// Lookup packets belong to a flow whose agent the balancer doesn't know.
	Lookup
)

// Refusal says why an agent doesn't take a new flow.
type Refusal uint8

// The refusals.
const (
	// NotRefused is the refusal of nothing.
	NotRefused Refusal = iota
	// OtherService means that the agent serves another service than the balancer believes.
	OtherService
	// DomainOut means that operators have taken the agent's failure domain out.
	DomainOut
	// NoUpstream means that the agent has no living upstream.
	NoUpstream
	// UpstreamDraining means that the upstream is about to leave.
	UpstreamDraining
	// UpstreamCold means that the upstream has just started and bears no more for now.
	UpstreamCold
	// UpstreamFull means that the upstream gave the packet back.
	UpstreamFull
	// Stopping means that the agent is about to end.
	Stopping
)

// Phase says what an agent's upstream is ready for.
type Phase uint8

// The phases.
const (
	// Unheard upstreams have told nothing yet since their agent started.
	Unheard Phase = iota
	// Ready upstreams take new flows.
	Ready
	// Draining upstreams keep their flows and take no new ones.
	Draining
	// Gone upstreams have ended, and their flows with them.
	Gone
)

// Carry is a client's packet on its way from a balancer to an agent.
type Carry struct {
	Purpose Purpose
	// Service is the service that the balancer means to reach; empty unless Purpose is Place.
	Service string
	// Version is the version of the configuration by which the balancer chose.
	Version uint64
	// ColdRate is how many flows a second a cold copy bears by that configuration.
	ColdRate float32
	Packet   []byte
}

// Taken tells a balancer that a flow lives at the agent.
type Taken struct {
	Key Key
	// Open is false while the agent has only passed on the first packet.
	Open bool
	Load Load
}

// Refused gives a first packet back to its balancer.
type Refused struct {
	Reason Refusal
	Load   Load
	Packet []byte
}

// MaxKeys is how many flows one Ask or Denied names at most: as many as fit into a datagram
// of 1,200 bytes.
const MaxKeys = 96

// Denied tells a balancer that some flows don't live at the agent.
type Denied struct {
	Keys []Key
	// Unsure is set if the agent can't know without a packet of each flow, as after its restart.
	Unsure bool
}

// Ask asks an agent which of some flows live there, without a packet of them.
type Ask struct {
	Keys []Key
}

// Load is what an agent knows of the work of its upstream.
type Load struct {
	// Flows is the number of open flows.
	Flows uint32
	// InFlight is the number of requests in work.
	InFlight uint16
	// Slots is the number of requests that the upstream works on at once.
	Slots uint16
}

// StoreState is what a process knows of the store, told to others so that one look serves all.
type StoreState struct {
	// ConfigurationRevision and DomainsRevision are the revisions of the latest changes of the configuration and of
	// the failure domains that are out.
	ConfigurationRevision, DomainsRevision uint64
	// CheckedAgo is how long ago a process has looked for changes.
	CheckedAgo time.Duration
}

// Status is what an agent tells balancers about itself.
type Status struct {
	Name    string
	Service string
	Domain  string
	// RunID differs between starts of the agent.
	RunID uint64
	// Sequence increases with each status of a run.
	Sequence uint64
	Phase    Phase
	// Cold is set while the upstream bears less than usual.
	Cold bool
	// Out is set while operators have taken the failure domain out.
	Out bool
	// Stopping is set once the agent was asked to end.
	Stopping bool
	// UpstreamEnded is set while the upstream has surely ended, and every flow with it.
	UpstreamEnded bool
	Load          Load
	// Interval is how long the next status may take without a change.
	Interval time.Duration
	// BalancerCount is how many balancers the agent knows.
	BalancerCount uint16
	Store         StoreState
}

// Hello asks an agent for its status, now and from then on.
type Hello struct {
	Name   string
	Domain string
	RunID  uint64
	// Stopping is set once the balancer is about to end and needs no status any more.
	Stopping bool
	Store    StoreState
}

// Node is a process of the system that others can reach.
type Node struct {
	Name    string
	Domain  string
	Address Endpoint
}

// DefaultIdleTimeout is how long a flow may be used at most, where nothing else is configured: longer
// than the usual idle limit of upstreams.
const DefaultIdleTimeout = time.Minute
