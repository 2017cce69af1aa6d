package lentilflow

import "time"

//go:generate stringer -type=Purpose,Refusal,Phase -output=enum_string.go

// Purpose is the reason why a balancer sends a packet to an agent.
type Purpose uint8

// Purposes of a packet.
const (
	// Place asks the agent to accept a new flow.
	Place Purpose = iota
	// Owned means that the packet belongs to a flow which, to the balancer's knowledge, the agent owns.
	Owned
	// Lookup means that the balancer doesn't know which agent owns the flow of the packet.
	Lookup
)

// Refusal is the reason why an agent doesn't accept a new flow.
type Refusal uint8

// Reasons for a refusal.
const (
	// NotRefused means that the flow isn't refused.
	NotRefused Refusal = iota
	// OtherService means that the agent serves another service than the balancer expects.
	OtherService
	// DomainOut means that operators have taken the agent's failure domain out of service.
	DomainOut
	// NoUpstream means that the agent has no running upstream.
	NoUpstream
	// UpstreamDraining means that the upstream keeps its flows but takes no new ones.
	UpstreamDraining
	// UpstreamCold means that the upstream has just started and has reached its limit of new flows for now.
	UpstreamCold
	// UpstreamFull means that the upstream returned the packet, that the agent tracks as many flows as it can, or
	// that the client would give up before the upstream has room.
	UpstreamFull
	// Stopping means that the agent is shutting down.
	Stopping
	// UpstreamBusy means that all slots of the upstream are occupied, and that the balancer hasn't allowed
	// the flow to wait.
	UpstreamBusy
	// UpstreamFailing means that the upstream has ended many of its last requests without an answer.
	UpstreamFailing
	// UpstreamOverloaded means that the upstream has been overloaded for so long that flows which would miss
	// their latency objective are refused.
	UpstreamOverloaded
)

// Phase is the lifecycle phase of an agent's upstream.
type Phase uint8

// Phases of an upstream.
const (
	// Unheard upstreams haven't registered since their agent started.
	Unheard Phase = iota
	// Ready upstreams accept new flows.
	Ready
	// Draining upstreams keep their flows and accept no new ones.
	Draining
	// Gone upstreams accept no new flows: they have ended or deregistered, or their registration is overdue.
	// Status.UpstreamEnded tells whether an upstream, and all its flows with it, is known to have ended.
	Gone
)

// Carry forwards a client's packet from a balancer to an agent.
type Carry struct {
	Purpose Purpose
	// Service is the service that the balancer expects at the agent. It is empty unless Purpose is Place.
	Service string
	// Version is the version of the configuration that the balancer used to choose the agent.
	Version uint64
	// ColdRate is the number of new flows per second that a cold copy can accept according to that
	// configuration.
	ColdRate float32
	// Terms are what the route of a new flow asks for. They are set if Purpose is Place.
	Terms Terms
	// Age is how long ago the client first asked for a new flow.
	Age time.Duration
	// MayWait allows the agent to hold a new flow until its upstream has room.
	MayWait bool
	// MayQueue allows the agent to let a new flow open while all slots are occupied, if few requests would wait before
	// it: slots usually become free while the flow opens.
	MayQueue bool
	// LastResort asks the agent to accept the flow although its upstream fails, since all other agents have
	// refused it.
	LastResort bool
	Packet     []byte
}

// Relay passes a client's packet from a balancer without a configuration to one that has a configuration.
type Relay struct {
	Packet []byte
}

// Taken informs a balancer that the agent owns a flow.
type Taken struct {
	Key Key
	// Open is false while the agent has only forwarded the first packet to its upstream.
	Open bool
	Load Load
}

// Refused returns the first packet of a flow to the balancer that sent it.
type Refused struct {
	Reason Refusal
	Load   Load
	Packet []byte
}

// MaxKeys is the maximum number of flows in one Ask or Denied: as many as fit into a datagram
// of 1,200 bytes.
const MaxKeys = 96

// Denied informs a balancer that the agent doesn't own some flows.
type Denied struct {
	Keys []Key
	// Unsure is set if the agent needs a packet of each flow to decide whether it owns the flow, as after
	// a restart.
	Unsure bool
}

// Ask asks an agent which of some flows it owns, without sending packets of these flows.
type Ask struct {
	Keys []Key
}

// Load is the load of an agent's upstream, as observed by the agent.
type Load struct {
	// Flows is the number of open and half-open flows without those that have been idle for some seconds.
	Flows uint32
	// InFlight is the number of requests in progress.
	InFlight uint16
	// Slots is the number of requests that the upstream processes concurrently.
	Slots uint16
	// Utilization is the smoothed use of the slots, in hundredths of all slots. It exceeds 100 while requests wait.
	Utilization uint16
	// ServiceTime is the mean time of a request that finds a free slot, in tenths of a millisecond. Zero means that the
	// agent doesn't report it, nor Utilization and Waiting, or that it hasn't measured any request yet.
	ServiceTime uint16
	// Waiting is the number of requests and new flows that wait for a slot.
	Waiting uint16
}

// ReportsWait reports whether the load has Utilization, ServiceTime and Waiting.
func (l Load) ReportsWait() bool { return l.ServiceTime > 0 }

// WithoutWait returns the load without Utilization, ServiceTime and Waiting.
func (l Load) WithoutWait() Load {
	l.Utilization, l.ServiceTime, l.Waiting = 0, 0, 0
	return l
}

// StoreState summarizes what a process has read from the store. Processes exchange it, so each read of
// the store by one process serves all of them.
type StoreState struct {
	// Era is the era of the store in which the revisions were given out, and EraAge how long it is known to have
	// lasted. It is zero in messages of and to processes that don't know of eras.
	Era    uint64
	EraAge time.Duration
	// ConfigurationRevision and DomainsRevision are the revisions of the latest changes to the configuration and
	// to the set of failure domains that are out of service; zero means that no change of the era is known.
	ConfigurationRevision, DomainsRevision uint64
	// CheckedAgo is the time since a process last read the store to check for changes.
	CheckedAgo time.Duration
}

// Status reports an agent's state to balancers.
type Status struct {
	Name    string
	Service string
	Domain  string
	// RunID is different for each start of the agent.
	RunID uint64
	// Sequence increases with each status of the same run.
	Sequence uint64
	Phase    Phase
	// Cold is set while the upstream accepts fewer new flows than usual.
	Cold bool
	// Out is set while operators have taken the failure domain out of service.
	Out bool
	// Stopping is set once the agent has been asked to shut down.
	Stopping bool
	// UpstreamEnded is set while the upstream is known to have ended, and all its flows with it.
	UpstreamEnded bool
	// UnderstandsTerms is set by agents that accept Carry.Terms and Hello.DomainState, and UnderstandsEra by those
	// that accept the era in a Hello.
	UnderstandsTerms, UnderstandsEra bool
	Load                             Load
	// ConfiguredBalancer is a balancer that has a configuration, drawn for each status. It is zero if the agent knows
	// none, and in statuses to balancers that don't relay.
	ConfiguredBalancer Endpoint
	// Interval is the time until the next status if nothing changes.
	Interval time.Duration
	// BalancerCount is the number of balancers that the agent has heard of. It is zero if the agent has just started and doesn't know it.
	BalancerCount uint16
	Store         StoreState
}

// Hello introduces a balancer to an agent and subscribes it to the agent's status.
type Hello struct {
	Name   string
	Domain string
	RunID  uint64
	// Stopping is set when the balancer shuts down and no longer needs the status.
	Stopping bool
	// UnderstandsEra is set by balancers that accept the era in a Status, and Relays by those that accept a
	// ConfiguredBalancer in it and relayed packets.
	UnderstandsEra, Relays bool
	// UnderstandsWait is set by balancers that accept Load.Utilization, ServiceTime and Waiting.
	UnderstandsWait bool
	// Configured is set by balancers that have a configuration.
	Configured bool
	Store      StoreState
	// DomainState is the state of the agent's failure domain. It is zero for agents that read it themselves.
	DomainState DomainState
}

// StopRequest asks an agent whether a balancer that was asked to stop may leave the routers' rotation now.
type StopRequest struct {
	Name   string
	Domain string
	RunID  uint64
}

// StopAnswer answers a StopRequest.
type StopAnswer struct {
	// RunID is that of the request.
	RunID   uint64
	Granted bool
}

// DomainState tells an agent whether its failure domain is out of service.
type DomainState struct {
	// AsOf is the revision of the store, in the era of Hello.Store, at which the state was read; zero means that the
	// state isn't known.
	AsOf uint64
	Out  bool
}

// Node is a balancer or agent and the address at which other processes reach it.
type Node struct {
	Name    string
	Domain  string
	Address Endpoint
}

// DefaultIdleTimeout is the idle timeout of flows if none is configured. It is longer than the usual
// idle limit of upstreams.
const DefaultIdleTimeout = time.Minute
