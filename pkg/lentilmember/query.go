package lentilmember

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Numbers of members chosen for a task.
const (
	// ownDomainNeighbours is how many neighbours come from the own failure domain.
	ownDomainNeighbours = 3
	// bridgesPerDomain is how many members of a failure domain keep contact with another one.
	bridgesPerDomain = 2
	// lostMemberProbers is how many members of a failure domain look for a lost member.
	lostMemberProbers = 2
)

// Self returns the own entry.
func (t *Table) Self() Doc { return t.members[t.self].doc }

// Member returns the entry of a run, also of a dead one that is remembered.
func (t *Table) Member(run lentilid.Incarnation) (doc Doc, ok bool) {
	m := t.members[run]
	if m == nil {
		return Doc{}, false
	}
	return m.doc, true
}

// Rank returns the rank at which a run is known; 0 means that it is not known.
func (t *Table) Rank(run lentilid.Incarnation) uint64 {
	m := t.members[run]
	if m == nil {
		return 0
	}
	return m.doc.Rank()
}

// AliveMembers returns the members that count as alive and whose failure domains are
// reached, the own one included, in order of their runs. The caller must not change it.
func (t *Table) AliveMembers() []Doc {
	if !t.aliveStale {
		return t.aliveMembers
	}
	t.aliveMembers = make([]Doc, 0, len(t.members))
	for _, m := range t.members {
		if m.doc.CountsAsAlive() && slices.Contains(t.reachedDomains, m.doc.Domain) {
			t.aliveMembers = append(t.aliveMembers, m.doc)
		}
	}
	slices.SortFunc(t.aliveMembers, func(a, b Doc) int { return cmp.Compare(a.RunID, b.RunID) })
	t.aliveStale = false
	t.epoch++
	return t.aliveMembers
}

// Epoch changes whenever Alive may have changed.
func (t *Table) Epoch() uint64 {
	t.AliveMembers()
	return t.epoch
}

// Members returns all entries, in no order: also of the dead that are remembered,
// and of failure domains that are not reached.
func (t *Table) Members() (docs []Doc) {
	for _, m := range t.members {
		docs = append(docs, m.doc)
	}
	return docs
}

// Versions returns the owner-version map of the entries shown to peers. The
// caller must not change it.
func (t *Table) Versions() *lentilrecord.VersionMap { return &t.versions }

// TakeChanged returns the runs whose entries changed since the last call, and
// forgets them.
func (t *Table) TakeChanged() (runs []lentilid.Incarnation) {
	runs = t.changed
	t.changed = nil
	return runs
}

// DeclaredDead reports whether others have declared this run dead since the last
// Discard, so that what it has learned may be out of date.
func (t *Table) DeclaredDead() bool { return t.declaredDead }

// RejectedCount returns how many entries were refused as malformed.
func (t *Table) RejectedCount() uint64 { return t.rejectedCount }

// ReachedDomains returns the failure domains that count as reached, the own one
// included, in order. The caller must not change it.
func (t *Table) ReachedDomains() []string { return t.reachedDomains }

// Neighbours returns the members with which this one keeps up exchanges: some of
// its failure domain, and, if it is one of the bridges of its failure domain to another
// one, a member there. A bridge passes over members to avoid while there are others.
func (t *Table) Neighbours(avoid func(lentilid.Incarnation) bool) (neighbours []Doc) {
	self := t.Self()
	domains := map[string][]Doc{}
	for _, m := range t.members {
		if m.doc.CountsAsAlive() {
			domains[m.doc.Domain] = append(domains[m.doc.Domain], m.doc)
		}
	}
	own := domains[self.Domain]
	neighbours = pickRendezvous(own, "neighbour", uint64(self.RunID), ownDomainNeighbours+1)
	neighbours = slices.DeleteFunc(neighbours, func(d Doc) bool { return d.RunID == self.RunID })
	neighbours = neighbours[:min(ownDomainNeighbours, len(neighbours))]
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		place := slices.IndexFunc(pickRendezvous(own, domain, 0, bridgesPerDomain), func(d Doc) bool { return d.RunID == self.RunID })
		if domain != self.Domain && place >= 0 {
			neighbours = append(neighbours, chooseBridgePeer(domains[domain], self.Domain, place, avoid))
		}
	}
	return neighbours
}

// chooseBridgePeer chooses the member of another failure domain for the chooseBridgePeer at a place.
func chooseBridgePeer(theirs []Doc, domain string, place int, avoid func(lentilid.Incarnation) bool) Doc {
	theirs = pickRendezvous(theirs, domain, 0, len(theirs))
	for i := range theirs {
		if doc := theirs[(place+i)%len(theirs)]; !avoid(doc.RunID) {
			return doc
		}
	}
	return theirs[place%len(theirs)]
}

// LeaseHolders returns the n members of a region that shall hold the leases of the
// agents with a key, of different failure domains where there are enough.
func (t *Table) LeaseHolders(region string, key uint64, n int) (holders []Doc) {
	all := pickRendezvous(t.aliveInRegion(region), "holder", key, len(t.members))
	for _, doc := range all {
		other := !slices.ContainsFunc(holders, func(d Doc) bool { return d.Domain == doc.Domain })
		if len(holders) < n && other {
			holders = append(holders, doc)
		}
	}
	for _, doc := range all {
		if len(holders) < n && !containsRun(holders, doc.RunID) {
			holders = append(holders, doc)
		}
	}
	return holders
}

// aliveInRegion returns the living members of a region.
func (t *Table) aliveInRegion(region string) (docs []Doc) {
	for _, doc := range t.AliveMembers() {
		if doc.Region == region {
			docs = append(docs, doc)
		}
	}
	return docs
}

// HasAliveMember reports whether a living member is in a region.
func (t *Table) HasAliveMember(region string) bool {
	return slices.ContainsFunc(t.AliveMembers(), func(d Doc) bool { return d.Region == region })
}

// PlatformReaders returns the n members of the own region that shall read the platform.
// Nodes with different views may choose differently, which only adds reads.
func (t *Table) PlatformReaders(n int) []Doc {
	return pickRendezvous(t.aliveInRegion(t.Self().Region), "reader", 0, n)
}

// LostMembers returns the dead members of the own failure domain that this one shall look for.
func (t *Table) LostMembers() (lost []Doc) {
	self := t.Self()
	var own []Doc
	for _, doc := range t.AliveMembers() {
		if doc.Domain == self.Domain {
			own = append(own, doc)
		}
	}
	for run, m := range t.tombstones {
		if m.doc.State != Dead || m.doc.Domain != self.Domain {
			continue
		}
		if containsRun(pickRendezvous(own, "lost", uint64(run), lostMemberProbers), t.self) {
			lost = append(lost, m.doc)
		}
	}
	slices.SortFunc(lost, func(a, b Doc) int { return cmp.Compare(a.RunID, b.RunID) })
	return lost
}

// pickRendezvous returns the n members whose hashes with a task and a key are the highest,
// highest first.
func pickRendezvous(from []Doc, task string, key uint64, n int) (docs []Doc) {
	type candidate struct {
		place int
		hash  uint64
	}
	candidates := make([]candidate, 0, len(from))
	for place, doc := range from {
		candidates = append(candidates, candidate{place: place, hash: rendezvousHash(task, key, uint64(doc.RunID))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	for _, c := range candidates[:min(n, len(candidates))] {
		docs = append(docs, from[c.place])
	}
	return docs
}

func containsRun(docs []Doc, run lentilid.Incarnation) bool {
	return slices.ContainsFunc(docs, func(d Doc) bool { return d.RunID == run })
}

func rendezvousHash(task string, key, run uint64) uint64 {
	row := make([]byte, 0, 16+maxNameLength)
	row = binary.LittleEndian.AppendUint64(row, key)
	row = binary.LittleEndian.AppendUint64(row, run)
	return xxhash.Sum64(append(row, task...))
}
