package lentilroute

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Verdict says what happens to a packet from a caller.
type Verdict uint8

// The verdicts.
const (
	// Unknown is the zero value; Classify and Route never return it.
	Unknown Verdict = iota
	// ToPlace sends the packet to the place that it carries.
	ToPlace
	// ToBucket sends the packet to the agent that owns the flow's bucket.
	ToBucket
	// DropMalformed is for a packet without a valid QUIC header.
	DropMalformed
	// DropForged is for a connection ID that names a known key but was not sealed with it.
	DropForged
	// DropWrongService is for a place that belongs to another service.
	DropWrongService
	// DropDomainOut is for a place in a failure domain that operators have taken out of service.
	DropDomainOut
	// DropNoService is for a service that is unknown at this node.
	DropNoService
	// DropNoCopy is for a new flow of a service none of whose copies takes new work.
	DropNoCopy
)

// Decision says where a packet goes.
type Decision struct {
	// Verdict is ToPlace, ToBucket or the reason to drop the packet.
	Verdict Verdict
	// Place is the agent to which the packet goes.
	Place lentilid.Place
	// Hash selects the bucket of the flow. It is set only for ToBucket.
	Hash uint64
}

// Router is an immutable snapshot of the state by which packets are routed. The zero
// Router has no services.
type Router struct {
	sealer   *lentilid.Sealer
	services map[lentilid.Service]*serviceEntry
	out      [256]bool
}

// serviceEntry is the state of one service.
type serviceEntry struct {
	protocol Protocol
	table    *Table
	// tableWithoutSelf is the table without this node's own agent, or nil.
	tableWithoutSelf *Table
	livePlaces       []lentilid.Place
	gonePlaces       map[lentilid.Place]bool
}

// emptySealer has no keys and opens no connection ID.
var emptySealer lentilid.Sealer

// Route decides where a packet goes that the caller at the address client sent to a
// service. It doesn't allocate memory and doesn't retain the packet.
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

// Sealer returns the sealer that opens connection IDs. It is never nil.
func (r *Router) Sealer() *lentilid.Sealer {
	if r.sealer == nil {
		return &emptySealer
	}
	return r.sealer
}

// Protocol returns the protocol of a service, QUIC if the service is unknown.
func (r *Router) Protocol(service lentilid.Service) Protocol {
	if e := r.services[service]; e != nil {
		return e.protocol
	}
	return QUIC
}

// Out reports whether operators have taken the failure domain out of service.
func (r *Router) Out(domain lentilid.Domain) bool { return r.out[domain] }

// Gone reports whether a place is known to hold no flows any more: its agent has ended
// or become unresponsive, or its failure domain is out of service. An agent that this
// node has never seen doesn't count as gone.
func (r *Router) Gone(place lentilid.Place) bool {
	if r.out[place.Domain()] {
		return true
	}
	e := r.services[place.Service()]
	return e != nil && e.gonePlaces[place]
}

// Table returns the table of a service, or nil if the service is unknown.
func (r *Router) Table(service lentilid.Service) *Table {
	if e := r.services[service]; e != nil {
		return e.table
	}
	return nil
}

// PreferredCandidates appends to dst the places that are likely to hold a flow with the
// given hash, the most likely first and each once. These are the owner of the bucket
// and its previous owners at the time now. Until the table is settled, the agent that
// would own the bucket without this node's own agent is one, too.
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

// FallbackCandidates returns all places that may hold flows of a service, or nil once the
// table is settled. They are needed after a change of members: nodes that learn of
// overlapping changes in different orders remember different owners of a bucket. The
// caller must not modify the slice.
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

// TableWithoutSelf returns the table of a service without this node's own agent, or nil
// if there is none.
func (r *Router) TableWithoutSelf(service lentilid.Service) *Table {
	if e := r.services[service]; e != nil {
		return e.tableWithoutSelf
	}
	return nil
}

// ServicesWithExpiredOwners returns the services whose tables hold expired previous owners.
func (r *Router) ServicesWithExpiredOwners(now time.Time) (services []lentilid.Service) {
	for service, e := range r.services {
		if e.table.HasExpiredOwners(now) {
			services = append(services, service)
		}
	}
	return services
}

// Builder builds a Router from an earlier one. The zero Builder starts from the zero
// Router.
type Builder struct {
	router Router
	// shared is true while services is still the map of the earlier router.
	shared bool
}

// NewBuilder returns a builder that starts from r, without modifying r. A nil r is the
// zero Router.
func NewBuilder(r *Router) *Builder {
	if r == nil {
		return &Builder{}
	}
	return &Builder{router: *r, shared: true}
}

// SetSealer sets the sealer that opens connection IDs.
func (b *Builder) SetSealer(sealer *lentilid.Sealer) { b.router.sealer = sealer }

// SetOut sets whether operators have taken a failure domain out of service.
func (b *Builder) SetOut(domain lentilid.Domain, out bool) { b.router.out[domain] = out }

// ServiceRouting is the state of a service that a Builder puts into a Router.
type ServiceRouting struct {
	// Protocol is the protocol of the service.
	Protocol Protocol
	// Table assigns buckets to agents. Nil means a table without members.
	Table *Table
	// TableWithoutSelf is the table without this node's own agent, or nil. With it, an
	// agent that has just joined finds the previous owners of its buckets.
	TableWithoutSelf *Table
	// LivePlaces lists the places that may hold flows, including those of copies that
	// are leaving. The router retains the slice.
	LivePlaces []lentilid.Place
	// GonePlaces holds the places that are known to hold no flows any more. The router
	// retains the map.
	GonePlaces map[lentilid.Place]bool
}

// SetService adds or replaces a service.
func (b *Builder) SetService(service lentilid.Service, routing ServiceRouting) {
	b.unshareServices()
	if routing.Table == nil {
		routing.Table = &Table{}
	}
	b.router.services[service] = &serviceEntry{
		protocol:         routing.Protocol,
		table:            routing.Table,
		tableWithoutSelf: routing.TableWithoutSelf,
		livePlaces:       routing.LivePlaces,
		gonePlaces:       routing.GonePlaces,
	}
}

// RemoveService removes a service.
func (b *Builder) RemoveService(service lentilid.Service) {
	b.unshareServices()
	delete(b.router.services, service)
}

// unshareServices makes sure that the map of services is not shared with the earlier router.
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
