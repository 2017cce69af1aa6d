package lentilmatrix

import (
	"testing"
)

// cellSeeds is how often each cell of single faults is run.
const cellSeeds = 2

func TestRequestsWithoutFault(t *testing.T) {
	result := requestCell{seed: 1, step: stepAdmitted, faults: []requestFault{faultNone}}.run()
	report(t, requestCell{seed: 1}, result)
	if n := result.words[replyAnswer]; n != warmCalls+watchedCalls+burstCalls {
		t.Errorf("%d of %d calls were answered: %v", n, warmCalls+watchedCalls+burstCalls, result.words)
	}
}

func TestRequestMatrix(t *testing.T) {
	for _, f := range requestFaults {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			for _, s := range requestSteps {
				for seed := range uint64(cellSeeds) {
					runCell(t, requestCell{seed: seed + 1, step: s, faults: []requestFault{f}})
				}
			}
		})
	}
}

func TestRequestMatrixPairs(t *testing.T) {
	for i, f := range requestFaults {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			for j, g := range requestFaults {
				s := requestSteps[(i+j)%len(requestSteps)]
				runCell(t, requestCell{seed: uint64(100*i + j), step: s, faults: []requestFault{f, g}})
			}
		})
	}
}

func runCell(t *testing.T, c requestCell) {
	t.Helper()
	result := c.run()
	if !result.reached {
		t.Errorf("%s: the step was not reached", c)
	}
	report(t, c, result)
}

func report(t *testing.T, c requestCell, result cellResult) {
	t.Helper()
	if len(result.broken) > 0 {
		t.Errorf("%s: %q\n%s", c, result.broken, result.tail())
	}
}
