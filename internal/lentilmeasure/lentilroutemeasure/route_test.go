package lentilroutemeasure

import "testing"

func TestDecisionsDoNotAllocate(t *testing.T) {
	list, err := decisions()
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range list {
		if allocations := testing.AllocsPerRun(100, d.run); allocations != 0 {
			t.Errorf("decision %s makes %v allocations, want 0", d.name, allocations)
		}
	}
}
