package lentilsitemeasure

import (
	"context"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
)

const (
	// warmupDuration is how long the site runs before anything is counted.
	warmupDuration = 30 * time.Second
	// imbalanceWindow is the time over which the use of copies is compared.
	imbalanceWindow = 10 * time.Second
	// coldDuration is how long a copy is cold after its start, and after it turned cold.
	coldDuration = 5 * time.Second
	// leadDuration is how long callers call before a copy turns cold or anything is counted.
	leadDuration = 3 * time.Second
	// coldDetectionTime is how long agents may take to see that a copy has turned cold.
	coldDetectionTime = time.Second
	// stepTimeout bounds each step beside the calls themselves.
	stepTimeout = 30 * time.Second

	// slowFactor is how many times as long the slow copy takes.
	slowFactor = 2
	// connections is how many callers hold a connection open.
	connections = 60
	// onceShare is the share of requests that may not be repeated.
	onceShare = 0.4
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 2 * time.Second
)

// slowCopy and coldCopy are the numbers of the copies with faults.
const (
	slowCopy = iota
	coldCopy
)

// phase is a time of steady calls.
type phase struct {
	name string
	// load is the share of what all copies bear that callers ask for.
	load    float64
	windows int
	// resetsCopy is true if a copy turns resetsCopy when the phase begins.
	resetsCopy bool
	// measured is false for the time in which the copies become warm.
	measured bool
}

// phases returns the phases in their order; a short run gives trials only.
func phases(short bool) []phase {
	if short {
		return []phase{{name: "warm", load: 0.5, windows: 1}, {name: "70", load: 0.7, windows: 1, measured: true}}
	}
	return []phase{
		{name: "warm", load: 0.6, windows: int(warmupDuration / imbalanceWindow)},
		{name: "70", load: 0.7, windows: 2, measured: true},
		{name: "95", load: 0.95, windows: 2, measured: true},
		{name: "130", load: 1.3, windows: 1, measured: true},
		{name: "cold70", load: 0.7, windows: 2, resetsCopy: true, measured: true},
	}
}

// phaseResult is what was seen in a phase.
type phaseResult struct {
	phase          phase
	totals         lentillab.Totals
	answeredInTime int
	slowestRefusal time.Duration
	// busyShare is the share of all slots that was in use in the windows.
	busyShare float64
	// imbalance is the use of the most used copy over the mean, the worst of all windows.
	imbalance float64
	// capacity is how many requests the copies bear in the phase.
	capacity float64
	// overCapacity is how often a cold copy got more than it bore, a second after it had
	// turned cold, and outages is how often a copy fell over.
	overCapacity, outages uint64
}

// siteRun is one site under measurement.
type siteRun struct {
	site       *lentillab.RunningSite
	setup      lentilfigure.Setup
	name       string
	callerRuns int
}

// capacity returns the requests a second that all copies bear, the slow one included.
func (t *siteRun) capacity() float64 {
	s := t.site.Site().Services[0]
	copies := float64(s.Copies-1) + 1.0/slowFactor
	return copies * float64(s.Slots) / s.WorkDuration.Seconds()
}

func (t *siteRun) runPhase(ctx context.Context, p phase) (result phaseResult, err error) {
	length := leadDuration + coldDetectionTime + time.Duration(p.windows)*imbalanceWindow
	t.setup.Progressf("site: %s: %s for %s", t.name, p.name, length)
	limited, cancel := context.WithTimeout(ctx, length+stepTimeout)
	defer cancel()
	if err = t.slowCopyDown(limited); err != nil {
		return result, err
	}
	rate := t.capacity() * p.load
	t.callerRuns++
	crowd, err := t.site.StartCallers(p.name, t.site.Site().Services[0], length, lentillab.Workload{
		Connections: connections, RepeatableRate: rate * (1 - onceShare), OnceRate: rate * onceShare,
		Timeout: callerTimeout, Seed: t.setup.Seed + uint64(t.callerRuns),
	})
	if err != nil {
		return result, err
	}
	result = phaseResult{phase: p, capacity: t.capacity() * length.Seconds()}
	if err = t.observeWindows(limited, &result); err != nil {
		return result, err
	}
	report, err := crowd.Report(limited)
	if err != nil {
		return result, err
	}
	return result, t.countRequests(limited, report, &result)
}

// slowCopyDown makes one copy slow.
func (t *siteRun) slowCopyDown(ctx context.Context) (err error) {
	return t.site.PutJSON(ctx, t.site.Copies()[slowCopy].UpstreamURL()+"/faults", upstream.FaultsDoc{Slowdown: slowFactor})
}

// resetCopyToCold makes one copy cold that was warm and at work.
func (t *siteRun) resetCopyToCold(ctx context.Context) (err error) {
	return t.site.PutJSON(ctx, t.site.Copies()[coldCopy].UpstreamURL()+"/faults", upstream.FaultsDoc{ResetToCold: true})
}

// observeWindows follows the copies through the windows of a phase.
func (t *siteRun) observeWindows(ctx context.Context, result *phaseResult) (err error) {
	if err = lentillab.Sleep(ctx, leadDuration); err != nil {
		return err
	}
	if result.phase.resetsCopy {
		if err = t.resetCopyToCold(ctx); err != nil {
			return err
		}
	}
	if err = lentillab.Sleep(ctx, coldDetectionTime); err != nil {
		return err
	}
	first, err := t.copyStates(ctx)
	if err != nil {
		return err
	}
	before := first
	for range result.phase.windows {
		if err = lentillab.Sleep(ctx, imbalanceWindow); err != nil {
			return err
		}
		after, err := t.copyStates(ctx)
		if err != nil {
			return err
		}
		result.imbalance = max(result.imbalance, peakToMean(before, after, result.phase.resetsCopy))
		before = after
	}
	busy := int64(0)
	for i := range before {
		result.outages += before[i].Outages - first[i].Outages
		busy += before[i].BusyMillis - first[i].BusyMillis
	}
	slots := t.site.Site().Services[0].Slots * len(before)
	result.busyShare = float64(busy) / float64(slots*result.phase.windows) / float64(imbalanceWindow.Milliseconds())
	result.overCapacity = before[coldCopy].OverCapacity - first[coldCopy].OverCapacity
	return nil
}

func (t *siteRun) copyStates(ctx context.Context) (states []upstream.StateDoc, err error) {
	for _, c := range t.site.Copies() {
		state, err := t.site.CopyState(ctx, c)
		if err != nil {
			return nil, err
		}
		states = append(states, state)
	}
	return states, nil
}

// peakToMean returns the busy time of the most used copy over the mean of all. A copy that
// turned cold bears less than the others and is left out.
func peakToMean(before, after []upstream.StateDoc, cold bool) float64 {
	most, sum, copies := 0.0, 0.0, 0
	for i := range after {
		if cold && i == coldCopy {
			continue
		}
		busy := float64(after[i].BusyMillis - before[i].BusyMillis)
		most = max(most, busy)
		sum += busy
		copies++
	}
	if sum == 0 {
		return 1
	}
	return most * float64(copies) / sum
}

func (t *siteRun) countRequests(ctx context.Context, report caller.ReportDoc, result *phaseResult) (err error) {
	runs, err := t.site.RunCounts(ctx)
	if err != nil {
		return err
	}
	for _, fault := range report.Faults {
		t.setup.Progressf("site: %s: %s: %s", t.name, result.phase.name, fault)
	}
	result.totals = lentillab.NewTotals(runs, report)
	result.answeredInTime = result.totals.Answered - result.totals.Late
	slowest := max(report.Repeatable.RefusalMillisMax, report.Once.RefusalMillisMax)
	result.slowestRefusal = time.Duration(slowest * float64(time.Millisecond))
	return nil
}
