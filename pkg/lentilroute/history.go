package lentilroute

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// MaxPreviousOwners is the highest number of previous owners that are remembered for a
// bucket.
const MaxPreviousOwners = 3

// history holds the previous owners of buckets, newest first. Buckets of tables of
// different sizes are kept separately, so that no owner is lost when a table changes
// its size. A history is immutable once its table has been created.
type history struct {
	// base is the time to which previousOwner.expiresAt is relative.
	base time.Time
	// places holds the places of previous owners that may still be alive.
	places []lentilid.Place
	// bySize holds the previous owners of each bucket, by the number of buckets.
	bySize map[int][]previousOwners
}

// previousOwners holds the previous owners of one bucket.
type previousOwners [MaxPreviousOwners]previousOwner

// previousOwner is a previous owner of a bucket. The zero value stands for none.
type previousOwner struct {
	// placeNumber is one more than the index in history.places.
	placeNumber uint16
	// expiresAt is when the owner is forgotten, in seconds after history.base.
	expiresAt uint32
}

// pruned returns a copy without owners that have expired or are no longer alive.
func (h *history) pruned(change *Change) (kept *history) {
	kept = &history{base: change.Now, bySize: make(map[int][]previousOwners)}
	if h == nil {
		return kept
	}
	newNumbers := make([]uint16, len(h.places)+1)
	for i, place := range h.places {
		if change.alive(place) {
			kept.places = append(kept.places, place)
			newNumbers[i+1] = uint16(len(kept.places))
		}
	}
	elapsed := uint32(change.Now.Sub(h.base) / time.Second)
	for size, buckets := range h.bySize {
		if copied, hasOwners := copyPreviousOwners(buckets, newNumbers, elapsed); hasOwners {
			kept.bySize[size] = copied
		}
	}
	return kept
}

// copyPreviousOwners copies the owners that have not expired after the elapsed seconds.
// In the copy, expiry times are relative to that time, and newNumbers maps the place
// numbers; owners with the new number zero are left out. It reports whether any owner
// is left.
func copyPreviousOwners(buckets []previousOwners, newNumbers []uint16, elapsed uint32) (copied []previousOwners, hasOwners bool) {
	copied = make([]previousOwners, len(buckets))
	for i := range buckets {
		next := 0
		for _, owner := range buckets[i] {
			if number := newNumbers[owner.placeNumber]; number != 0 && owner.expiresAt > elapsed {
				copied[i][next] = previousOwner{placeNumber: number, expiresAt: owner.expiresAt - elapsed}
				next++
			}
		}
		hasOwners = hasOwners || next > 0
	}
	return copied, hasOwners
}

// recordOwners adds the owners of the buckets of earlier that have another owner in
// next. If the number of buckets differs, it adds the owners of all buckets.
func (h *history) recordOwners(earlier, next *Table, change *Change) {
	size := len(earlier.owners)
	if size == 0 {
		return
	}
	numbers := h.placeNumbers(earlier, change)
	sameSize := size == len(next.owners)
	expiresAt := uint32((change.OwnerRetention + time.Second - 1) / time.Second)
	for bucket, index := range earlier.owners {
		if numbers[index] == 0 {
			continue
		}
		if sameSize && next.members[next.owners[bucket]].Place == earlier.members[index].Place {
			continue
		}
		if h.bySize[size] == nil {
			h.bySize[size] = make([]previousOwners, size)
		}
		h.bySize[size][bucket].prepend(previousOwner{placeNumber: numbers[index], expiresAt: expiresAt})
	}
}

// placeNumbers returns the place number of each member of a table, zero for a member
// that is no longer alive. It adds missing places to the history.
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

// prepend adds an owner as the newest one, and removes an older entry of the same
// owner. If there is no room it drops the oldest owner.
func (o *previousOwners) prepend(owner previousOwner) {
	shifted := owner
	for i := range o {
		o[i], shifted = shifted, o[i]
		if shifted.placeNumber == owner.placeNumber || shifted.placeNumber == 0 {
			return
		}
	}
}

// appendOwners appends the previous owners of the buckets of a hash that have not
// expired at the time now and are not yet in dst[start:].
func (h *history) appendOwners(hash uint64, now time.Time, dst []lentilid.Place, start int) []lentilid.Place {
	if h == nil || len(h.bySize) == 0 {
		return dst
	}
	elapsed := uint32(max(0, now.Sub(h.base)/time.Second))
	for _, size := range [...]int{smallBuckets, mediumBuckets, largeBuckets} {
		buckets := h.bySize[size]
		if buckets == nil {
			continue
		}
		for _, owner := range buckets[bucketOf(hash, size)] {
			if owner.placeNumber == 0 || owner.expiresAt <= elapsed {
				continue
			}
			if place := h.places[owner.placeNumber-1]; !slices.Contains(dst[start:], place) {
				dst = append(dst, place)
			}
		}
	}
	return dst
}
