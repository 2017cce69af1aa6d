package lentilmatrix

import "time"

// FlowRun is one simulated run of clients, balancers and agents through a planned change, with
// faults that are injected at its step.
type FlowRun struct {
	Seed   uint64
	Step   Step
	Faults []Fault
	// Baseline replaces the product's decisions by the baseline: balancers hash the 5-tuple
	// modulo the copies that they have records of, and agents pin no flows.
	Baseline bool
	// OwnerRetention replaces the default time, if it isn't zero, for which previous owners of a
	// bucket are remembered and its service counts as unsettled after a change.
	OwnerRetention time.Duration
	// Trace records a trace of the run in its outcome.
	Trace bool
}

// Run runs the simulation. Equal fields give equal results.
func (r FlowRun) Run() (outcome *Outcome, stats FlowStats) {
	s := newFlowSimulation(&r)
	s.scheduleOperation(r.Step)
	for _, fault := range r.Faults {
		if fault == ViewsUneven {
			// The control delay must grow before the change to which the step belongs.
			s.injectFault(fault)
			continue
		}
		s.at(r.Step.faultAt(), func() { s.injectFault(fault) })
	}
	s.openFlowsPeriodically()
	s.runUntil(runEndAt)
	return &s.outcome, s.stats
}

// openFlowsPeriodically opens flows of random duration until stopOpeningAt.
func (s *flowSimulation) openFlowsPeriodically() {
	if s.now() >= stopOpeningAt {
		return
	}
	s.openFlow(quicService, s.randomDuration(2*time.Second, 10*time.Second))
	s.openFlow(datagramService, s.randomDuration(2*time.Second, 10*time.Second))
	s.after(openInterval, s.openFlowsPeriodically)
}
