package lentillab

import (
	"context"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/caller"
)

// Totals is what callers saw together, compared with what the copies ran.
type Totals struct {
	Sent     int
	Answered int
	Late     int
	Refused  int
	Unknown  int
	Failed   int
	// Abandoned counts those of the failed requests that ended with a failure domain
	// which operators took out.
	Abandoned  int
	CopyErrors int
	Wrong      int
	// RanTwice names the requests that ran more than once though they may not.
	RanTwice []string
	// FalseRefusals names the requests that ran though their callers were told that
	// they had not been run.
	FalseRefusals []string
	// AnsweredNotRun names the requests that never ran though their callers got an answer.
	AnsweredNotRun []string
	// Faults describes some of what went wrong, for people.
	Faults []string
}

// NewTotals adds up reports, given how often each request that may not be repeated ran.
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

// Share returns the part of all requests that were sent.
func (t Totals) Share(part int) float64 { return float64(part) / float64(max(t.Sent, 1)) }

// Sleep waits for d, or returns the error of ctx if it ends first.
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

// Poll calls done again and again until it returns true, or an error, or ctx ends.
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
