package lentilrecord

import (
	"maps"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Lease is what a lease holder knows about an agent.
type Lease struct {
	record   Record
	silence  time.Duration
	reported uint64
}

// Record returns the agent's record, with the load of its latest heartbeat.
func (l Lease) Record() Record { return l.record }

// Silence returns the time since the latest heartbeat.
func (l Lease) Silence() time.Duration { return l.silence }

// Configuration returns the version of the configuration in force at the agent.
func (l Lease) Configuration() uint64 { return l.reported }

// Held returns the owners whose leases this balancer holds, in order. The caller
// must not change it.
func (s *Store) Held() []lentilid.Incarnation {
	if s.heldChanged {
		s.held = slices.Sorted(maps.Keys(s.leases))
		s.heldChanged = false
	}
	return s.held
}

// Leases returns the leases that this balancer holds, in order of their owners.
func (s *Store) Leases() (leases []Lease) {
	now := s.now()
	for _, owner := range s.Held() {
		e := s.entries[owner]
		leases = append(leases, Lease{record: e.current(), silence: now.Sub(e.heard), reported: e.reported})
	}
	return leases
}

// current returns the record with the load of the latest heartbeat.
func (e *entry) current() Record {
	doc := e.record.doc
	doc.Load = e.load
	return Record{doc: doc}
}

// Live returns the records for which a balancer in contact vouches and whose copies
// have not ended, in order of their owners.
func (s *Store) Live() (records []Record) {
	for _, e := range s.entries {
		if e.live() {
			records = append(records, e.current())
		}
	}
	slices.SortFunc(records, compareOwners)
	return records
}

// Peers returns the records of a service's agents whose leases this balancer
// holds, in order of their owners.
func (s *Store) Peers(service lentilid.Service) (records []Record) {
	for _, e := range s.leases {
		if e.record.Service() == service && e.record.Phase() != Gone {
			records = append(records, e.current())
		}
	}
	slices.SortFunc(records, compareOwners)
	return records
}

func compareOwners(a, b Record) int {
	if a.doc.Owner.Incarnation < b.doc.Owner.Incarnation {
		return -1
	}
	return 1
}

func (e *entry) live() bool { return e.known && e.near > 0 && e.record.Phase() != Gone }

// GetLive returns a live record by its owner's incarnation.
func (s *Store) GetLive(owner lentilid.Incarnation) (r Record, ok bool) {
	e := s.entries[owner]
	if e == nil || !e.live() {
		return Record{}, false
	}
	return e.record, true
}

// Get returns a record that is shown to peers, by its owner's incarnation.
func (s *Store) Get(owner lentilid.Incarnation) (r Record, ok bool) {
	e := s.entries[owner]
	if e == nil || !e.known || e.vouches == 0 {
		return Record{}, false
	}
	return e.record, true
}

// Rank returns the version held for an owner, live or not; 0 means none.
func (s *Store) Rank(owner lentilid.Incarnation) uint64 {
	e := s.entries[owner]
	if e == nil || !e.known {
		return 0
	}
	return e.record.Version()
}

// Versions returns the owner-version map of the records shown to peers. The caller must
// not change it.
func (s *Store) Versions() *Versions { return &s.versions }

// Refused returns how many records were refused as malformed or as claiming
// another owner's incarnation.
func (s *Store) Refused() uint64 { return s.refused }

// TakeChanged returns the owners whose records changed, or began or ceased to be
// shown or live, since the last call, and forgets them.
func (s *Store) TakeChanged() (owners []lentilid.Incarnation) {
	owners = s.changed
	s.changed = nil
	return owners
}
