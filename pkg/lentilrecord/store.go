package lentilrecord

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Defaults of a Store's settings.
const (
	// DefaultLease is how long a lease lasts without a heartbeat.
	DefaultLease = 3 * time.Second
	// DefaultGoneRetention is how long the lease on a Gone record is kept up,
	// so that every node that can hold an older version learns of the end.
	DefaultGoneRetention = time.Minute
	// DefaultStray is how long a record for which nobody vouches is kept.
	DefaultStray = 2 * time.Hour
	// MaxStrays bounds the records for which nobody vouches.
	MaxStrays = 32 << 10
)

// Store keeps the records that one balancer knows. A balancer that holds a lease of
// a record's owner vouches for the record. A record is shown to peers while any
// balancer that is not known to be dead vouches for it, and live while one that is also in contact
// does. So a record whose owner has fallen silent cannot come back from a node that
// was away: the lists of the balancers that vouch are newer than what it holds.
//
// The zero Store is ready to use. It is not safe for use by several goroutines.
type Store struct {
	// Clock tells the time; nil means the machine's.
	Clock lentilclock.Clock
	// Lease is how long a lease lasts without a heartbeat; 0 means DefaultLease.
	Lease time.Duration
	// GoneRetention is how long a lease on a Gone record lasts; 0 means DefaultGoneRetention.
	GoneRetention time.Duration
	// Stray is how long a record without a voucher is kept; 0 means DefaultStray.
	Stray time.Duration

	entries  map[lentilid.Incarnation]*entry
	leases   map[lentilid.Incarnation]*entry
	strays   map[lentilid.Incarnation]*entry
	vouchers map[lentilid.Incarnation]Voucher
	versions Versions
	// held is the list of owners with a lease here, out of date while heldChanged.
	held        []lentilid.Incarnation
	heldChanged bool
	// refused counts records that no agent could have made or that contradict a known one.
	refused uint64
	// changed holds owners for the next TakeChanged.
	changed []lentilid.Incarnation
	// expired is when Expire last ran.
	expired time.Time
}

// entry is a record with what this balancer knows about its leases.
type entry struct {
	record Record
	// known is false while only vouches have come, and no record.
	known bool
	// vouches counts the balancers that vouch, near those of them that are in contact.
	vouches int
	near    int
	// stray is since when nobody vouches.
	stray time.Time
	// lease is when the lease held here ends without a heartbeat.
	lease time.Time
	// beat is the number of the latest heartbeat here, heard when it came, and reported
	// the version of the configuration in force at the agent then.
	beat     uint64
	heard    time.Time
	reported uint64
	// load is the latest load, from a heartbeat or a newer record.
	load uint16
	// superseded is true once another owner took a lease at the same address.
	superseded bool
}

// Apply takes in records that came from peers. Only a newer version from the
// same owner replaces a record.
func (s *Store) Apply(records ...Record) {
	for _, r := range records {
		s.apply(r)
	}
}

func (s *Store) apply(r Record) {
	if !r.valid() {
		s.refused++
		return
	}
	e := s.entry(r.Owner().Incarnation)
	if e.known && (e.record.Owner() != r.Owner() || e.record.doc.Service != r.doc.Service) {
		s.refused++
		return
	}
	if e.known && e.record.Version() >= r.Version() {
		return
	}
	e.record = r
	e.load = r.Load()
	e.known = true
	s.settle(r.Owner().Incarnation, e)
	s.bound()
}

// valid reports whether the record could have been made by an agent.
func (r Record) valid() bool {
	d := r.doc
	return d.Owner.Copy != "" && d.Owner.Incarnation != 0 && d.Version != 0 && d.Service != 0 &&
		d.Phase >= Warming && d.Phase <= Gone && d.Tunnel.Addr().Is4() && d.Control.Addr().Is4()
}

func (s *Store) entry(owner lentilid.Incarnation) *entry {
	s.prepare()
	e := s.entries[owner]
	if e == nil {
		e = &entry{stray: s.now()}
		s.entries[owner] = e
		s.strays[owner] = e
	}
	return e
}

func (s *Store) prepare() {
	if s.entries != nil {
		return
	}
	s.entries = map[lentilid.Incarnation]*entry{}
	s.leases = map[lentilid.Incarnation]*entry{}
	s.strays = map[lentilid.Incarnation]*entry{}
	s.vouchers = map[lentilid.Incarnation]Voucher{}
}

// Voucher is what a balancer that is not known to be dead vouches for.
type Voucher struct {
	// Owners are those whose leases the balancer holds, in order.
	Owners []lentilid.Incarnation
	// Near is true if the balancer is in contact.
	Near bool
}

// Vouch sets what a balancer vouches for. The zero Voucher withdraws all; a
// balancer that dies vouches for nobody.
func (s *Store) Vouch(holder lentilid.Incarnation, voucher Voucher) {
	former := s.vouchers[holder]
	if former.Near == voucher.Near && slices.Equal(former.Owners, voucher.Owners) {
		return
	}
	s.prepare()
	for _, owner := range voucher.Owners {
		s.vouchFor(owner, 1, voucher.Near)
	}
	for _, owner := range former.Owners {
		s.vouchFor(owner, -1, former.Near)
	}
	voucher.Owners = slices.Clone(voucher.Owners)
	s.vouchers[holder] = voucher
	if len(voucher.Owners) == 0 {
		delete(s.vouchers, holder)
	}
}

func (s *Store) vouchFor(owner lentilid.Incarnation, change int, near bool) {
	e := s.entry(owner)
	wasLive := e.near > 0
	e.vouches += change
	if near {
		e.near += change
	}
	delete(s.strays, owner)
	if e.vouches == 0 {
		e.stray = s.now()
		s.strays[owner] = e
	}
	s.settle(owner, e)
	if wasLive != (e.near > 0) {
		s.changed = append(s.changed, owner)
	}
}

// settle keeps the owner-version map in step with an entry.
func (s *Store) settle(owner lentilid.Incarnation, e *entry) {
	rank, wasShown := s.versions.Rank(uint64(owner))
	shown := e.known && e.vouches > 0
	switch {
	case shown && (!wasShown || rank != e.record.Version()):
		s.versions.Set(uint64(owner), e.record.Version())
	case !shown && wasShown:
		s.versions.Delete(uint64(owner))
	default:
		return
	}
	s.changed = append(s.changed, owner)
}

// Renew notes a heartbeat of an agent that came to this balancer, and so takes
// or renews a lease. Beats that arrive late or twice change nothing.
func (s *Store) Renew(r Record, beat, configuration uint64) {
	s.apply(r)
	owner := r.Owner().Incarnation
	e := s.entries[owner]
	if e == nil || !e.known || e.record.Owner() != r.Owner() || beat <= e.beat || e.superseded {
		return
	}
	if s.leases[owner] == nil {
		s.supersede(r)
	}
	now := s.now()
	e.lease = now.Add(s.lease())
	if e.record.Phase() == Gone {
		e.lease = now.Add(s.goneRetention())
	}
	if s.leases[owner] == nil {
		s.leases[owner] = e
		s.heldChanged = true
	}
	e.beat = beat
	e.heard = now
	e.load = r.Load()
	e.reported = configuration
}

// supersede ends the leases of other owners at the address of a new lease: one
// process alone can serve there, and the newcomer was heard last.
func (s *Store) supersede(r Record) {
	for owner, e := range s.leases {
		if e.record.doc.Tunnel == r.doc.Tunnel && owner != r.doc.Owner.Incarnation {
			e.superseded = true
			s.endLease(owner)
		}
	}
}

// Expire ends the leases of silent owners and forgets old strays. A clock that
// has jumped by more than a lease ends every lease, since this process cannot
// know what it missed.
func (s *Store) Expire() {
	now := s.now()
	jumped := !s.expired.IsZero() && (now.Sub(s.expired) > s.lease() || now.Before(s.expired))
	s.expired = now
	for owner, e := range s.leases {
		if jumped || !now.Before(e.lease) {
			s.endLease(owner)
		}
	}
	for owner, e := range s.strays {
		if s.leases[owner] == nil && now.Sub(e.stray) >= s.stray() {
			s.forget(owner)
		}
	}
}

func (s *Store) endLease(owner lentilid.Incarnation) {
	delete(s.leases, owner)
	s.heldChanged = true
}

// Discard forgets everything. Leases must be renewed by heartbeats: a process that
// was away cannot know whether those it held have ended.
func (s *Store) Discard() {
	clear(s.leases)
	s.heldChanged = true
	for holder := range s.vouchers {
		s.Vouch(holder, Voucher{})
	}
	for owner := range s.entries {
		s.forget(owner)
	}
}

// bound drops the oldest stray when there are too many, so that no peer can
// fill the memory.
func (s *Store) bound() {
	if len(s.strays) <= MaxStrays {
		return
	}
	var oldest lentilid.Incarnation
	var at time.Time
	for owner, e := range s.strays {
		if s.leases[owner] == nil && (oldest == 0 || e.stray.Before(at)) {
			oldest, at = owner, e.stray
		}
	}
	if oldest != 0 {
		s.forget(oldest)
	}
}

func (s *Store) forget(owner lentilid.Incarnation) {
	delete(s.entries, owner)
	delete(s.strays, owner)
	s.versions.Delete(uint64(owner))
}

func (s *Store) now() time.Time { return lentilclock.OrSystem(s.Clock).Now() }

func (s *Store) lease() time.Duration { return cmp.Or(s.Lease, DefaultLease) }
func (s *Store) goneRetention() time.Duration {
	return cmp.Or(s.GoneRetention, DefaultGoneRetention)
}
func (s *Store) stray() time.Duration { return cmp.Or(s.Stray, DefaultStray) }
