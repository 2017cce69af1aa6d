package lentilcontrol

import (
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// liveReport tracks which live records TakeLiveChanges has returned, to find the changes
// since.
type liveReport struct {
	// reported holds the live records as last returned, by owner.
	reported map[lentilid.Incarnation]lentilrecord.Record
	// dirty holds the owners whose records may have changed since.
	dirty ownerSet
	// allDirty is true if any record may have changed since.
	allDirty bool
}

func (l *liveReport) markDirty(owners []lentilid.Incarnation) { l.dirty.add(owners...) }

// LiveRecords returns the live records, ordered by owner: those that a living balancer in a
// reached failure domain attests.
func (n *Node) LiveRecords() []lentilrecord.Record { return n.records.LiveRecords() }

// TakeLiveChanges returns the live records that are new or changed since the last call,
// and the owners whose records are no longer live.
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
		previous, known := n.liveReport.reported[owner]
		r, ok := n.records.LiveRecord(owner)
		switch {
		case ok && (!known || previous != r):
			n.liveReport.reported[owner] = r
			observed = append(observed, r)
		case !ok && known:
			delete(n.liveReport.reported, owner)
			forgotten = append(forgotten, previous.Owner())
		}
	}
	return observed, forgotten
}

// ReachedDomains returns the failure domains with which this node is in contact.
func (n *Node) ReachedDomains() []string { return n.membership.ReachedDomains() }

// RecordVersion returns the known version of an owner's record, or 0.
func (n *Node) RecordVersion(owner lentilid.Incarnation) uint64 { return n.records.Rank(owner) }
