// Package lentilview merges what operators want (configuration) and what agents
// announce (records) into the router that decides where packets go.
//
// A copy gets new work only while configuration lists it for the service and
// failure domain that its agent announces, neither says that it leaves, and its
// failure domain is in. Whatever else changes, flows that are established keep
// their way.
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

// How long former owners of a bucket are remembered.
const (
	// DefaultOwnerRetentionDatagram is for flows whose packets don't carry a place. They
	// survive changes if they send at least one packet in this time.
	DefaultOwnerRetentionDatagram = 15 * time.Minute
	// DefaultOwnerRetentionQUIC is for QUIC flows, which need it until their first answer.
	DefaultOwnerRetentionQUIC = 20 * time.Second
)

// View is what a node believes. It is not safe for use by several goroutines;
// the routers that it makes are. The zero View works and knows no service.
type View struct {
	// Clock tells the time. Nil means the machine's clock.
	Clock lentilclock.Clock
	// Sealer opens connection IDs. It may be replaced; Router tells it on.
	Sealer *lentilid.Sealer
	// OwnerRetention replaces the default windows if it isn't zero.
	OwnerRetention time.Duration
	// Self is the owner of this node's own record, at an agent that also observes
	// that record. It is zero at a balancer.
	Self lentilrecord.Owner
	// Protocol returns the protocol of a service. Nil means QUIC.
	Protocol func(service *lentilconfig.Service) lentilroute.Protocol

	configuration   lentilconfig.Configuration
	records         map[lentilrecord.Owner]lentilrecord.Record
	ownersByService map[lentilid.Service]map[lentilrecord.Owner]bool
	copyOwners      ownershipTable[string]
	addressOwners   ownershipTable[netip.AddrPort]
	dirtyServices   map[lentilid.Service]bool
	endedAt         map[lentilid.Service]map[lentilid.Place]time.Time
	router          *lentilroute.Router
	// routerSealer is the one that router has.
	routerSealer *lentilid.Sealer
	// prunedAt is when former owners were last looked through.
	prunedAt time.Time
}

// pruneInterval is how often former owners whose time is over are forgotten.
const pruneInterval = time.Minute

// ApplyConfiguration takes an accepted configuration. One that is not newer than the
// present one changes nothing.
func (v *View) ApplyConfiguration(configuration lentilconfig.Configuration) {
	if configuration.Version() <= v.configuration.Version() {
		return
	}
	earlier := v.configuration
	v.configuration = configuration
	v.markChangedServices(earlier, configuration)
	v.markChangedCopies(earlier, configuration)
}

// ApplyRecord takes a version of a record. A version that is not newer than the known
// one changes nothing. Every renewal is observed, also one that only has a new version,
// since a renewal shows which of two incarnations lives.
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

// RemoveRecord takes note that an owner's lease has ended.
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

// Router returns the router for what the view believes now. It rebuilds the
// services that have changed since the last call and shares all others.
func (v *View) Router() *lentilroute.Router {
	v.markExpired()
	if v.router != nil && len(v.dirtyServices) == 0 && v.routerSealer == v.Sealer {
		return v.router
	}
	v.routerSealer = v.Sealer
	builder := lentilroute.NewBuilder(v.router)
	builder.SetSealer(v.Sealer)
	for domain := range 1 << 8 {
		number := lentilid.Domain(domain)
		builder.SetOut(number, v.out(number))
	}
	for service := range v.dirtyServices {
		v.rebuildService(builder, service)
	}
	v.router = builder.Build()
	clear(v.dirtyServices)
	return v.router
}

// markExpired marks the services that hold former owners whose time is over.
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

// EligibleRecords returns the records of the copies that get new work of a service now.
func (v *View) EligibleRecords(service lentilid.Service) (records []lentilrecord.Record) {
	for owner := range v.ownersByService[service] {
		if record := v.records[owner]; v.eligible(record) {
			records = append(records, record)
		}
	}
	return records
}

// storeRecord stores a record.
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

// markOwner notes that the standing of an owner has changed.
func (v *View) markOwner(owner lentilrecord.Owner) {
	if record, seen := v.records[owner]; seen {
		v.dirtyServices[record.Service()] = true
	}
}

// rebuildService sets what a router knows about a service.
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

// table returns the present table of a service, never nil.
func (v *View) table(service lentilid.Service) (table *lentilroute.Table) {
	if v.router != nil {
		table = v.router.Table(service)
	}
	if table == nil {
		table = &lentilroute.Table{}
	}
	return table
}

// members returns the agents that get new work, and the place of this node's own agent.
func (v *View) members(service lentilid.Service) (members []lentilroute.Member, own lentilid.Place) {
	for _, record := range v.EligibleRecords(service) {
		members = append(members, lentilroute.Member{Place: record.Place(), Weight: uint32(record.Weight())})
		if record.Owner() == v.Self {
			own = record.Place()
		}
	}
	return members, own
}

// tableWithoutSelf returns the table of all members but own, or nil if own is no member.
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

// livePlaces returns the places that may hold flows of a service, by address.
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

// recordEnd notes that the agent at a place has ended or fallen silent.
func (v *View) recordEnd(place lentilid.Place) {
	if v.endedAt == nil {
		v.endedAt = make(map[lentilid.Service]map[lentilid.Place]time.Time)
	}
	if v.endedAt[place.Service()] == nil {
		v.endedAt[place.Service()] = make(map[lentilid.Place]time.Time)
	}
	v.endedAt[place.Service()][place] = v.now()
}

// gonePlaces returns the places that hold no flows any more, and forgets those that
// ended longer ago than flows are looked for.
func (v *View) gonePlaces(service lentilid.Service) (places map[lentilid.Place]bool) {
	for place, at := range v.endedAt[service] {
		if v.now().Sub(at) > max(v.OwnerRetention, DefaultOwnerRetentionDatagram) {
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

// out reports whether operators have taken a failure domain out.
func (v *View) out(number lentilid.Domain) bool {
	domain := v.configuration.Domain(number)
	return domain != nil && domain.Out()
}

// protocol returns the protocol of a service, which may be nil.
func (v *View) protocol(service *lentilconfig.Service) lentilroute.Protocol {
	if service == nil || v.Protocol == nil {
		return lentilroute.QUIC
	}
	return v.Protocol(service)
}

// now returns the time.
func (v *View) now() time.Time { return lentilclock.OrSystem(v.Clock).Now() }

// ownerRetention returns how long former owners are remembered.
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
