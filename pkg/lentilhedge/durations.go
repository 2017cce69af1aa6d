package lentilhedge

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of durations of a kind over which the quantile is taken.
	windowSize = 256
	// maxKinds is the maximum number of kinds. Beyond it, the kind that was observed least
	// recently is forgotten.
	maxKinds = 64
	// quantilePercent is the share of the recent durations that the delay exceeds.
	quantilePercent = 95
)

// kindDurations holds the last durations of one kind.
type kindDurations struct {
	ring       []time.Duration // in the order of observation from next on, once full
	sorted     []time.Duration
	next       int
	observedAt uint64 // sequence number of the last observation
}

// durations holds the last durations of all kinds. The zero durations is empty.
type durations struct {
	kinds        map[uint64]*kindDurations
	observations uint64
}

// add records a duration.
func (d *durations) add(kind uint64, duration time.Duration) {
	k := d.kinds[kind]
	if k == nil {
		k = d.addKind(kind)
	}
	d.observations++
	k.observedAt = d.observations
	k.add(duration)
}

// addKind adds a kind, and removes another one if there are maxKinds.
func (d *durations) addKind(kind uint64) (k *kindDurations) {
	if d.kinds == nil {
		d.kinds = make(map[uint64]*kindDurations)
	}
	if len(d.kinds) >= maxKinds {
		var oldest uint64
		oldestAt := d.observations + 1
		for other, o := range d.kinds {
			if o.observedAt < oldestAt {
				oldest, oldestAt = other, o.observedAt
			}
		}
		delete(d.kinds, oldest)
	}
	k = &kindDurations{}
	d.kinds[kind] = k
	return k
}

// add records a duration in place of the oldest one.
func (k *kindDurations) add(duration time.Duration) {
	if len(k.ring) < windowSize {
		k.ring = append(k.ring, duration)
	} else {
		oldest, _ := slices.BinarySearch(k.sorted, k.ring[k.next])
		k.sorted = slices.Delete(k.sorted, oldest, oldest+1)
		k.ring[k.next] = duration
		k.next = (k.next + 1) % windowSize
	}
	at, _ := slices.BinarySearch(k.sorted, duration)
	k.sorted = slices.Insert(k.sorted, at, duration)
}

// quantile returns the quantile of the recent durations of a kind. ok is false if there are
// fewer than MinObservations.
func (d *durations) quantile(kind uint64) (duration time.Duration, ok bool) {
	k := d.kinds[kind]
	if k == nil || len(k.sorted) < MinObservations {
		return 0, false
	}
	const hundred = 100
	return k.sorted[(len(k.sorted)*quantilePercent-1)/hundred], true
}
