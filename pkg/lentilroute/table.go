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
	// Weight is the member's share relative to the others; zero takes no bucket.
	Weight uint32
}

// Table gives each bucket of flow hashes to a member, in proportion to the
// weights. Its current owners are a function of the members alone, so that nodes
// with the same view have the same table. It also remembers for a bounded time who
// owned each bucket before, so that flows opened there are found again.
//
// A Table is immutable. The zero Table has no member.
type Table struct {
	members []Member
	// owners holds the member index of each bucket. Its length is a power of two.
	owners  []uint16
	history *history
	// settledAt is when the last change of members is so long ago that flows opened
	// before it are no longer looked for.
	settledAt time.Time
}

// NewTable returns a table of the members that have a weight, without a past.
func NewTable(members []Member) (table *Table) { return (*Table)(nil).WithMembers(members) }

// Change is what a table needs to know to become the next one.
type Change struct {
	// Members are the agents that take new flows from now on.
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

// WithChange returns the table after a change. The table itself stays as it is.
func (t *Table) WithChange(change *Change) (next *Table) {
	members := normalize(change.Members)
	past := t.history.pruned(change)
	if slices.Equal(members, t.members) {
		return &Table{members: t.members, owners: t.owners, history: past, settledAt: t.settledAt}
	}
	next = &Table{members: members, owners: assignBuckets(members), history: past, settledAt: change.Now.Add(change.OwnerRetention)}
	next.history.recordOwners(t, next, change)
	return next
}

// WithMembers returns a table of the members without a past: t itself if they are its members.
func (t *Table) WithMembers(members []Member) (table *Table) {
	members = normalize(members)
	if t != nil && slices.Equal(members, t.members) {
		return t
	}
	return &Table{members: members, owners: assignBuckets(members)}
}

// Settled reports whether the members have not changed for the window of the last Change.
func (t *Table) Settled(now time.Time) bool { return !now.Before(t.settledAt) }

// HasExpiredOwners reports whether the table holds former owners whose time is over, which
// Next would forget.
func (t *Table) HasExpiredOwners(now time.Time) bool {
	return t.history != nil && len(t.history.bySize) > 0 && t.Settled(now)
}

// normalize returns the members with a weight, by place.
func normalize(members []Member) (sorted []Member) {
	for _, m := range members {
		if m.Weight > 0 {
			sorted = append(sorted, m)
		}
	}
	slices.SortFunc(sorted, func(a, b Member) int { return comparePlaces(a.Place, b.Place) })
	return sorted
}

// comparePlaces orders places by address, then incarnation.
func comparePlaces(a, b lentilid.Place) int {
	return cmp.Or(a.Agent().Compare(b.Agent()), cmp.Compare(a.Incarnation(), b.Incarnation()))
}

// Members returns the members by place. The caller must not change the slice.
func (t *Table) Members() []Member { return t.members }

// BucketCount returns the number of buckets, a power of two, or zero without a member.
func (t *Table) BucketCount() int { return len(t.owners) }

// Pick returns the place that takes new flows with the hash.
func (t *Table) Pick(hash uint64) (place lentilid.Place, ok bool) {
	if len(t.owners) == 0 {
		return lentilid.Place{}, false
	}
	return t.members[t.owners[bucketOf(hash, len(t.owners))]].Place, true
}

// Owners appends to dst who may hold flows with the hash: the present owner of
// its bucket and then those of the past whose time at now is not over, each
// place once.
func (t *Table) Owners(hash uint64, now time.Time, dst []lentilid.Place) []lentilid.Place {
	start := len(dst)
	if place, ok := t.Pick(hash); ok {
		dst = append(dst, place)
	}
	return t.history.appendOwners(hash, now, dst, start)
}

// bucketOf returns the bucket of a hash among count, a power of two. It takes the
// high bits, so that a bucket of a larger table lies within one of a smaller table.
func bucketOf(hash uint64, count int) uint32 {
	return uint32((hash >> 32) * uint64(count) >> 32)
}
