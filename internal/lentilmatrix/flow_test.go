package lentilmatrix

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// faultSets returns no fault, each fault, and each pair of faults.
func faultSets() (sets [][]Fault) {
	sets = append(sets, []Fault{NoFault})
	for a := NoFault + 1; a < LastFault; a++ {
		sets = append(sets, []Fault{a})
		for b := a + 1; b < LastFault; b++ {
			sets = append(sets, []Fault{a, b})
		}
	}
	return sets
}

// faultSetName names a set of faults.
func faultSetName(faults []Fault) (name string) {
	for i, fault := range faults {
		if i > 0 {
			name += "+"
		}
		name += fault.String()
	}
	return name
}

// newFlowCell returns the cell of some faults at a step. A run with violations is run
// again with a trace.
func newFlowCell(prefix string, step Step, faults []Fault) cell {
	return cell{prefix + faultSetName(faults), step.String(), func(seed uint64) *Outcome {
		run := FlowRun{Seed: seed, Step: step, Faults: faults}
		outcome, _ := run.Run()
		if run.Trace = outcome.ViolationCount() > 0; run.Trace {
			outcome, _ = run.Run()
		}
		return outcome
	}}
}

func TestFlowMatrix(t *testing.T) {
	var cells []cell
	for pair, faults := range faultSets() {
		for step := range LastStep {
			if len(faults) > 1 && !runsByDefault(pair, int(step)) {
				continue
			}
			cells = append(cells, newFlowCell("", step, faults))
		}
	}
	runCells(t, cells)
}

// TestFlowBaselineBreaks shows that the checks can fail: the same runs with a hash of
// the 5-tuple and no pins break flows at every planned change.
func TestFlowBaselineBreaks(t *testing.T) {
	for _, step := range PlannedChanges() {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			_, ours := FlowRun{Seed: 1, Step: step}.Run()
			_, naive := FlowRun{Seed: 1, Step: step, Baseline: true}.Run()
			if ours.QUIC.Broken+ours.Datagram.Broken > 0 || naive.QUIC.Broken == 0 || naive.Datagram.Broken == 0 {
				t.Errorf("ours %+v\nbaseline %+v", ours, naive)
			}
		})
	}
}

func TestFlowRunsAreDeterministic(t *testing.T) {
	run := FlowRun{Seed: 1, Step: CopiesReplaced, Faults: []Fault{AgentDies, PacketsLate}, Trace: true}
	first, figures := run.Run()
	second, again := run.Run()
	if diff := cmp.Diff(first.Trace(), second.Trace()); diff != "" {
		t.Errorf("two runs from one seed differ:\n%s", diff)
	}
	if diff := cmp.Diff(figures, again); diff != "" {
		t.Errorf("two runs from one seed count differently:\n%s", diff)
	}
}

// Sizes of the randomRuns: runs with several random faults at a random step.
const (
	randomRuns         = 30
	randomRunsAll      = 600
	faultsPerRandomRun = 4
)

func TestFlowRandomFaults(t *testing.T) {
	count := randomRuns
	if *allFlag {
		count = randomRunsAll
	}
	var cells []cell
	for number := range uint64(count) {
		random := rand.New(rand.NewPCG(number, 0))
		step := Step(random.IntN(int(LastStep)))
		var faults []Fault
		for range faultsPerRandomRun {
			faults = append(faults, 1+Fault(random.IntN(int(LastFault)-1)))
		}
		cells = append(cells, newFlowCell(fmt.Sprintf("%d:", number), step, faults))
	}
	runCells(t, cells)
}
