package lentilcontrol

import (
	"slices"

	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// liveSet remembers what the shell has been told of the live records.
type liveSet struct {
	told map[lentilid.Incarnation]lentilrecord.Record
	// dirty holds the owners whose records have changed since.
	dirty set
	// whole is true when any record may have changed.
	whole bool
	// reached lists the regions in contact.
	reached []string
}

func (l *liveSet) mark(owners []lentilid.Incarnation) { l.dirty.add(owners...) }

// Live returns the records that may get work, in order of their owners.
func (n *Node) Live() (records []lentilrecord.Record) {
	for _, r := range n.records.Live() {
		if n.mayWork(r) {
			records = append(records, r)
		}
	}
	return records
}

// mayWork reports whether a live record is of a region in contact. A region
// without balancers of its own is served from the others.
func (n *Node) mayWork(r lentilrecord.Record) bool {
	domain := n.configuration.Configuration().Domain(r.Doc().Domain)
	return r.Phase() != lentilrecord.Gone &&
		(domain == nil || slices.Contains(n.live.reached, domain.Region()) || !n.inhabited(domain.Region()))
}

// inhabited reports whether any member that counts as alive is in a region.
func (n *Node) inhabited(region string) bool {
	return len(n.table.Holders(region, 0, 1)) > 0
}

// TakeLive returns the live records that are new or changed since the last call,
// and the owners whose records are not live any more.
func (n *Node) TakeLive() (observed []lentilrecord.Record, forgotten []lentilrecord.Owner) {
	if n.live.told == nil {
		n.live.told = map[lentilid.Incarnation]lentilrecord.Record{}
	}
	if n.live.whole {
		for _, r := range n.records.Live() {
			n.live.dirty.add(r.Owner().Incarnation)
		}
		for owner := range n.live.told {
			n.live.dirty.add(owner)
		}
		n.live.whole = false
	}
	for _, owner := range n.live.dirty.take(len(n.live.dirty)) {
		told, known := n.live.told[owner]
		r, ok := n.records.Get(owner)
		ok = ok && n.mayWork(r)
		switch {
		case ok && (!known || told != r):
			n.live.told[owner] = r
			observed = append(observed, r)
		case !ok && known:
			delete(n.live.told, owner)
			forgotten = append(forgotten, told.Owner())
		}
	}
	return observed, forgotten
}
