package lentilarrival

import (
	"slices"
	"time"
)

// tally counts what happens in the measured time.
type tally struct {
	result   Result
	started  bool
	windows  []window
	current  window
	endsAt   time.Time
	work     float64 // seconds answered in time
	capacity float64 // slot-seconds borne, at a warm copy's speed
	returns  map[int]int
	refusals []time.Duration // times from arrival
	seconds  []secondLoad    // of copies that turn cold
}

// window is the use of every copy over one window.
type window struct{ busy, bears, requests []float64 }

// secondLoad is the load of a cold copy over the present second, in slot-steps.
type secondLoad struct {
	busy, sent, bears float64
	steps             int
}

func (t *tally) begin(w *world) {
	t.returns = make(map[int]int)
	t.current = newWindow(len(w.agents))
	t.seconds = make([]secondLoad, len(w.agents))
	t.endsAt = w.begin.Add(Window)
}

func newWindow(copies int) window {
	return window{busy: make([]float64, copies), bears: make([]float64, copies), requests: make([]float64, copies)}
}

func (t *tally) step(w *world) {
	now := w.schedule.Now()
	t.started = !now.Before(w.begin)
	if !t.started || !now.Before(w.end) {
		return
	}
	for i, a := range w.agents {
		bears := a.upstream.Bears(now)
		t.current.busy[i] += float64(a.upstream.InFlight())
		t.current.bears[i] += bears
		t.capacity += bears / a.upstream.Factor * step.Seconds()
		t.cold(i, a, now, bears)
	}
	if !now.Before(t.endsAt) {
		t.windows = append(t.windows, t.current)
		t.current = newWindow(len(w.agents))
		t.endsAt = t.endsAt.Add(Window)
	}
}

// cold compares the load of a copy that turned cold with what it bears, second by second.
func (t *tally) cold(i int, a *agent, now time.Time, bears float64) {
	since, cold := a.upstream.ColdFor(now)
	if !cold || since < time.Second {
		t.seconds[i] = secondLoad{}
		return
	}
	s := &t.seconds[i]
	s.busy += float64(a.upstream.InFlight())
	s.sent += float64(a.knowing)
	s.bears += bears
	s.steps++
	if s.steps == int(time.Second/step) {
		t.result.ColdOver = max(t.result.ColdOver, s.busy/s.bears)
		t.result.ColdSent = max(t.result.ColdSent, s.sent/s.bears)
		*s = secondLoad{}
	}
}

func (t *tally) began(a *agent) {
	if t.started {
		t.current.requests[a.number]++
	}
}

func (t *tally) offered(x *exchange) {
	if x.measured {
		t.result.Offered++
	}
}

func (t *tally) relayed(x *exchange) {
	if x.measured {
		t.result.Relays++
	}
}

func (t *tally) bounced(x *exchange) {
	if x.measured {
		t.result.Bounced++
	}
}

func (t *tally) answered(w *world, x *exchange) {
	if x.over || !x.measured {
		return
	}
	if w.schedule.Now().After(x.deadline) {
		t.late(x)
		return
	}
	x.over = true
	t.result.InTime++
	t.work += x.work.Seconds()
}

func (t *tally) late(x *exchange) {
	if !x.over && x.measured {
		x.over = true
		t.result.Late++
	}
}

func (t *tally) refused(w *world, x *exchange, retryAfter time.Duration) {
	if x.over || !x.measured {
		return
	}
	x.over = true
	t.result.Refused++
	if x.began {
		t.result.FalseNotRun++
	}
	now := w.schedule.Now()
	t.refusals = append(t.refusals, now.Sub(x.arrived))
	t.returns[int(now.Add(retryAfter).Sub(w.begin).Seconds())]++
}

func (w *world) result() Result {
	t := &w.tally
	r := t.result
	if n := len(t.refusals); n > 0 {
		slices.Sort(t.refusals)
		r.SlowestRefusal, r.MedianRefusal = t.refusals[n-1], t.refusals[n/2]
	}
	r.Goodput = t.work / t.capacity
	var relative, raw, requests []float64
	for _, n := range t.windows {
		relative = append(relative, hottest(n.busy, n.bears))
		raw = append(raw, hottest(n.busy, nil))
		requests = append(requests, hottest(n.requests, nil))
	}
	r.Relative, r.Raw, r.Requests = ratio(relative), ratio(raw), ratio(requests)
	most, sum := 0, 0
	for _, n := range t.returns {
		most = max(most, n)
		sum += n
	}
	if sum > 0 {
		r.RetryPeak = float64(most) * float64(len(t.returns)) / float64(sum)
	}
	return r
}

// hottest returns the largest use over the mean; each use is over what the copy bears, if given.
func hottest(use, bears []float64) float64 {
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

func ratio(values []float64) Ratio {
	if len(values) == 0 {
		return Ratio{}
	}
	slices.Sort(values)
	return Ratio{Worst: values[len(values)-1], Median: values[len(values)/2]}
}
