// Package lentilflowmeasure counts the flows that break at each planned change, on a
// simulated network with the product's balancer and agent logic. The baseline, in the same
// runs, is a hash of the 5-tuple without pinned flows. The package also measures the cost of
// keeping flows unbroken: the packets that agents forward to each other.
package lentilflowmeasure

import (
	"context"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmatrix"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "flows",
	Description: "flows broken by each planned change while balancers disagree, QUIC and 5-tuple, against a 5-tuple hash; packets forwarded between agents",
	Run:         run,
}

const (
	// seeds is the number of seeds for each planned change, shortSeeds that of a short run.
	seeds, shortSeeds = 20, 3
	// settledRetention is an owner retention short enough that the service counts as settled
	// before flows open.
	settledRetention = time.Second
	baselineName     = "5-tuple hash without pins"
)

// flowTotals holds the sums over the same seeds for the product and for the baseline.
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

// addRun runs with the product's logic and with the baseline, and adds the figures of both.
func (t *flowTotals) addRun(r lentilmatrix.FlowRun) {
	_, product := r.Run()
	r.Baseline = true
	_, baseline := r.Run()
	t.product.Add(&product)
	t.baseline.Add(&baseline)
}

// figures returns the figures about one planned change.
func (t *flowTotals) figures(step string) (figures []lentilfigure.Figure) {
	misdelivered := t.product.WrongService + t.product.PacketsAfterOut + t.product.OpenedAfterLeaving
	return []lentilfigure.Figure{
		lentilfigure.New("flows.broken.quic."+step, share(t.product.QUIC.Broken, t.product.QUIC.Flows), "share of flows").
			AtMost(0).WithBaseline(baselineName, share(t.baseline.QUIC.Broken, t.baseline.QUIC.Flows)),
		lentilfigure.New("flows.broken.datagram."+step, share(t.product.Datagram.Broken, t.product.Datagram.Flows), "share of flows").
			AtMost(0).WithBaseline(baselineName, share(t.baseline.Datagram.Broken, t.baseline.Datagram.Flows)),
		lentilfigure.New("flows.misdelivered."+step, float64(misdelivered), "packets").AtMost(0),
		lentilfigure.New("flows.forwarded.quic."+step, t.product.QUIC.ForwardedShare(), "share of packets"),
		lentilfigure.New("flows.forwarded.datagram."+step, t.product.Datagram.ForwardedShare(), "share of packets"),
	}
}

// steadyStateFigures returns the forwarding cost of a service without changes, while it still
// counts as unsettled after a change and once it has settled. A retention of zero is the default.
func steadyStateFigures(seed uint64) (figures []lentilfigure.Figure) {
	for _, c := range []struct {
		name      string
		retention time.Duration
	}{{"unsettled", 0}, {"settled", settledRetention}} {
		_, stats := lentilmatrix.FlowRun{Seed: seed, Step: lentilmatrix.FlowsRun, OwnerRetention: c.retention}.Run()
		figures = append(figures,
			lentilfigure.New("flows.forwarded.quic."+c.name, stats.QUIC.ForwardedShare(), "share of packets"),
			lentilfigure.New("flows.forwarded.datagram."+c.name, stats.Datagram.ForwardedShare(), "share of packets"),
			lentilfigure.New("flows.hops.quic."+c.name, share(stats.QUIC.Forwarded, stats.QUIC.Flows), "packets handed on per flow"),
			lentilfigure.New("flows.hops.datagram."+c.name, share(stats.Datagram.Forwarded, stats.Datagram.Flows), "packets handed on per flow"))
	}
	return figures
}

// share returns part over whole, or zero if whole is zero.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
