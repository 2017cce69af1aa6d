package lentilroutemeasure

import "testing"

func TestDecisionsDoNotAllocate(t *testing.T) {
	list, err := decisions()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range list {
		if allocated := testing.AllocsPerRun(100, c.run); allocated != 0 {
			t.Errorf("%s: %v allocations", c.name, allocated)
		}
	}
}
