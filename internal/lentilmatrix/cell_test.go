package lentilmatrix

import (
	"flag"
	"hash/fnv"
	"regexp"
	"strings"
	"testing"
)

var seedFlag = flag.Uint64("matrix.seed", 0, "seed of every cell; zero derives the seed from the name of the cell")

var allFlag = flag.Bool("matrix.all", false, "run every pair of faults at every step instead of a fifth of them, and more random runs")

// cell is a set of faults at one step.
type cell struct {
	fault, step string
	run         func(seed uint64) *Outcome
}

// seed returns the seed of the cell: that of -matrix.seed, or else a hash of the name.
func (c cell) seed() uint64 {
	if *seedFlag != 0 {
		return *seedFlag
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(c.fault + "/" + c.step))
	return sum.Sum64()
}

// pairStride is the stride of the cells with two faults that run by default: one in 5.
const pairStride = 5

// runsByDefault reports whether a cell with two faults runs without -matrix.all.
// Among five consecutive pairs and five consecutive steps, each pair and each step runs.
func runsByDefault(pair, step int) bool { return *allFlag || (pair+step)%pairStride == 0 }

// runCells runs every cell as a parallel subtest. A failed cell prints its seed and its trace.
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
