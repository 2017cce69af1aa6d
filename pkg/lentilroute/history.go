package lentilroute

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// MaxPreviousOwners is how many former owners of a bucket are remembered.
const MaxPreviousOwners = 3

// history holds the former owners of buckets, newest first. Buckets of tables of
// different sizes are kept apart, so nothing is lost when a table changes its
// size. A history is immutable once its table is made.
type history struct {
	// base is the time from which slots count.
	base time.Time
	// places holds the former owners that may still be alive.
	places []lentilid.Place
	// bySize holds the former owners of each bucket by the number of buckets.
	bySize map[int][]previousOwners
}

// previousOwners are the former owners of one bucket.
type previousOwners [MaxPreviousOwners]previousOwner

// previousOwner is a former owner: one more than its index in history.places, zero for
// none, and when it is forgotten, in seconds after history.base.
type previousOwner struct {
	placeNumber uint16
	expiresAt   uint32
}

// pruned returns a copy without owners whose time is over or who are gone.
func (h *history) pruned(change *Change) (kept *history) {
	kept = &history{base: change.Now, bySize: make(map[int][]previousOwners)}
	if h == nil {
		return kept
	}
	moved := make([]uint16, len(h.places)+1)
	for i, place := range h.places {
		if change.alive(place) {
			kept.places = append(kept.places, place)
			moved[i+1] = uint16(len(kept.places))
		}
	}
	passed := uint32(change.Now.Sub(h.base) / time.Second)
	for size, buckets := range h.bySize {
		if copied, left := copyPreviousOwners(buckets, moved, passed); left {
			kept.bySize[size] = copied
		}
	}
	return kept
}

// copyPreviousOwners copies buckets with moved place numbers and times that count from
// passed seconds later. It reports whether any owner is left.
func copyPreviousOwners(buckets []previousOwners, moved []uint16, passed uint32) (copied []previousOwners, left bool) {
	copied = make([]previousOwners, len(buckets))
	for i := range buckets {
		next := 0
		for _, s := range buckets[i] {
			if place := moved[s.placeNumber]; place != 0 && s.expiresAt > passed {
				copied[i][next] = previousOwner{placeNumber: place, expiresAt: s.expiresAt - passed}
				next++
			}
		}
		left = left || next > 0
	}
	return copied, left
}

// recordOwners adds the owners of earlier that own less in next.
func (h *history) recordOwners(earlier, next *Table, change *Change) {
	size := len(earlier.owners)
	if size == 0 {
		return
	}
	numbers := h.placeNumbers(earlier, change)
	same := size == len(next.owners)
	until := uint32((change.OwnerRetention + time.Second - 1) / time.Second)
	for bucket, index := range earlier.owners {
		if numbers[index] == 0 {
			continue
		}
		if same && next.members[next.owners[bucket]].Place == earlier.members[index].Place {
			continue
		}
		if h.bySize[size] == nil {
			h.bySize[size] = make([]previousOwners, size)
		}
		h.bySize[size][bucket].prepend(previousOwner{placeNumber: numbers[index], expiresAt: until})
	}
}

// placeNumbers returns for each member of a table its slot.place, zero for one that is gone.
func (h *history) placeNumbers(table *Table, change *Change) (numbers []uint16) {
	numbers = make([]uint16, len(table.members))
	for i, m := range table.members {
		if !change.alive(m.Place) {
			continue
		}
		at := slices.Index(h.places, m.Place)
		if at < 0 {
			at = len(h.places)
			h.places = append(h.places, m.Place)
		}
		numbers[i] = uint16(at + 1)
	}
	return numbers
}

// prepend puts an owner before the others.
func (f *previousOwners) prepend(owner previousOwner) {
	carried := owner
	for i := range f {
		f[i], carried = carried, f[i]
		if carried.placeNumber == owner.placeNumber || carried.placeNumber == 0 {
			return
		}
	}
}

// appendOwners appends the former appendOwners of a hash that are not in dst[start:] yet.
func (h *history) appendOwners(hash uint64, now time.Time, dst []lentilid.Place, start int) []lentilid.Place {
	if h == nil || len(h.bySize) == 0 {
		return dst
	}
	passed := uint32(max(0, now.Sub(h.base)/time.Second))
	for _, size := range [...]int{smallBuckets, mediumBuckets, largeBuckets} {
		buckets := h.bySize[size]
		if buckets == nil {
			continue
		}
		for _, s := range buckets[bucketOf(hash, size)] {
			if s.placeNumber == 0 || s.expiresAt <= passed {
				continue
			}
			if place := h.places[s.placeNumber-1]; !slices.Contains(dst[start:], place) {
				dst = append(dst, place)
			}
		}
	}
	return dst
}
