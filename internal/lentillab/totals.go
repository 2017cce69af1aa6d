package lentillab

import (
	"context"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// Totals sums the reports of several groups of callers, and compares them with the
// requests that the copies ran.
type Totals struct {
	Sent     int
	Answered int
	Late     int
	Refused  int
	Unknown  int
	Failed   int
	// Abandoned counts the failed requests that ended because operators took their
	// failure domain out of service. Failed includes them.
	Abandoned  int
	CopyErrors int
	Wrong      int
	// RanTwice lists the non-repeatable requests that ran more than once.
	RanTwice []string
	// FalseRefusals lists the requests that ran although their callers got the answer
	// "not run".
	FalseRefusals []string
	// AnsweredNotRun lists the requests that never ran although their callers got an
	// answer.
	AnsweredNotRun []string
	// Faults describes some of the problems in readable text.
	Faults []string
}

// NewTotals sums the reports. runs holds how often each non-repeatable request ran, by
// request ID.
func NewTotals(runs map[string]int, reports ...caller.ReportDoc) (t Totals) {
	for id, n := range runs {
		if n > 1 {
			t.RanTwice = append(t.RanTwice, id)
		}
	}
	slices.Sort(t.RanTwice)
	for _, report := range reports {
		t.Faults = append(t.Faults, report.Faults...)
		t.add(report.Repeatable)
		t.add(report.Once)
		for _, id := range report.Once.NotRunIDs {
			if runs[id] > 0 {
				t.FalseRefusals = append(t.FalseRefusals, id)
			}
		}
		for _, id := range report.Once.AnsweredIDs {
			if runs[id] == 0 {
				t.AnsweredNotRun = append(t.AnsweredNotRun, id)
			}
		}
	}
	return t
}

func (t *Totals) add(requests caller.RequestsDoc) {
	t.Sent += requests.Sent
	t.Answered += requests.Answered
	t.Late += requests.Late
	t.Refused += requests.NotRun
	t.Unknown += requests.Unknown
	t.Failed += requests.Failed
	t.Abandoned += requests.Abandoned
	t.CopyErrors += requests.CopyErrors
	t.Wrong += requests.Wrong
}

// Share returns part as a fraction of all requests that were sent.
func (t Totals) Share(part int) float64 { return float64(part) / float64(max(t.Sent, 1)) }

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Poll calls done every pollInterval until it returns true or an error, or ctx ends.
func Poll(ctx context.Context, done func() (ok bool, err error)) error {
	for {
		ok, err := done()
		if ok || err != nil {
			return err
		}
		if err = Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}
