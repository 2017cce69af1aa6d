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
	// DefaultTombstoneAdvertiseTime is how long a dead member is shown to peers.
	DefaultTombstoneAdvertiseTime = 10 * time.Minute
	// DefaultTombstoneRetention is how long a dead member is remembered, so that an old
	// entry of it does not count again.
	DefaultTombstoneRetention = 24 * time.Hour
	// ReachedDomainDelay is how long after another member has listed a failure domain as
	// reached it counts as reached here, so that its entries have come before.
	ReachedDomainDelay = 2 * time.Second
	// MaxTombstones bounds the dead members that are remembered.
	MaxTombstones = 4096
)

// Table holds the members that one balancer knows. Only members of a failure
// domain judge the members of that failure domain. One that cannot be reached
// keeps its entries but does not count, so that a split between failure domains or
// regions ends without anybody having died.
//
// Join must be called first. It is not safe for use by several goroutines.
type Table struct {
	// Clock tells the time; nil means the machine's.
	Clock lentilclock.Clock
	// SuspicionTimeout is how long a suspect has to refute; 0 means DefaultSuspicion.
	SuspicionTimeout time.Duration
	// TombstoneAdvertiseTime is how long the dead are shown to peers; 0 means DefaultShown.
	TombstoneAdvertiseTime time.Duration
	// TombstoneRetention is how long the dead are remembered; 0 means DefaultRetention.
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
	// reachableSince holds since when other members of the failure domain list others as reached.
	reachableSince map[string]time.Time
	// reachedStale is true while listed may change by an entry or by time.
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

// Join makes this process a member. Fields that only a Table sets are ignored.
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

// Apply takes in entries that came from peers.
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

// refute answers a mark on this run, or a version that it made before it was
// restored, with a new version.
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
	own := doc.Domain == t.Self().Domain
	t.reachedStale = t.reachedStale || own
	if doc.State == Suspect && own {
		t.suspects[doc.RunID] = m
	}
	if !doc.CountsAsAlive() && doc.RunID != t.self {
		t.tombstones[doc.RunID] = m
		t.enforceTombstoneLimit()
	}
}

// MarkSuspect marks a member of the own failure domain that did not answer.
func (t *Table) MarkSuspect(run lentilid.Incarnation) {
	m := t.members[run]
	if m == nil || run == t.self || m.doc.State != Alive || m.doc.Domain != t.Self().Domain {
		return
	}
	doc := m.doc
	doc.State = Suspect
	t.put(doc)
}

// MarkReplaced marks the members at an address where another run has answered: their
// processes have ended.
func (t *Table) MarkReplaced(by Doc) {
	for _, m := range t.members {
		doc := m.doc
		if doc.Control == by.Control && doc.RunID != by.RunID && doc.RunID != t.self && doc.CountsAsAlive() {
			doc.State = Dead
			t.put(doc)
		}
	}
}

// SetLeasedAgents makes a new version of the own entry if the leases held have changed.
func (t *Table) SetLeasedAgents(owners []lentilid.Incarnation) {
	self := t.Self()
	if slices.Equal(self.LeasedAgents, owners) {
		return
	}
	self.LeasedAgents = slices.Clone(owners)
	self.Version++
	t.put(self)
}

// SetRegion makes a new version of the own entry if the region has changed, as
// when configuration first says to which region the failure domain belongs.
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
// contact have changed.
func (t *Table) SetReachableDomains(domains []string) {
	self := t.Self()
	if slices.Equal(self.ReachableDomains, domains) {
		return
	}
	self.ReachableDomains = slices.Clone(domains)
	self.Version++
	t.put(self)
}

// Leave marks the own entry as ended.
func (t *Table) Leave() {
	self := t.Self()
	self.State = Left
	self.LeasedAgents = nil
	self.Version++
	t.put(self)
}

// Expire declares suspects dead that did not refute in time, forgets the dead that
// have been remembered long enough, and works out which failure domains count as reached.
// After a jump of the clock the suspects get their whole time anew, since this
// process may have been paused.
func (t *Table) Expire() {
	now := t.now()
	jumped := !t.lastExpireAt.IsZero() && (now.Sub(t.lastExpireAt) > t.suspicionTimeout() || now.Before(t.lastExpireAt))
	t.lastExpireAt = now
	for _, m := range t.suspects {
		if jumped {
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

// updateReachedDomains works out which failure domains count as reached.
func (t *Table) updateReachedDomains(now time.Time) {
	if !t.reachedStale {
		return
	}
	self := t.Self()
	t.reachedStale = false
	reached := append([]string{self.Domain}, self.ReachableDomains...)
	listed := map[string]time.Time{}
	for _, m := range t.members {
		if m.doc.Domain != self.Domain || !m.doc.CountsAsAlive() || m.doc.RunID == t.self {
			continue
		}
		for _, domain := range m.doc.ReachableDomains {
			since, known := t.reachableSince[domain]
			if !known {
				since = now
			}
			listed[domain] = since
		}
	}
	for domain, since := range listed {
		if now.Sub(since) >= ReachedDomainDelay {
			reached = append(reached, domain)
		} else {
			t.reachedStale = true
		}
	}
	t.reachableSince = listed
	slices.Sort(reached)
	reached = slices.Compact(reached)
	if !slices.Equal(reached, t.reachedDomains) {
		t.reachedDomains = reached
		t.aliveStale = true
	}
}

// expireTombstones stops showing the tombstones that others know by now, and forgets
// those that nobody can bring back any more.
func (t *Table) expireTombstones(now time.Time) {
	for run, m := range t.tombstones {
		age := now.Sub(m.stateSince)
		if age >= cmp.Or(t.TombstoneAdvertiseTime, DefaultTombstoneAdvertiseTime) {
			t.versions.Delete(uint64(run))
		}
		if age >= cmp.Or(t.TombstoneRetention, DefaultTombstoneRetention) {
			t.remove(run)
		}
	}
}

// enforceTombstoneLimit drops the oldest tombstone when there are too many.
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

func (t *Table) remove(run lentilid.Incarnation) {
	delete(t.members, run)
	delete(t.tombstones, run)
	delete(t.suspects, run)
	t.versions.Delete(uint64(run))
	t.reachedStale = true
	t.aliveStale = true
}

// DiscardOthers forgets all other members. The process then joins anew by its seeds.
func (t *Table) DiscardOthers() {
	for run := range t.members {
		if run != t.self {
			t.remove(run)
		}
	}
	t.declaredDead = false
}

func (t *Table) now() time.Time { return lentilclock.OrSystem(t.Clock).Now() }

func (t *Table) suspicionTimeout() time.Duration {
	return cmp.Or(t.SuspicionTimeout, DefaultSuspicionTimeout)
}
