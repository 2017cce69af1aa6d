package lentilmatrix

import (
	"flag"
	"hash/fnv"
	"regexp"
	"strings"
	"testing"
)

var seedFlag = flag.Uint64("matrix.seed", 0, "seed of every cell, in place of the one made from its name")

var allFlag = flag.Bool("matrix.all", false, "run every pair of faults at every step, not a fifth of them")

// cell is one fault, or pair of faults, at one step.
type cell struct {
	fault, step string
	run         func(seed uint64) *Outcome
}

// seed returns the seed of the cell, which depends on its name alone.
func (c cell) seed() uint64 {
	if *seedFlag != 0 {
		return *seedFlag
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(c.fault + "/" + c.step))
	return sum.Sum64()
}

// pairStride says that one in so many cells with two faults runs by default.
const pairStride = 5

// runsByDefault reports whether a cell with two faults runs without -matrix.all.
// Over five pairs in a row and five steps in a row each is met.
func runsByDefault(pair, step int) bool { return *allFlag || (pair+step)%pairStride == 0 }

// runCells runs every cell as a subtest. A failing cell prints its seed and trace.
func runCells(t *testing.T, cells []cell) {
	t.Helper()
	for _, c := range cells {
		t.Run(c.fault+"/"+c.step, func(t *testing.T) {
			t.Parallel()
			outcome := c.run(c.seed())
			if outcome.ViolationCount() == 0 {
				return
			}
			name := regexp.QuoteMeta(t.Name())
			t.Errorf("%d violations, repeat with -run '%s' -matrix.seed=%d:\n%s\ntrace:\n%s", outcome.ViolationCount(),
				name, c.seed(), strings.Join(outcome.Violations(), "\n"), strings.Join(outcome.Trace(), "\n"))
		})
	}
}
