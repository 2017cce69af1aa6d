package lentilmatrix

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// faultSets returns NoFault, each fault alone, and each pair of faults.
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

// faultSetName returns the name of a set of faults.
func faultSetName(faults []Fault) (name string) {
	for i, fault := range faults {
		if i > 0 {
			name += "+"
		}
		name += fault.String()
	}
	return name
}

// newFlowCell returns the cell of a set of faults at a step. If its run has violations, it runs
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

// TestFlowMatrix injects each fault at each step, and pairs of faults at the steps that runsByDefault
// selects.
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

// TestBaselineBreaksFlows guards against checks that can't fail. The baseline, which hashes the
// 5-tuple and pins no flows, must break flows of both protocols at every planned change. The
// product's decisions must break none in the same run.
func TestBaselineBreaksFlows(t *testing.T) {
	for _, step := range PlannedChanges() {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			_, product := FlowRun{Seed: 1, Step: step}.Run()
			_, baseline := FlowRun{Seed: 1, Step: step, Baseline: true}.Run()
			if product.QUIC.Broken+product.Datagram.Broken > 0 || baseline.QUIC.Broken == 0 || baseline.Datagram.Broken == 0 {
				t.Errorf("product %+v\nbaseline %+v", product, baseline)
			}
		})
	}
}

func TestFlowRunsAreDeterministic(t *testing.T) {
	run := FlowRun{Seed: 1, Step: CopiesReplaced, Faults: []Fault{AgentDies, PacketsLate}, Trace: true}
	first, firstStats := run.Run()
	second, secondStats := run.Run()
	if diff := cmp.Diff(first.Trace(), second.Trace()); diff != "" {
		t.Errorf("two runs from one seed have different traces:\n%s", diff)
	}
	if diff := cmp.Diff(firstStats, secondStats); diff != "" {
		t.Errorf("two runs from one seed have different counters:\n%s", diff)
	}
}

// Numbers for TestFlowRandomFaults: the runs by default, the runs with -matrix.all, and the faults in
// each run.
const (
	randomRuns         = 30
	randomRunsAll      = 600
	faultsPerRandomRun = 4
)

// TestFlowRandomFaults runs sets of random faults at a random step.
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
