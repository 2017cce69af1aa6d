package lentilsetting

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// defaultPacketGrace is how long a balancer of packet flows forwards after a stop was asked for.
	defaultPacketGrace = 4 * time.Second
	// maxLabelBytes is the longest label.
	maxLabelBytes = 128
	// maxFactor is the highest factor, slack or rate that makes sense for cold upstreams.
	maxFactor = 1e6
)

// PacketBalancerDoc is the written form of the settings of a balancer of packet flows.
type PacketBalancerDoc struct {
	Name           string `json:"name"`
	Domain         string `json:"domain"`
	IngressAddress string `json:"ingressAddress"`
	PeerAddress    string `json:"peerAddress"`
	AdminAddress   string `json:"adminAddress"`
	MetricsAddress string `json:"metricsAddress,omitempty"`
	StoreAddress   string `json:"storeAddress"`
	StopGrace      string `json:"stopGrace,omitempty"`
	FlowLife       string `json:"flowLife,omitempty"`
	Log            LogDoc `json:"log,omitzero"`
}

// PacketAgentDoc is the written form of the settings of an agent of packet flows.
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
	Log                 LogDoc  `json:"log,omitzero"`
}

// ColdDoc is the written form of what cold upstreams bear.
type ColdDoc struct {
	Factor json.Number `json:"factor,omitempty"`
	Slack  json.Number `json:"slack,omitempty"`
}

var coldFields = []field{
	{name: "factor", text: "By how much a cold upstream may get more new flows in a second than the configuration says it bears.",
		example: `1.5`, fallback: `1`, check: checkFactor},
	{name: "slack", text: "How many new flows a cold upstream may get in a second beyond that.", example: `5`, fallback: `1`, check: checkFactor},
}

var (
	packetNameField   = field{name: "name", text: "Name of the process, unique among those of its role.", example: `"entry-1"`, required: true, check: checkLabel}
	packetDomainField = field{name: "domain", text: "The failure domain in which the VM stands.", example: `"palermo"`, required: true, check: checkLabel}
	peerField         = field{name: "peerAddress", text: "IPv4 address and UDP port for datagrams between balancers and agents. They are not signed: keep the network between the VMs closed.",
		example: `"10.0.0.1:7720"`, required: true, check: checkTunnel}
	metricsField = field{name: "metricsAddress", text: "Address and TCP port of /metrics. Plain HTTP: keep it inside your network.",
		example: `"10.0.0.1:9464"`, fallback: "no metrics", check: checkAddress}
	storeField    = field{name: "storeAddress", text: "Address and TCP port of the store.", example: `"10.0.0.9:8169"`, required: true, check: checkPeerAddress}
	flowLifeField = field{name: "flowLife", text: "How long a flow without packets is remembered at least.", example: `"60s"`, fallback: `"1m"`, check: checkDuration}
)

var packetBalancerFields = []field{
	packetNameField,
	packetDomainField,
	{name: "ingressAddress", text: "IPv4 address and UDP port on which the fabric hands over clients' packets.",
		example: `"10.0.0.1:8172"`, required: true, check: checkTunnel},
	peerField,
	adminField,
	metricsField,
	storeField,
	{name: "stopGrace", text: "How long a graceful stop goes on forwarding. Longer than the fabric takes to notice that the balancer isn't ready.",
		example: `"4s"`, fallback: `"4s"`, check: checkDuration},
	flowLifeField,
	logField,
}

var packetAgentFields = []field{
	packetNameField,
	packetDomainField,
	{name: "service", text: "The service that the upstream serves.", example: `"iscrizioni"`, required: true, check: checkLabel},
	peerField,
	adminField,
	metricsField,
	storeField,
	{name: "upstreamAddress", text: "IPv4 address and port of the upstream, for its packets by UDP and for checks by TCP.",
		example: `"10.0.0.1:8165"`, required: true, check: checkTunnel},
	{name: "outboundAddress", text: "IPv4 address and UDP port to which the upstream sends its packets.",
		example: `"10.0.0.1:8162"`, required: true, check: checkTunnel},
	{name: "registrationAddress", text: "Address and TCP port at which the upstream registers.",
		example: `"10.0.0.1:8166"`, required: true, check: checkAddress},
	{name: "clientPort", text: "UDP port of clients' addresses to which packets for clients are sent. An address with that port may stand for it.", example: `"8172"`, required: true, check: checkPort},
	{name: "firstStart", text: "Whether the whole system starts for the first time, so that no flow can be open.", example: `true`,
		fallback: `false`, check: checkBool},
	{name: "renewInterval", text: "How often the upstream renews its registration. One that has missed two renewals gets no new flows.",
		example: `"1200ms"`, fallback: "not known", check: checkDuration},
	{name: "stopGrace", text: "How long a graceful stop may take.", example: `"4s"`, fallback: `"4s"`, check: checkDuration},
	flowLifeField,
	{name: "cold", text: "What cold upstreams bear.", example: `{"factor": 1.5, "slack": 5}`, fallback: `{"factor": 1, "slack": 1}`, members: coldFields},
	logField,
}

// checkLabel checks a name that others have given.
func checkLabel(c *collector, path string, value any) {
	s, ok := text(c, path, value)
	if ok && (s == "" || len(s) > maxLabelBytes || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })) {
		c.add(BadName, path, "%q is empty, longer than %d bytes or has blanks", s, maxLabelBytes)
	}
}

func checkBool(c *collector, path string, value any) {
	if _, ok := value.(bool); !ok {
		c.add(WrongType, path, "%s stands where true or false is needed", typeName(value))
	}
}

func checkPort(c *collector, path string, value any) {
	s, ok := text(c, path, value)
	if !ok {
		return
	}
	if _, ok = portOf(s); !ok {
		c.add(BadAddress, path, "%q is neither a port nor an address with one", s)
	}
}

// portOf returns a port that is written alone or after an address.
func portOf(written string) (port uint16, ok bool) {
	if address, err := netip.ParseAddrPort(written); err == nil {
		return address.Port(), address.Port() != 0
	}
	const bits = 16
	number, err := strconv.ParseUint(written, 10, bits)
	return uint16(number), err == nil && number != 0
}

func checkFactor(c *collector, path string, value any) {
	number, ok := value.(json.Number)
	if !ok {
		c.add(WrongType, path, "%s stands where a number is needed", typeName(value))
		return
	}
	if factor, err := number.Float64(); err != nil || factor < 0 || factor > maxFactor {
		c.add(OutOfRange, path, "%s is not between 0 and %g", number, maxFactor)
	}
}

// packet is what the settings of both roles of packet flows hold.
type packet struct {
	name, domain string
	peer, admin  netip.AddrPort
	metrics      netip.AddrPort
	store        netip.AddrPort
	grace, life  time.Duration
	level        lentilevent.Level
}

// Name returns the name of the process.
func (p packet) Name() string { return p.name }

// Domain returns the failure domain in which the process runs.
func (p packet) Domain() string { return p.domain }

// PeerAddress returns the address and UDP port for datagrams between balancers and agents.
func (p packet) PeerAddress() netip.AddrPort { return p.peer }

// AdminAddress returns the address and TCP port of ready and live.
func (p packet) AdminAddress() netip.AddrPort { return p.admin }

// MetricsAddress returns the address and TCP port of the metrics, or the zero value for none.
func (p packet) MetricsAddress() netip.AddrPort { return p.metrics }

// StoreAddress returns the address and TCP port of the store.
func (p packet) StoreAddress() netip.AddrPort { return p.store }

// StopGrace returns how long a graceful stop may take.
func (p packet) StopGrace() time.Duration { return p.grace }

// FlowLife returns how long a flow without packets is remembered at least.
func (p packet) FlowLife() time.Duration { return p.life }

// LogLevel returns the least urgent level that is logged.
func (p packet) LogLevel() lentilevent.Level { return p.level }

// PacketBalancer is the checked settings of a balancer of packet flows.
type PacketBalancer struct {
	packet
	ingress netip.AddrPort
}

// IngressAddress returns the address and UDP port of clients' packets.
func (p PacketBalancer) IngressAddress() netip.AddrPort { return p.ingress }

// PacketAgent is the checked settings of an agent of packet flows.
type PacketAgent struct {
	packet
	service      string
	upstream     netip.AddrPort
	outbound     netip.AddrPort
	registration netip.AddrPort
	clientPort   uint16
	firstStart   bool
	renew        time.Duration
	factor       float64
	slack        float64
}

// Service returns the service of the upstream.
func (p PacketAgent) Service() string { return p.service }

// UpstreamAddress returns the address and port of the upstream.
func (p PacketAgent) UpstreamAddress() netip.AddrPort { return p.upstream }

// OutboundAddress returns the address and UDP port to which the upstream sends its packets.
func (p PacketAgent) OutboundAddress() netip.AddrPort { return p.outbound }

// RegistrationAddress returns the address and TCP port at which the upstream registers.
func (p PacketAgent) RegistrationAddress() netip.AddrPort { return p.registration }

// ClientPort returns the UDP port of clients' addresses.
func (p PacketAgent) ClientPort() uint16 { return p.clientPort }

// FirstStart reports whether no flow can be open yet.
func (p PacketAgent) FirstStart() bool { return p.firstStart }

// RenewInterval returns how often the upstream registers again, or zero.
func (p PacketAgent) RenewInterval() time.Duration { return p.renew }

// ColdFactor returns by how much a cold upstream may get more new flows than configured.
func (p PacketAgent) ColdFactor() float64 { return p.factor }

// ColdSlack returns how many new flows a second a cold upstream may get beyond that.
func (p PacketAgent) ColdSlack() float64 { return p.slack }

// PacketBalancer reads the settings of a balancer of packet flows. The error is *Faults if they have any.
func (l Loader) PacketBalancer(file string) (settings PacketBalancer, err error) {
	r := l.reading(file)
	var doc PacketBalancerDoc
	if !r.decode(packetBalancerFields, &doc) {
		return PacketBalancer{}, r.err()
	}
	r.distinct("adminAddress", doc.AdminAddress, "metricsAddress", doc.MetricsAddress)
	if err = r.err(); err != nil {
		return PacketBalancer{}, err
	}
	return PacketBalancer{
		packet: newPacket(doc.Name, doc.Domain, doc.PeerAddress, doc.AdminAddress, doc.MetricsAddress, doc.StoreAddress,
			doc.StopGrace, doc.FlowLife, doc.Log),
		ingress: netip.MustParseAddrPort(doc.IngressAddress),
	}, nil
}

// PacketAgent reads the settings of an agent of packet flows. The error is *Faults if they have any.
func (l Loader) PacketAgent(file string) (settings PacketAgent, err error) {
	r := l.reading(file)
	var doc PacketAgentDoc
	if !r.decode(packetAgentFields, &doc) {
		return PacketAgent{}, r.err()
	}
	r.distinct("adminAddress", doc.AdminAddress, "metricsAddress", doc.MetricsAddress)
	r.distinct("registrationAddress", doc.RegistrationAddress, "adminAddress", doc.AdminAddress)
	if err = r.err(); err != nil {
		return PacketAgent{}, err
	}
	port, _ := portOf(doc.ClientPort)
	return PacketAgent{
		packet: newPacket(doc.Name, doc.Domain, doc.PeerAddress, doc.AdminAddress, doc.MetricsAddress, doc.StoreAddress,
			doc.StopGrace, doc.FlowLife, doc.Log),
		service:      doc.Service,
		upstream:     netip.MustParseAddrPort(doc.UpstreamAddress),
		outbound:     netip.MustParseAddrPort(doc.OutboundAddress),
		registration: netip.MustParseAddrPort(doc.RegistrationAddress),
		clientPort:   port,
		firstStart:   doc.FirstStart,
		renew:        duration(doc.RenewInterval, 0),
		factor:       factor(doc.Cold.Factor),
		slack:        factor(doc.Cold.Slack),
	}, nil
}

func newPacket(name, domain, peer, admin, metrics, store, grace, life string, log LogDoc) packet {
	level, _ := lentilevent.ParseLevel(log.Level)
	p := packet{
		name: name, domain: domain,
		peer: netip.MustParseAddrPort(peer), admin: netip.MustParseAddrPort(admin), store: netip.MustParseAddrPort(store),
		grace: duration(grace, defaultPacketGrace), life: duration(life, lentilflow.DefaultIdleTimeout), level: level,
	}
	if metrics != "" {
		p.metrics = netip.MustParseAddrPort(metrics)
	}
	return p
}

// factor returns a checked number, or 1 if none is written.
func factor(written json.Number) float64 {
	if written == "" {
		return 1
	}
	number, err := written.Float64()
	if err != nil {
		return 1
	}
	return number
}
