package lentilsitemeasure

import "lentilstair.example/lentilstair/internal/lentilfigure"

const (
	// hottestBound is the most that a copy may be used over the mean.
	hottestBound = 1.15
	// goodputBound is the least share of what the copies bear under overload.
	goodputBound = 0.95
)

// finishedBounds are the least shares of requests finished in time, by phase.
var finishedBounds = map[string]float64{"70": 1, "95": 0.99}

// judge returns the figures of one user's site.
func judge(name string, own, base []phaseResult) (figures []lentilfigure.Figure) {
	for i, r := range own {
		if r.phase.counted {
			figures = append(figures, judgePhase(name+"."+r.phase.name, r, base[i])...)
		}
	}
	return figures
}

func judgePhase(name string, own, base phaseResult) (figures []lentilfigure.Figure) {
	figure := func(measure string, value, baseline float64, unit string) lentilfigure.Figure {
		return lentilfigure.New("site."+name+"."+measure, value, unit).Against(baselineName, baseline)
	}
	spread := figure("hottest", own.hottest, base.hottest, "over mean busy time, worst 10 s window")
	if own.phase.load < 1 {
		spread = spread.AtMost(hottestBound)
	}
	finished := figure("finishedInTime", own.finished(), base.finished(), "share of requests")
	if bound, ok := finishedBounds[own.phase.name]; ok {
		finished = finished.AtLeast(bound)
	}
	figures = append(figures, spread, finished,
		figure("busy", own.busy, base.busy, "share of all slots in use"),
		figure("slowestRefusal", own.slowest.Seconds(), base.slowest.Seconds(), "s"),
		figure("unknown", float64(own.totals.Unknown), float64(base.totals.Unknown), "requests"),
		figure("wrong", float64(own.totals.Wrong), float64(base.totals.Wrong), "answers").AtMost(0),
		figure("doubled", float64(len(own.totals.RanTwice)), float64(len(base.totals.RanTwice)), "requests").AtMost(0),
		figure("falseRefusals", float64(len(own.totals.FalseRefusals)), float64(len(base.totals.FalseRefusals)), "requests").AtMost(0),
		figure("falls", float64(own.falls), float64(base.falls), "copies fallen over").AtMost(0))
	if own.phase.load > 1 {
		goodput := figure("goodput", float64(own.answered)/own.capacity, float64(base.answered)/base.capacity, "share of what the copies bear")
		figures = append(figures, goodput.AtLeast(goodputBound))
	}
	if own.phase.cold {
		over := figure("coldOver", float64(own.overBorne), float64(base.overBorne), "requests over what the cold copy bore, after 1 s")
		figures = append(figures, over.AtMost(0))
	}
	return figures
}

func (r phaseResult) finished() float64 { return r.totals.Share(r.answered) }
