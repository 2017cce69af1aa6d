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
	// maxInForceMillis is how long a change may take until it is in force everywhere.
	maxInForceMillis = 2000
	// maxUnknownShare is the largest allowed share of requests with the result "outcome
	// unknown". Non-repeatable requests get this result if they are in flight in a failure
	// domain while it is taken out of service.
	maxUnknownShare = 0.02
)

// buildReport collects the results of all processes and checks the promises.
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

// collectCounts stores how many packets each balancer got and how many requests each
// copy completed. It returns how often each non-repeatable request ran, by request ID.
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

// checkFlows checks the promises about established flows, which are the callers' streams.
func (d *demo) checkFlows() {
	var brokenElsewhere, gaps int
	var faults []string
	inOutDomain := make(map[string]bool)
	for _, c := range d.site.Copies() {
		inOutDomain[c.Name()] = c.Domain() == outDomain
	}
	for _, c := range d.callers {
		gaps += c.report.Streams.Gaps
		faults = append(faults, c.report.Faults...)
		for name, broken := range c.report.Streams.BrokenByCopy {
			if !inOutDomain[name] {
				brokenElsewhere += broken
			}
		}
	}
	d.report.BrokenFlows = brokenElsewhere
	d.report.addPromise("no established flow breaks outside the failure domain that was taken out of service", float64(brokenElsewhere), 0, joinFirst(faults))
	d.report.addPromise("no flow receives incomplete content or the content of another flow", float64(gaps), 0, joinFirst(faults))
}

// checkRequests checks the promises about requests. runs holds how often each
// non-repeatable request ran, by request ID.
func (d *demo) checkRequests(runs map[string]int) {
	var reports []caller.ReportDoc
	for _, c := range d.callers {
		reports = append(reports, c.report)
	}
	t := lentillab.NewTotals(runs, reports...)
	r := &d.report
	r.RefusedShare = t.Share(t.Refused)
	r.addPromise("every answer is complete and belongs to the caller's request", float64(t.Wrong), 0, joinFirst(t.Faults))
	r.addPromise("every non-repeatable request runs at most once", float64(len(t.RanTwice)), 0, joinFirst(t.RanTwice))
	r.addPromise("no request that was refused as not run did run", float64(len(t.FalseRefusals)), 0, joinFirst(t.FalseRefusals))
	r.addPromise("every answered non-repeatable request did run", float64(len(t.AnsweredNotRun)), 0, joinFirst(t.AnsweredNotRun))
	r.addPromise("no request fails outside the failure domain that was taken out of service, and no copy reports an error",
		float64(t.Failed-t.Abandoned+t.CopyErrors), 0, joinFirst(t.Faults))
	r.addPromise("share of requests with outcome unknown", t.Share(t.Unknown), maxUnknownShare, joinFirst(t.Faults))
}

// checkChanges checks the promises about configuration changes, withdrawn copies and
// processes. A stop of a balancer is not a configuration change.
func (d *demo) checkChanges(ctx context.Context) {
	r := &d.report
	var slowest int64
	for _, c := range r.Changes {
		if !strings.HasSuffix(c.Name, " stopped") {
			slowest = max(slowest, c.TookMillis)
		}
	}
	r.addPromise("milliseconds until an accepted change is in force everywhere", float64(slowest), maxInForceMillis, "")
	r.addPromise("packets into the failure domain more than 3 s after it was taken out of service", float64(d.latePackets), 0, "")
	var newRequests uint64
	for _, w := range d.withdrawn {
		state, err := d.site.CopyState(ctx, w.copy)
		if !w.stateRead || err != nil {
			newRequests++
			continue
		}
		newRequests += state.Completed - min(w.completed, state.Completed)
	}
	r.addPromise("requests to a withdrawn copy more than 3 s after its withdrawal", float64(newRequests), 0, "")
	failures := d.lab.Failures()
	r.addPromise("processes that exited with an error", float64(len(failures)), 0, joinFirst(failures))
}

// checkAllUsed checks that every balancer got packets and that every copy completed
// requests, except for withdrawn copies.
func (d *demo) checkAllUsed() {
	var unused []string
	for name, packets := range d.report.Balancers {
		if packets == 0 {
			unused = append(unused, name)
		}
	}
	for _, c := range d.site.Copies() {
		withdrawn := slices.ContainsFunc(d.withdrawn, func(w *withdrawnCopy) bool { return w.copy == c })
		if d.report.Copies[c.Name()] == 0 && !withdrawn {
			unused = append(unused, c.Name())
		}
	}
	slices.Sort(unused)
	d.report.addPromise("balancers and copies that were not used", float64(len(unused)), 0, strings.Join(unused, ", "))
}

// joinFirst joins the first five texts.
func joinFirst(all []string) string {
	const limit = 5
	return strings.Join(all[:min(limit, len(all))], "; ")
}

// printProgress writes a line to Options.Progress.
func (d *demo) printProgress(format string, values ...any) {
	if d.options.Progress != nil {
		_, _ = fmt.Fprintf(d.options.Progress, format+"\n", values...)
	}
}

// failureLogs returns the last log output of the processes that exited with an error.
func (d *demo) failureLogs() string { return strings.Join(d.lab.Failures(), "; ") }
