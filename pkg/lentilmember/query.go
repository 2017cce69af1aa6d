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
	// ownDomainNeighbours is the number of neighbours in the own failure domain.
	ownDomainNeighbours = 3
	// bridgesPerDomain is the number of members of a failure domain that exchange state
	// with a given other failure domain.
	bridgesPerDomain = 2
	// lostMemberProbers is the number of members of a failure domain that probe a lost member.
	lostMemberProbers = 2
)

// Self returns the own entry.
func (t *Table) Self() Doc { return t.members[t.self].doc }

// Member returns the entry of a run, including that of a dead member that is still remembered.
func (t *Table) Member(runID lentilid.Incarnation) (doc Doc, ok bool) {
	m := t.members[runID]
	if m == nil {
		return Doc{}, false
	}
	return m.doc, true
}

// Rank returns the rank of the known entry of a run; 0 means that the run is not known.
func (t *Table) Rank(runID lentilid.Incarnation) uint64 {
	m := t.members[runID]
	if m == nil {
		return 0
	}
	return m.doc.Rank()
}

// AliveMembers returns the members that count as alive and whose failure domains are
// reached, including this one, ordered by run ID. The caller must not change the slice.
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

// Epoch returns a number that changes whenever AliveMembers may have changed.
func (t *Table) Epoch() uint64 {
	t.AliveMembers()
	return t.epoch
}

// Members returns all entries in no particular order. They include dead members that
// are still remembered and members of failure domains that are not reached.
func (t *Table) Members() (docs []Doc) {
	for _, m := range t.members {
		docs = append(docs, m.doc)
	}
	return docs
}

// Versions returns the owner-version map of the entries advertised to peers. The
// caller must not change it.
func (t *Table) Versions() *lentilrecord.VersionMap { return &t.versions }

// TakeChanged returns the runs whose entries changed since the last call, and
// clears the list.
func (t *Table) TakeChanged() (runIDs []lentilid.Incarnation) {
	runIDs = t.changed
	t.changed = nil
	return runIDs
}

// DeclaredDead reports whether other members have declared this run dead since the last
// DiscardOthers. What this run knows may then be out of date.
func (t *Table) DeclaredDead() bool { return t.declaredDead }

// RejectedCount returns the number of entries rejected as malformed.
func (t *Table) RejectedCount() uint64 { return t.rejectedCount }

// ReachedDomains returns the failure domains that count as reached, including the own
// one, in ascending order. The caller must not change the slice.
func (t *Table) ReachedDomains() []string { return t.reachedDomains }

// Neighbours returns the members with which this one exchanges state regularly: some of
// the own failure domain and, if this member is a bridge to another failure domain, one
// member of that domain. A bridge skips members that avoid reports, unless avoid reports
// all members of the other domain.
func (t *Table) Neighbours(avoid func(lentilid.Incarnation) bool) (neighbours []Doc) {
	self := t.Self()
	domains := map[string][]Doc{}
	for _, m := range t.members {
		if m.doc.CountsAsAlive() {
			domains[m.doc.Domain] = append(domains[m.doc.Domain], m.doc)
		}
	}
	ownMembers := domains[self.Domain]
	neighbours = pickRendezvous(ownMembers, "neighbour", uint64(self.RunID), ownDomainNeighbours+1)
	neighbours = slices.DeleteFunc(neighbours, func(d Doc) bool { return d.RunID == self.RunID })
	neighbours = neighbours[:min(ownDomainNeighbours, len(neighbours))]
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		bridgeIndex := slices.IndexFunc(pickRendezvous(ownMembers, domain, 0, bridgesPerDomain), func(d Doc) bool { return d.RunID == self.RunID })
		if domain != self.Domain && bridgeIndex >= 0 {
			neighbours = append(neighbours, chooseBridgePeer(domains[domain], self.Domain, bridgeIndex, avoid))
		}
	}
	return neighbours
}

// chooseBridgePeer chooses the member of another failure domain with which a bridge
// exchanges state. Bridges with different indexes start at different members.
func chooseBridgePeer(members []Doc, ownDomain string, bridgeIndex int, avoid func(lentilid.Incarnation) bool) Doc {
	members = pickRendezvous(members, ownDomain, 0, len(members))
	for i := range members {
		if doc := members[(bridgeIndex+i)%len(members)]; !avoid(doc.RunID) {
			return doc
		}
	}
	return members[bridgeIndex%len(members)]
}

// LeaseHolders returns the n members of a region that should hold the leases of the
// agents with the given key. They are of different failure domains if the region has enough.
func (t *Table) LeaseHolders(region string, key uint64, n int) (holders []Doc) {
	candidates := pickRendezvous(t.aliveInRegion(region), "holder", key, len(t.members))
	for _, doc := range candidates {
		newDomain := !slices.ContainsFunc(holders, func(d Doc) bool { return d.Domain == doc.Domain })
		if len(holders) < n && newDomain {
			holders = append(holders, doc)
		}
	}
	for _, doc := range candidates {
		if len(holders) < n && !containsRun(holders, doc.RunID) {
			holders = append(holders, doc)
		}
	}
	return holders
}

// aliveInRegion returns the AliveMembers of a region.
func (t *Table) aliveInRegion(region string) (docs []Doc) {
	for _, doc := range t.AliveMembers() {
		if doc.Region == region {
			docs = append(docs, doc)
		}
	}
	return docs
}

// HasAliveMember reports whether any of the AliveMembers is in a region.
func (t *Table) HasAliveMember(region string) bool {
	return slices.ContainsFunc(t.AliveMembers(), func(d Doc) bool { return d.Region == region })
}

// PlatformReaders returns the n members of the own region that should read the platform.
// Members with different views may choose differently, which only causes additional reads.
func (t *Table) PlatformReaders(n int) []Doc {
	return pickRendezvous(t.aliveInRegion(t.Self().Region), "reader", 0, n)
}

// LostMembers returns the lost members that this one should probe: members of the own
// failure domain that were declared dead and may come back.
func (t *Table) LostMembers() (lost []Doc) {
	self := t.Self()
	var ownMembers []Doc
	for _, doc := range t.AliveMembers() {
		if doc.Domain == self.Domain {
			ownMembers = append(ownMembers, doc)
		}
	}
	for runID, m := range t.tombstones {
		if m.doc.State != Dead || m.doc.Domain != self.Domain {
			continue
		}
		if containsRun(pickRendezvous(ownMembers, "lost", uint64(runID), lostMemberProbers), t.self) {
			lost = append(lost, m.doc)
		}
	}
	slices.SortFunc(lost, func(a, b Doc) int { return cmp.Compare(a.RunID, b.RunID) })
	return lost
}

// pickRendezvous chooses n members by rendezvous hashing: those with the highest hash of
// task, key and run ID, highest first.
func pickRendezvous(from []Doc, task string, key uint64, n int) (docs []Doc) {
	type candidate struct {
		index int
		hash  uint64
	}
	candidates := make([]candidate, 0, len(from))
	for i, doc := range from {
		candidates = append(candidates, candidate{index: i, hash: rendezvousHash(task, key, uint64(doc.RunID))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	for _, c := range candidates[:min(n, len(candidates))] {
		docs = append(docs, from[c.index])
	}
	return docs
}

func containsRun(docs []Doc, runID lentilid.Incarnation) bool {
	return slices.ContainsFunc(docs, func(d Doc) bool { return d.RunID == runID })
}

func rendezvousHash(task string, key, runID uint64) uint64 {
	input := make([]byte, 0, 16+maxNameLength)
	input = binary.LittleEndian.AppendUint64(input, key)
	input = binary.LittleEndian.AppendUint64(input, runID)
	return xxhash.Sum64(append(input, task...))
}
