package lentilrecord

import (
	"maps"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Lease is the state of an agent as its lease holder knows it from heartbeats.
type Lease struct {
	record               Record
	heartbeatAge         time.Duration
	configurationVersion uint64
}

// Record returns the agent's record, with the load of its latest heartbeat.
func (l Lease) Record() Record { return l.record }

// HeartbeatAge returns the time since the latest heartbeat.
func (l Lease) HeartbeatAge() time.Duration { return l.heartbeatAge }

// ConfigurationVersion returns the version of the configuration in force at the agent.
func (l Lease) ConfigurationVersion() uint64 { return l.configurationVersion }

// LeasedAgents returns the owners whose leases this balancer holds, in ascending order.
// The caller must not change the slice.
func (s *Store) LeasedAgents() []lentilid.Incarnation {
	if s.leasedAgentsStale {
		s.leasedAgents = slices.Sorted(maps.Keys(s.leases))
		s.leasedAgentsStale = false
	}
	return s.leasedAgents
}

// Leases returns the leases that this balancer holds, ordered by owner.
func (s *Store) Leases() (leases []Lease) {
	now := s.now()
	for _, owner := range s.LeasedAgents() {
		e := s.entries[owner]
		leases = append(leases, Lease{record: e.recordWithLoad(), heartbeatAge: now.Sub(e.heartbeatAt), configurationVersion: e.configurationVersion})
	}
	return leases
}

// recordWithLoad returns the record with the load of the latest heartbeat.
func (e *entry) recordWithLoad() Record {
	doc := e.record.doc
	doc.Load = e.load
	return Record{doc: doc}
}

// LiveRecords returns the live records, ordered by owner: those that a reached balancer
// attests and whose copies have not ended.
func (s *Store) LiveRecords() (records []Record) {
	for _, e := range s.entries {
		if e.isLive() {
			records = append(records, e.recordWithLoad())
		}
	}
	slices.SortFunc(records, compareOwners)
	return records
}

// LeasedRecords returns the records of a service's agents whose leases this balancer
// holds, ordered by owner. Records of copies that have ended are left out.
func (s *Store) LeasedRecords(service lentilid.Service) (records []Record) {
	for _, e := range s.leases {
		if e.record.Service() == service && e.record.Phase() != Gone {
			records = append(records, e.recordWithLoad())
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

func (e *entry) isLive() bool {
	return e.hasRecord && e.reachedAttestors > 0 && e.record.Phase() != Gone
}

// LiveRecord returns the live record of an owner, without the load of later heartbeats.
func (s *Store) LiveRecord(owner lentilid.Incarnation) (r Record, ok bool) {
	e := s.entries[owner]
	if e == nil || !e.isLive() {
		return Record{}, false
	}
	return e.record, true
}

// AdvertisedRecord returns the record of an owner if it is advertised to peers.
func (s *Store) AdvertisedRecord(owner lentilid.Incarnation) (r Record, ok bool) {
	e := s.entries[owner]
	if e == nil || !e.hasRecord || e.attestors == 0 {
		return Record{}, false
	}
	return e.record, true
}

// Rank returns the version of the known record of an owner, whether live or not; 0 means
// that there is no record.
func (s *Store) Rank(owner lentilid.Incarnation) uint64 {
	e := s.entries[owner]
	if e == nil || !e.hasRecord {
		return 0
	}
	return e.record.Version()
}

// Versions returns the owner-version map of the records advertised to peers. The caller
// must not change it.
func (s *Store) Versions() *VersionMap { return &s.versions }

// RejectedCount returns the number of records rejected because they were malformed, or
// because they contradicted the copy name or the service known for their owner.
func (s *Store) RejectedCount() uint64 { return s.rejectedCount }

// TakeChanged returns the owners whose records changed since the last call, or started or
// stopped being advertised or live. It clears the list.
func (s *Store) TakeChanged() (owners []lentilid.Incarnation) {
	owners = s.changed
	s.changed = nil
	return owners
}
