package lentilevent

import (
	"maps"
	"slices"
)

// catalogue describes every event. Logger.Write takes level and title from here.
var catalogue = map[Event]eventDoc{
	Started: {Info, "process started", "The settings are whole and the sockets are open. The process is not ready yet.",
		[]string{"role", "name", "admin"}},
	Ready:    {Info, "ready", "The process takes new work; its ready endpoint says so.", nil},
	NotReady: {Warn, "not ready", "The process takes no new work; its ready endpoint says why.", []string{"reason"}},
	StopAsked: {Info, "graceful stop begun", "A signal asked for a stop. The process is not ready any more, goes on with " +
		"what it has, and ends when that is done or the grace time is over.", []string{"signal", "graceMillis"}},
	StopForced: {Warn, "stop at once", "A second signal, or the end of the grace time, ends the process at once; " +
		"what was open is cut.", []string{"reason"}},
	Stopped:           {Info, "process stopped", "The process ended with nothing left open.", nil},
	StopFailed:        {Error, "process ended by an error", "The process can't go on; the error says why.", []string{"error"}},
	CertificateLoaded: {Info, "certificate loaded", "The files of the TLS certificate and key have changed; the new pair is used for new connections.", []string{"file"}},
	CertificateRefused: {Error, "certificate refused", "The TLS certificate or key can't be used; the one loaded before stays " +
		"in use. See docs/operating/keys-and-certificates.md.", []string{"file", "error"}},
	AdminFailed:     {Error, "admin endpoint failed", "The endpoint for ready, live and metrics can't serve.", []string{"address", "error"}},
	SettingsChecked: {Info, "settings checked", "The settings file was read again after a signal and has no faults. It holds from the next start on.", nil},
	SettingsRefused: {Error, "settings refused", "The settings file was read again after a signal and has faults. The process goes on with those of its start.", []string{"error"}},

	PacketRefused: {Warn, "packet refused", "A packet from the fabric is malformed and was dropped. Logged at a bounded rate; " +
		"the metric counts all.", []string{"reason", "packets", "suppressed"}},
	TunnelRefused: {Warn, "tunnel packet refused", "A packet on the tunnel address is malformed or not signed by a key of the " +
		"ring, and was dropped. A few after a key was removed are harmless; many mean a process with other keys, or " +
		"an attacker.", []string{"reason", "packets", "suppressed"}},
	PlaceRefused: {Warn, "connection ID refused", "A connection ID claims a place, but is not signed by a key of the ring. The " +
		"packet counts as one without a place.", []string{"reason", "packets", "suppressed"}},
	ServiceMismatch: {Warn, "packet of another service dropped", "A packet reached an agent whose service or incarnation is not the " +
		"one that the packet names. It was dropped; it reaches no copy.", []string{"reason", "packets", "suppressed"}},
	SocketFailed: {Error, "socket failed", "A socket can't be opened, read or written.", []string{"address", "error"}},

	ConfigurationInForce: {Info, "configuration in force", "The process works by this version of the configuration from now on.",
		[]string{"version", "noteId", "source"}},
	ConfigurationRefused: {Error, "configuration refused", "A configuration that was offered is faulty or older than the one in " +
		"force, and changes nothing.", []string{"version", "error"}},
	PlatformDown: {Warn, "platform not reachable", "The platform's object API does not answer. What is in force stays in force and " +
		"keeps spreading; changes can't be accepted. See docs/operating/platform-outage.md.", []string{"error"}},
	PlatformBack: {Info, "platform reachable again", "The platform's object API answers again.", []string{"downMillis"}},
	DomainOut:    {Warn, "failure domain taken out", "Operators took the failure domain out: no packet is sent to it any more.", []string{"domain", "version"}},
	DomainBack:   {Info, "failure domain back", "Operators brought the failure domain back; its copies count as cold.", []string{"domain", "version"}},
	ControlFailed: {Warn, "control failed", "Something in the exchange with other processes failed; it is tried again. The error says what.",
		[]string{"error", "suppressed"}},
	CopyUnlisted: {Warn, "copy not in the configuration", "The agent waits until a release note adds its copy to its service in its failure domain, as its settings name them.",
		[]string{"copy", "service", "domain", "version"}},

	CopyWarming: {Info, "copy warming", "The copy gets as much as it bears, and more as it proves to bear more.", []string{"bears"}},
	CopyReady:   {Info, "copy warm", "The copy bears all its slots.", []string{"bears"}},
	CopyCold: {Warn, "copy cold again", "The copy takes far longer than before, fails or sheds, or its failure domain came back: it counts as cold " +
		"and is warmed anew.", []string{"bears"}},
	CopyDraining:   {Info, "copy draining", "The copy gets no new work; its flows go on.", []string{"bears"}},
	OutcomeUnknown: {Warn, "outcome unknown", "Requests that may run only once may or may not have run, and their callers were told so. A copy, an agent or a failure domain went away while it worked on them.", []string{"requests", "suppressed"}},

	FlowPlaced: {Info, "flow placed", "A balancer sent the first packet of a flow to an agent. The cause ChosenAgain means that another agent refused it " +
		"or did not answer. The load is what the balancer knew of the agent, that many milliseconds old.",
		[]string{"flow", "cause", "agent", "version", "agentFlows", "agentBusy", "ageMillis", "refusal"}},
	FlowSought: {Info, "flow sought", "A balancer got a packet of a flow that it does not know, and asked the agents that would have got it, or, for the cause SoughtWidely, all others.", []string{"flow", "cause", "agents", "heard"}},
	FlowTaken:  {Info, "flow taken", "An agent passed the first packet of a flow to its upstream.", []string{"flow", "balancer", "flows", "busy"}},
	FlowOpen:   {Info, "flow open", "An agent told a balancer that the flow is open at its upstream.", []string{"flow", "balancer", "flows", "busy"}},
	FlowRefused: {Info, "flow refused", "An agent gave the first packet of a flow back; the balancer sends it to another agent, or resets the flow if none is left.",
		[]string{"flow", "balancer", "refusal", "flows"}},
	FlowDenied: {Info, "flow denied", "An agent told a balancer that the flow is not at its upstream, or that only a packet of it can tell (unsure).", []string{"flow", "balancer", "unsure"}},
	FlowReset: {Info, "flow reset", "The client was told that the flow has ended. The cause says why; a flow that was not open yet has not run anything.",
		[]string{"flow", "cause", "refusal"}},
	FlowDropped:   {Info, "packet dropped", "A packet had nowhere to go, and its client was told nothing, since that may change at any moment.", []string{"flow", "cause"}},
	AgentNoted:    {Info, "agent changed", "A balancer believes something new of an agent.", []string{"cause", "agent", "phase", "agentFlows", "ageMillis"}},
	UpstreamNoted: {Info, "upstream changed", "An agent believes something new of its upstream, or of itself.", []string{"cause", "phase", "id", "number", "flows"}},
	PeersRead:     {Info, "list of processes read", "The process has read which others there are, and greets them.", []string{"peers"}},
	PeerForgotten: {Info, "process forgotten", "An agent has been silent for long while its failure domain is heard; its entry is removed from the store.", []string{"peer"}},
	StoreLost: {Warn, "store not reachable", "A call to the store failed. What is known stays in force; the call is tried again.",
		[]string{"what", "error"}},
	StoreRegained: {Info, "store reachable again", "The store answers again.", []string{"what", "downMillis"}},
	RegistrationRefused: {Warn, "registration refused", "An upstream's registration is malformed or of another service, and changes nothing.",
		[]string{"id", "error"}},
}

// sortedEvents returns the events by number.
func sortedEvents() []Event { return slices.Sorted(maps.Keys(catalogue)) }
