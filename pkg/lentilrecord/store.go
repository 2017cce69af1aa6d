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
	// DefaultGoneLeaseDuration is how long the lease on a Gone record lasts. It gives
	// every node that may hold an older version time to learn that the copy has ended.
	DefaultGoneLeaseDuration = time.Minute
	// DefaultUnattestedRetention is how long a record that no balancer attests is kept.
	DefaultUnattestedRetention = 2 * time.Hour
	// MaxUnattested limits the number of records that no balancer attests.
	MaxUnattested = 32 << 10
)

// Store keeps the records that one balancer knows, and decides which of them are
// advertised to peers and which are live. A balancer that holds the lease of a record's
// owner attests the record. A record is advertised while any balancer that is not known to
// be dead attests it. It is live while one of these balancers is also reached.
//
// A record whose owner no longer sends heartbeats therefore can't come back from a node
// that was away: the attestors' lists of owners are newer than the state of that node.
//
// The zero Store is ready to use. It is not safe for concurrent use.
type Store struct {
	// Clock returns the current time; nil means the system clock.
	Clock lentilclock.Clock
	// LeaseDuration is how long a lease lasts without a heartbeat; 0 means DefaultLeaseDuration.
	LeaseDuration time.Duration
	// GoneLeaseDuration is how long a lease on a Gone record lasts; 0 means DefaultGoneLeaseDuration.
	GoneLeaseDuration time.Duration
	// UnattestedRetention is how long a record that no balancer attests is kept;
	// 0 means DefaultUnattestedRetention.
	UnattestedRetention time.Duration

	entries    map[lentilid.Incarnation]*entry
	leases     map[lentilid.Incarnation]*entry
	unattested map[lentilid.Incarnation]*entry
	attestors  map[lentilid.Incarnation]Attestor
	versions   VersionMap
	// leasedAgents lists the keys of leases in ascending order. It is out of date while
	// leasedAgentsStale is true.
	leasedAgents      []lentilid.Incarnation
	leasedAgentsStale bool
	// rejectedCount counts records that no agent could have made, or that contradict a known record.
	rejectedCount uint64
	// changed lists the owners that the next TakeChanged returns.
	changed []lentilid.Incarnation
	// lastExpireAt is the time of the last Expire.
	lastExpireAt time.Time
}

// entry is a record with the leases known for its owner.
type entry struct {
	record Record
	// hasRecord is false if balancers attest the owner but no record has arrived yet.
	hasRecord bool
	// attestors counts the balancers that attest the record, reachedAttestors those of
	// them that are reached.
	attestors        int
	reachedAttestors int
	// unattestedSince is the time from which no balancer has attested the record.
	unattestedSince time.Time
	// leaseEndsAt is the time at which the lease held by this balancer ends without a
	// further heartbeat.
	leaseEndsAt time.Time
	// heartbeatSequence is the number of the latest heartbeat that this balancer received.
	// heartbeatAt is its arrival, and configurationVersion the version of the configuration
	// that it reported as in force at the agent.
	heartbeatSequence    uint64
	heartbeatAt          time.Time
	configurationVersion uint64
	// load is the latest load, from a heartbeat or from a newer record.
	load uint16
	// superseded is true once another owner has taken a lease at the same tunnel address.
	// heardSince is since when the superseded owner has sent heartbeats without a gap of
	// LeaseDuration; it is zero if it has sent none since.
	superseded bool
	heardSince time.Time
}

// Apply merges records that came from peers. Only a newer version of the same owner
// replaces a record.
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

// valid reports whether an agent could have made the record.
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

// Attestor is a balancer that is not known to be dead, with the owners whose records it attests.
type Attestor struct {
	// Owners lists the owners whose leases the balancer holds, in ascending order.
	Owners []lentilid.Incarnation
	// Reached is true if the balancer's failure domain counts as reached.
	Reached bool
}

// SetAttestor sets which owners a balancer attests. The zero Attestor withdraws all of
// them, as for a balancer that is dead.
func (s *Store) SetAttestor(holder lentilid.Incarnation, attestor Attestor) {
	previous := s.attestors[holder]
	if previous.Reached == attestor.Reached && slices.Equal(previous.Owners, attestor.Owners) {
		return
	}
	s.initialize()
	for _, owner := range attestor.Owners {
		s.adjustAttestors(owner, 1, attestor.Reached)
	}
	for _, owner := range previous.Owners {
		s.adjustAttestors(owner, -1, previous.Reached)
	}
	attestor.Owners = slices.Clone(attestor.Owners)
	s.attestors[holder] = attestor
	if len(attestor.Owners) == 0 {
		delete(s.attestors, holder)
	}
}

func (s *Store) adjustAttestors(owner lentilid.Incarnation, change int, reached bool) {
	e := s.entry(owner)
	wasLive := e.reachedAttestors > 0
	e.attestors += change
	if reached {
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

// syncVersionMap updates an owner's row in the version map: its record's version if the
// record is advertised, otherwise no row.
func (s *Store) syncVersionMap(owner lentilid.Incarnation, e *entry) {
	rank, wasAdvertised := s.versions.Rank(uint64(owner))
	advertised := e.hasRecord && e.attestors > 0
	switch {
	case advertised && (!wasAdvertised || rank != e.record.Version()):
		s.versions.Set(uint64(owner), e.record.Version())
	case !advertised && wasAdvertised:
		s.versions.Delete(uint64(owner))
	default:
		return
	}
	s.changed = append(s.changed, owner)
}

// RenewLease applies the record of an agent's heartbeat to this balancer, and takes or
// renews the agent's lease. Heartbeats that arrive late or twice do not renew the lease,
// and those of superseded owners only once the owner has returned.
func (s *Store) RenewLease(r Record, sequence, configurationVersion uint64) {
	s.apply(r)
	owner := r.Owner().Incarnation
	e := s.entries[owner]
	if e == nil || !e.hasRecord || e.record.Owner() != r.Owner() || sequence <= e.heartbeatSequence {
		return
	}
	now := s.now()
	silence := now.Sub(e.heartbeatAt)
	e.heartbeatSequence = sequence
	e.heartbeatAt = now
	e.load = r.Load()
	e.configurationVersion = configurationVersion
	if e.superseded {
		if e.heardSince.IsZero() || silence >= s.leaseDuration() || silence < 0 {
			e.heardSince = now
		}
		if !s.hasReturned(e) {
			return
		}
		e.superseded = false
		s.supersede(s.entries, e)
	}
	if s.leases[owner] == nil {
		// An owner that has ended doesn't serve at its address, so another one that does keeps its lease.
		if e.record.Phase() != Gone {
			s.supersede(s.leases, e)
		}
		s.leases[owner] = e
		s.leasedAgentsStale = true
	}
	e.leaseEndsAt = now.Add(s.leaseDuration())
	if e.record.Phase() == Gone {
		e.leaseEndsAt = now.Add(s.goneLeaseDuration())
	}
}

// supersede ends the leases of those of the given entries that are of other owners at the
// tunnel address of a new lease. Only one process can serve at an address, and the new
// owner sent the latest heartbeat.
func (s *Store) supersede(entries map[lentilid.Incarnation]*entry, by *entry) {
	for owner, e := range entries {
		if e != by && e.heartbeatSequence != 0 && e.record.doc.Tunnel == by.record.doc.Tunnel {
			e.superseded = true
			e.heardSince = time.Time{}
			s.endLease(owner)
		}
	}
}

// hasReturned reports whether a superseded owner serves at its address after all, since the
// heartbeat that superseded it was a late one of a process that had ended: it goes on sending
// heartbeats for as long as a lease lasts, and the lease of the other owner has ended.
func (s *Store) hasReturned(e *entry) bool {
	if s.now().Sub(e.heardSince) < s.leaseDuration() {
		return false
	}
	for _, other := range s.leases {
		if other != e && other.record.Phase() != Gone && other.record.doc.Tunnel == e.record.doc.Tunnel {
			return false
		}
	}
	return true
}

// Expire ends leases without a recent heartbeat, and removes records that no balancer has
// attested for UnattestedRetention, unless their lease is held here. If the clock has
// jumped back, or forward by more than LeaseDuration, all leases end, since this process
// can't know what it missed.
func (s *Store) Expire() {
	now := s.now()
	clockJumped := !s.lastExpireAt.IsZero() && (now.Sub(s.lastExpireAt) > s.leaseDuration() || now.Before(s.lastExpireAt))
	s.lastExpireAt = now
	for owner, e := range s.leases {
		if clockJumped || !now.Before(e.leaseEndsAt) {
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

// Discard removes all records, leases and attestors. Leases must then be taken again by
// heartbeats, since a process that was paused can't know whether its leases have ended.
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

// enforceUnattestedLimit removes the oldest record that no balancer attests when there are
// more than MaxUnattested. This keeps a peer from filling the memory. Records whose lease
// is held here stay.
func (s *Store) enforceUnattestedLimit() {
	if len(s.unattested) <= MaxUnattested {
		return
	}
	var oldest lentilid.Incarnation
	var oldestSince time.Time
	for owner, e := range s.unattested {
		if s.leases[owner] == nil && (oldest == 0 || e.unattestedSince.Before(oldestSince)) {
			oldest, oldestSince = owner, e.unattestedSince
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
