package lentillab

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

func TestTotals(t *testing.T) {
	runs := map[string]int{"once": 1, "twice": 2, "denied": 1}
	got := NewTotals(runs, caller.ReportDoc{
		Repeatable: caller.RequestsDoc{Sent: 10, Answered: 8, Late: 1, NotRun: 1, Failed: 1, Abandoned: 1},
		Once: caller.RequestsDoc{
			Sent: 6, Answered: 3, NotRun: 2, Unknown: 1, Wrong: 1, CopyErrors: 1,
			AnsweredIDs: []string{"once", "twice", "never"}, NotRunIDs: []string{"denied", "refused"},
		},
		Faults: []string{"a fault"},
	})
	want := Totals{
		Sent: 16, Answered: 11, Late: 1, Refused: 3, Unknown: 1, Failed: 1, Abandoned: 1, CopyErrors: 1, Wrong: 1,
		RanTwice: []string{"twice"}, FalseRefusals: []string{"denied"}, AnsweredNotRun: []string{"never"}, Faults: []string{"a fault"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	if share := got.Share(got.Answered); share != 11.0/16 {
		t.Errorf("share %v", share)
	}
	if share := (Totals{}).Share(0); share != 0 {
		t.Errorf("share of nothing %v", share)
	}
}

func TestSumMetric(t *testing.T) {
	scrape := "# HELP a\na_b{x=\"1\"} 3\na_b{x=\"2\"} 4\na_bc{x=\"1\"} 9\na_b 7\n"
	if got := SumMetric(scrape, "a_b"); got != 7 {
		t.Errorf("got %d", got)
	}
}
