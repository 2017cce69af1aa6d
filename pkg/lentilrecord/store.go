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
	// DefaultLeaseDuration is how long a lease lasts without a heartbeat.
	DefaultLeaseDuration = 3 * time.Second
	// DefaultGoneLeaseDuration is how long the lease on a Gone record is kept up,
	// so that every node that can hold an older version learns of the end.
	DefaultGoneLeaseDuration = time.Minute
	// DefaultUnattestedRetention is how long a record for which nobody vouches is kept.
	DefaultUnattestedRetention = 2 * time.Hour
	// MaxUnattested bounds the records for which nobody vouches.
	MaxUnattested = 32 << 10
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
	// LeaseDuration is how long a lease lasts without a heartbeat; 0 means DefaultLease.
	LeaseDuration time.Duration
	// GoneLeaseDuration is how long a lease on a Gone record lasts; 0 means DefaultGoneRetention.
	GoneLeaseDuration time.Duration
	// UnattestedRetention is how long a record without a voucher is kept; 0 means DefaultStray.
	UnattestedRetention time.Duration

	entries    map[lentilid.Incarnation]*entry
	leases     map[lentilid.Incarnation]*entry
	unattested map[lentilid.Incarnation]*entry
	attestors  map[lentilid.Incarnation]Attestor
	versions   VersionMap
	// leasedAgents is the list of owners with a lease here, out of date while heldChanged.
	leasedAgents      []lentilid.Incarnation
	leasedAgentsStale bool
	// rejectedCount counts records that no agent could have made or that contradict a known one.
	rejectedCount uint64
	// changed holds owners for the next TakeChanged.
	changed []lentilid.Incarnation
	// lastExpireAt is when Expire last ran.
	lastExpireAt time.Time
}

// entry is a record with what this balancer knows about its leases.
type entry struct {
	record Record
	// hasRecord is false while only vouches have come, and no record.
	hasRecord bool
	// attestors counts the balancers that vouch, near those of them that are in contact.
	attestors        int
	reachedAttestors int
	// unattestedSince is since when nobody vouches.
	unattestedSince time.Time
	// leaseEndsAt is when the leaseEndsAt held here ends without a heartbeat.
	leaseEndsAt time.Time
	// heartbeatSequence is the number of the latest heartbeat here, heard when it came, and reported
	// the version of the configuration in force at the agent then.
	heartbeatSequence    uint64
	heartbeatAt          time.Time
	configurationVersion uint64
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
		s.rejectedCount++
		return
	}
	e := s.entry(r.Owner().Incarnation)
	if e.hasRecord && (e.record.Owner() != r.Owner() || e.record.doc.Service != r.doc.Service) {
		s.rejectedCount++
		return
	}
	if e.hasRecord && e.record.Version() >= r.Version() {
		return
	}
	e.record = r
	e.load = r.Load()
	e.hasRecord = true
	s.syncVersionMap(r.Owner().Incarnation, e)
	s.enforceUnattestedLimit()
}

// valid reports whether the record could have been made by an agent.
func (r Record) valid() bool {
	d := r.doc
	return d.Owner.Copy != "" && d.Owner.Incarnation != 0 && d.Version != 0 && d.Service != 0 &&
		d.Phase >= Warming && d.Phase <= Gone && d.Tunnel.Addr().Is4() && d.Control.Addr().Is4()
}

func (s *Store) entry(owner lentilid.Incarnation) *entry {
	s.initialize()
	e := s.entries[owner]
	if e == nil {
		e = &entry{unattestedSince: s.now()}
		s.entries[owner] = e
		s.unattested[owner] = e
	}
	return e
}

func (s *Store) initialize() {
	if s.entries != nil {
		return
	}
	s.entries = map[lentilid.Incarnation]*entry{}
	s.leases = map[lentilid.Incarnation]*entry{}
	s.unattested = map[lentilid.Incarnation]*entry{}
	s.attestors = map[lentilid.Incarnation]Attestor{}
}

// Attestor is what a balancer that is not known to be dead vouches for.
type Attestor struct {
	// Owners are those whose leases the balancer holds, in order.
	Owners []lentilid.Incarnation
	// Reached is true if the balancer is in contact.
	Reached bool
}

// SetAttestor sets what a balancer vouches for. The zero Voucher withdraws all; a
// balancer that dies vouches for nobody.
func (s *Store) SetAttestor(holder lentilid.Incarnation, voucher Attestor) {
	former := s.attestors[holder]
	if former.Reached == voucher.Reached && slices.Equal(former.Owners, voucher.Owners) {
		return
	}
	s.initialize()
	for _, owner := range voucher.Owners {
		s.adjustAttestors(owner, 1, voucher.Reached)
	}
	for _, owner := range former.Owners {
		s.adjustAttestors(owner, -1, former.Reached)
	}
	voucher.Owners = slices.Clone(voucher.Owners)
	s.attestors[holder] = voucher
	if len(voucher.Owners) == 0 {
		delete(s.attestors, holder)
	}
}

func (s *Store) adjustAttestors(owner lentilid.Incarnation, change int, near bool) {
	e := s.entry(owner)
	wasLive := e.reachedAttestors > 0
	e.attestors += change
	if near {
		e.reachedAttestors += change
	}
	delete(s.unattested, owner)
	if e.attestors == 0 {
		e.unattestedSince = s.now()
		s.unattested[owner] = e
	}
	s.syncVersionMap(owner, e)
	if wasLive != (e.reachedAttestors > 0) {
		s.changed = append(s.changed, owner)
	}
}

// syncVersionMap keeps the owner-version map in step with an entry.
func (s *Store) syncVersionMap(owner lentilid.Incarnation, e *entry) {
	rank, wasShown := s.versions.Rank(uint64(owner))
	shown := e.hasRecord && e.attestors > 0
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

// RenewLease notes a heartbeat of an agent that came to this balancer, and so takes
// or renews a lease. Beats that arrive late or twice change nothing.
func (s *Store) RenewLease(r Record, beat, configuration uint64) {
	s.apply(r)
	owner := r.Owner().Incarnation
	e := s.entries[owner]
	if e == nil || !e.hasRecord || e.record.Owner() != r.Owner() || beat <= e.heartbeatSequence || e.superseded {
		return
	}
	if s.leases[owner] == nil {
		s.endSupersededLeases(r)
	}
	now := s.now()
	e.leaseEndsAt = now.Add(s.leaseDuration())
	if e.record.Phase() == Gone {
		e.leaseEndsAt = now.Add(s.goneLeaseDuration())
	}
	if s.leases[owner] == nil {
		s.leases[owner] = e
		s.leasedAgentsStale = true
	}
	e.heartbeatSequence = beat
	e.heartbeatAt = now
	e.load = r.Load()
	e.configurationVersion = configuration
}

// endSupersededLeases ends the leases of other owners at the address of a new lease: one
// process alone can serve there, and the newcomer was heard last.
func (s *Store) endSupersededLeases(r Record) {
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
	jumped := !s.lastExpireAt.IsZero() && (now.Sub(s.lastExpireAt) > s.leaseDuration() || now.Before(s.lastExpireAt))
	s.lastExpireAt = now
	for owner, e := range s.leases {
		if jumped || !now.Before(e.leaseEndsAt) {
			s.endLease(owner)
		}
	}
	for owner, e := range s.unattested {
		if s.leases[owner] == nil && now.Sub(e.unattestedSince) >= s.unattestedRetention() {
			s.remove(owner)
		}
	}
}

func (s *Store) endLease(owner lentilid.Incarnation) {
	delete(s.leases, owner)
	s.leasedAgentsStale = true
}

// Discard forgets everything. Leases must be renewed by heartbeats: a process that
// was away cannot know whether those it held have ended.
func (s *Store) Discard() {
	clear(s.leases)
	s.leasedAgentsStale = true
	for holder := range s.attestors {
		s.SetAttestor(holder, Attestor{})
	}
	for owner := range s.entries {
		s.remove(owner)
	}
}

// enforceUnattestedLimit drops the oldest stray when there are too many, so that no peer can
// fill the memory.
func (s *Store) enforceUnattestedLimit() {
	if len(s.unattested) <= MaxUnattested {
		return
	}
	var oldest lentilid.Incarnation
	var at time.Time
	for owner, e := range s.unattested {
		if s.leases[owner] == nil && (oldest == 0 || e.unattestedSince.Before(at)) {
			oldest, at = owner, e.unattestedSince
		}
	}
	if oldest != 0 {
		s.remove(oldest)
	}
}

func (s *Store) remove(owner lentilid.Incarnation) {
	delete(s.entries, owner)
	delete(s.unattested, owner)
	s.versions.Delete(uint64(owner))
}

func (s *Store) now() time.Time { return lentilclock.OrSystem(s.Clock).Now() }

func (s *Store) leaseDuration() time.Duration { return cmp.Or(s.LeaseDuration, DefaultLeaseDuration) }
func (s *Store) goneLeaseDuration() time.Duration {
	return cmp.Or(s.GoneLeaseDuration, DefaultGoneLeaseDuration)
}
func (s *Store) unattestedRetention() time.Duration {
	return cmp.Or(s.UnattestedRetention, DefaultUnattestedRetention)
}
