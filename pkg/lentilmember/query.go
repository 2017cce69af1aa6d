package lentilmember

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// Numbers of members chosen for a task.
const (
	// domainNeighbours is how many neighbours come from the own failure domain.
	domainNeighbours = 1
	// regionNeighbours is how many neighbours come from the own region in all.
	regionNeighbours = 4
	// bridgesPerRegion is how many members of a region keep contact with another region.
	bridgesPerRegion = 2
	// lostWatchers is how many members of a region look for a lost member.
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

// Alive returns the members that count as alive, the own one included, in order
// of their runs. The caller must not change it.
func (t *Table) Alive() []Doc {
	if !t.stale {
		return t.alive
	}
	t.alive = make([]Doc, 0, len(t.members))
	for _, m := range t.members {
		if m.doc.Counts() {
			t.alive = append(t.alive, m.doc)
		}
	}
	slices.SortFunc(t.alive, func(a, b Doc) int { return compare(uint64(a.Run), uint64(b.Run)) })
	t.stale = false
	return t.alive
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

// Reachable returns the regions that the own region is in contact with, the own
// one included, in order.
func (t *Table) Reachable() (regions []string) {
	own := t.Self().Region
	regions = []string{own}
	for _, doc := range t.Alive() {
		if doc.Region == own {
			regions = append(regions, doc.Reaches...)
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// Neighbours returns the members with which this one keeps up exchanges: some of
// its failure domain and region, and, if it is one of its region's
// bridges, one of each other region.
func (t *Table) Neighbours() (neighbours []Doc) {
	self := t.Self()
	near := t.pick("", uint64(self.Run), domainNeighbours, func(d Doc) bool {
		return d.Region == self.Region && d.Domain == self.Domain && d.Run != self.Run
	})
	rest := t.pick("", uint64(self.Run), regionNeighbours-len(near), func(d Doc) bool {
		return d.Region == self.Region && d.Run != self.Run && !contains(near, d.Run)
	})
	neighbours = slices.Concat(near, rest)
	for _, region := range t.regions() {
		if region != self.Region {
			neighbours = append(neighbours, t.bridge(self, region)...)
		}
	}
	return neighbours
}

// bridge returns the member of another region that this one calls, if it is one
// of the own region's bridges to it.
func (t *Table) bridge(self Doc, region string) []Doc {
	own := t.pick(region, 0, bridgesPerRegion, func(d Doc) bool { return d.Region == self.Region })
	place := slices.IndexFunc(own, func(d Doc) bool { return d.Run == self.Run })
	if place < 0 {
		return nil
	}
	theirs := t.pick(self.Region, 0, bridgesPerRegion, func(d Doc) bool { return d.Region == region })
	if len(theirs) == 0 {
		return nil
	}
	return []Doc{theirs[place%len(theirs)]}
}

func (t *Table) regions() (regions []string) {
	for _, doc := range t.Alive() {
		regions = append(regions, doc.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// Holders returns the n members of a region that shall hold the leases of the
// agents with a key, of different failure domains where there are enough.
func (t *Table) Holders(region string, key uint64, n int) (holders []Doc) {
	all := t.pick("holder", key, len(t.members), func(d Doc) bool { return d.Region == region })
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

// Readers returns the n members of the own region that shall read the platform.
// Nodes with different views may choose differently, which only adds reads.
func (t *Table) Readers(n int) []Doc {
	region := t.Self().Region
	return t.pick("reader", 0, n, func(d Doc) bool { return d.Region == region })
}

// Lost returns the dead members of the own region that this one shall look for.
func (t *Table) Lost() (lost []Doc) {
	region := t.Self().Region
	for run, m := range t.tombs {
		if m.doc.State != Dead || m.doc.Region != region {
			continue
		}
		watchers := t.pick("lost", uint64(run), lostWatchers, func(d Doc) bool { return d.Region == region })
		if contains(watchers, t.self) {
			lost = append(lost, m.doc)
		}
	}
	slices.SortFunc(lost, func(a, b Doc) int { return compare(uint64(a.Run), uint64(b.Run)) })
	return lost
}

// pick returns the n living members that pass and whose hashes with a task and a
// key are the highest, highest first.
func (t *Table) pick(task string, key uint64, n int, pass func(Doc) bool) []Doc {
	type candidate struct {
		doc  Doc
		hash uint64
	}
	var candidates []candidate
	for _, doc := range t.Alive() {
		if pass(doc) {
			candidates = append(candidates, candidate{doc: doc, hash: hash(task, key, uint64(doc.Run))})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return compare(b.hash, a.hash) })
	var docs []Doc
	for _, c := range candidates[:min(n, len(candidates))] {
		docs = append(docs, c.doc)
	}
	return docs
}

func contains(docs []Doc, run lentilid.Incarnation) bool {
	return slices.ContainsFunc(docs, func(d Doc) bool { return d.Run == run })
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func hash(task string, key, run uint64) uint64 {
	row := make([]byte, 0, 16+maxName)
	row = binary.LittleEndian.AppendUint64(row, key)
	row = binary.LittleEndian.AppendUint64(row, run)
	return xxhash.Sum64(append(row, task...))
}
