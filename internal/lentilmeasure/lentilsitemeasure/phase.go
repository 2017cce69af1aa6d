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
	// warmTime is how long the site runs before anything is counted.
	warmTime = 30 * time.Second
	// window is the time over which the use of copies is compared.
	window = 10 * time.Second
	// coldTime is how long a copy is cold after its start, and after it turned cold.
	coldTime = 5 * time.Second
	// leadTime is how long callers call before a copy turns cold or anything is counted.
	leadTime = 3 * time.Second
	// coldNotice is how long agents may take to see that a copy has turned cold.
	coldNotice = time.Second
	// stepTimeout bounds each step beside the calls themselves.
	stepTimeout = 30 * time.Second

	// slowFactor is how many times as long the slow copy takes.
	slowFactor = 2
	// connections is how many callers hold a connection open.
	connections = 60
	// onceShare is the share of requests that may not be repeated.
	onceShare = 0.4
	// deadline is how long a caller waits for an answer.
	deadline = 2 * time.Second
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
	// cold is true if a copy turns cold when the phase begins.
	cold bool
	// counted is false for the time in which the copies become warm.
	counted bool
}

// phases returns the phases in their order; a short run gives trials only.
func phases(short bool) []phase {
	if short {
		return []phase{{name: "warm", load: 0.5, windows: 1}, {name: "70", load: 0.7, windows: 1, counted: true}}
	}
	return []phase{
		{name: "warm", load: 0.6, windows: int(warmTime / window)},
		{name: "70", load: 0.7, windows: 2, counted: true},
		{name: "95", load: 0.95, windows: 2, counted: true},
		{name: "130", load: 1.3, windows: 1, counted: true},
		{name: "cold70", load: 0.7, windows: 2, cold: true, counted: true},
	}
}

// phaseResult is what was seen in a phase.
type phaseResult struct {
	phase    phase
	totals   lentillab.Totals
	answered int
	slowest  time.Duration
	// busy is the share of all slots that was in use in the windows.
	busy float64
	// hottest is the use of the most used copy over the mean, the worst of all windows.
	hottest float64
	// capacity is how many requests the copies bear in the phase.
	capacity float64
	// overBorne is how often a cold copy got more than it bore, a second after it had
	// turned cold, and falls is how often a copy fell over.
	overBorne, falls uint64
}

// trial is one site under measurement.
type trial struct {
	site  *lentillab.RunningSite
	setup lentilfigure.Setup
	name  string
	runs  int
}

// capacity returns the requests a second that all copies bear, the slow one included.
func (t *trial) capacity() float64 {
	s := t.site.Site().Services[0]
	copies := float64(s.Copies-1) + 1.0/slowFactor
	return copies * float64(s.Slots) / s.WorkDuration.Seconds()
}

func (t *trial) run(ctx context.Context, p phase) (result phaseResult, err error) {
	length := leadTime + coldNotice + time.Duration(p.windows)*window
	t.setup.Note("site: %s: %s for %s", t.name, p.name, length)
	limited, cancel := context.WithTimeout(ctx, length+stepTimeout)
	defer cancel()
	if err = t.slowDown(limited); err != nil {
		return result, err
	}
	rate := t.capacity() * p.load
	t.runs++
	crowd, err := t.site.StartCallers(p.name, t.site.Site().Services[0], length, lentillab.Workload{
		Connections: connections, RepeatableRate: rate * (1 - onceShare), OnceRate: rate * onceShare,
		Timeout: deadline, Seed: t.setup.Seed + uint64(t.runs),
	})
	if err != nil {
		return result, err
	}
	result = phaseResult{phase: p, capacity: t.capacity() * length.Seconds()}
	if err = t.watch(limited, &result); err != nil {
		return result, err
	}
	report, err := crowd.Report(limited)
	if err != nil {
		return result, err
	}
	return result, t.count(limited, report, &result)
}

// slowDown makes one copy slow.
func (t *trial) slowDown(ctx context.Context) (err error) {
	return t.site.PutJSON(ctx, t.site.Copies()[slowCopy].UpstreamURL()+"/faults", upstream.FaultsDoc{Slowdown: slowFactor})
}

// turnCold makes one copy cold that was warm and at work.
func (t *trial) turnCold(ctx context.Context) (err error) {
	return t.site.PutJSON(ctx, t.site.Copies()[coldCopy].UpstreamURL()+"/faults", upstream.FaultsDoc{ResetToCold: true})
}

// watch follows the copies through the windows of a phase.
func (t *trial) watch(ctx context.Context, result *phaseResult) (err error) {
	if err = lentillab.Sleep(ctx, leadTime); err != nil {
		return err
	}
	if result.phase.cold {
		if err = t.turnCold(ctx); err != nil {
			return err
		}
	}
	if err = lentillab.Sleep(ctx, coldNotice); err != nil {
		return err
	}
	first, err := t.states(ctx)
	if err != nil {
		return err
	}
	before := first
	for range result.phase.windows {
		if err = lentillab.Sleep(ctx, window); err != nil {
			return err
		}
		after, err := t.states(ctx)
		if err != nil {
			return err
		}
		result.hottest = max(result.hottest, hottest(before, after, result.phase.cold))
		before = after
	}
	busy := int64(0)
	for i := range before {
		result.falls += before[i].Outages - first[i].Outages
		busy += before[i].BusyMillis - first[i].BusyMillis
	}
	slots := t.site.Site().Services[0].Slots * len(before)
	result.busy = float64(busy) / float64(slots*result.phase.windows) / float64(window.Milliseconds())
	result.overBorne = before[coldCopy].OverCapacity - first[coldCopy].OverCapacity
	return nil
}

func (t *trial) states(ctx context.Context) (states []upstream.StateDoc, err error) {
	for _, c := range t.site.Copies() {
		state, err := t.site.CopyState(ctx, c)
		if err != nil {
			return nil, err
		}
		states = append(states, state)
	}
	return states, nil
}

// hottest returns the busy time of the most used copy over the mean of all. A copy that
// turned cold bears less than the others and is left out.
func hottest(before, after []upstream.StateDoc, cold bool) float64 {
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

func (t *trial) count(ctx context.Context, report caller.ReportDoc, result *phaseResult) (err error) {
	runs, err := t.site.RunCounts(ctx)
	if err != nil {
		return err
	}
	for _, fault := range report.Faults {
		t.setup.Note("site: %s: %s: %s", t.name, result.phase.name, fault)
	}
	result.totals = lentillab.NewTotals(runs, report)
	result.answered = result.totals.Answered - result.totals.Late
	slowest := max(report.Repeatable.RefusalMillisMax, report.Once.RefusalMillisMax)
	result.slowest = time.Duration(slowest * float64(time.Millisecond))
	return nil
}
