package lentillibrarymeasure

import (
	"go/parser"
	"go/token"
	"testing"
)

// TestProgramSourcesParse parses the program of each library.
func TestProgramSourcesParse(t *testing.T) {
	seen := make(map[string]bool)
	for _, p := range programs {
		if _, err := parser.ParseFile(token.NewFileSet(), p.name, p.source(), 0); err != nil {
			t.Errorf("%s: %v", p.name, err)
		}
		if seen[p.name] {
			t.Errorf("%s is listed twice", p.name)
		}
		seen[p.name] = true
	}
}

// TestMedian takes the middle of figures in any order.
func TestMedian(t *testing.T) {
	if middle := median([]float64{9, 1, 5}); middle != 5 {
		t.Errorf("got %v", middle)
	}
}
