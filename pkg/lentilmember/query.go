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
	// domainNeighbours is how many neighbours come from the own failure domain.
	domainNeighbours = 3
	// bridges is how many members of a failure domain keep contact with another one.
	bridges = 2
	// lostWatchers is how many members of a failure domain look for a lost member.
	lostWatchers = 2
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

// Alive returns the members that count as alive and whose failure domains are
// reached, the own one included, in order of their runs. The caller must not change it.
func (t *Table) Alive() []Doc {
	if !t.stale {
		return t.alive
	}
	t.alive = make([]Doc, 0, len(t.members))
	for _, m := range t.members {
		if m.doc.Counts() && slices.Contains(t.reached, m.doc.Domain) {
			t.alive = append(t.alive, m.doc)
		}
	}
	slices.SortFunc(t.alive, func(a, b Doc) int { return cmp.Compare(a.Run, b.Run) })
	t.stale = false
	t.epoch++
	return t.alive
}

// Epoch changes whenever Alive may have changed.
func (t *Table) Epoch() uint64 {
	t.Alive()
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
func (t *Table) Versions() *lentilrecord.Versions { return &t.versions }

// TakeChanged returns the runs whose entries changed since the last call, and
// forgets them.
func (t *Table) TakeChanged() (runs []lentilid.Incarnation) {
	runs = t.changed
	t.changed = nil
	return runs
}

// Condemned reports whether others have declared this run dead since the last
// Discard, so that what it has learned may be out of date.
func (t *Table) Condemned() bool { return t.condemned }

// Refused returns how many entries were refused as malformed.
func (t *Table) Refused() uint64 { return t.refused }

// Reached returns the failure domains that count as reached, the own one
// included, in order. The caller must not change it.
func (t *Table) Reached() []string { return t.reached }

// Neighbours returns the members with which this one keeps up exchanges: some of
// its failure domain, and, if it is one of the bridges of its failure domain to another
// one, a member there. A bridge passes over members to avoid while there are others.
func (t *Table) Neighbours(avoid func(lentilid.Incarnation) bool) (neighbours []Doc) {
	self := t.Self()
	domains := map[string][]Doc{}
	for _, m := range t.members {
		if m.doc.Counts() {
			domains[m.doc.Domain] = append(domains[m.doc.Domain], m.doc)
		}
	}
	own := domains[self.Domain]
	neighbours = pick(own, "neighbour", uint64(self.Run), domainNeighbours+1)
	neighbours = slices.DeleteFunc(neighbours, func(d Doc) bool { return d.Run == self.Run })
	neighbours = neighbours[:min(domainNeighbours, len(neighbours))]
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		place := slices.IndexFunc(pick(own, domain, 0, bridges), func(d Doc) bool { return d.Run == self.Run })
		if domain != self.Domain && place >= 0 {
			neighbours = append(neighbours, bridge(domains[domain], self.Domain, place, avoid))
		}
	}
	return neighbours
}

// bridge chooses the member of another failure domain for the bridge at a place.
func bridge(theirs []Doc, domain string, place int, avoid func(lentilid.Incarnation) bool) Doc {
	theirs = pick(theirs, domain, 0, len(theirs))
	for i := range theirs {
		if doc := theirs[(place+i)%len(theirs)]; !avoid(doc.Run) {
			return doc
		}
	}
	return theirs[place%len(theirs)]
}

// Holders returns the n members of a region that shall hold the leases of the
// agents with a key, of different failure domains where there are enough.
func (t *Table) Holders(region string, key uint64, n int) (holders []Doc) {
	all := pick(t.within(region), "holder", key, len(t.members))
	for _, doc := range all {
		other := !slices.ContainsFunc(holders, func(d Doc) bool { return d.Domain == doc.Domain })
		if len(holders) < n && other {
			holders = append(holders, doc)
		}
	}
	for _, doc := range all {
		if len(holders) < n && !contains(holders, doc.Run) {
			holders = append(holders, doc)
		}
	}
	return holders
}

// within returns the living members of a region.
func (t *Table) within(region string) (docs []Doc) {
	for _, doc := range t.Alive() {
		if doc.Region == region {
			docs = append(docs, doc)
		}
	}
	return docs
}

// Inhabited reports whether a living member is in a region.
func (t *Table) Inhabited(region string) bool {
	return slices.ContainsFunc(t.Alive(), func(d Doc) bool { return d.Region == region })
}

// Readers returns the n members of the own region that shall read the platform.
// Nodes with different views may choose differently, which only adds reads.
func (t *Table) Readers(n int) []Doc { return pick(t.within(t.Self().Region), "reader", 0, n) }

// Lost returns the dead members of the own failure domain that this one shall look for.
func (t *Table) Lost() (lost []Doc) {
	self := t.Self()
	var own []Doc
	for _, doc := range t.Alive() {
		if doc.Domain == self.Domain {
			own = append(own, doc)
		}
	}
	for run, m := range t.tombs {
		if m.doc.State != Dead || m.doc.Domain != self.Domain {
			continue
		}
		if contains(pick(own, "lost", uint64(run), lostWatchers), t.self) {
			lost = append(lost, m.doc)
		}
	}
	slices.SortFunc(lost, func(a, b Doc) int { return cmp.Compare(a.Run, b.Run) })
	return lost
}

// pick returns the n members whose hashes with a task and a key are the highest,
// highest first.
func pick(from []Doc, task string, key uint64, n int) (docs []Doc) {
	type candidate struct {
		place int
		hash  uint64
	}
	candidates := make([]candidate, 0, len(from))
	for place, doc := range from {
		candidates = append(candidates, candidate{place: place, hash: hash(task, key, uint64(doc.Run))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	for _, c := range candidates[:min(n, len(candidates))] {
		docs = append(docs, from[c.place])
	}
	return docs
}

func contains(docs []Doc, run lentilid.Incarnation) bool {
	return slices.ContainsFunc(docs, func(d Doc) bool { return d.Run == run })
}

func hash(task string, key, run uint64) uint64 {
	row := make([]byte, 0, 16+maxName)
	row = binary.LittleEndian.AppendUint64(row, key)
	row = binary.LittleEndian.AppendUint64(row, run)
	return xxhash.Sum64(append(row, task...))
}
