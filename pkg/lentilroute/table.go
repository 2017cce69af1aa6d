package lentilroute

import (
	"cmp"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Member is an agent that takes new flows of a service.
type Member struct {
	// Place is where new flows of the member live.
	Place lentilid.Place
	// Weight is the member's share of the buckets relative to the other members. A
	// member with weight zero gets no bucket.
	Weight uint32
}

// Table assigns each bucket of flow hashes to a member, in proportion to the weights.
// The current owners depend only on the members, so that nodes with the same view have
// the same table. For a limited time the table also remembers the previous owners of
// each bucket, so that flows opened at them are found.
//
// A Table is immutable. The zero Table has no members.
type Table struct {
	members []Member
	// owners holds the member index of each bucket. Its length is a power of two.
	owners  []uint16
	history *history
	// settledAt is the end of the owner retention after the last change of members. From
	// then on, flows opened before the change are no longer looked up.
	settledAt time.Time
}

// NewTable returns a table of the members with a weight above zero, without previous owners.
func NewTable(members []Member) (table *Table) { return (*Table)(nil).WithMembers(members) }

// Change describes an update of a Table.
type Change struct {
	// Members are the agents that take new flows after the change.
	Members []Member
	// Now is the time of the change, by the clock of this process.
	Now time.Time
	// OwnerRetention is how long an owner is remembered after it has lost a bucket.
	OwnerRetention time.Duration
	// Alive reports whether an agent may still hold flows. Nil means that all may.
	Alive func(place lentilid.Place) bool
}

// alive reports whether an agent may still hold flows.
func (c *Change) alive(place lentilid.Place) bool { return c.Alive == nil || c.Alive(place) }

// WithChange returns the table after a change. The receiver is not modified.
func (t *Table) WithChange(change *Change) (next *Table) {
	members := normalize(change.Members)
	history := t.history.pruned(change)
	if slices.Equal(members, t.members) {
		return &Table{members: t.members, owners: t.owners, history: history, settledAt: t.settledAt}
	}
	next = &Table{members: members, owners: assignBuckets(members), history: history, settledAt: change.Now.Add(change.OwnerRetention)}
	next.history.recordOwners(t, next, change)
	return next
}

// WithMembers returns a table of the members without previous owners. It returns t
// itself if t has the same members.
func (t *Table) WithMembers(members []Member) (table *Table) {
	members = normalize(members)
	if t != nil && slices.Equal(members, t.members) {
		return t
	}
	return &Table{members: members, owners: assignBuckets(members)}
}

// Settled reports whether the owner retention of the last change of members is over.
func (t *Table) Settled(now time.Time) bool { return !now.Before(t.settledAt) }

// HasExpiredOwners reports whether the table holds previous owners that have expired.
// WithChange removes them.
func (t *Table) HasExpiredOwners(now time.Time) bool {
	return t.history != nil && len(t.history.bySize) > 0 && t.Settled(now)
}

// normalize returns the members with a weight above zero, sorted by place.
func normalize(members []Member) (sorted []Member) {
	for _, m := range members {
		if m.Weight > 0 {
			sorted = append(sorted, m)
		}
	}
	slices.SortFunc(sorted, func(a, b Member) int { return comparePlaces(a.Place, b.Place) })
	return sorted
}

// comparePlaces compares places by address, then by incarnation.
func comparePlaces(a, b lentilid.Place) int {
	return cmp.Or(a.Agent().Compare(b.Agent()), cmp.Compare(a.Incarnation(), b.Incarnation()))
}

// Members returns the members, sorted by place. The caller must not modify the slice.
func (t *Table) Members() []Member { return t.members }

// BucketCount returns the number of buckets. It is a power of two, or zero if the
// table has no members.
func (t *Table) BucketCount() int { return len(t.owners) }

// Pick returns the place that takes new flows with the given hash. It returns false if
// the table has no members.
func (t *Table) Pick(hash uint64) (place lentilid.Place, ok bool) {
	if len(t.owners) == 0 {
		return lentilid.Place{}, false
	}
	return t.members[t.owners[bucketOf(hash, len(t.owners))]].Place, true
}

// Owners appends to dst the places that may hold flows with the given hash: the current
// owner of its bucket, then the previous owners that have not expired at the time now.
// It appends each place once.
func (t *Table) Owners(hash uint64, now time.Time, dst []lentilid.Place) []lentilid.Place {
	start := len(dst)
	if place, ok := t.Pick(hash); ok {
		dst = append(dst, place)
	}
	return t.history.appendOwners(hash, now, dst, start)
}

// bucketOf returns the bucket of a hash in a table of count buckets, a power of two. It
// uses the high bits, so that each bucket of a larger table is part of one bucket of a
// smaller table.
func bucketOf(hash uint64, count int) uint32 {
	return uint32((hash >> 32) * uint64(count) >> 32)
}
