package lentilsitemeasure

import "lentilstair.example/lentilstair/internal/lentilfigure"

const (
	// maxImbalance is the upper bound of the most used copy over the mean.
	maxImbalance = 1.15
	// minGoodput is the lower bound of the goodput under overload, as a share of the capacity.
	minGoodput = 0.95
)

// minFinishedShares are the lower bounds of the shares of requests answered in time, by phase.
var minFinishedShares = map[string]float64{"70": 1, "95": 0.99}

// siteFigures returns the figures of all measured phases on one site.
func siteFigures(name string, product, baseline []phaseResult) (figures []lentilfigure.Figure) {
	for i, r := range product {
		if r.phase.measured {
			figures = append(figures, phaseFigures(name+"."+r.phase.name, r, baseline[i])...)
		}
	}
	return figures
}

func phaseFigures(name string, product, baseline phaseResult) (figures []lentilfigure.Figure) {
	figure := func(quantity string, value, baselineValue float64, unit string) lentilfigure.Figure {
		return lentilfigure.New("site."+name+"."+quantity, value, unit).WithBaseline(baselineName, baselineValue)
	}
	imbalance := figure("hottest", product.imbalance, baseline.imbalance, "over mean busy time, worst 10 s window")
	if product.phase.load < 1 {
		imbalance = imbalance.AtMost(maxImbalance)
	}
	finished := figure("finishedInTime", product.finishedShare(), baseline.finishedShare(), "share of requests")
	if bound, ok := minFinishedShares[product.phase.name]; ok {
		finished = finished.AtLeast(bound)
	}
	figures = append(figures, imbalance, finished,
		figure("busy", product.busyShare, baseline.busyShare, "share of all slots in use"),
		figure("slowestRefusal", product.slowestRefusal.Seconds(), baseline.slowestRefusal.Seconds(), "s"),
		figure("unknown", float64(product.totals.Unknown), float64(baseline.totals.Unknown), "requests"),
		figure("wrong", float64(product.totals.Wrong), float64(baseline.totals.Wrong), "answers").AtMost(0),
		figure("doubled", float64(len(product.totals.RanTwice)), float64(len(baseline.totals.RanTwice)), "requests").AtMost(0),
		figure("falseRefusals", float64(len(product.totals.FalseRefusals)), float64(len(baseline.totals.FalseRefusals)), "requests").AtMost(0),
		figure("falls", float64(product.outages), float64(baseline.outages), "copy outages").AtMost(0))
	if product.phase.load > 1 {
		goodput := figure("goodput", float64(product.answeredInTime)/product.capacity, float64(baseline.answeredInTime)/baseline.capacity, "share of capacity")
		figures = append(figures, goodput.AtLeast(minGoodput))
	}
	if product.phase.resetsCopy {
		overCapacity := figure("coldOver", float64(product.overCapacity), float64(baseline.overCapacity), "requests above the cold copy's capacity, after 1 s")
		figures = append(figures, overCapacity.AtMost(0))
	}
	return figures
}

func (r phaseResult) finishedShare() float64 { return r.totals.Share(r.answeredInTime) }
