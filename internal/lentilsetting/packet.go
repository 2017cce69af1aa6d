package lentilsetting

import (
	"encoding/json"
	"math"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// defaultPacketStopGrace is how long a balancer of packet flows keeps forwarding at most after it left the rotation, and
	// how long the graceful stop of an agent may take.
	defaultPacketStopGrace = 4 * time.Second
	// maxExternalNameBytes is the maximum length of a name that other systems assign.
	maxExternalNameBytes = 128
	// maxFactor is the highest allowed factor or slack for cold upstreams. Higher values make no sense.
	maxFactor = 1e6
	// maxMegabitsPerSecond is the highest allowed rate of a link, above that of any network card.
	maxMegabitsPerSecond = 1e6
	// maxLedgerGroups is the highest allowed number of ledger groups of a failure domain. At the size that the product is
	// designed for, 200 are needed.
	maxLedgerGroups = 4096
	bytesPerMegabit = 1e6 / 8
)

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
	killAfter          time.Duration
}

// IngressAddress returns the address and UDP port at which clients' packets arrive.
func (p PacketBalancer) IngressAddress() netip.AddrPort { return p.ingress }

// LinkBytesPerSecond returns the rate of the VM's link, or 0 if it isn't limited.
func (p PacketBalancer) LinkBytesPerSecond() int { return p.linkBytesPerSecond }

// ByExpectedWait reports whether agents are compared by the time that a request is expected to take there.
func (p PacketBalancer) ByExpectedWait() bool { return p.byExpectedWait }

// HedgePercent returns the highest number of extra offers per hundred new flows, or zero.
func (p PacketBalancer) HedgePercent() int { return p.hedge }

// KillAfter returns how long after the request to stop the process is killed, or zero if that isn't known.
func (p PacketBalancer) KillAfter() time.Duration { return p.killAfter }

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
	addressReuse  time.Duration
	coldFactor    float64
	coldSlack     float64
	maxUnlisted   time.Duration
	fairQueue     bool
	ledgerGroups  int
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

// AddressReuse returns the least time after the end of an upstream until one of another service may have its address, or zero
// if addresses aren't used again.
func (p PacketAgent) AddressReuse() time.Duration { return p.addressReuse }

// ColdFactor returns the factor by which the configured rate of new flows of a cold upstream is multiplied.
func (p PacketAgent) ColdFactor() float64 { return p.coldFactor }

// ColdSlack returns the number of new flows per second that a cold upstream may get on top of that.
func (p PacketAgent) ColdSlack() float64 { return p.coldSlack }

// MaxUnlisted returns how long an open flow whose requests may not be repeated may be missing in the flow ledger, or
// zero if such flows are treated like others.
func (p PacketAgent) MaxUnlisted() time.Duration { return p.maxUnlisted }

// LedgerGroups returns the number of groups into which the agents of a failure domain are divided, or 0 if each agent writes
// its own ledger.
func (p PacketAgent) LedgerGroups() int { return p.ledgerGroups }

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
		killAfter:          durationOrDefault(doc.KillAfter, 0),
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
		addressReuse:  durationOrDefault(doc.AddressReuse, 0),
		coldFactor:    factorOrDefault(doc.Cold.Factor),
		coldSlack:     factorOrDefault(doc.Cold.Slack),
		maxUnlisted:   durationOrDefault(doc.Ledger.Unlisted, 0),
		ledgerGroups:  wholeOrZero(doc.Ledger.Groups),
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

// wholeOrZero returns a validated whole number, or 0 if it is not given.
func wholeOrZero(number json.Number) int {
	n, err := number.Int64()
	if err != nil {
		return 0
	}
	return int(n)
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
