package lentilmatrix

import (
	"strings"
	"testing"
)

// TestRequestsWithoutFault checks that all calls are answered when no fault is injected.
func TestRequestsWithoutFault(t *testing.T) {
	result := requestCell{seed: 1}.run()
	if result.ViolationCount() > 0 {
		t.Errorf("%q\n%s", result.Violations(), strings.Join(result.Trace(), "\n"))
	}
	if n := result.lastReplies[replyAnswer]; n != warmupCalls+testCalls+burstCalls {
		t.Errorf("%d of %d calls were answered: %v", n, warmupCalls+testCalls+burstCalls, result.lastReplies)
	}
}

// TestRequestMatrix injects each fault at each step, from two seeds. The seeds differ because they
// derive from the name of the cell, which the variant is a part of.
func TestRequestMatrix(t *testing.T) {
	var cells []cell
	for _, f := range requestFaults {
		for _, step := range requestSteps {
			for _, variant := range []string{"", "-again"} {
				cells = append(cells, newRequestCell(step, variant, f))
			}
		}
	}
	runCells(t, cells)
}

// TestRequestMatrixPairs injects each ordered pair of faults at one step.
func TestRequestMatrixPairs(t *testing.T) {
	var cells []cell
	for i, f := range requestFaults {
		for j, g := range requestFaults {
			cells = append(cells, newRequestCell(requestSteps[(i+j)%len(requestSteps)], "", f, g))
		}
	}
	runCells(t, cells)
}

func newRequestCell(step requestStep, variant string, faults ...requestFault) cell {
	var names []string
	for _, f := range faults {
		names = append(names, f.String())
	}
	return cell{fault: strings.Join(names, "+"), step: step.String() + variant, run: func(seed uint64) *Outcome {
		result := requestCell{seed: seed, step: step, faults: faults}.run()
		return &result.Outcome
	}}
}
