package lentilsetting

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
)

// PacketBalancerDoc is the JSON form of the settings of a balancer of packet flows.
type PacketBalancerDoc struct {
	Name           string       `json:"name"`
	Domain         string       `json:"domain"`
	IngressAddress string       `json:"ingressAddress"`
	PeerAddress    string       `json:"peerAddress"`
	AdminAddress   string       `json:"adminAddress"`
	MetricsAddress string       `json:"metricsAddress,omitempty"`
	StoreAddress   string       `json:"storeAddress"`
	StopGrace      string       `json:"stopGrace,omitempty"`
	KillAfter      string       `json:"killAfter,omitempty"`
	FlowLife       string       `json:"flowLife,omitempty"`
	Link           LinkDoc      `json:"link,omitzero"`
	Placement      PlacementDoc `json:"placement,omitzero"`
	Hedge          HedgeDoc     `json:"hedge,omitzero"`
	Log            LogDoc       `json:"log,omitzero"`
}

// LinkDoc is the JSON form of the link of a balancer.
type LinkDoc struct {
	MegabitsPerSecond json.Number `json:"megabitsPerSecond,omitempty"`
}

// PlacementDoc is the JSON form of how a balancer chooses agents for new flows.
type PlacementDoc struct {
	By string `json:"by,omitempty"`
}

// QueueDoc is the JSON form of how an agent orders waiting flows.
type QueueDoc struct {
	Turns string `json:"turns,omitempty"`
}

// The allowed values of placement.by and of queue.turns.
const (
	placementByLoad         = "load"
	placementByExpectedWait = "expectedWait"
	queueTurnsArrival       = "arrival"
	queueTurnsCaller        = "caller"
)

var placementFields = []field{
	{name: "by", description: "What agents are compared by for a new flow: \"load\", their flows and requests per slot, or \"expectedWait\", the time that a request is expected to take there. See docs/operating/scarce-capacity-placement.md.",
		example: `"expectedWait"`, defaultText: `"load"`, check: checkOneOf(placementByLoad, placementByExpectedWait)},
}

var queueFields = []field{
	{name: "turns", description: "In which order waiting flows of the same urgency open: \"arrival\", or \"caller\", which is fair between the IP addresses of clients. See docs/operating/scarce-capacity-placement.md.",
		example: `"caller"`, defaultText: `"arrival"`, check: checkOneOf(queueTurnsArrival, queueTurnsCaller)},
}

// PacketAgentDoc is the JSON form of the settings of an agent of packet flows.
type PacketAgentDoc struct {
	Name                string  `json:"name"`
	Domain              string  `json:"domain"`
	Service             string  `json:"service"`
	PeerAddress         string  `json:"peerAddress"`
	AdminAddress        string  `json:"adminAddress"`
	MetricsAddress      string  `json:"metricsAddress,omitempty"`
	StoreAddress        string  `json:"storeAddress"`
	UpstreamAddress     string  `json:"upstreamAddress"`
	OutboundAddress     string  `json:"outboundAddress"`
	RegistrationAddress string  `json:"registrationAddress"`
	ClientPort          string  `json:"clientPort"`
	FirstStart          bool    `json:"firstStart,omitempty"`
	RenewInterval       string  `json:"renewInterval,omitempty"`
	AddressReuse        string  `json:"addressReuse,omitempty"`
	StopGrace           string  `json:"stopGrace,omitempty"`
	FlowLife            string  `json:"flowLife,omitempty"`
	Cold                ColdDoc `json:"cold,omitzero"`
	// Ledger is about the list of flows that the agent keeps in the store.
	Ledger PacketLedgerDoc `json:"ledger,omitzero"`
	Queue  QueueDoc        `json:"queue,omitzero"`
	Log    LogDoc          `json:"log,omitzero"`
}

// PacketLedgerDoc is the JSON form of the settings of an agent's flow ledger.
type PacketLedgerDoc struct {
	Unlisted string      `json:"unlisted,omitempty"`
	Groups   json.Number `json:"groups,omitempty"`
}

var packetLedgerFields = []field{
	{name: "unlisted", description: "How long an open flow of a route whose requests may not be repeated may be missing in the ledger. A request on a missing flow is lost if all VMs lose power.",
		example: `"3s"`, defaultText: "as for other flows", check: checkDuration},
	{name: "groups", description: "Into how many groups the agents of a failure domain are divided. A balancer writes the ledgers of a group into one object, of 512 KB at most; agents that it has no room for write their own. " +
		"0 means that each agent writes its own. Give all agents the same number. See docs/operating/ledgers.md.",
		example: `1`, defaultText: `0`, check: checkGroups},
}

// ColdDoc is the JSON form of the limit on new flows per second of a cold upstream: its
// configured rate times Factor, plus Slack.
type ColdDoc struct {
	Factor json.Number `json:"factor,omitempty"`
	Slack  json.Number `json:"slack,omitempty"`
}

var coldFields = []field{
	{name: "factor", description: "Factor for the configured rate of new flows per second that a cold upstream may get.",
		example: `1.5`, defaultText: `1`, check: checkFactor},
	{name: "slack", description: "Number of new flows per second that a cold upstream may get on top of that.", example: `5`, defaultText: `1`, check: checkFactor},
}

var linkFields = []field{
	{name: "megabitsPerSecond", description: "Rate of the link in Mbit/s. 0 means that it isn't limited.", example: `10`, defaultText: `0`, check: checkMegabits},
}

var (
	packetNameField = field{name: "name", description: "Name of the process. It must be unique among the processes of its role.",
		example: `"entry-1"`, required: true, check: checkExternalName}
	packetDomainField = field{name: "domain", description: "Failure domain of the VM.", example: `"palermo"`, required: true, check: checkExternalName}
	peerField         = field{name: "peerAddress", description: "IPv4 address and UDP port for datagrams between balancers and agents. The datagrams are not signed: keep the network between the VMs closed.",
		example: `"10.0.0.1:7720"`, required: true, check: checkIPv4Address}
	metricsField = field{name: "metricsAddress", description: "Address and TCP port of /metrics. It uses plain HTTP, so keep the address inside your network.",
		example: `"10.0.0.1:9464"`, defaultText: "no metrics", check: checkAddress}
	storeField           = field{name: "storeAddress", description: "Address and TCP port of the store.", example: `"10.0.0.9:8169"`, required: true, check: checkReachableAddress}
	flowIdleTimeoutField = field{name: "flowLife", description: "Minimum time for which the state of a flow without packets is kept.",
		example: `"60s"`, defaultText: `"1m"`, check: checkDuration}
)

var packetBalancerFields = []field{
	packetNameField,
	packetDomainField,
	{name: "ingressAddress", description: "IPv4 address and UDP port at which the fabric delivers clients' packets.",
		example: `"10.0.0.1:8172"`, required: true, check: checkIPv4Address},
	peerField,
	adminField,
	metricsField,
	storeField,
	{name: "stopGrace", description: "How long the balancer keeps forwarding at most after it has reported that it isn't ready. It ends earlier once the fabric has taken it out of rotation. Choose a longer time than the fabric needs for that.",
		example: `"4s"`, defaultText: `"4s"`, check: checkDuration},
	{name: "killAfter", description: "How long after the request to stop the process is killed. If it is set, a balancer reports that it isn't ready only when few others of its failure domain are out of rotation. See docs/operating/replace-a-vm.md.",
		example: `"6s"`, defaultText: "not known", check: checkDuration},
	flowIdleTimeoutField,
	{name: "link", description: "The VM's link. If its rate is set, the balancer queues what the link can't take yet, sends it in turns between callers and first packets first. See docs/operating/scarce-capacity.md.",
		example: `{"megabitsPerSecond": 10}`, defaultText: "not limited", members: linkFields},
	{name: "placement", description: "How agents are chosen for new flows.", example: `{"by": "expectedWait"}`, defaultText: `{"by": "load"}`, members: placementFields},
	hedgeField,
	logField,
}

var packetAgentFields = []field{
	packetNameField,
	packetDomainField,
	{name: "service", description: "Name of the service that the upstream belongs to.", example: `"iscrizioni"`, required: true, check: checkExternalName},
	peerField,
	adminField,
	metricsField,
	storeField,
	{name: "upstreamAddress", description: "IPv4 address and port of the upstream, for its packets over UDP and for probes over TCP.",
		example: `"10.0.0.1:8165"`, required: true, check: checkIPv4Address},
	{name: "outboundAddress", description: "IPv4 address and UDP port to which the upstream sends its packets.",
		example: `"10.0.0.1:8162"`, required: true, check: checkIPv4Address},
	{name: "registrationAddress", description: "Address and TCP port at which the upstream registers itself.",
		example: `"10.0.0.1:8166"`, required: true, check: checkAddress},
	{name: "clientPort", description: "UDP port to which packets for clients are sent, at the address of each client. An address with that port is accepted too.",
		example: `"8172"`, required: true, check: checkPort},
	{name: "firstStart", description: "Whether the whole system starts for the first time, in which case no flow can be open.", example: `true`,
		defaultText: `false`, check: checkBool},
	{name: "renewInterval", description: "How often the upstream renews its registration. An upstream that has missed two renewals gets no new flows; see addressReuse.",
		example: `"1200ms"`, defaultText: "not known", check: checkDuration},
	{name: "addressReuse", description: "The least time after the end of an upstream until one of another service may have its address. An upstream of which the agent hasn't heard for nearly as long (0.4 s less, but until its next renewal is 0.1 s late in any case) gets no new flows. \"0s\" is like no value.",
		example: `"2s"`, defaultText: "addresses aren't used again", check: checkDuration},
	{name: "stopGrace", description: "How long a graceful stop may take.", example: `"4s"`, defaultText: `"4s"`, check: checkDuration},
	flowIdleTimeoutField,
	{name: "cold", description: "Limit on the new flows per second of cold upstreams.", example: `{"factor": 1.5, "slack": 5}`, defaultText: `{"factor": 1, "slack": 1}`, members: coldFields},
	{name: "ledger", description: "List of open flows that the agent keeps in the store.", example: `{"unlisted": "3s"}`, defaultText: `{}`, members: packetLedgerFields},
	{name: "queue", description: "How new flows wait for room at the upstream.", example: `{"turns": "caller"}`, defaultText: `{"turns": "arrival"}`, members: queueFields},
	logField,
}

// checkExternalName checks a name that other systems assign. The rules are less strict than
// those of checkName.
func checkExternalName(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if ok && (s == "" || len(s) > maxExternalNameBytes || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })) {
		c.add(BadName, path, "%q is empty, longer than %d bytes or contains spaces", s, maxExternalNameBytes)
	}
}

func checkBool(c *errorCollector, path string, value any) {
	if _, ok := value.(bool); !ok {
		c.add(WrongType, path, "expected true or false, got %s", typeName(value))
	}
}

func checkPort(c *errorCollector, path string, value any) {
	s, ok := stringValue(c, path, value)
	if !ok {
		return
	}
	if _, ok = parsePort(s); !ok {
		c.add(BadAddress, path, "%q is neither a port nor an address with a port", s)
	}
}

// parsePort parses a port that is given alone or with an address.
func parsePort(s string) (port uint16, ok bool) {
	if address, err := netip.ParseAddrPort(s); err == nil {
		return address.Port(), address.Port() != 0
	}
	const bits = 16
	number, err := strconv.ParseUint(s, 10, bits)
	return uint16(number), err == nil && number != 0
}

func checkFactor(c *errorCollector, path string, value any) { checkNumber(c, path, value, maxFactor) }

func checkMegabits(c *errorCollector, path string, value any) {
	checkNumber(c, path, value, maxMegabitsPerSecond)
}

func checkGroups(c *errorCollector, path string, value any) {
	number, ok := value.(json.Number)
	if !ok {
		c.add(WrongType, path, "expected a number, got %s", typeName(value))
		return
	}
	if n, err := number.Int64(); err != nil || n < 0 || n > maxLedgerGroups {
		c.add(OutOfRange, path, "%s is not a whole number between 0 and %d", number, maxLedgerGroups)
	}
}

// checkNumber checks a number between 0 and limit.
func checkNumber(c *errorCollector, path string, value any, limit float64) {
	number, ok := value.(json.Number)
	if !ok {
		c.add(WrongType, path, "expected a number, got %s", typeName(value))
		return
	}
	if f, err := number.Float64(); err != nil || f < 0 || f > limit {
		c.add(OutOfRange, path, "%s is not between 0 and %.0f", number, limit)
	}
}
