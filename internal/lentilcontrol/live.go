package lentilcontrol

import (
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// liveReport remembers what the shell has been told of the live records.
type liveReport struct {
	reported map[lentilid.Incarnation]lentilrecord.Record
	// dirty holds the owners whose records have changed since.
	dirty ownerSet
	// allDirty is true when any record may have changed.
	allDirty bool
}

func (l *liveReport) markDirty(owners []lentilid.Incarnation) { l.dirty.add(owners...) }

// LiveRecords returns the records for which a living balancer in contact vouches, in
// order of their owners.
func (n *Node) LiveRecords() []lentilrecord.Record { return n.records.LiveRecords() }

// TakeLiveChanges returns the live records that are new or changed since the last call,
// and the owners whose records are not live any more.
func (n *Node) TakeLiveChanges() (observed []lentilrecord.Record, forgotten []lentilrecord.Owner) {
	if n.liveReport.reported == nil {
		n.liveReport.reported = map[lentilid.Incarnation]lentilrecord.Record{}
	}
	if n.liveReport.allDirty {
		for _, r := range n.records.LiveRecords() {
			n.liveReport.dirty.add(r.Owner().Incarnation)
		}
		for owner := range n.liveReport.reported {
			n.liveReport.dirty.add(owner)
		}
		n.liveReport.allDirty = false
	}
	for _, owner := range n.liveReport.dirty.take(len(n.liveReport.dirty)) {
		told, known := n.liveReport.reported[owner]
		r, ok := n.records.LiveRecord(owner)
		switch {
		case ok && (!known || told != r):
			n.liveReport.reported[owner] = r
			observed = append(observed, r)
		case !ok && known:
			delete(n.liveReport.reported, owner)
			forgotten = append(forgotten, told.Owner())
		}
	}
	return observed, forgotten
}

// ReachedDomains returns the failure domains with which this node is in contact.
func (n *Node) ReachedDomains() []string { return n.membership.ReachedDomains() }

// RecordVersion returns the version known of an owner's record, or 0.
func (n *Node) RecordVersion(owner lentilid.Incarnation) uint64 { return n.records.Rank(owner) }
