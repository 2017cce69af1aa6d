package lentilarrival

import (
	"slices"
	"time"
)

// stats collects the figures of the measured time.
type stats struct {
	result          Result
	measuring       bool
	windows         []windowUse
	currentWindow   windowUse
	windowEnd       time.Time
	answeredWork    float64         // seconds of work answered in time
	capacity        float64         // slot-seconds that the copies could serve, at normal speed
	retriesBySecond map[int]int     // retries due, by seconds since the start of the measurement
	refusalDelays   []time.Duration // from arrival to refusal
	coldSeconds     []secondLoad    // by copy; only of those that turned cold
}

// windowUse holds the use of every copy in one window.
type windowUse struct{ busy, capacity, requests []float64 }

// secondLoad is the load of a cold copy in the present second, summed over the samples.
type secondLoad struct {
	busy, sentWhileCold, capacity float64
	samples                       int
}

func (s *stats) initialize(sim *simulation) {
	s.retriesBySecond = make(map[int]int)
	s.currentWindow = newWindowUse(len(sim.agents))
	s.coldSeconds = make([]secondLoad, len(sim.agents))
	s.windowEnd = sim.measureFrom.Add(ImbalanceWindow)
}

func newWindowUse(copies int) windowUse {
	return windowUse{busy: make([]float64, copies), capacity: make([]float64, copies), requests: make([]float64, copies)}
}

func (s *stats) sample(sim *simulation) {
	now := sim.schedule.Now()
	s.measuring = !now.Before(sim.measureFrom)
	if !s.measuring || !now.Before(sim.measureUntil) {
		return
	}
	for i, a := range sim.agents {
		capacity := a.upstream.Capacity(now)
		s.currentWindow.busy[i] += float64(a.upstream.InFlight())
		s.currentWindow.capacity[i] += capacity
		s.capacity += capacity / a.upstream.Slowdown * stepInterval.Seconds()
		s.sampleColdCopy(i, a, now, capacity)
	}
	if !now.Before(s.windowEnd) {
		s.windows = append(s.windows, s.currentWindow)
		s.currentWindow = newWindowUse(len(sim.agents))
		s.windowEnd = s.windowEnd.Add(ImbalanceWindow)
	}
}

// sampleColdCopy compares the load of a cold copy with its capacity in windows of one second.
func (s *stats) sampleColdCopy(i int, a *agent, now time.Time, capacity float64) {
	coldFor, cold := a.upstream.ColdFor(now)
	if !cold || coldFor < time.Second {
		s.coldSeconds[i] = secondLoad{}
		return
	}
	load := &s.coldSeconds[i]
	load.busy += float64(a.upstream.InFlight())
	load.sentWhileCold += float64(a.sentWhileCold)
	load.capacity += capacity
	load.samples++
	if load.samples == int(time.Second/stepInterval) {
		s.result.ColdLoadRatio = max(s.result.ColdLoadRatio, load.busy/load.capacity)
		s.result.ColdNewLoadRatio = max(s.result.ColdNewLoadRatio, load.sentWhileCold/load.capacity)
		*load = secondLoad{}
	}
}

func (s *stats) recordStart(a *agent) {
	if s.measuring {
		s.currentWindow.requests[a.number]++
	}
}

func (s *stats) recordArrival(r *request) {
	if r.measured {
		s.result.Offered++
	}
}

func (s *stats) recordRelay(r *request) {
	if r.measured {
		s.result.Relays++
	}
}

func (s *stats) recordRefusedRelay(r *request) {
	if r.measured {
		s.result.RefusedRelays++
	}
}

func (s *stats) recordAnswer(sim *simulation, r *request) {
	if r.done || !r.measured {
		return
	}
	if sim.schedule.Now().After(r.deadline) {
		s.recordLate(r)
		return
	}
	r.done = true
	s.result.InTime++
	s.answeredWork += r.work.Seconds()
}

func (s *stats) recordLate(r *request) {
	if !r.done && r.measured {
		r.done = true
		s.result.Late++
	}
}

func (s *stats) recordRefusal(sim *simulation, r *request, retryAfter time.Duration) {
	if r.done || !r.measured {
		return
	}
	r.done = true
	s.result.Refused++
	if r.started {
		s.result.FalseRefusals++
	}
	now := sim.schedule.Now()
	s.refusalDelays = append(s.refusalDelays, now.Sub(r.arrivedAt))
	s.retriesBySecond[int(now.Add(retryAfter).Sub(sim.measureFrom).Seconds())]++
}

func (s *simulation) result() Result {
	counts := &s.stats
	result := counts.result
	if n := len(counts.refusalDelays); n > 0 {
		slices.Sort(counts.refusalDelays)
		result.SlowestRefusal, result.MedianRefusal = counts.refusalDelays[n-1], counts.refusalDelays[n/2]
	}
	result.Goodput = counts.answeredWork / counts.capacity
	var utilization, busyTime, requests []float64
	for _, n := range counts.windows {
		utilization = append(utilization, peakToMean(n.busy, n.capacity))
		busyTime = append(busyTime, peakToMean(n.busy, nil))
		requests = append(requests, peakToMean(n.requests, nil))
	}
	result.UtilizationImbalance, result.BusyTimeImbalance, result.RequestImbalance = worstAndMedian(utilization), worstAndMedian(busyTime), worstAndMedian(requests)
	peak, sum := 0, 0
	for _, n := range counts.retriesBySecond {
		peak = max(peak, n)
		sum += n
	}
	if sum > 0 {
		result.RetryPeakToMean = float64(peak) * float64(len(counts.retriesBySecond)) / float64(sum)
	}
	return result
}

// peakToMean returns the largest use of a copy over the mean of all copies. With capacities,
// the use of a copy is relative to its capacity. Without any use the ratio is 1.
func peakToMean(use, capacities []float64) float64 {
	var peak, totalUse, totalCapacity float64
	for i, u := range use {
		capacity := 1.0
		if capacities != nil {
			capacity = capacities[i]
		}
		peak = max(peak, u/capacity)
		totalUse += u
		totalCapacity += capacity
	}
	if totalUse == 0 {
		return 1
	}
	return peak * totalCapacity / totalUse
}

func worstAndMedian(values []float64) Ratio {
	if len(values) == 0 {
		return Ratio{}
	}
	slices.Sort(values)
	return Ratio{Worst: values[len(values)-1], Median: values[len(values)/2]}
}
