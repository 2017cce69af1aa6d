package lentilsetting

import (
	"encoding/json"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// defaultPacketStopGrace is how long a balancer of packet flows keeps forwarding after a stop request, and
	// how long the graceful stop of an agent may take.
	defaultPacketStopGrace = 4 * time.Second
	// maxExternalNameBytes is the maximum length of a name that other systems assign.
	maxExternalNameBytes = 128
	// maxFactor is the highest allowed factor or slack for cold upstreams. Higher values make no sense.
	maxFactor = 1e6
	// maxMegabitsPerSecond is the highest allowed rate of a link, above that of any network card.
	maxMegabitsPerSecond = 1e6
	bytesPerMegabit      = 1e6 / 8
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
	Unlisted string `json:"unlisted,omitempty"`
}

var packetLedgerFields = []field{
	{name: "unlisted", description: "How long an open flow of a route whose requests may not be repeated may be missing in the ledger. A request on a missing flow is lost if all VMs lose power.",
		example: `"3s"`, defaultText: "as for other flows", check: checkDuration},
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
	{name: "stopGrace", description: "How long the balancer keeps forwarding during a graceful stop. Choose a longer time than the fabric needs to detect that the balancer isn't ready.",
		example: `"4s"`, defaultText: `"4s"`, check: checkDuration},
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
	{name: "renewInterval", description: "How often the upstream renews its registration. An upstream that has missed two renewals gets no new flows.",
		example: `"1200ms"`, defaultText: "not known", check: checkDuration},
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

// commonPacketSettings are the settings that balancers and agents of packet flows share.
type commonPacketSettings struct {
	name, domain               string
	peer, admin                netip.AddrPort
	metrics                    netip.AddrPort
	store                      netip.AddrPort
	stopGrace, flowIdleTimeout time.Duration
	level                      lentilevent.Level
}

// Name returns the name of the process.
func (p commonPacketSettings) Name() string { return p.name }

// Domain returns the name of the failure domain in which the process runs.
func (p commonPacketSettings) Domain() string { return p.domain }

// PeerAddress returns the address and UDP port for datagrams between balancers and agents.
func (p commonPacketSettings) PeerAddress() netip.AddrPort { return p.peer }

// AdminAddress returns the address and TCP port of the readiness check.
func (p commonPacketSettings) AdminAddress() netip.AddrPort { return p.admin }

// MetricsAddress returns the address and TCP port of /metrics, or the zero value if metrics are not served.
func (p commonPacketSettings) MetricsAddress() netip.AddrPort { return p.metrics }

// StoreAddress returns the address and TCP port of the store.
func (p commonPacketSettings) StoreAddress() netip.AddrPort { return p.store }

// StopGrace returns how long a graceful stop may take.
func (p commonPacketSettings) StopGrace() time.Duration { return p.stopGrace }

// FlowIdleTimeout returns the minimum time for which the state of a flow without packets is kept.
func (p commonPacketSettings) FlowIdleTimeout() time.Duration { return p.flowIdleTimeout }

// LogLevel returns the minimum level of logged events.
func (p commonPacketSettings) LogLevel() lentilevent.Level { return p.level }

// PacketBalancer holds the validated settings of a balancer of packet flows.
type PacketBalancer struct {
	commonPacketSettings
	ingress            netip.AddrPort
	linkBytesPerSecond int
	byExpectedWait     bool
	hedge              int
}

// IngressAddress returns the address and UDP port at which clients' packets arrive.
func (p PacketBalancer) IngressAddress() netip.AddrPort { return p.ingress }

// LinkBytesPerSecond returns the rate of the VM's link, or 0 if it isn't limited.
func (p PacketBalancer) LinkBytesPerSecond() int { return p.linkBytesPerSecond }

// ByExpectedWait reports whether agents are compared by the time that a request is expected to take there.
func (p PacketBalancer) ByExpectedWait() bool { return p.byExpectedWait }

// HedgePercent returns the highest number of extra offers per hundred new flows, or zero.
func (p PacketBalancer) HedgePercent() int { return p.hedge }

// PacketAgent holds the validated settings of an agent of packet flows.
type PacketAgent struct {
	commonPacketSettings
	service       string
	upstream      netip.AddrPort
	outbound      netip.AddrPort
	registration  netip.AddrPort
	clientPort    uint16
	firstStart    bool
	renewInterval time.Duration
	coldFactor    float64
	coldSlack     float64
	maxUnlisted   time.Duration
	fairQueue     bool
}

// Service returns the name of the service that the upstream belongs to.
func (p PacketAgent) Service() string { return p.service }

// UpstreamAddress returns the address and port of the upstream.
func (p PacketAgent) UpstreamAddress() netip.AddrPort { return p.upstream }

// OutboundAddress returns the address and UDP port to which the upstream sends its packets.
func (p PacketAgent) OutboundAddress() netip.AddrPort { return p.outbound }

// RegistrationAddress returns the address and TCP port at which the upstream registers itself.
func (p PacketAgent) RegistrationAddress() netip.AddrPort { return p.registration }

// ClientPort returns the UDP port to which packets for clients are sent.
func (p PacketAgent) ClientPort() uint16 { return p.clientPort }

// FirstStart reports whether the whole system starts for the first time, in which case no flow can be open.
func (p PacketAgent) FirstStart() bool { return p.firstStart }

// RenewInterval returns how often the upstream renews its registration, or zero if that is not known.
func (p PacketAgent) RenewInterval() time.Duration { return p.renewInterval }

// ColdFactor returns the factor by which the configured rate of new flows of a cold upstream is multiplied.
func (p PacketAgent) ColdFactor() float64 { return p.coldFactor }

// ColdSlack returns the number of new flows per second that a cold upstream may get on top of that.
func (p PacketAgent) ColdSlack() float64 { return p.coldSlack }

// MaxUnlisted returns how long an open flow whose requests may not be repeated may be missing in the flow ledger, or
// zero if such flows are treated like others.
func (p PacketAgent) MaxUnlisted() time.Duration { return p.maxUnlisted }

// FairQueue reports whether waiting flows of the same urgency open in an order that is fair between callers.
func (p PacketAgent) FairQueue() bool { return p.fairQueue }

// PacketBalancer reads the settings of a balancer of packet flows. It returns a *ValidationError
// if they are invalid.
func (l Loader) PacketBalancer(file string) (settings PacketBalancer, err error) {
	r := l.newReader(file)
	var doc PacketBalancerDoc
	if !r.decode(packetBalancerFields, &doc) {
		return PacketBalancer{}, r.err()
	}
	r.requireDistinct("adminAddress", doc.AdminAddress, "metricsAddress", doc.MetricsAddress)
	if err = r.err(); err != nil {
		return PacketBalancer{}, err
	}
	return PacketBalancer{
		commonPacketSettings: newCommonPacketSettings(doc.Name, doc.Domain, doc.PeerAddress, doc.AdminAddress, doc.MetricsAddress, doc.StoreAddress,
			doc.StopGrace, doc.FlowLife, doc.Log),
		ingress:            netip.MustParseAddrPort(doc.IngressAddress),
		linkBytesPerSecond: bytesPerSecond(doc.Link),
		byExpectedWait:     doc.Placement.By == placementByExpectedWait,
		hedge:              doc.Hedge.Percent,
	}, nil
}

// PacketAgent reads the settings of an agent of packet flows. It returns a *ValidationError
// if they are invalid.
func (l Loader) PacketAgent(file string) (settings PacketAgent, err error) {
	r := l.newReader(file)
	var doc PacketAgentDoc
	if !r.decode(packetAgentFields, &doc) {
		return PacketAgent{}, r.err()
	}
	r.requireDistinct("adminAddress", doc.AdminAddress, "metricsAddress", doc.MetricsAddress)
	r.requireDistinct("registrationAddress", doc.RegistrationAddress, "adminAddress", doc.AdminAddress)
	if err = r.err(); err != nil {
		return PacketAgent{}, err
	}
	port, _ := parsePort(doc.ClientPort)
	return PacketAgent{
		commonPacketSettings: newCommonPacketSettings(doc.Name, doc.Domain, doc.PeerAddress, doc.AdminAddress, doc.MetricsAddress, doc.StoreAddress,
			doc.StopGrace, doc.FlowLife, doc.Log),
		service:       doc.Service,
		upstream:      netip.MustParseAddrPort(doc.UpstreamAddress),
		outbound:      netip.MustParseAddrPort(doc.OutboundAddress),
		registration:  netip.MustParseAddrPort(doc.RegistrationAddress),
		clientPort:    port,
		firstStart:    doc.FirstStart,
		renewInterval: durationOrDefault(doc.RenewInterval, 0),
		coldFactor:    factorOrDefault(doc.Cold.Factor),
		coldSlack:     factorOrDefault(doc.Cold.Slack),
		maxUnlisted:   durationOrDefault(doc.Ledger.Unlisted, 0),
		fairQueue:     doc.Queue.Turns == queueTurnsCaller,
	}, nil
}

func newCommonPacketSettings(name, domain, peer, admin, metrics, store, stopGrace, flowIdleTimeout string, log LogDoc) commonPacketSettings {
	level, _ := lentilevent.ParseLevel(log.Level)
	p := commonPacketSettings{
		name: name, domain: domain,
		peer: netip.MustParseAddrPort(peer), admin: netip.MustParseAddrPort(admin), store: netip.MustParseAddrPort(store),
		stopGrace: durationOrDefault(stopGrace, defaultPacketStopGrace), flowIdleTimeout: durationOrDefault(flowIdleTimeout, lentilflow.DefaultIdleTimeout), level: level,
	}
	if metrics != "" {
		p.metrics = netip.MustParseAddrPort(metrics)
	}
	return p
}

// bytesPerSecond returns the rate of a validated link, or 0 if it isn't given. Rates above 0 stay above it.
func bytesPerSecond(link LinkDoc) int {
	megabits, err := link.MegabitsPerSecond.Float64()
	if err != nil {
		return 0
	}
	return int(math.Ceil(megabits * bytesPerMegabit))
}

// factorOrDefault returns a validated number, or 1 if it is not given.
func factorOrDefault(number json.Number) float64 {
	if number == "" {
		return 1
	}
	factor, err := number.Float64()
	if err != nil {
		return 1
	}
	return factor
}
