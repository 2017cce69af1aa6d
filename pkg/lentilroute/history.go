package lentilroute

import (
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// MaxFormer is how many former owners of a bucket are remembered.
const MaxFormer = 3

// history holds the former owners of buckets, newest first. Buckets of tables of
// different sizes are kept apart, so nothing is lost when a table changes its
// size. A history is immutable once its table is made.
type history struct {
	// base is the time from which slots count.
	base time.Time
	// places holds the former owners that may still be alive.
	places []lentilid.Place
	// bySize holds the former owners of each bucket by the number of buckets.
	bySize map[int][]formers
}

// formers are the former owners of one bucket.
type formers [MaxFormer]slot

// slot is a former owner: one more than its index in history.places, zero for
// none, and when it is forgotten, in seconds after history.base.
type slot struct {
	place uint16
	until uint32
}

// pruned returns a copy without owners whose time is over or who are gone.
func (h *history) pruned(change *Change) (kept *history) {
	kept = &history{base: change.Now, bySize: make(map[int][]formers)}
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
		if copied, left := copyFormers(buckets, moved, passed); left {
			kept.bySize[size] = copied
		}
	}
	return kept
}

// copyFormers copies buckets with moved place numbers and times that count from
// passed seconds later. It reports whether any owner is left.
func copyFormers(buckets []formers, moved []uint16, passed uint32) (copied []formers, left bool) {
	copied = make([]formers, len(buckets))
	for i := range buckets {
		next := 0
		for _, s := range buckets[i] {
			if place := moved[s.place]; place != 0 && s.until > passed {
				copied[i][next] = slot{place: place, until: s.until - passed}
				next++
			}
		}
		left = left || next > 0
	}
	return copied, left
}

// record adds the owners of earlier that own less in next.
func (h *history) record(earlier, next *Table, change *Change) {
	size := len(earlier.owners)
	if size == 0 {
		return
	}
	numbers := h.numbers(earlier, change)
	same := size == len(next.owners)
	until := uint32((change.Window + time.Second - 1) / time.Second)
	for bucket, index := range earlier.owners {
		if numbers[index] == 0 {
			continue
		}
		if same && next.members[next.owners[bucket]].Place == earlier.members[index].Place {
			continue
		}
		if h.bySize[size] == nil {
			h.bySize[size] = make([]formers, size)
		}
		h.bySize[size][bucket].add(slot{place: numbers[index], until: until})
	}
}

// numbers returns for each member of a table its slot.place, zero for one that is gone.
func (h *history) numbers(table *Table, change *Change) (numbers []uint16) {
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

// add puts an owner before the others.
func (f *formers) add(owner slot) {
	carried := owner
	for i := range f {
		f[i], carried = carried, f[i]
		if carried.place == owner.place || carried.place == 0 {
			return
		}
	}
}

// owners appends the former owners of a hash that are not in dst[start:] yet.
func (h *history) owners(hash uint64, now time.Time, dst []lentilid.Place, start int) []lentilid.Place {
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
			if s.place == 0 || s.until <= passed {
				continue
			}
			if place := h.places[s.place-1]; !slices.Contains(dst[start:], place) {
				dst = append(dst, place)
			}
		}
	}
	return dst
}
