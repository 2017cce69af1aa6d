package lentilmember

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Defaults of a Table's settings.
const (
	// DefaultSuspicionTimeout is how long a suspect member has to refute.
	DefaultSuspicionTimeout = 3 * time.Second
	// DefaultTombstoneAdvertiseTime is how long a dead member is advertised to peers.
	DefaultTombstoneAdvertiseTime = 10 * time.Minute
	// DefaultTombstoneRetention is how long a dead member is remembered. It keeps an
	// old entry of the member from counting as alive again.
	DefaultTombstoneRetention = 24 * time.Hour
	// ReachedDomainDelay is the time between another member listing a failure domain as
	// reachable and this one counting it as reached. It lets the entries of that failure
	// domain arrive first.
	ReachedDomainDelay = 2 * time.Second
	// MaxTombstones limits the number of dead members that are remembered.
	MaxTombstones = 4096
)

// Table holds the members that one balancer knows. Only members of the same failure
// domain suspect a member and declare it dead. When a failure domain is not reached,
// the entries of its members stay but do not count as alive. So no member is declared
// dead because of a network partition between failure domains or regions.
//
// Join must be called first. A Table is not safe for concurrent use.
type Table struct {
	// Clock returns the current time; nil means the system clock.
	Clock lentilclock.Clock
	// SuspicionTimeout is how long a suspect member has to refute; 0 means DefaultSuspicionTimeout.
	SuspicionTimeout time.Duration
	// TombstoneAdvertiseTime is how long a dead member is advertised to peers;
	// 0 means DefaultTombstoneAdvertiseTime.
	TombstoneAdvertiseTime time.Duration
	// TombstoneRetention is how long a dead member is remembered; 0 means DefaultTombstoneRetention.
	TombstoneRetention time.Duration

	self          lentilid.Incarnation
	members       map[lentilid.Incarnation]*member
	tombstones    map[lentilid.Incarnation]*member
	versions      lentilrecord.VersionMap
	changed       []lentilid.Incarnation
	rejectedCount uint64
	suspects      map[lentilid.Incarnation]*member
	declaredDead  bool
	lastExpireAt  time.Time
	// reachableSince holds, for each failure domain that another member of the own
	// failure domain lists as reachable, since when it has been listed.
	reachableSince map[string]time.Time
	// reachedStale is true while reachedDomains may be out of date: after a change of an
	// entry of the own failure domain, or while a ReachedDomainDelay runs.
	reachedStale   bool
	reachedDomains []string
	aliveMembers   []Doc
	epoch          uint64
	aliveStale     bool
}

// member is an entry with the time at which its state was learned.
type member struct {
	doc        Doc
	stateSince time.Time
}

// Join makes this process a member with the given entry. State is ignored, and
// Version is at least 1.
func (t *Table) Join(self Doc) {
	self.Version = max(self.Version, 1)
	self.State = Alive
	t.members = map[lentilid.Incarnation]*member{}
	t.tombstones = map[lentilid.Incarnation]*member{}
	t.suspects = map[lentilid.Incarnation]*member{}
	t.reachableSince = map[string]time.Time{}
	t.reachedDomains = []string{self.Domain}
	t.versions = lentilrecord.VersionMap{}
	t.self = self.RunID
	t.put(self.clone())
}

// Apply merges entries that came from peers.
func (t *Table) Apply(docs ...Doc) {
	for _, doc := range docs {
		t.apply(doc)
	}
}

func (t *Table) apply(doc Doc) {
	if !doc.valid() {
		t.rejectedCount++
		return
	}
	if doc.RunID == t.self {
		t.refute(doc)
		return
	}
	known := t.members[doc.RunID]
	if known != nil && known.doc.Rank() >= doc.Rank() {
		return
	}
	t.put(doc.clone())
}

// refute makes a new version of the own entry if a peer holds a higher rank of it. The
// peer's entry is a suspect or dead mark, or a version that this run made before it was
// restored to an earlier state.
func (t *Table) refute(doc Doc) {
	self := t.Self()
	if doc.Rank() <= self.Rank() || self.State == Left {
		return
	}
	if doc.State == Dead {
		t.declaredDead = true
	}
	self.Version = doc.Version + 1
	t.put(self)
}

func (t *Table) put(doc Doc) {
	m := &member{doc: doc, stateSince: t.now()}
	t.members[doc.RunID] = m
	t.versions.Set(uint64(doc.RunID), doc.Rank())
	t.changed = append(t.changed, doc.RunID)
	t.aliveStale = true
	delete(t.tombstones, doc.RunID)
	delete(t.suspects, doc.RunID)
	inOwnDomain := doc.Domain == t.Self().Domain
	t.reachedStale = t.reachedStale || inOwnDomain
	if doc.State == Suspect && inOwnDomain {
		t.suspects[doc.RunID] = m
	}
	if !doc.CountsAsAlive() && doc.RunID != t.self {
		t.tombstones[doc.RunID] = m
		t.enforceTombstoneLimit()
	}
}

// MarkSuspect marks a member that did not answer as suspect. It does nothing for
// members of another failure domain.
func (t *Table) MarkSuspect(runID lentilid.Incarnation) {
	m := t.members[runID]
	if m == nil || runID == t.self || m.doc.State != Alive || m.doc.Domain != t.Self().Domain {
		return
	}
	doc := m.doc
	doc.State = Suspect
	t.put(doc)
}

// MarkReplaced marks all other runs at the control address of the given entry as dead.
// A new run answers on that address, which means that their processes have ended. It does
// nothing if the given run is itself known as dead or left, since its answer is then a late
// one; a run that was wrongly declared dead refutes that first.
func (t *Table) MarkReplaced(newRun Doc) {
	if known := t.members[newRun.RunID]; known == nil || !known.doc.CountsAsAlive() {
		return
	}
	for _, m := range t.members {
		doc := m.doc
		if doc.Control == newRun.Control && doc.RunID != newRun.RunID && doc.RunID != t.self && doc.CountsAsAlive() {
			doc.State = Dead
			t.put(doc)
		}
	}
}

// SetLeasedAgents makes a new version of the own entry if the set of agents whose
// leases this member holds has changed.
func (t *Table) SetLeasedAgents(agents []lentilid.Incarnation) {
	self := t.Self()
	if slices.Equal(self.LeasedAgents, agents) {
		return
	}
	self.LeasedAgents = slices.Clone(agents)
	self.Version++
	t.put(self)
}

// SetRegion makes a new version of the own entry if the region has changed, for example
// when a configuration first assigns the own failure domain to a region.
func (t *Table) SetRegion(region string) {
	self := t.Self()
	if self.Region == region {
		return
	}
	self.Region = region
	self.Version++
	t.put(self)
}

// SetReachableDomains makes a new version of the own entry if the failure domains in
// contact with this member have changed.
func (t *Table) SetReachableDomains(domains []string) {
	self := t.Self()
	if slices.Equal(self.ReachableDomains, domains) {
		return
	}
	self.ReachableDomains = slices.Clone(domains)
	self.Version++
	t.put(self)
}

// Leave marks the own entry as left and removes its leases.
func (t *Table) Leave() {
	self := t.Self()
	self.State = Left
	self.LeasedAgents = nil
	self.Version++
	t.put(self)
}

// Expire declares suspects dead that did not refute in time, expires tombstones and
// updates which failure domains count as reached. After a jump of the clock each suspect
// gets the full SuspicionTimeout again, since this process may have been paused.
func (t *Table) Expire() {
	now := t.now()
	clockJumped := !t.lastExpireAt.IsZero() && (now.Sub(t.lastExpireAt) > t.suspicionTimeout() || now.Before(t.lastExpireAt))
	t.lastExpireAt = now
	for _, m := range t.suspects {
		if clockJumped {
			m.stateSince = now
		}
		if now.Sub(m.stateSince) >= t.suspicionTimeout() {
			doc := m.doc
			doc.State = Dead
			t.put(doc)
		}
	}
	t.expireTombstones(now)
	t.updateReachedDomains(now)
}

// updateReachedDomains sets which failure domains count as reached: the own one, those
// in contact with this member, and those that another alive member of the own failure
// domain has listed as reachable for ReachedDomainDelay.
func (t *Table) updateReachedDomains(now time.Time) {
	if !t.reachedStale {
		return
	}
	self := t.Self()
	t.reachedStale = false
	reached := append([]string{self.Domain}, self.ReachableDomains...)
	reachableSince := map[string]time.Time{}
	for _, m := range t.members {
		if m.doc.Domain != self.Domain || !m.doc.CountsAsAlive() || m.doc.RunID == t.self {
			continue
		}
		for _, domain := range m.doc.ReachableDomains {
			since, known := t.reachableSince[domain]
			if !known {
				since = now
			}
			reachableSince[domain] = since
		}
	}
	for domain, since := range reachableSince {
		if now.Sub(since) >= ReachedDomainDelay {
			reached = append(reached, domain)
		} else {
			t.reachedStale = true
		}
	}
	t.reachableSince = reachableSince
	slices.Sort(reached)
	reached = slices.Compact(reached)
	if !slices.Equal(reached, t.reachedDomains) {
		t.reachedDomains = reached
		t.aliveStale = true
	}
}

// expireTombstones stops advertising tombstones that the other members know by now. It
// removes those whose members can no longer come back by an old entry.
func (t *Table) expireTombstones(now time.Time) {
	for runID, m := range t.tombstones {
		age := now.Sub(m.stateSince)
		if age >= cmp.Or(t.TombstoneAdvertiseTime, DefaultTombstoneAdvertiseTime) {
			t.versions.Delete(uint64(runID))
		}
		if age >= cmp.Or(t.TombstoneRetention, DefaultTombstoneRetention) {
			t.remove(runID)
		}
	}
}

// enforceTombstoneLimit removes the oldest tombstone when there are more than MaxTombstones.
func (t *Table) enforceTombstoneLimit() {
	if len(t.tombstones) <= MaxTombstones {
		return
	}
	var oldest *member
	for _, m := range t.tombstones {
		if oldest == nil || m.stateSince.Before(oldest.stateSince) {
			oldest = m
		}
	}
	t.remove(oldest.doc.RunID)
}

func (t *Table) remove(runID lentilid.Incarnation) {
	delete(t.members, runID)
	delete(t.tombstones, runID)
	delete(t.suspects, runID)
	t.versions.Delete(uint64(runID))
	t.reachedStale = true
	t.aliveStale = true
}

// DiscardOthers removes all other members. The process must then join again through its seeds.
func (t *Table) DiscardOthers() {
	for runID := range t.members {
		if runID != t.self {
			t.remove(runID)
		}
	}
	t.declaredDead = false
}

func (t *Table) now() time.Time { return lentilclock.OrSystem(t.Clock).Now() }

func (t *Table) suspicionTimeout() time.Duration {
	return cmp.Or(t.SuspicionTimeout, DefaultSuspicionTimeout)
}
