package lentilroutemeasure

import "testing"

func TestChoicesAllocateNothing(t *testing.T) {
	list, err := choices()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range list {
		if allocated := testing.AllocsPerRun(100, c.do); allocated != 0 {
			t.Errorf("%s: %v allocations", c.name, allocated)
		}
	}
}
