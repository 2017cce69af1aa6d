package lentildemo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentillab"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/internal/lentilstand/fabric"
)

const (
	// maxInForceMillis is how long an accepted change may take until it is in force.
	maxInForceMillis = 2000
	// maxUnknownShare is how large a share of the requests that may not be repeated may end
	// with "outcome unknown" while a failure domain leaves: those in flight there.
	maxUnknownShare = 0.02
)

// buildReport collects what everybody saw and judges the promises.
func (d *demo) buildReport(ctx context.Context) (report ReportDoc, err error) {
	if err = d.collectReports(ctx); err != nil {
		return ReportDoc{}, err
	}
	r := &d.report
	r.Seconds = time.Since(d.startedAt).Seconds()
	r.Processes = len(d.lab.Processes())
	r.Services = make(map[string]caller.ReportDoc)
	for _, c := range d.callers {
		r.Services[c.Service().Name] = c.report
	}
	runs, err := d.collectCounts(ctx)
	if err != nil {
		return ReportDoc{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkFlows()
	d.checkRequests(runs)
	d.checkChanges(ctx)
	d.checkAllUsed()
	r.OK = r.ViolatedPromises == 0
	return *r, nil
}

// collectCounts asks the fabric and the copies what they did, and returns how often
// each request that may not be repeated ran.
func (d *demo) collectCounts(ctx context.Context) (runs map[string]int, err error) {
	var counts fabric.CountsDoc
	if err = d.site.GetJSON(ctx, d.site.FabricAdminURL()+"/counts", &counts); err != nil {
		return nil, err
	}
	d.report.Balancers = make(map[string]uint64)
	for _, b := range d.site.Balancers() {
		d.report.Balancers[b.Name()] = counts.SentByBalancer[b.IP().String()]
	}
	d.report.Copies = make(map[string]uint64)
	for _, c := range d.site.Copies() {
		state, err := d.site.CopyState(ctx, c)
		if err != nil {
			return nil, err
		}
		d.report.Copies[c.Name()] = state.Completed
	}
	return d.site.RunCounts(ctx)
}

// checkFlows judges the streams.
func (d *demo) checkFlows() {
	var elsewhere, gaps int
	var faults []string
	inside := make(map[string]bool)
	for _, c := range d.site.Copies() {
		inside[c.Name()] = c.Domain() == outDomain
	}
	for _, c := range d.callers {
		gaps += c.report.Streams.Gaps
		faults = append(faults, c.report.Faults...)
		for name, broken := range c.report.Streams.BrokenByCopy {
			if !inside[name] {
				elsewhere += broken
			}
		}
	}
	d.report.BrokenFlows = elsewhere
	d.report.addPromise("no established flow breaks outside the failure domain that was taken out", float64(elsewhere), 0, joinFirst(faults))
	d.report.addPromise("no flow gets another's or incomplete content", float64(gaps), 0, joinFirst(faults))
}

// checkRequests judges the answers, refusals and runs.
func (d *demo) checkRequests(runs map[string]int) {
	var reports []caller.ReportDoc
	for _, c := range d.callers {
		reports = append(reports, c.report)
	}
	t := lentillab.NewTotals(runs, reports...)
	r := &d.report
	r.RefusedShare = t.Share(t.Refused)
	r.addPromise("every answer is whole and to the caller's own request", float64(t.Wrong), 0, joinFirst(t.Faults))
	r.addPromise("what may not be repeated runs at most once", float64(len(t.RanTwice)), 0, joinFirst(t.RanTwice))
	r.addPromise("a refusal that says not run is true", float64(len(t.FalseRefusals)), 0, joinFirst(t.FalseRefusals))
	r.addPromise("what was answered did run", float64(len(t.AnsweredNotRun)), 0, joinFirst(t.AnsweredNotRun))
	r.addPromise("no request fails outside the failure domain that was taken out, and no copy fails", float64(t.Failed-t.Abandoned+t.CopyErrors), 0, joinFirst(t.Faults))
	r.addPromise("share of requests with outcome unknown", t.Share(t.Unknown), maxUnknownShare, joinFirst(t.Faults))
}

// checkChanges judges the changes of configuration and of processes.
func (d *demo) checkChanges(ctx context.Context) {
	r := &d.report
	var slowest int64
	for _, c := range r.Changes {
		if !strings.HasSuffix(c.Name, " stopped") {
			slowest = max(slowest, c.TookMillis)
		}
	}
	r.addPromise("milliseconds until an accepted change is in force everywhere", float64(slowest), maxInForceMillis, "")
	r.addPromise("packets into the failure domain more than 3 s after it was taken out", float64(d.latePackets), 0, "")
	var newWork uint64
	for _, l := range d.withdrawn {
		state, err := d.site.CopyState(ctx, l.copy)
		if !l.stateRead || err != nil {
			newWork++
			continue
		}
		newWork += state.Completed - min(l.completed, state.Completed)
	}
	r.addPromise("requests to a withdrawn copy more than 3 s after its withdrawal", float64(newWork), 0, "")
	failed := d.lab.Failures()
	r.addPromise("processes that ended by an error", float64(len(failed)), 0, joinFirst(failed))
}

// checkAllUsed judges whether every balancer and copy was used.
func (d *demo) checkAllUsed() {
	var idle []string
	for name, packets := range d.report.Balancers {
		if packets == 0 {
			idle = append(idle, name)
		}
	}
	for _, c := range d.site.Copies() {
		withdrawn := slices.ContainsFunc(d.withdrawn, func(l *withdrawnCopy) bool { return l.copy == c })
		if d.report.Copies[c.Name()] == 0 && !withdrawn {
			idle = append(idle, c.Name())
		}
	}
	slices.Sort(idle)
	d.report.addPromise("balancers and copies left unused", float64(len(idle)), 0, strings.Join(idle, ", "))
}

// joinFirst describes the joinFirst few of many.
func joinFirst(all []string) string {
	const shown = 5
	return strings.Join(all[:min(shown, len(all))], "; ")
}

// printProgress writes a line about the progress.
func (d *demo) printProgress(format string, values ...any) {
	if d.options.Progress != nil {
		_, _ = fmt.Fprintf(d.options.Progress, format+"\n", values...)
	}
}

// failureLogs returns the last lines of the processes that ended by an error.
func (d *demo) failureLogs() string { return strings.Join(d.lab.Failures(), "; ") }
