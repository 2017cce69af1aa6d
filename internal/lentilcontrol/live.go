package lentilcontrol

import (
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
}

func (l *liveSet) mark(owners []lentilid.Incarnation) { l.dirty.add(owners...) }

// Live returns the records for which a living balancer in contact vouches, in
// order of their owners.
func (n *Node) Live() []lentilrecord.Record { return n.records.Live() }

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
		r, ok := n.records.GetLive(owner)
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

// Reached returns the failure domains with which this node is in contact.
func (n *Node) Reached() []string { return n.table.Reached() }

// RecordVersion returns the version known of an owner's record, or 0.
func (n *Node) RecordVersion(owner lentilid.Incarnation) uint64 { return n.records.Rank(owner) }
