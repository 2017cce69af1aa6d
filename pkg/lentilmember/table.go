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
	// DefaultSuspicion is how long a suspect member has to refute.
	DefaultSuspicion = 3 * time.Second
	// DefaultShown is how long a dead member is shown to peers.
	DefaultShown = 10 * time.Minute
	// DefaultRetention is how long a dead member is remembered, so that an old
	// entry of it does not count again.
	DefaultRetention = 24 * time.Hour
	// ReachDelay is how long after another member has listed a failure domain as
	// reached it counts as reached here, so that its entries have come before.
	ReachDelay = 2 * time.Second
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
	// Suspicion is how long a suspect has to refute; 0 means DefaultSuspicion.
	Suspicion time.Duration
	// Shown is how long the dead are shown to peers; 0 means DefaultShown.
	Shown time.Duration
	// Retention is how long the dead are remembered; 0 means DefaultRetention.
	Retention time.Duration

	self      lentilid.Incarnation
	members   map[lentilid.Incarnation]*member
	tombs     map[lentilid.Incarnation]*member
	versions  lentilrecord.Versions
	changed   []lentilid.Incarnation
	refused   uint64
	suspects  map[lentilid.Incarnation]*member
	condemned bool
	seen      time.Time
	// listed holds since when other members of the failure domain list others as reached.
	listed map[string]time.Time
	// relist is true while listed may change by an entry or by time.
	relist  bool
	reached []string
	alive   []Doc
	epoch   uint64
	stale   bool
}

// member is an entry with the time at which its state was learned.
type member struct {
	doc   Doc
	since time.Time
}

// Join makes this process a member. Fields that only a Table sets are ignored.
func (t *Table) Join(self Doc) {
	self.Version = max(self.Version, 1)
	self.State = Alive
	t.members = map[lentilid.Incarnation]*member{}
	t.tombs = map[lentilid.Incarnation]*member{}
	t.suspects = map[lentilid.Incarnation]*member{}
	t.listed = map[string]time.Time{}
	t.reached = []string{self.Domain}
	t.versions = lentilrecord.Versions{}
	t.self = self.Run
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
		t.refused++
		return
	}
	if doc.Run == t.self {
		t.refute(doc)
		return
	}
	known := t.members[doc.Run]
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
		t.condemned = true
	}
	self.Version = doc.Version + 1
	t.put(self)
}

func (t *Table) put(doc Doc) {
	m := &member{doc: doc, since: t.now()}
	t.members[doc.Run] = m
	t.versions.Set(uint64(doc.Run), doc.Rank())
	t.changed = append(t.changed, doc.Run)
	t.stale = true
	delete(t.tombs, doc.Run)
	delete(t.suspects, doc.Run)
	own := doc.Domain == t.Self().Domain
	t.relist = t.relist || own
	if doc.State == Suspect && own {
		t.suspects[doc.Run] = m
	}
	if !doc.Counts() && doc.Run != t.self {
		t.tombs[doc.Run] = m
		t.bound()
	}
}

// Suspect marks a member of the own failure domain that did not answer.
func (t *Table) Suspect(run lentilid.Incarnation) {
	m := t.members[run]
	if m == nil || run == t.self || m.doc.State != Alive || m.doc.Domain != t.Self().Domain {
		return
	}
	doc := m.doc
	doc.State = Suspect
	t.put(doc)
}

// Replaced marks the members at an address where another run has answered: their
// processes have ended.
func (t *Table) Replaced(by Doc) {
	for _, m := range t.members {
		doc := m.doc
		if doc.Control == by.Control && doc.Run != by.Run && doc.Run != t.self && doc.Counts() {
			doc.State = Dead
			t.put(doc)
		}
	}
}

// SetHeld makes a new version of the own entry if the leases held have changed.
func (t *Table) SetHeld(owners []lentilid.Incarnation) {
	self := t.Self()
	if slices.Equal(self.Held, owners) {
		return
	}
	self.Held = slices.Clone(owners)
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

// SetReaches makes a new version of the own entry if the failure domains in
// contact have changed.
func (t *Table) SetReaches(domains []string) {
	self := t.Self()
	if slices.Equal(self.Reaches, domains) {
		return
	}
	self.Reaches = slices.Clone(domains)
	self.Version++
	t.put(self)
}

// Leave marks the own entry as ended.
func (t *Table) Leave() {
	self := t.Self()
	self.State = Left
	self.Held = nil
	self.Version++
	t.put(self)
}

// Expire declares suspects dead that did not refute in time, forgets the dead that
// have been remembered long enough, and works out which failure domains count as reached.
// After a jump of the clock the suspects get their whole time anew, since this
// process may have been paused.
func (t *Table) Expire() {
	now := t.now()
	jumped := !t.seen.IsZero() && (now.Sub(t.seen) > t.suspicion() || now.Before(t.seen))
	t.seen = now
	for _, m := range t.suspects {
		if jumped {
			m.since = now
		}
		if now.Sub(m.since) >= t.suspicion() {
			doc := m.doc
			doc.State = Dead
			t.put(doc)
		}
	}
	t.expireTombstones(now)
	t.reach(now)
}

// reach works out which failure domains count as reached.
func (t *Table) reach(now time.Time) {
	if !t.relist {
		return
	}
	self := t.Self()
	t.relist = false
	reached := append([]string{self.Domain}, self.Reaches...)
	listed := map[string]time.Time{}
	for _, m := range t.members {
		if m.doc.Domain != self.Domain || !m.doc.Counts() || m.doc.Run == t.self {
			continue
		}
		for _, domain := range m.doc.Reaches {
			since, known := t.listed[domain]
			if !known {
				since = now
			}
			listed[domain] = since
		}
	}
	for domain, since := range listed {
		if now.Sub(since) >= ReachDelay {
			reached = append(reached, domain)
		} else {
			t.relist = true
		}
	}
	t.listed = listed
	slices.Sort(reached)
	reached = slices.Compact(reached)
	if !slices.Equal(reached, t.reached) {
		t.reached = reached
		t.stale = true
	}
}

// expireTombstones stops showing the tombstones that others know by now, and forgets
// those that nobody can bring back any more.
func (t *Table) expireTombstones(now time.Time) {
	for run, m := range t.tombs {
		age := now.Sub(m.since)
		if age >= cmp.Or(t.Shown, DefaultShown) {
			t.versions.Delete(uint64(run))
		}
		if age >= cmp.Or(t.Retention, DefaultRetention) {
			t.forget(run)
		}
	}
}

// bound drops the oldest tombstone when there are too many.
func (t *Table) bound() {
	if len(t.tombs) <= MaxTombstones {
		return
	}
	var oldest *member
	for _, m := range t.tombs {
		if oldest == nil || m.since.Before(oldest.since) {
			oldest = m
		}
	}
	t.forget(oldest.doc.Run)
}

func (t *Table) forget(run lentilid.Incarnation) {
	delete(t.members, run)
	delete(t.tombs, run)
	delete(t.suspects, run)
	t.versions.Delete(uint64(run))
	t.relist = true
	t.stale = true
}

// Discard forgets all other members. The process then joins anew by its seeds.
func (t *Table) Discard() {
	for run := range t.members {
		if run != t.self {
			t.forget(run)
		}
	}
	t.condemned = false
}

func (t *Table) now() time.Time { return lentilclock.OrSystem(t.Clock).Now() }

func (t *Table) suspicion() time.Duration { return cmp.Or(t.Suspicion, DefaultSuspicion) }
