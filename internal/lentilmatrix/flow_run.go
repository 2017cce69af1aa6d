package lentilmatrix

import "time"

// FlowRun is one run of callers, balancers and agents through a planned change,
// with faults that strike at its step.
type FlowRun struct {
	Seed   uint64
	Step   Step
	Faults []Fault
	// Naive runs the baseline in place of the real decisions: the 5-tuple's hash
	// modulo the copies that a balancer knows, and agents that keep no pins.
	Naive bool
	// Window replaces how long services count as unsettled after a change and former
	// owners are remembered, if it isn't zero.
	Window time.Duration
	// Trace keeps a trace of the run in its outcome.
	Trace bool
}

// Run returns what came of it, the same for the same fields.
func (r FlowRun) Run() (outcome *Outcome, figures FlowFigures) {
	w := newFlowWorld(&r)
	w.operate(r.Step)
	for _, fault := range r.Faults {
		if fault == ViewsUneven {
			// Views must differ before the change to which the step belongs.
			w.strike(fault)
			continue
		}
		w.at(r.Step.faultAt(), func() { w.strike(fault) })
	}
	w.openFlows()
	w.run(runEnds)
	return &w.outcome, w.figures
}

// openFlows makes callers open flows of random length.
func (w *flowWorld) openFlows() {
	if w.now() >= opensUntil {
		return
	}
	w.openFlow(quicService, w.between(2*time.Second, 10*time.Second))
	w.openFlow(datagramService, w.between(2*time.Second, 10*time.Second))
	w.after(openEvery, w.openFlows)
}
