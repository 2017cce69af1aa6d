// Package lentilflowmeasure counts the flows that break at each planned change, with
// the decisions of balancers and agents over a fake wire, against a hash of the 5-tuple
// without pins in the same runs. It also says what keeping flows whole costs in packets
// that agents hand on to each other.
package lentilflowmeasure

import (
	"context"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmatrix"
)

// Experiment is the entry in the table of experiments.
var Experiment = lentilfigure.Experiment{
	Name: "flows",
	Text: "flows broken by each planned change while balancers disagree, QUIC and 5-tuple, against a 5-tuple hash; packets handed on",
	Run:  run,
}

const (
	// runs is how many seeds each change is run with, and shortRuns in a short run.
	runs, shortRuns = 20, 3
	// settledWindow makes services settle before flows open.
	settledWindow = time.Second
	baseline      = "5-tuple hash without pins"
)

// pair is the sum over the same seeds, with the decisions and without.
type pair struct{ ours, naive lentilmatrix.FlowStats }

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	count := uint64(runs)
	if setup.Short {
		count = shortRuns
	}
	for _, step := range lentilmatrix.PlannedChanges() {
		var sum pair
		for seed := setup.Seed; seed < setup.Seed+count; seed++ {
			if err = ctx.Err(); err != nil {
				return figures, err
			}
			sum.add(lentilmatrix.FlowRun{Seed: seed, Step: step, Faults: []lentilmatrix.Fault{lentilmatrix.ViewsUneven}})
		}
		figures = append(figures, sum.broken(strings.ToLower(step.String()))...)
	}
	return append(figures, costs(setup.Seed)...), nil
}

// add runs both ways.
func (p *pair) add(r lentilmatrix.FlowRun) {
	_, ours := r.Run()
	r.Baseline = true
	_, naive := r.Run()
	p.ours.Add(&ours)
	p.naive.Add(&naive)
}

// broken returns the figures about one planned change.
func (p *pair) broken(step string) (figures []lentilfigure.Figure) {
	misdelivered := p.ours.WrongService + p.ours.PacketsAfterOut + p.ours.OpenedAfterLeaving
	return []lentilfigure.Figure{
		lentilfigure.New("flows.broken.quic."+step, share(p.ours.QUIC.Broken, p.ours.QUIC.Flows), "share of flows").
			AtMost(0).Against(baseline, share(p.naive.QUIC.Broken, p.naive.QUIC.Flows)),
		lentilfigure.New("flows.broken.datagram."+step, share(p.ours.Datagram.Broken, p.ours.Datagram.Flows), "share of flows").
			AtMost(0).Against(baseline, share(p.naive.Datagram.Broken, p.naive.Datagram.Flows)),
		lentilfigure.New("flows.misdelivered."+step, float64(misdelivered), "packets").AtMost(0),
		lentilfigure.New("flows.forwarded.quic."+step, p.ours.QUIC.ForwardedShare(), "share of packets"),
		lentilfigure.New("flows.forwarded.datagram."+step, p.ours.Datagram.ForwardedShare(), "share of packets"),
	}
}

// costs returns what a service costs in which nothing changes: right after a change and
// once it has settled.
func costs(seed uint64) (figures []lentilfigure.Figure) {
	for _, c := range []struct {
		name   string
		window time.Duration
	}{{"unsettled", 0}, {"settled", settledWindow}} {
		_, f := lentilmatrix.FlowRun{Seed: seed, Step: lentilmatrix.FlowsRun, OwnerRetention: c.window}.Run()
		figures = append(figures,
			lentilfigure.New("flows.forwarded.quic."+c.name, f.QUIC.ForwardedShare(), "share of packets"),
			lentilfigure.New("flows.forwarded.datagram."+c.name, f.Datagram.ForwardedShare(), "share of packets"),
			lentilfigure.New("flows.hops.quic."+c.name, share(f.QUIC.Forwarded, f.QUIC.Flows), "packets handed on per flow"),
			lentilfigure.New("flows.hops.datagram."+c.name, share(f.Datagram.Forwarded, f.Datagram.Flows), "packets handed on per flow"))
	}
	return figures
}

// share returns a part of a whole, and zero of nothing.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
