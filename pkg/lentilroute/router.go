package lentilroute

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Verdict says what to do with a packet from a caller.
type Verdict uint8

// The verdicts.
const (
	// Unknown is the verdict on nothing.
	Unknown Verdict = iota
	// ToPlace sends the packet to the place that it carries.
	ToPlace
	// ToBucket sends the packet to the agent that owns the flow's bucket.
	ToBucket
	// DropMalformed is for a packet that is no QUIC packet.
	DropMalformed
	// DropForged is for a connection ID that claims a known key and doesn't fit it.
	DropForged
	// DropWrongService is for a place that belongs to another service.
	DropWrongService
	// DropDomainOut is for a place in a failure domain that operators have taken out.
	DropDomainOut
	// DropNoService is for a service that this node doesn't know.
	DropNoService
	// DropNoCopy is for a new flow of a service without any copy that takes new work.
	DropNoCopy
)

// Decision says where a packet goes.
type Decision struct {
	// Verdict says what to do; any but ToPlace and ToBucket drops the packet.
	Verdict Verdict
	// Place is the agent that gets the packet.
	Place lentilid.Place
	// Hash picks the flow's bucket; it is set for ToBucket only.
	Hash uint64
}

// Router is an immutable snapshot of what decides where packets go. The zero
// Router knows no service.
type Router struct {
	sealer   *lentilid.Sealer
	services map[lentilid.Service]*serviceEntry
	out      [256]bool
}

// serviceEntry is what a router knows about a service.
type serviceEntry struct {
	protocol Protocol
	table    *Table
	// tableWithoutSelf is the table as it would be tableWithoutSelf this node's own agent, or nil.
	tableWithoutSelf *Table
	livePlaces       []lentilid.Place
	gonePlaces       map[lentilid.Place]bool
}

// emptySealer opens nothing.
var emptySealer lentilid.Sealer

// Route decides where a packet goes that client sent to a service. It allocates
// nothing and keeps nothing of packet.
func (r *Router) Route(service lentilid.Service, packet []byte, client netip.AddrPort) (decision Decision) {
	e := r.services[service]
	if e == nil {
		return Decision{Verdict: DropNoService}
	}
	flow := Classify(r.Sealer(), e.protocol, packet, client)
	switch flow.Verdict {
	case ToPlace:
		return r.routeToPlace(service, flow.Place)
	case ToBucket:
		return e.routeToBucket(flow.Key.Hash(service))
	default:
		return Decision{Verdict: flow.Verdict}
	}
}

// routeToPlace decides on a packet that carries a place.
func (r *Router) routeToPlace(service lentilid.Service, place lentilid.Place) (decision Decision) {
	if place.Service() != service {
		return Decision{Verdict: DropWrongService}
	}
	if r.out[place.Domain()] {
		return Decision{Verdict: DropDomainOut}
	}
	return Decision{Verdict: ToPlace, Place: place}
}

// routeToBucket decides on a packet that carries no place.
func (e *serviceEntry) routeToBucket(hash uint64) (decision Decision) {
	place, ok := e.table.Pick(hash)
	if !ok {
		return Decision{Verdict: DropNoCopy}
	}
	return Decision{Verdict: ToBucket, Place: place, Hash: hash}
}

// Sealer returns the sealer that opens connection IDs, never nil.
func (r *Router) Sealer() *lentilid.Sealer {
	if r.sealer == nil {
		return &emptySealer
	}
	return r.sealer
}

// Protocol returns the protocol of a service, and QUIC for an unknown one.
func (r *Router) Protocol(service lentilid.Service) Protocol {
	if e := r.services[service]; e != nil {
		return e.protocol
	}
	return QUIC
}

// Out reports whether operators have taken the failure domain out.
func (r *Router) Out(domain lentilid.Domain) bool { return r.out[domain] }

// Gone reports whether a place is known to hold no flows any more: its agent has
// ended or fallen silent, or its failure domain is out. It says nothing about
// places that this node has never heard of.
func (r *Router) Gone(place lentilid.Place) bool {
	if r.out[place.Domain()] {
		return true
	}
	e := r.services[place.Service()]
	return e != nil && e.gonePlaces[place]
}

// Table returns the table of a service, or nil for an unknown one.
func (r *Router) Table(service lentilid.Service) *Table {
	if e := r.services[service]; e != nil {
		return e.table
	}
	return nil
}

// PreferredCandidates appends to dst the places that are likely to hold a flow with the hash, the
// likeliest first and each once: the bucket's owner, its former owners at the time
// now and, until the service is settled, who would own it without this node's own agent.
func (r *Router) PreferredCandidates(service lentilid.Service, hash uint64, now time.Time, dst []lentilid.Place) []lentilid.Place {
	e := r.services[service]
	if e == nil {
		return dst
	}
	start := len(dst)
	dst = e.table.Owners(hash, now, dst)
	if e.tableWithoutSelf == nil || e.table.Settled(now) {
		return dst
	}
	if place, ok := e.tableWithoutSelf.Pick(hash); ok {
		dst = appendUnique(dst, start, place)
	}
	return dst
}

// FallbackCandidates returns the places that may hold any flow of a service while its members
// have changed lately, and none once the service is settled: nodes that learn
// overlapping changes in different orders remember different owners of a bucket. The
// caller must not change the slice.
func (r *Router) FallbackCandidates(service lentilid.Service, now time.Time) []lentilid.Place {
	e := r.services[service]
	if e == nil || e.table.Settled(now) {
		return nil
	}
	return e.livePlaces
}

// appendUnique appends a place unless it is in dst[start:].
func appendUnique(dst []lentilid.Place, start int, place lentilid.Place) []lentilid.Place {
	if slices.Contains(dst[start:], place) {
		return dst
	}
	return append(dst, place)
}

// TableWithoutSelf returns the table of a service without this node's own agent, or nil.
func (r *Router) TableWithoutSelf(service lentilid.Service) *Table {
	if e := r.services[service]; e != nil {
		return e.tableWithoutSelf
	}
	return nil
}

// ServicesWithExpiredOwners returns the services whose tables are stale.
func (r *Router) ServicesWithExpiredOwners(now time.Time) (services []lentilid.Service) {
	for service, e := range r.services {
		if e.table.HasExpiredOwners(now) {
			services = append(services, service)
		}
	}
	return services
}

// Builder makes a Router from an earlier one. The zero Builder starts from the
// zero Router.
type Builder struct {
	router Router
	// shared is true while services is still the map of the earlier router.
	shared bool
}

// NewBuilder returns a builder that starts from r, which stays as it is. A nil r is
// the zero Router.
func NewBuilder(r *Router) *Builder {
	if r == nil {
		return &Builder{}
	}
	return &Builder{router: *r, shared: true}
}

// SetSealer sets what opens connection IDs.
func (b *Builder) SetSealer(sealer *lentilid.Sealer) { b.router.sealer = sealer }

// SetOut sets whether operators have taken a failure domain out.
func (b *Builder) SetOut(domain lentilid.Domain, out bool) { b.router.out[domain] = out }

// ServiceRouting is what a Builder needs to know about a service.
type ServiceRouting struct {
	// Protocol is how the service's packets tell their flow.
	Protocol Protocol
	// Table gives buckets to agents. Nil is a table without a member.
	Table *Table
	// TableWithoutSelf is the table as it would be without this node's own agent, or nil: an
	// agent that has just joined finds with it who owned its buckets before.
	TableWithoutSelf *Table
	// LivePlaces lists the places that may hold flows, also of copies that leave. The
	// router keeps the slice.
	LivePlaces []lentilid.Place
	// GonePlaces holds the places that are known to hold no flows any more. The router
	// keeps the map.
	GonePlaces map[lentilid.Place]bool
}

// SetService sets what the router knows about a service.
func (b *Builder) SetService(number lentilid.Service, s ServiceRouting) {
	b.unshareServices()
	if s.Table == nil {
		s.Table = &Table{}
	}
	b.router.services[number] = &serviceEntry{protocol: s.Protocol, table: s.Table, tableWithoutSelf: s.TableWithoutSelf, livePlaces: s.LivePlaces, gonePlaces: s.GonePlaces}
}

// RemoveService makes a service unknown.
func (b *Builder) RemoveService(service lentilid.Service) {
	b.unshareServices()
	delete(b.router.services, service)
}

// unshareServices makes sure that the map of services belongs to this builder.
func (b *Builder) unshareServices() {
	if b.shared || b.router.services == nil {
		b.router.services = maps.Clone(b.router.services)
		b.shared = false
	}
	if b.router.services == nil {
		b.router.services = make(map[lentilid.Service]*serviceEntry)
	}
}

// Build returns the router. The builder must not be used afterwards.
func (b *Builder) Build() *Router { return &b.router }
