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

// Sizes of the world.
const (
	balancerCount = 3
	copyCount     = 4
	domainCount   = 3
	// fullWeight is the weight of a warm copy with two slots.
	fullWeight = 200
	// handOffShare is the share of new QUIC flows that agents hand off.
	handOffShare = 0.15
	// startupDuration is when callers begin.
	startupDuration = 2 * time.Second
	// usualControlDelay is how long control takes to reach a node at most, usually.
	usualControlDelay = 300 * time.Millisecond
	// unevenControlDelay is the same while views are uneven.
	unevenControlDelay = 2 * time.Second
)

// Services of the world.
const (
	quicService     lentilid.Service = 1
	datagramService lentilid.Service = 2
	otherService    lentilid.Service = 3
)

// protocolOf returns the protocol of a service of the world.
func protocolOf(service lentilid.Service) lentilroute.Protocol {
	if service == datagramService {
		return lentilroute.Datagram
	}
	return lentilroute.QUIC
}

// flowSimulation is a handful of balancers, agents and callers in one process.
type flowSimulation struct {
	flowNetwork
	outcome Outcome
	stats   FlowStats
	// baseline makes it the baseline: a hash of the 5-tuple and no pins.
	baseline bool
	// tracing turns the trace on, which costs more than all else.
	tracing         bool
	maxControlDelay time.Duration
	ownerRetention  time.Duration
	document        lentilconfig.Document
	configuration   lentilconfig.Configuration
	sealer          *lentilid.Sealer
	balancers       []*balancer
	agents          []*flowAgent
	agentsByAddress map[netip.AddrPort]*flowAgent
	records         map[lentilrecord.Owner]lentilrecord.Record
	flows           []*flow
	addressCount    int
	out             map[lentilid.Domain]bool
	lastOutAt       map[lentilid.Domain]time.Duration
}

// newFlowSimulation returns a world whose copies are configured and running.
func newFlowSimulation(r *FlowRun) (w *flowSimulation) {
	w = &flowSimulation{
		baseline:        r.Baseline,
		tracing:         r.Trace,
		maxControlDelay: usualControlDelay,
		ownerRetention:  r.OwnerRetention,
		agentsByAddress: make(map[netip.AddrPort]*flowAgent),
		records:         make(map[lentilrecord.Owner]lentilrecord.Record),
		out:             make(map[lentilid.Domain]bool),
		lastOutAt:       make(map[lentilid.Domain]time.Duration),
	}
	w.random = rand.New(rand.NewPCG(r.Seed, r.Seed>>1))
	w.sealer = newSealer(1)
	w.document = initialDocument()
	w.buildConfiguration()
	for range balancerCount {
		w.startBalancer()
	}
	for _, doc := range w.document.Copies {
		w.startCopy(doc, fullWeight)
	}
	// Services settle from when a node first needs its router.
	w.runUntil(startupDuration / 2)
	w.eachNode(func(n *node) { n.view.Router() })
	w.runUntil(startupDuration)
	return w
}

// newSealer returns a sealer with the numbered keys.
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

// initialDocument lists the services, failure domains and copies of the start.
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

// copyDoc returns the copy of a service with a number.
func copyDoc(service string, number int) (doc lentilconfig.CopyDoc) {
	return lentilconfig.CopyDoc{
		Name:    fmt.Sprintf("%s-%d", service, number),
		Service: service,
		Domain:  fmt.Sprintf("domain%d", number%domainCount+1),
	}
}

// changeConfiguration accepts a changed configuration, which then spreads.
func (w *flowSimulation) changeConfiguration(edit func(document *lentilconfig.Document)) {
	edit(&w.document)
	w.buildConfiguration()
	configuration := w.configuration
	w.tracef("configuration %d accepted", configuration.Version())
	w.eachNode(func(n *node) {
		w.after(w.randomDuration(0, w.maxControlDelay), func() { n.applyConfiguration(configuration) })
	})
}

// buildConfiguration makes the document the configuration in force.
func (w *flowSimulation) buildConfiguration() {
	w.document.Version++
	document := w.document
	document.Services = append([]lentilconfig.ServiceDoc(nil), document.Services...)
	document.Copies = append([]lentilconfig.CopyDoc(nil), document.Copies...)
	document.Domains = append([]lentilconfig.DomainDoc(nil), document.Domains...)
	configuration, err := lentilconfig.New(document)
	if err != nil {
		panic(err)
	}
	w.configuration = configuration
}

// startCopy starts the process of a listed copy at a new address.
func (w *flowSimulation) startCopy(doc lentilconfig.CopyDoc, weight uint16) (a *flowAgent) {
	w.addressCount++
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(w.addressCount)}), 7000)
	listed := w.configuration.Copy(doc.Name)
	return w.startAgent(doc.Name, listed.Service(), listed.Domain(), address, weight)
}

// liveAgent returns the living agent of a copy, or nil.
func (w *flowSimulation) liveAgent(copy string) (a *flowAgent) {
	for _, a := range w.agents {
		if a.owner.Copy == copy && !a.dead {
			return a
		}
	}
	return nil
}

// tracef notes what happens.
func (w *flowSimulation) tracef(format string, args ...any) {
	if w.tracing {
		w.outcome.Tracef(w.now(), format, args...)
	}
}

// copyAt returns the copy at an address, for traces.
func (w *flowSimulation) copyAt(address netip.AddrPort) (name string) {
	if a := w.agentsByAddress[address]; a != nil {
		return a.owner.Copy
	}
	return "-"
}
