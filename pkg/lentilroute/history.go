package lentilroute

import (
	"maps"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// MaxFormer is how many former owners of a bucket are remembered.
const MaxFormer = 3

// formerOwner is an agent that owned a bucket, remembered until a time.
type formerOwner struct {
	place lentilid.Place
	until time.Time
}

// history holds the former owners of buckets, newest first. Buckets of tables
// of different sizes are kept apart by the number of buckets: so nothing is lost
// when a table changes its size.
type history map[int]map[uint32][]formerOwner

// pruned returns the history without owners whose time is over or who are gone.
func (h history) pruned(change *Change) (kept history) {
	for size, buckets := range h {
		for bucket, owners := range buckets {
			owners = slices.DeleteFunc(slices.Clone(owners), func(o formerOwner) bool {
				return !o.until.After(change.Now) || (change.Alive != nil && !change.Alive(o.place))
			})
			if len(owners) > 0 {
				kept = kept.with(size, bucket, owners)
			}
		}
	}
	return kept
}

// with returns the history with the owners of one bucket set. It changes h.
func (h history) with(size int, bucket uint32, owners []formerOwner) history {
	if h == nil {
		h = make(history)
	}
	if h[size] == nil {
		h[size] = make(map[uint32][]formerOwner)
	}
	h[size][bucket] = owners
	return h
}

// record adds the owners of earlier that own less in next.
func (h *history) record(earlier, next *Table, change *Change) {
	resized := len(earlier.owners) != len(next.owners)
	until := change.Now.Add(change.Window)
	for bucket, index := range earlier.owners {
		place := earlier.members[index].Place
		if !resized && next.members[next.owners[bucket]].Place == place {
			continue
		}
		if change.Alive != nil && !change.Alive(place) {
			continue
		}
		*h = h.add(len(earlier.owners), uint32(bucket), formerOwner{place: place, until: until})
	}
}

// add puts an owner before the other former owners of a bucket. It changes h.
func (h history) add(size int, bucket uint32, owner formerOwner) history {
	owners := []formerOwner{owner}
	for _, o := range h[size][bucket] {
		if o.place != owner.place && len(owners) < MaxFormer {
			owners = append(owners, o)
		}
	}
	return h.with(size, bucket, owners)
}

// owners appends the former owners of a hash that are not in dst[start:] yet.
func (h history) owners(hash uint64, now time.Time, dst []lentilid.Place, start int) []lentilid.Place {
	if len(h) == 0 {
		return dst
	}
	for _, size := range slices.Sorted(maps.Keys(h)) {
		for _, o := range h[size][bucketOf(hash, size)] {
			if o.until.After(now) && !slices.Contains(dst[start:], o.place) {
				dst = append(dst, o.place)
			}
		}
	}
	return dst
}
