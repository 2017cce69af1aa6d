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
	Name:        "flows",
	Description: "flows broken by each planned change while balancers disagree, QUIC and 5-tuple, against a 5-tuple hash; packets handed on",
	Run:         run,
}

const (
	// seeds is how many seeds each change is run with, and shortSeeds in a short run.
	seeds, shortSeeds = 20, 3
	// settledRetention makes services settle before flows open.
	settledRetention = time.Second
	baselineName     = "5-tuple hash without pins"
)

// flowTotals is the sum over the same seeds, with the decisions and without.
type flowTotals struct{ product, baseline lentilmatrix.FlowStats }

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	count := uint64(seeds)
	if setup.Short {
		count = shortSeeds
	}
	for _, step := range lentilmatrix.PlannedChanges() {
		var sum flowTotals
		for seed := setup.Seed; seed < setup.Seed+count; seed++ {
			if err = ctx.Err(); err != nil {
				return figures, err
			}
			sum.addRun(lentilmatrix.FlowRun{Seed: seed, Step: step, Faults: []lentilmatrix.Fault{lentilmatrix.ViewsUneven}})
		}
		figures = append(figures, sum.figures(strings.ToLower(step.String()))...)
	}
	return append(figures, steadyStateFigures(setup.Seed)...), nil
}

// addRun runs both ways.
func (p *flowTotals) addRun(r lentilmatrix.FlowRun) {
	_, ours := r.Run()
	r.Baseline = true
	_, naive := r.Run()
	p.product.Add(&ours)
	p.baseline.Add(&naive)
}

// figures returns the figures about one planned change.
func (p *flowTotals) figures(step string) (figures []lentilfigure.Figure) {
	misdelivered := p.product.WrongService + p.product.PacketsAfterOut + p.product.OpenedAfterLeaving
	return []lentilfigure.Figure{
		lentilfigure.New("flows.broken.quic."+step, share(p.product.QUIC.Broken, p.product.QUIC.Flows), "share of flows").
			AtMost(0).WithBaseline(baselineName, share(p.baseline.QUIC.Broken, p.baseline.QUIC.Flows)),
		lentilfigure.New("flows.broken.datagram."+step, share(p.product.Datagram.Broken, p.product.Datagram.Flows), "share of flows").
			AtMost(0).WithBaseline(baselineName, share(p.baseline.Datagram.Broken, p.baseline.Datagram.Flows)),
		lentilfigure.New("flows.misdelivered."+step, float64(misdelivered), "packets").AtMost(0),
		lentilfigure.New("flows.forwarded.quic."+step, p.product.QUIC.ForwardedShare(), "share of packets"),
		lentilfigure.New("flows.forwarded.datagram."+step, p.product.Datagram.ForwardedShare(), "share of packets"),
	}
}

// steadyStateFigures returns what a service steadyStateFigures in which nothing changes: right after a change and
// once it has settled.
func steadyStateFigures(seed uint64) (figures []lentilfigure.Figure) {
	for _, c := range []struct {
		name   string
		window time.Duration
	}{{"unsettled", 0}, {"settled", settledRetention}} {
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
