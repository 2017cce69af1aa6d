package lentilarrival

import (
	"slices"
	"time"
)

// stats counts what happens in the measured time.
type stats struct {
	result          Result
	measuring       bool
	windows         []windowUse
	currentWindow   windowUse
	windowEnd       time.Time
	answeredWork    float64 // seconds answered in time
	capacity        float64 // slot-seconds borne, at a warm copy's speed
	retriesBySecond map[int]int
	refusalDelays   []time.Duration // times from arrival
	coldSeconds     []secondLoad    // of copies that turn cold
}

// windowUse is the use of every copy over one windowUse.
type windowUse struct{ busy, capacity, requests []float64 }

// secondLoad is the load of a cold copy over the present second, in slot-steps.
type secondLoad struct {
	busy, sentWhileCold, capacity float64
	samples                       int
}

func (t *stats) initialize(w *simulation) {
	t.retriesBySecond = make(map[int]int)
	t.currentWindow = newWindowUse(len(w.agents))
	t.coldSeconds = make([]secondLoad, len(w.agents))
	t.windowEnd = w.measureFrom.Add(ImbalanceWindow)
}

func newWindowUse(copies int) windowUse {
	return windowUse{busy: make([]float64, copies), capacity: make([]float64, copies), requests: make([]float64, copies)}
}

func (t *stats) sample(w *simulation) {
	now := w.schedule.Now()
	t.measuring = !now.Before(w.measureFrom)
	if !t.measuring || !now.Before(w.measureUntil) {
		return
	}
	for i, a := range w.agents {
		bears := a.upstream.Capacity(now)
		t.currentWindow.busy[i] += float64(a.upstream.InFlight())
		t.currentWindow.capacity[i] += bears
		t.capacity += bears / a.upstream.Slowdown * stepInterval.Seconds()
		t.sampleColdCopy(i, a, now, bears)
	}
	if !now.Before(t.windowEnd) {
		t.windows = append(t.windows, t.currentWindow)
		t.currentWindow = newWindowUse(len(w.agents))
		t.windowEnd = t.windowEnd.Add(ImbalanceWindow)
	}
}

// sampleColdCopy compares the load of a copy that turned sampleColdCopy with what it bears, second by second.
func (t *stats) sampleColdCopy(i int, a *agent, now time.Time, bears float64) {
	since, cold := a.upstream.ColdFor(now)
	if !cold || since < time.Second {
		t.coldSeconds[i] = secondLoad{}
		return
	}
	s := &t.coldSeconds[i]
	s.busy += float64(a.upstream.InFlight())
	s.sentWhileCold += float64(a.sentWhileCold)
	s.capacity += bears
	s.samples++
	if s.samples == int(time.Second/stepInterval) {
		t.result.ColdLoadRatio = max(t.result.ColdLoadRatio, s.busy/s.capacity)
		t.result.ColdNewLoadRatio = max(t.result.ColdNewLoadRatio, s.sentWhileCold/s.capacity)
		*s = secondLoad{}
	}
}

func (t *stats) recordStart(a *agent) {
	if t.measuring {
		t.currentWindow.requests[a.number]++
	}
}

func (t *stats) recordArrival(x *request) {
	if x.measured {
		t.result.Offered++
	}
}

func (t *stats) recordRelay(x *request) {
	if x.measured {
		t.result.Relays++
	}
}

func (t *stats) recordRefusedRelay(x *request) {
	if x.measured {
		t.result.RefusedRelays++
	}
}

func (t *stats) recordAnswer(w *simulation, x *request) {
	if x.done || !x.measured {
		return
	}
	if w.schedule.Now().After(x.deadline) {
		t.recordLate(x)
		return
	}
	x.done = true
	t.result.InTime++
	t.answeredWork += x.work.Seconds()
}

func (t *stats) recordLate(x *request) {
	if !x.done && x.measured {
		x.done = true
		t.result.Late++
	}
}

func (t *stats) recordRefusal(w *simulation, x *request, retryAfter time.Duration) {
	if x.done || !x.measured {
		return
	}
	x.done = true
	t.result.Refused++
	if x.started {
		t.result.FalseRefusals++
	}
	now := w.schedule.Now()
	t.refusalDelays = append(t.refusalDelays, now.Sub(x.arrivedAt))
	t.retriesBySecond[int(now.Add(retryAfter).Sub(w.measureFrom).Seconds())]++
}

func (w *simulation) result() Result {
	t := &w.stats
	r := t.result
	if n := len(t.refusalDelays); n > 0 {
		slices.Sort(t.refusalDelays)
		r.SlowestRefusal, r.MedianRefusal = t.refusalDelays[n-1], t.refusalDelays[n/2]
	}
	r.Goodput = t.answeredWork / t.capacity
	var relative, raw, requests []float64
	for _, n := range t.windows {
		relative = append(relative, peakToMean(n.busy, n.capacity))
		raw = append(raw, peakToMean(n.busy, nil))
		requests = append(requests, peakToMean(n.requests, nil))
	}
	r.UtilizationImbalance, r.BusyTimeImbalance, r.RequestImbalance = worstAndMedian(relative), worstAndMedian(raw), worstAndMedian(requests)
	most, sum := 0, 0
	for _, n := range t.retriesBySecond {
		most = max(most, n)
		sum += n
	}
	if sum > 0 {
		r.RetryPeakToMean = float64(most) * float64(len(t.retriesBySecond)) / float64(sum)
	}
	return r
}

// peakToMean returns the largest use over the mean; each use is over what the copy bears, if given.
func peakToMean(use, bears []float64) float64 {
	var most, sum, all float64
	for i, u := range use {
		b := 1.0
		if bears != nil {
			b = bears[i]
		}
		most = max(most, u/b)
		sum += u
		all += b
	}
	if sum == 0 {
		return 1
	}
	return most * all / sum
}

func worstAndMedian(values []float64) Ratio {
	if len(values) == 0 {
		return Ratio{}
	}
	slices.Sort(values)
	return Ratio{Worst: values[len(values)-1], Median: values[len(values)/2]}
}
