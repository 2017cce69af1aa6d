package lentilplacement

import (
	"math"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

//go:generate stringer -type=Criterion -output=criterion_string.go

// Criterion is what agents are compared by for a new flow.
type Criterion uint8

// The criteria.
const (
	// ByLoad compares agents by their numbers of flows and requests per slot.
	ByLoad Criterion = iota
	// ByExpectedWait compares agents by the time that a request is expected to take there, with its wait for a slot.
	ByExpectedWait
)

const (
	// assumedServiceTime is the service time, in seconds, with which penalties are converted, which are in requests per
	// slot.
	assumedServiceTime = 0.030
	// openingTime is how long after its first packet the request of a new flow arrives, in seconds: two round trips to
	// the client.
	openingTime = 0.012
	// utilizationTTL is the age from which a reported utilization says nothing any more. Until then it counts less and
	// less. Agents of large sites send a status every 3 s.
	utilizationTTL = 3 * time.Second
	// defaultUtilization is assumed if no candidate has reported its utilization lately.
	defaultUtilization = 0.5
	// maxUtilization is where the estimated wait, which would grow without limit, goes on as a straight line. With 0.95, chance
	// differences between well used copies decided: at a load of .82, .005 of the requests were late instead of .001.
	maxUtilization = 0.85
	// utilizationUnit is the unit of lentilflow.Load.Utilization, and serviceTimeUnit that of ServiceTime, in seconds.
	utilizationUnit = 0.01
	serviceTimeUnit = 0.0001
)

// minMeasuredShare is the share of the agents, one in so many, that must report what expected times follow from.
const minMeasuredShare = 4

// estimate is what a request is expected to cost at an agent.
type estimate struct {
	addr lentilflow.Endpoint
	a    *agent
	// cost is the expected time in seconds with the penalties, and weight the share of the flows that the agent gets.
	cost, weight float64
}

// drawAgent draws an agent for a new flow of those that accept flows and aren't in tried. The shorter a request is
// expected to take at an agent, the more likely it is drawn. It returns nil if no agent accepts flows, if too few of them
// report what their expected time follows from, or if all were full when last heard. In the seconds after all upstreams have
// restarted, both is so; requests then wait for longer than the reports are old, and their counts tell where for least time.
//
// Always taking the best agent would be worse: reports are up to 3 s old on large sites and reach all balancers at once,
// so all of them would send their flows to the same agents until the next report.
func (p *Placer) drawAgent(now time.Time, addresses, tried []lentilflow.Endpoint) (addr lentilflow.Endpoint, a *agent) {
	p.estimates = p.estimates[:0]
	var utilization, serviceTime mean
	measured, full := 0, 0
	for _, next := range addresses {
		candidate := p.agents[next]
		if slices.Contains(tried, next) || !p.acceptsFlows(candidate) {
			continue
		}
		p.estimates = append(p.estimates, estimate{addr: next, a: candidate})
		if load := candidate.status.Load; load.ReportsWait() {
			measured++
			utilization.add(float64(load.Utilization)*utilizationUnit, candidate.utilizationWeight(now))
			serviceTime.add(float64(load.ServiceTime)*serviceTimeUnit, 1)
		}
	}
	for _, e := range p.estimates {
		if load := e.a.status.Load; e.a.full || load.InFlight >= load.Slots {
			full++
		}
	}
	if minMeasuredShare*measured < len(p.estimates) || full == len(p.estimates) {
		return addr, nil
	}
	best := 0
	for i := range p.estimates {
		e := &p.estimates[i]
		e.cost = e.a.expectedTime(now, utilization.or(defaultUtilization), serviceTime.or(assumedServiceTime)) + p.penalty(now, e.a)*assumedServiceTime
		if e.cost < p.estimates[best].cost {
			best = i
		}
	}
	if p.Random == nil {
		return p.estimates[best].addr, p.estimates[best].a
	}
	total, least := 0.0, p.estimates[best].cost
	for i := range p.estimates {
		e := &p.estimates[i]
		e.weight = math.Pow(least/e.cost, drawExponent)
		total += e.weight
	}
	draw := p.random() * total
	for _, e := range p.estimates {
		if draw -= e.weight; draw < 0 {
			return e.addr, e.a
		}
	}
	return p.estimates[best].addr, p.estimates[best].a
}

// drawExponent says how much more often faster agents are drawn. It is a trade-off, found on the packet model with copies of
// three speeds at a load of .45: with 3, 0.6 times as many requests were late as with the choice by counts; with 3.5, a copy
// got 1.31 times its share of the capacity. With 3.25 it is 0.49 and 1.26.
const drawExponent = 3.25

// mean is a weighted mean.
type mean struct{ sum, weights float64 }

func (m *mean) add(value, weight float64) { m.sum, m.weights = m.sum+weight*value, m.weights+weight }

// or returns the mean, or the given value if nothing was added.
func (m *mean) or(value float64) float64 {
	if m.weights == 0 {
		return value
	}
	return m.sum / m.weights
}

// utilizationWeight returns how much the agent's utilization counts, by the age of its report.
func (a *agent) utilizationWeight(now time.Time) float64 {
	return max(0, 1-now.Sub(a.loadAt).Seconds()/utilizationTTL.Seconds())
}

// expectedTime returns the time in seconds that a request is expected to take at the agent, given the mean utilization and
// service time of the candidates. They take the place of what the agent doesn't report.
//
// The counts of requests describe the moment of the report, and are outdated after about a service time. Then the wait
// that is usual at the agent's utilization takes their place.
func (a *agent) expectedTime(now time.Time, meanUtilization, meanServiceTime float64) float64 {
	load := a.status.Load
	slots, age := float64(max(load.Slots, 1)), now.Sub(a.loadAt).Seconds()
	utilization, serviceTime, waiting := meanUtilization, meanServiceTime, max(0, float64(load.InFlight)-slots)
	if load.ReportsWait() {
		utilization += (float64(load.Utilization)*utilizationUnit - meanUtilization) * a.utilizationWeight(now)
		serviceTime, waiting = float64(load.ServiceTime)*serviceTimeUnit, float64(load.Waiting)
	}
	if a.full || load.InFlight >= load.Slots {
		// The next request waits until the first of the slots is free.
		waiting++
	}
	current := math.Exp(-age / serviceTime)
	wait := current*waiting*serviceTime/slots + (1-current)*usualWait(utilization, slots, serviceTime)
	return wait + serviceTime + a.workAfter(now, serviceTime)*serviceTime/slots
}

// usualWait returns the mean wait for a slot at a copy with exponential service times, by Sakasegawa's approximation for
// the queue M/M/c.
func usualWait(utilization, slots, serviceTime float64) float64 {
	u := min(utilization, maxUtilization)
	exponent := math.Sqrt(2*(slots+1)) - 1
	wait := math.Pow(u, exponent) / (1 - u)
	if utilization > maxUtilization {
		wait += (utilization - maxUtilization) / ((1 - u) * (1 - u))
	}
	return wait * serviceTime / slots
}

// workAfter returns how many of the requests of the flows sent to the agent are expected to be left.
func (a *agent) workAfter(now time.Time, serviceTime float64) float64 {
	if a.work == 0 {
		return 0
	}
	return a.work * math.Exp(-now.Sub(a.workAt).Seconds()/(serviceTime+openingTime))
}

// recordSent records that a new flow was sent to the agent, and recordReturned that the agent has refused one. Reports
// don't clear this: the agent's answer that it takes the flow comes before the flow's request, and the utilization shows
// the request only some time later.
func (a *agent) recordSent(now time.Time) { a.addWork(now, 1) }

func (a *agent) recordReturned(now time.Time) { a.addWork(now, -1) }

func (a *agent) addWork(now time.Time, requests float64) {
	serviceTime := assumedServiceTime
	if load := a.status.Load; load.ReportsWait() {
		serviceTime = float64(load.ServiceTime) * serviceTimeUnit
	}
	a.work, a.workAt = max(0, a.workAfter(now, serviceTime)+requests), now
}
