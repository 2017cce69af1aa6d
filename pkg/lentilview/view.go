// Package lentilview merges the configuration of the operators and the records that
// agents announce into the router that decides where packets go.
//
// A copy gets new work only while all of the following hold. The configuration lists it
// for the service and failure domain that its agent announces. Neither the configuration
// nor its record says that it is draining. Its failure domain is in service. Its weight
// isn't zero. No other agent has taken over its name or its tunnel address.
//
// These conditions only decide about new work. Established flows stay at their copy while
// its agent lives, unless its failure domain goes out of service.
package lentilview

import (
	"net/netip"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

// How long the previous owners of a bucket are remembered.
const (
	// DefaultOwnerRetentionDatagram applies to flows whose packets don't carry a place.
	// Such a flow survives a change if it sends at least one packet in this time.
	DefaultOwnerRetentionDatagram = 15 * time.Minute
	// DefaultOwnerRetentionQUIC applies to QUIC flows. They need previous owners only until
	// the first answer, which carries a connection ID that holds the place.
	DefaultOwnerRetentionQUIC = 20 * time.Second
)

// View is a node's view of the configuration and the records. It is not safe for
// concurrent use; the routers that it returns are. The zero View is ready for use and
// has no services.
type View struct {
	// Clock is the source of the time. Nil means the system clock.
	Clock lentilclock.Clock
	// Sealer opens connection IDs. It may be replaced at any time; the next call of Router
	// returns a router with the new one.
	Sealer *lentilid.Sealer
	// OwnerRetention replaces the default owner retentions if it isn't zero.
	OwnerRetention time.Duration
	// Self is the owner of this node's own record. It is set at an agent that also applies
	// that record to the view, and zero at a balancer.
	Self lentilrecord.Owner
	// Protocol returns the protocol of a service. Nil means QUIC.
	Protocol func(service *lentilconfig.Service) lentilroute.Protocol

	configuration   lentilconfig.Configuration
	records         map[lentilrecord.Owner]lentilrecord.Record
	ownersByService map[lentilid.Service]map[lentilrecord.Owner]bool
	// copyOwners holds the current owner of each copy name.
	copyOwners ownershipTable[string]
	// addressOwners holds the current owner of each tunnel address.
	addressOwners ownershipTable[netip.AddrPort]
	// dirtyServices holds the services that the next call of Router rebuilds.
	dirtyServices map[lentilid.Service]bool
	// endedAt is when the agent at a place ended or became unresponsive.
	endedAt map[lentilid.Service]map[lentilid.Place]time.Time
	router  *lentilroute.Router
	// routerSealer is the sealer of router.
	routerSealer *lentilid.Sealer
	// prunedAt is when the tables were last checked for expired previous owners.
	prunedAt time.Time
}

// pruneInterval is the interval at which expired previous owners are removed.
const pruneInterval = time.Minute

// ApplyConfiguration applies an accepted configuration. It ignores a configuration that
// is not newer than the current one.
func (v *View) ApplyConfiguration(configuration lentilconfig.Configuration) {
	if configuration.Version() <= v.configuration.Version() {
		return
	}
	earlier := v.configuration
	v.configuration = configuration
	v.markChangedServices(earlier, configuration)
	v.markChangedCopies(earlier, configuration)
}

// ApplyRecord applies a version of a record. It ignores a version that is not newer than
// the known one. A renewal that only changes the version must be applied, too, since
// renewals show which of two incarnations is alive.
func (v *View) ApplyRecord(record lentilrecord.Record) {
	known, seen := v.records[record.Owner()]
	if seen && record.Version() <= known.Version() {
		return
	}
	owner := record.Owner()
	if seen && known.Place().Agent() != record.Place().Agent() {
		v.addressOwners.removeOwner(known.Place().Agent(), owner, v.markOwner)
	}
	v.storeRecord(record)
	if record.Phase() == lentilrecord.Gone {
		v.recordEnd(record.Place())
	} else {
		delete(v.endedAt[record.Service()], record.Place())
	}
	v.copyOwners.recordRenewal(owner.Copy, owner, !seen, v.markOwner)
	v.addressOwners.recordRenewal(record.Place().Agent(), owner, !seen, v.markOwner)
	if !seen || routingChanged(known, record) {
		v.dirtyServices[record.Service()] = true
	}
}

// RemoveRecord removes the record of an owner whose lease has ended.
func (v *View) RemoveRecord(owner lentilrecord.Owner) {
	record, seen := v.records[owner]
	if !seen {
		return
	}
	delete(v.records, owner)
	delete(v.ownersByService[record.Service()], owner)
	v.recordEnd(record.Place())
	v.copyOwners.removeOwner(owner.Copy, owner, v.markOwner)
	v.addressOwners.removeOwner(record.Place().Agent(), owner, v.markOwner)
	v.dirtyServices[record.Service()] = true
}

// Router returns the router for the current state of the view. It rebuilds the services
// that have changed since the last call, and shares all others with the last router.
func (v *View) Router() *lentilroute.Router {
	v.markExpired()
	if v.router != nil && len(v.dirtyServices) == 0 && v.routerSealer == v.Sealer {
		return v.router
	}
	v.routerSealer = v.Sealer
	builder := lentilroute.NewBuilder(v.router)
	builder.SetSealer(v.Sealer)
	for number := range 1 << 8 {
		domain := lentilid.Domain(number)
		builder.SetOut(domain, v.out(domain))
	}
	for service := range v.dirtyServices {
		v.rebuildService(builder, service)
	}
	v.router = builder.Build()
	clear(v.dirtyServices)
	return v.router
}

// markExpired marks as dirty the services with expired previous owners, at most once per
// pruneInterval.
func (v *View) markExpired() {
	now := v.now()
	if v.router == nil || now.Sub(v.prunedAt) < pruneInterval {
		return
	}
	v.prunedAt = now
	for _, service := range v.router.ServicesWithExpiredOwners(now) {
		v.dirtyServices[service] = true
	}
}

// ConfigurationVersion returns the version of the configuration in force at this node.
func (v *View) ConfigurationVersion() uint64 { return v.configuration.Version() }

// EligibleRecords returns the records of the copies that currently get new work of a service.
func (v *View) EligibleRecords(service lentilid.Service) (records []lentilrecord.Record) {
	for owner := range v.ownersByService[service] {
		if record := v.records[owner]; v.eligible(record) {
			records = append(records, record)
		}
	}
	return records
}

// storeRecord stores a record under its owner and its service.
func (v *View) storeRecord(record lentilrecord.Record) {
	if v.records == nil {
		v.records = make(map[lentilrecord.Owner]lentilrecord.Record)
		v.ownersByService = make(map[lentilid.Service]map[lentilrecord.Owner]bool)
	}
	if v.dirtyServices == nil {
		v.dirtyServices = make(map[lentilid.Service]bool)
	}
	owner, service := record.Owner(), record.Service()
	if known, seen := v.records[owner]; seen && known.Service() != service {
		delete(v.ownersByService[known.Service()], owner)
		v.dirtyServices[known.Service()] = true
	}
	v.records[owner] = record
	if v.ownersByService[service] == nil {
		v.ownersByService[service] = make(map[lentilrecord.Owner]bool)
	}
	v.ownersByService[service][owner] = true
}

// markOwner marks as dirty the service of an owner.
func (v *View) markOwner(owner lentilrecord.Owner) {
	if record, seen := v.records[owner]; seen {
		v.dirtyServices[record.Service()] = true
	}
}

// rebuildService sets the routing of a service in a builder.
func (v *View) rebuildService(builder *lentilroute.Builder, service lentilid.Service) {
	listed := v.configuration.Service(service)
	if listed == nil && len(v.ownersByService[service]) == 0 {
		builder.RemoveService(service)
		return
	}
	members, own := v.members(service)
	live := v.livePlaces(service)
	protocol := v.protocol(listed)
	table := v.table(service).WithChange(&lentilroute.Change{
		Members:        members,
		Now:            v.now(),
		OwnerRetention: v.ownerRetention(protocol),
		Alive:          func(place lentilid.Place) bool { return slices.Contains(live, place) },
	})
	builder.SetService(service, lentilroute.ServiceRouting{
		Protocol:         protocol,
		Table:            table,
		TableWithoutSelf: v.tableWithoutSelf(service, members, own),
		LivePlaces:       live,
		GonePlaces:       v.gonePlaces(service),
	})
}

// table returns the table of a service in the last router, or an empty table.
func (v *View) table(service lentilid.Service) (table *lentilroute.Table) {
	if v.router != nil {
		table = v.router.Table(service)
	}
	if table == nil {
		table = &lentilroute.Table{}
	}
	return table
}

// members returns the agents that get new work of a service. If this node's own agent is
// among them, own is its place.
func (v *View) members(service lentilid.Service) (members []lentilroute.Member, own lentilid.Place) {
	for _, record := range v.EligibleRecords(service) {
		members = append(members, lentilroute.Member{Place: record.Place(), Weight: uint32(record.Weight())})
		if record.Owner() == v.Self {
			own = record.Place()
		}
	}
	return members, own
}

// tableWithoutSelf returns the table of all members except own, or nil if own is zero. It
// modifies the slice of members.
func (v *View) tableWithoutSelf(service lentilid.Service, members []lentilroute.Member, own lentilid.Place) (table *lentilroute.Table) {
	if own.IsZero() {
		return nil
	}
	if v.router != nil {
		table = v.router.TableWithoutSelf(service)
	}
	return table.WithMembers(slices.DeleteFunc(members, func(m lentilroute.Member) bool { return m.Place == own }))
}

// eligible reports whether the copy of a record gets new work.
func (v *View) eligible(record lentilrecord.Record) bool {
	listed := v.configuration.Copy(record.Owner().Copy)
	place := record.Place()
	switch {
	case listed == nil, listed.Draining():
		return false
	case listed.Service() != record.Service(), listed.Domain() != place.Domain():
		return false
	case v.out(place.Domain()), record.Weight() == 0:
		return false
	case record.Phase() != lentilrecord.Warming && record.Phase() != lentilrecord.Ready:
		return false
	}
	return v.copyOwners.isCurrent(record.Owner().Copy, record.Owner()) && v.addressOwners.isCurrent(place.Agent(), record.Owner())
}

// livePlaces returns the places that may hold flows of a service, sorted by address.
func (v *View) livePlaces(service lentilid.Service) (places []lentilid.Place) {
	for owner := range v.ownersByService[service] {
		record := v.records[owner]
		place := record.Place()
		if record.Phase() == lentilrecord.Gone || v.out(place.Domain()) || !v.addressOwners.isCurrent(place.Agent(), owner) {
			continue
		}
		places = append(places, place)
	}
	slices.SortFunc(places, func(a, b lentilid.Place) int { return a.Agent().Compare(b.Agent()) })
	return places
}

// recordEnd records that the agent at a place has ended or become unresponsive.
func (v *View) recordEnd(place lentilid.Place) {
	if v.endedAt == nil {
		v.endedAt = make(map[lentilid.Service]map[lentilid.Place]time.Time)
	}
	if v.endedAt[place.Service()] == nil {
		v.endedAt[place.Service()] = make(map[lentilid.Place]time.Time)
	}
	v.endedAt[place.Service()][place] = v.now()
}

// gonePlaces returns the places of a service that hold no flows any more. It forgets
// places that ended so long ago that no flow is looked up at them any more.
func (v *View) gonePlaces(service lentilid.Service) (places map[lentilid.Place]bool) {
	for place, endedAt := range v.endedAt[service] {
		if v.now().Sub(endedAt) > max(v.OwnerRetention, DefaultOwnerRetentionDatagram) {
			delete(v.endedAt[service], place)
			continue
		}
		if places == nil {
			places = make(map[lentilid.Place]bool)
		}
		places[place] = true
	}
	return places
}

// out reports whether operators have taken a failure domain out of service.
func (v *View) out(number lentilid.Domain) bool {
	domain := v.configuration.Domain(number)
	return domain != nil && domain.Out()
}

// protocol returns the protocol of a service. It is QUIC for a nil service.
func (v *View) protocol(service *lentilconfig.Service) lentilroute.Protocol {
	if service == nil || v.Protocol == nil {
		return lentilroute.QUIC
	}
	return v.Protocol(service)
}

func (v *View) now() time.Time { return lentilclock.OrSystem(v.Clock).Now() }

// ownerRetention returns how long previous owners of buckets are remembered.
func (v *View) ownerRetention(protocol lentilroute.Protocol) time.Duration {
	switch {
	case v.OwnerRetention != 0:
		return v.OwnerRetention
	case protocol == lentilroute.QUIC:
		return DefaultOwnerRetentionQUIC
	default:
		return DefaultOwnerRetentionDatagram
	}
}
