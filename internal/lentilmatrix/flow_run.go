package lentilmatrix

import "time"

// FlowRun is one run of callers, balancers and agents through a planned change,
// with faults that strike at its step.
type FlowRun struct {
	Seed   uint64
	Step   Step
	Faults []Fault
	// Baseline runs the baseline in place of the real decisions: the 5-tuple's hash
	// modulo the copies that a balancer knows, and agents that keep no pins.
	Baseline bool
	// OwnerRetention replaces how long services count as unsettled after a change and former
	// owners are remembered, if it isn't zero.
	OwnerRetention time.Duration
	// Trace keeps a trace of the run in its outcome.
	Trace bool
}

// Run returns what came of it, the same for the same fields.
func (r FlowRun) Run() (outcome *Outcome, figures FlowStats) {
	w := newFlowSimulation(&r)
	w.scheduleOperation(r.Step)
	for _, fault := range r.Faults {
		if fault == ViewsUneven {
			// Views must differ before the change to which the step belongs.
			w.injectFault(fault)
			continue
		}
		w.at(r.Step.faultAt(), func() { w.injectFault(fault) })
	}
	w.openFlowsPeriodically()
	w.runUntil(endAt)
	return &w.outcome, w.stats
}

// openFlowsPeriodically makes callers open flows of random length.
func (w *flowSimulation) openFlowsPeriodically() {
	if w.now() >= stopOpeningAt {
		return
	}
	w.openFlow(quicService, w.randomDuration(2*time.Second, 10*time.Second))
	w.openFlow(datagramService, w.randomDuration(2*time.Second, 10*time.Second))
	w.after(openInterval, w.openFlowsPeriodically)
}
