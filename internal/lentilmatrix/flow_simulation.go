package lentilmatrix

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// Sizes of the simulation.
const (
	balancerCount = 3
	copyCount     = 4
	domainCount   = 3
	// fullWeight is the weight of a warm copy with two slots.
	fullWeight = 200
	// handOffShare is the share of new QUIC flows that agents hand off.
	handOffShare = 0.15
	// startupDuration is the time from the start of the simulation to the first flow.
	startupDuration = 2 * time.Second
	// usualControlDelay is the longest time that a configuration or a record usually takes to
	// reach a node.
	usualControlDelay = 300 * time.Millisecond
	// unevenControlDelay replaces usualControlDelay under the fault ViewsUneven.
	unevenControlDelay = 2 * time.Second
)

// The simulated services. otherService has no copies at the start: AddressReused starts some.
const (
	quicService     lentilid.Service = 1
	datagramService lentilid.Service = 2
	otherService    lentilid.Service = 3
)

// protocolOf returns the protocol of a simulated service.
func protocolOf(service lentilid.Service) lentilroute.Protocol {
	if service == datagramService {
		return lentilroute.Datagram
	}
	return lentilroute.QUIC
}

// flowSimulation simulates a few balancers, agents and clients in one process and in
// simulated time.
type flowSimulation struct {
	flowNetwork
	outcome Outcome
	stats   FlowStats
	// baseline replaces the product's decisions by the baseline: balancers hash the 5-tuple,
	// and agents pin no flows.
	baseline bool
	// tracing turns the trace on. The trace costs more time than the rest of the simulation.
	tracing bool
	// maxControlDelay is the longest time that a configuration or a record takes to reach a node.
	maxControlDelay time.Duration
	// ownerRetention replaces the time for which all views remember the previous owners of a
	// bucket. Zero keeps the defaults.
	ownerRetention time.Duration
	document       lentilconfig.Document
	configuration  lentilconfig.Configuration
	sealer         *lentilid.Sealer
	balancers      []*balancer
	agents         []*flowAgent
	// agentsByAddress holds the agents that run now, by tunnel address.
	agentsByAddress map[netip.AddrPort]*flowAgent
	// records holds the latest record of every agent.
	records map[lentilrecord.Owner]lentilrecord.Record
	flows   []*flow
	// addressCount is how many addresses have been given to agents.
	addressCount int
	// out holds the failure domains that are out of service.
	out map[lentilid.Domain]bool
	// lastOutAt is when a failure domain was last taken out of service.
	lastOutAt map[lentilid.Domain]time.Duration
}

// newFlowSimulation returns a simulation whose copies are configured and running.
func newFlowSimulation(r *FlowRun) (s *flowSimulation) {
	s = &flowSimulation{
		baseline:        r.Baseline,
		tracing:         r.Trace,
		maxControlDelay: usualControlDelay,
		ownerRetention:  r.OwnerRetention,
		agentsByAddress: make(map[netip.AddrPort]*flowAgent),
		records:         make(map[lentilrecord.Owner]lentilrecord.Record),
		out:             make(map[lentilid.Domain]bool),
		lastOutAt:       make(map[lentilid.Domain]time.Duration),
	}
	s.random = rand.New(rand.NewPCG(r.Seed, r.Seed>>1))
	s.sealer = newSealer(1)
	s.document = initialDocument()
	s.buildConfiguration()
	for range balancerCount {
		s.startBalancer()
	}
	for _, doc := range s.document.Copies {
		s.startCopy(doc, fullWeight)
	}
	// The tables of a node begin to settle when it first builds its router.
	s.runUntil(startupDuration / 2)
	s.eachNode(func(n *node) { n.view.Router() })
	s.runUntil(startupDuration)
	return s
}

// newSealer returns a sealer with the keys of these numbers.
func newSealer(numbers ...byte) (sealer *lentilid.Sealer) {
	var keys []lentilid.Key
	for _, number := range numbers {
		keys = append(keys, lentilid.Key{ID: number, Secret: bytes.Repeat([]byte{number}, 16)})
	}
	sealer, err := lentilid.NewSealer(keys)
	if err != nil {
		panic(err)
	}
	return sealer
}

// initialDocument returns the configuration document at the start of a run.
func initialDocument() (document lentilconfig.Document) {
	for i, name := range []string{"quic", "datagram", "strange"} {
		document.Services = append(document.Services, lentilconfig.ServiceDoc{
			Name: name, Number: lentilid.Service(i + 1), Slots: 2, Connections: 2000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(i + 1)}), uint16(8443+i)),
		})
	}
	for i := range domainCount {
		document.Domains = append(document.Domains, lentilconfig.DomainDoc{
			Name: fmt.Sprintf("domain%d", i+1), Number: lentilid.Domain(i + 1), Region: "region",
		})
	}
	for i := range copyCount {
		document.Copies = append(document.Copies, copyDoc("quic", i), copyDoc("datagram", i))
	}
	return document
}

// copyDoc returns the entry of the numbered copy of a service.
func copyDoc(service string, number int) (doc lentilconfig.CopyDoc) {
	return lentilconfig.CopyDoc{
		Name:    fmt.Sprintf("%s-%d", service, number),
		Service: service,
		Domain:  fmt.Sprintf("domain%d", number%domainCount+1),
	}
}

// changeConfiguration edits the configuration. Each running node applies it after a random delay.
func (s *flowSimulation) changeConfiguration(edit func(document *lentilconfig.Document)) {
	edit(&s.document)
	s.buildConfiguration()
	configuration := s.configuration
	s.tracef("configuration %d accepted", configuration.Version())
	s.eachNode(func(n *node) {
		s.after(s.randomDuration(0, s.maxControlDelay), func() { n.applyConfiguration(configuration) })
	})
}

// buildConfiguration puts the document in force as the next version of the configuration.
func (s *flowSimulation) buildConfiguration() {
	s.document.Version++
	document := s.document
	document.Services = append([]lentilconfig.ServiceDoc(nil), document.Services...)
	document.Copies = append([]lentilconfig.CopyDoc(nil), document.Copies...)
	document.Domains = append([]lentilconfig.DomainDoc(nil), document.Domains...)
	configuration, err := lentilconfig.New(document)
	if err != nil {
		panic(err)
	}
	s.configuration = configuration
}

// startCopy starts the agent of a configured copy at a new address.
func (s *flowSimulation) startCopy(doc lentilconfig.CopyDoc, weight uint16) (a *flowAgent) {
	s.addressCount++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(s.addressCount)}), 7000)
	listed := s.configuration.Copy(doc.Name)
	return s.startAgent(doc.Name, listed.Service(), listed.Domain(), address, weight)
}

// liveAgent returns the running agent of a copy, or nil.
func (s *flowSimulation) liveAgent(copy string) (a *flowAgent) {
	for _, a := range s.agents {
		if a.owner.Copy == copy && !a.dead {
			return a
		}
	}
	return nil
}

// tracef adds a line to the trace, if tracing is on.
func (s *flowSimulation) tracef(format string, args ...any) {
	if s.tracing {
		s.outcome.Tracef(s.now(), format, args...)
	}
}

// copyAt returns the name of the copy whose agent has an address, or "-". It is used in traces.
func (s *flowSimulation) copyAt(address netip.AddrPort) (name string) {
	if a := s.agentsByAddress[address]; a != nil {
		return a.owner.Copy
	}
	return "-"
}
