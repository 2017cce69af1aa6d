package lentilhedge

import "time"

// attempt is a kind of attempt in the budget.
type attempt uint8

const (
	first attempt = iota
	// further is an extra attempt or a retry.
	further
	attemptKinds
)

const (
	// cellWidth is the resolution of the budget. At each decision it leaves out first attempts of
	// up to cellWidth, 1 % of the window.
	cellWidth = 10 * time.Millisecond
	// firstCells is the number of cells, including the current one, that certainly lie in the
	// window. The window begins within one more cell, so furtherCells cover it completely.
	firstCells   = int64(Window / cellWidth)
	furtherCells = firstCells + 1
)

// cell holds the attempts that began in one cellWidth.
type cell [attemptKinds]int

// budget counts attempts of the last window in cells, so that its size doesn't depend on the
// rate. First attempts count while they are certainly in the window, and the others while they
// may be, so the percentage is never exceeded by rounding. The zero budget is empty.
type budget struct {
	cells   [furtherCells]cell
	sums    [attemptKinds]int // counts in the current window
	origin  time.Time
	started bool
	current int64 // number of the latest cell
}

// add counts an attempt.
func (b *budget) add(now time.Time, a attempt) {
	b.advance(now)
	b.cells[b.current%furtherCells][a]++
	b.sums[a]++
}

// covers reports whether one more extra attempt stays within the percentage.
func (b *budget) covers(now time.Time, percent int) bool {
	b.advance(now)
	const hundred = 100
	return (b.sums[further]+1)*hundred <= b.sums[first]*percent
}

// advance moves the window to the given time and removes what it has left. A time before the
// latest one counts as the latest one.
func (b *budget) advance(now time.Time) {
	if !b.started {
		b.started, b.origin = true, now
	}
	target := int64(now.Sub(b.origin) / cellWidth)
	if target >= b.current+2*furtherCells {
		b.cells, b.sums = [furtherCells]cell{}, [attemptKinds]int{}
		b.current = target
		return
	}
	for b.current < target {
		b.current++
		// The oldest cell, whose place the current one takes, leaves the window of the further
		// attempts. The one after it leaves that of the first attempts.
		oldest := &b.cells[b.current%furtherCells]
		b.sums[further] -= oldest[further]
		*oldest = cell{}
		leaving := &b.cells[(b.current+1)%furtherCells]
		b.sums[first] -= leaving[first]
		leaving[first] = 0
	}
}

// share returns the number of further attempts per first attempt.
func (b *budget) share(now time.Time) float64 {
	b.advance(now)
	return float64(b.sums[further]) / float64(max(b.sums[first], 1))
}
