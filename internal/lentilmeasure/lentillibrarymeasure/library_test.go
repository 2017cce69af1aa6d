package lentillibrarymeasure

import (
	"go/parser"
	"go/token"
	"testing"
)

// TestProgramSourcesParse checks that the source of every program is valid Go, and that the
// names of the programs are unique.
func TestProgramSourcesParse(t *testing.T) {
	seen := make(map[string]bool)
	for _, p := range programs {
		if _, err := parser.ParseFile(token.NewFileSet(), p.name, p.source(), 0); err != nil {
			t.Errorf("source of program %s: %v", p.name, err)
		}
		if seen[p.name] {
			t.Errorf("program %s is listed twice", p.name)
		}
		seen[p.name] = true
	}
}

// TestMedian checks the median of unsorted values.
func TestMedian(t *testing.T) {
	if middle := median([]float64{9, 1, 5}); middle != 5 {
		t.Errorf("median = %v, want 5", middle)
	}
}
