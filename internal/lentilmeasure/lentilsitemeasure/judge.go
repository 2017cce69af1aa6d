package lentilsitemeasure

import "lentilstair.example/lentilstair/internal/lentilfigure"

const (
	// maxImbalance is the most that a copy may be used over the mean.
	maxImbalance = 1.15
	// minGoodput is the least share of what the copies bear under overload.
	minGoodput = 0.95
)

// minFinishedShares are the least shares of requests finished in time, by phase.
var minFinishedShares = map[string]float64{"70": 1, "95": 0.99}

// siteFigures returns the figures of one user's site.
func siteFigures(name string, own, base []phaseResult) (figures []lentilfigure.Figure) {
	for i, r := range own {
		if r.phase.measured {
			figures = append(figures, phaseFigures(name+"."+r.phase.name, r, base[i])...)
		}
	}
	return figures
}

func phaseFigures(name string, own, base phaseResult) (figures []lentilfigure.Figure) {
	figure := func(measure string, value, baseline float64, unit string) lentilfigure.Figure {
		return lentilfigure.New("site."+name+"."+measure, value, unit).WithBaseline(baselineName, baseline)
	}
	spread := figure("hottest", own.imbalance, base.imbalance, "over mean busy time, worst 10 s window")
	if own.phase.load < 1 {
		spread = spread.AtMost(maxImbalance)
	}
	finished := figure("finishedInTime", own.finishedShare(), base.finishedShare(), "share of requests")
	if bound, ok := minFinishedShares[own.phase.name]; ok {
		finished = finished.AtLeast(bound)
	}
	figures = append(figures, spread, finished,
		figure("busy", own.busyShare, base.busyShare, "share of all slots in use"),
		figure("slowestRefusal", own.slowestRefusal.Seconds(), base.slowestRefusal.Seconds(), "s"),
		figure("unknown", float64(own.totals.Unknown), float64(base.totals.Unknown), "requests"),
		figure("wrong", float64(own.totals.Wrong), float64(base.totals.Wrong), "answers").AtMost(0),
		figure("doubled", float64(len(own.totals.RanTwice)), float64(len(base.totals.RanTwice)), "requests").AtMost(0),
		figure("falseRefusals", float64(len(own.totals.FalseRefusals)), float64(len(base.totals.FalseRefusals)), "requests").AtMost(0),
		figure("falls", float64(own.outages), float64(base.outages), "copies fallen over").AtMost(0))
	if own.phase.load > 1 {
		goodput := figure("goodput", float64(own.answeredInTime)/own.capacity, float64(base.answeredInTime)/base.capacity, "share of what the copies bear")
		figures = append(figures, goodput.AtLeast(minGoodput))
	}
	if own.phase.resetsCopy {
		over := figure("coldOver", float64(own.overCapacity), float64(base.overCapacity), "requests over what the cold copy bore, after 1 s")
		figures = append(figures, over.AtMost(0))
	}
	return figures
}

func (r phaseResult) finishedShare() float64 { return r.totals.Share(r.answeredInTime) }
