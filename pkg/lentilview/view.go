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
	// DefaultWindowDatagram is for flows whose packets don't carry a place. They
	// survive changes if they send at least one packet in this time.
	DefaultWindowDatagram = 15 * time.Minute
	// DefaultWindowQUIC is for QUIC flows, which need it until their first answer.
	DefaultWindowQUIC = 20 * time.Second
)

// View is what a node believes. It is not safe for use by several goroutines;
// the routers that it makes are. The zero View works and knows no service.
type View struct {
	// Clock tells the time. Nil means the machine's clock.
	Clock lentilclock.Clock
	// Sealer opens connection IDs. It may be replaced; Router tells it on.
	Sealer *lentilid.Sealer
	// Window replaces the default windows if it isn't zero.
	Window time.Duration
	// Self is the owner of this node's own record, at an agent that also observes
	// that record. It is zero at a balancer.
	Self lentilrecord.Owner
	// Protocol returns the protocol of a service. Nil means QUIC.
	Protocol func(service *lentilconfig.Service) lentilroute.Protocol

	configuration lentilconfig.Configuration
	records       map[lentilrecord.Owner]lentilrecord.Record
	services      map[lentilid.Service]map[lentilrecord.Owner]bool
	names         contests[string]
	addresses     contests[netip.AddrPort]
	dirty         map[lentilid.Service]bool
	ended         map[lentilid.Service]map[lentilid.Place]time.Time
	router        *lentilroute.Router
	// sealer is the one that router has.
	sealer *lentilid.Sealer
	// pruned is when former owners were last looked through.
	pruned time.Time
}

// pruneEvery is how often former owners whose time is over are forgotten.
const pruneEvery = time.Minute

// Configure takes an accepted configuration. One that is not newer than the
// present one changes nothing.
func (v *View) Configure(configuration lentilconfig.Configuration) {
	if configuration.Version() <= v.configuration.Version() {
		return
	}
	earlier := v.configuration
	v.configuration = configuration
	v.markServices(earlier, configuration)
	v.markCopies(earlier, configuration)
}

// Observe takes a version of a record. A version that is not newer than the known
// one changes nothing. Every renewal is observed, also one that only has a new version,
// since a renewal shows which of two incarnations lives.
func (v *View) Observe(record lentilrecord.Record) {
	known, seen := v.records[record.Owner()]
	if seen && record.Version() <= known.Version() {
		return
	}
	owner := record.Owner()
	if seen && known.Place().Agent() != record.Place().Agent() {
		v.addresses.leave(known.Place().Agent(), owner, v.mark)
	}
	v.put(record)
	if record.Phase() == lentilrecord.Gone {
		v.end(record.Place())
	} else {
		delete(v.ended[record.Service()], record.Place())
	}
	v.names.advance(owner.Copy, owner, !seen, v.mark)
	v.addresses.advance(record.Place().Agent(), owner, !seen, v.mark)
	if !seen || changed(known, record) {
		v.dirty[record.Service()] = true
	}
}

// Forget takes note that an owner's lease has ended.
func (v *View) Forget(owner lentilrecord.Owner) {
	record, seen := v.records[owner]
	if !seen {
		return
	}
	delete(v.records, owner)
	delete(v.services[record.Service()], owner)
	v.end(record.Place())
	v.names.leave(owner.Copy, owner, v.mark)
	v.addresses.leave(record.Place().Agent(), owner, v.mark)
	v.dirty[record.Service()] = true
}

// Router returns the router for what the view believes now. It rebuilds the
// services that have changed since the last call and shares all others.
func (v *View) Router() *lentilroute.Router {
	v.prune()
	if v.router != nil && len(v.dirty) == 0 && v.sealer == v.Sealer {
		return v.router
	}
	v.sealer = v.Sealer
	builder := lentilroute.From(v.router)
	builder.SetSealer(v.Sealer)
	for domain := range 1 << 8 {
		number := lentilid.Domain(domain)
		builder.SetOut(number, v.out(number))
	}
	for service := range v.dirty {
		v.rebuild(builder, service)
	}
	v.router = builder.Router()
	clear(v.dirty)
	return v.router
}

// prune marks the services that hold former owners whose time is over.
func (v *View) prune() {
	now := v.now()
	if v.router == nil || now.Sub(v.pruned) < pruneEvery {
		return
	}
	v.pruned = now
	for _, service := range v.router.Stale(now) {
		v.dirty[service] = true
	}
}

// Version returns the version of the configuration in force at this node.
func (v *View) Version() uint64 { return v.configuration.Version() }

// Eligible returns the records of the copies that get new work of a service now.
func (v *View) Eligible(service lentilid.Service) (records []lentilrecord.Record) {
	for owner := range v.services[service] {
		if record := v.records[owner]; v.eligible(record) {
			records = append(records, record)
		}
	}
	return records
}

// put stores a record.
func (v *View) put(record lentilrecord.Record) {
	if v.records == nil {
		v.records = make(map[lentilrecord.Owner]lentilrecord.Record)
		v.services = make(map[lentilid.Service]map[lentilrecord.Owner]bool)
	}
	if v.dirty == nil {
		v.dirty = make(map[lentilid.Service]bool)
	}
	owner, service := record.Owner(), record.Service()
	if known, seen := v.records[owner]; seen && known.Service() != service {
		delete(v.services[known.Service()], owner)
		v.dirty[known.Service()] = true
	}
	v.records[owner] = record
	if v.services[service] == nil {
		v.services[service] = make(map[lentilrecord.Owner]bool)
	}
	v.services[service][owner] = true
}

// mark notes that the standing of an owner has changed.
func (v *View) mark(owner lentilrecord.Owner) {
	if record, seen := v.records[owner]; seen {
		v.dirty[record.Service()] = true
	}
}

// rebuild sets what a router knows about a service.
func (v *View) rebuild(builder *lentilroute.Builder, service lentilid.Service) {
	listed := v.configuration.Service(service)
	if listed == nil && len(v.services[service]) == 0 {
		builder.RemoveService(service)
		return
	}
	members, own := v.members(service)
	live := v.live(service)
	protocol := v.protocol(listed)
	table := v.table(service).Next(&lentilroute.Change{
		Members: members,
		Now:     v.now(),
		Window:  v.window(protocol),
		Alive:   func(place lentilid.Place) bool { return slices.Contains(live, place) },
	})
	builder.SetService(service, lentilroute.Service{
		Protocol: protocol,
		Table:    table,
		Without:  v.without(service, members, own),
		Live:     live,
		Gone:     v.gone(service),
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
	for _, record := range v.Eligible(service) {
		members = append(members, lentilroute.Member{Place: record.Place(), Weight: uint32(record.Weight())})
		if record.Owner() == v.Self {
			own = record.Place()
		}
	}
	return members, own
}

// without returns the table of all members but own, or nil if own is no member.
func (v *View) without(service lentilid.Service, members []lentilroute.Member, own lentilid.Place) (table *lentilroute.Table) {
	if own.IsZero() {
		return nil
	}
	if v.router != nil {
		table = v.router.Without(service)
	}
	return table.With(slices.DeleteFunc(members, func(m lentilroute.Member) bool { return m.Place == own }))
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
	return v.names.holds(record.Owner().Copy, record.Owner()) && v.addresses.holds(place.Agent(), record.Owner())
}

// live returns the places that may hold flows of a service, by address.
func (v *View) live(service lentilid.Service) (places []lentilid.Place) {
	for owner := range v.services[service] {
		record := v.records[owner]
		place := record.Place()
		if record.Phase() == lentilrecord.Gone || v.out(place.Domain()) || !v.addresses.holds(place.Agent(), owner) {
			continue
		}
		places = append(places, place)
	}
	slices.SortFunc(places, func(a, b lentilid.Place) int { return a.Agent().Compare(b.Agent()) })
	return places
}

// end notes that the agent at a place has ended or fallen silent.
func (v *View) end(place lentilid.Place) {
	if v.ended == nil {
		v.ended = make(map[lentilid.Service]map[lentilid.Place]time.Time)
	}
	if v.ended[place.Service()] == nil {
		v.ended[place.Service()] = make(map[lentilid.Place]time.Time)
	}
	v.ended[place.Service()][place] = v.now()
}

// gone returns the places that hold no flows any more, and forgets those that
// ended longer ago than flows are looked for.
func (v *View) gone(service lentilid.Service) (places map[lentilid.Place]bool) {
	for place, at := range v.ended[service] {
		if v.now().Sub(at) > max(v.Window, DefaultWindowDatagram) {
			delete(v.ended[service], place)
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

// window returns how long former owners are remembered.
func (v *View) window(protocol lentilroute.Protocol) time.Duration {
	switch {
	case v.Window != 0:
		return v.Window
	case protocol == lentilroute.QUIC:
		return DefaultWindowQUIC
	default:
		return DefaultWindowDatagram
	}
}
