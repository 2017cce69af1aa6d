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
	// warmupDuration is the total length of the windows of the warm-up phase.
	warmupDuration = 30 * time.Second
	// imbalanceWindow is the length of the windows in which the use of the copies is compared.
	imbalanceWindow = 10 * time.Second
	// coldDuration is how long a copy is cold after its start or a reset to cold.
	coldDuration = 5 * time.Second
	// leadDuration is how long callers run before a copy is reset to cold or the copies are
	// observed.
	leadDuration = 3 * time.Second
	// coldDetectionTime is the time that agents are given to detect that a copy has turned cold.
	coldDetectionTime = time.Second
	// stepTimeout limits the duration of each step. In a phase it comes on top of the time
	// that callers run.
	stepTimeout = 30 * time.Second

	// slowFactor is the factor by which requests to the slow copy take longer.
	slowFactor = 2
	// connections is the number of connections that callers hold open.
	connections = 60
	// onceShare is the share of non-repeatable requests.
	onceShare = 0.4
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 2 * time.Second
)

// slowCopy and coldCopy are the indexes of the copies with faults.
const (
	slowCopy = iota
	coldCopy
)

// phase is a period of constant load.
type phase struct {
	name string
	// load is the offered load as a share of the capacity of all copies.
	load    float64
	windows int
	// resetsCopy is true if a copy is reset to cold at the start of the phase.
	resetsCopy bool
	// measured is false for the warm-up.
	measured bool
}

// phases returns the phases in the order in which they run. A short run has fewer phases,
// whose figures are trials.
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

// phaseResult holds the measurements of a phase.
type phaseResult struct {
	phase          phase
	totals         lentillab.Totals
	answeredInTime int
	slowestRefusal time.Duration
	// busyShare is the mean share of all slots that were in use during the windows.
	busyShare float64
	// imbalance is the busy time of the most used copy over the mean, in the worst window.
	imbalance float64
	// capacity is the number of requests that the copies can serve during the phase.
	capacity float64
	// overCapacity counts the requests that started at the cold copy while it was at or above
	// its capacity, from a second after it turned cold. outages counts how often overload made
	// a copy fail.
	overCapacity, outages uint64
}

// siteRun is one run of the experiment on a site.
type siteRun struct {
	site       *lentillab.RunningSite
	setup      lentilfigure.Setup
	name       string
	callerRuns int
}

// capacity returns the capacity of all copies, the slow one included, in requests per second.
func (r *siteRun) capacity() float64 {
	service := r.site.Site().Services[0]
	copies := float64(service.Copies-1) + 1.0/slowFactor
	return copies * float64(service.Slots) / service.WorkDuration.Seconds()
}

func (r *siteRun) runPhase(ctx context.Context, p phase) (result phaseResult, err error) {
	duration := leadDuration + coldDetectionTime + time.Duration(p.windows)*imbalanceWindow
	r.setup.Progressf("site: %s: %s for %s", r.name, p.name, duration)
	limitedCtx, cancel := context.WithTimeout(ctx, duration+stepTimeout)
	defer cancel()
	if err = r.slowCopyDown(limitedCtx); err != nil {
		return result, err
	}
	rate := r.capacity() * p.load
	r.callerRuns++
	callers, err := r.site.StartCallers(p.name, r.site.Site().Services[0], duration, lentillab.Workload{
		Connections: connections, RepeatableRate: rate * (1 - onceShare), OnceRate: rate * onceShare,
		Timeout: callerTimeout, Seed: r.setup.Seed + uint64(r.callerRuns),
	})
	if err != nil {
		return result, err
	}
	result = phaseResult{phase: p, capacity: r.capacity() * duration.Seconds()}
	if err = r.observeWindows(limitedCtx, &result); err != nil {
		return result, err
	}
	report, err := callers.Report(limitedCtx)
	if err != nil {
		return result, err
	}
	return result, r.countRequests(limitedCtx, report, &result)
}

// slowCopyDown slows one copy down.
func (r *siteRun) slowCopyDown(ctx context.Context) (err error) {
	return r.site.PutJSON(ctx, r.site.Copies()[slowCopy].UpstreamURL()+"/faults", upstream.FaultsDoc{Slowdown: slowFactor})
}

// resetCopyToCold makes one warm and busy copy cold.
func (r *siteRun) resetCopyToCold(ctx context.Context) (err error) {
	return r.site.PutJSON(ctx, r.site.Copies()[coldCopy].UpstreamURL()+"/faults", upstream.FaultsDoc{ResetToCold: true})
}

// observeWindows records the use of the copies over the windows of a phase.
func (r *siteRun) observeWindows(ctx context.Context, result *phaseResult) (err error) {
	if err = lentillab.Sleep(ctx, leadDuration); err != nil {
		return err
	}
	if result.phase.resetsCopy {
		if err = r.resetCopyToCold(ctx); err != nil {
			return err
		}
	}
	if err = lentillab.Sleep(ctx, coldDetectionTime); err != nil {
		return err
	}
	first, err := r.copyStates(ctx)
	if err != nil {
		return err
	}
	before := first
	for range result.phase.windows {
		if err = lentillab.Sleep(ctx, imbalanceWindow); err != nil {
			return err
		}
		after, err := r.copyStates(ctx)
		if err != nil {
			return err
		}
		result.imbalance = max(result.imbalance, peakToMean(before, after, result.phase.resetsCopy))
		before = after
	}
	busyMillis := int64(0)
	for i := range before {
		result.outages += before[i].Outages - first[i].Outages
		busyMillis += before[i].BusyMillis - first[i].BusyMillis
	}
	slots := r.site.Site().Services[0].Slots * len(before)
	result.busyShare = float64(busyMillis) / float64(slots*result.phase.windows) / float64(imbalanceWindow.Milliseconds())
	result.overCapacity = before[coldCopy].OverCapacity - first[coldCopy].OverCapacity
	return nil
}

func (r *siteRun) copyStates(ctx context.Context) (states []upstream.StateDoc, err error) {
	for _, c := range r.site.Copies() {
		state, err := r.site.CopyState(ctx, c)
		if err != nil {
			return nil, err
		}
		states = append(states, state)
	}
	return states, nil
}

// peakToMean returns the busy time of the most used copy over the mean of all copies. A copy
// that turned cold is left out, because its capacity is lower. Without any busy time the ratio
// is 1.
func peakToMean(before, after []upstream.StateDoc, cold bool) float64 {
	peak, sum, copies := 0.0, 0.0, 0
	for i := range after {
		if cold && i == coldCopy {
			continue
		}
		busy := float64(after[i].BusyMillis - before[i].BusyMillis)
		peak = max(peak, busy)
		sum += busy
		copies++
	}
	if sum == 0 {
		return 1
	}
	return peak * float64(copies) / sum
}

func (r *siteRun) countRequests(ctx context.Context, report caller.ReportDoc, result *phaseResult) (err error) {
	runs, err := r.site.RunCounts(ctx)
	if err != nil {
		return err
	}
	for _, fault := range report.Faults {
		r.setup.Progressf("site: %s: %s: %s", r.name, result.phase.name, fault)
	}
	result.totals = lentillab.NewTotals(runs, report)
	result.answeredInTime = result.totals.Answered - result.totals.Late
	slowestMillis := max(report.Repeatable.RefusalMillisMax, report.Once.RefusalMillisMax)
	result.slowestRefusal = time.Duration(slowestMillis * float64(time.Millisecond))
	return nil
}
