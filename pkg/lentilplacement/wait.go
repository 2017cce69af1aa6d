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
	// assumedServiceTime is the service time, in seconds, of agents that don't report one. Penalties, which are in
	// requests per slot, are converted with it too.
	assumedServiceTime = 0.030
	// openingTime is how long after its first packet the request of a new flow arrives, in seconds: two round trips to
	// the client.
	openingTime = 0.012
	// tieShare is the difference between estimates that counts as none. Choosing among about equal agents at random keeps
	// balancers with the same reports from choosing the same agent.
	tieShare = 0.1
	// utilizationTTL is the age from which a reported utilization says nothing any more. Until then it counts less and
	// less. Agents of large sites send a status every 3 s.
	utilizationTTL = 3 * time.Second
	// defaultUtilization is assumed if no candidate has reported its utilization lately.
	defaultUtilization = 0.5
	// maxUtilization is where the estimated wait, which would grow without limit, goes on as a straight line.
	maxUtilization = 0.95
	// loadUnit is the unit of lentilflow.Load.Utilization, and serviceTimeUnit that of ServiceTime, in seconds.
	loadUnit        = 0.01
	serviceTimeUnit = 0.0001
)

// estimate is the time in seconds that a request is expected to take at an agent.
type estimate struct {
	addr lentilflow.Endpoint
	a    *agent
	time float64
	// cost is the time with the penalties.
	cost float64
}

// fastestAgent returns the agent where a new flow's request is expected to take least time, of those that accept flows
// and aren't in tried, or nil.
func (p *Placer) fastestAgent(now time.Time, addresses, tried []lentilflow.Endpoint) (addr lentilflow.Endpoint, a *agent) {
	p.estimates = p.estimates[:0]
	reported := false
	sum, weights := 0.0, 0.0
	for _, next := range addresses {
		candidate := p.agents[next]
		if slices.Contains(tried, next) || !p.acceptsFlows(candidate) {
			continue
		}
		p.estimates = append(p.estimates, estimate{addr: next, a: candidate})
		if load := candidate.status.Load; load.ReportsWait() {
			reported = true
			weight := candidate.utilizationWeight(now)
			sum, weights = sum+weight*float64(load.Utilization)*loadUnit, weights+weight
		}
	}
	if len(p.estimates) == 0 {
		return addr, nil
	}
	mean := defaultUtilization
	if weights > 0 {
		mean = sum / weights
	}
	best := 0
	for i := range p.estimates {
		e := &p.estimates[i]
		if reported {
			e.time = e.a.expectedTime(now, mean)
			e.cost = e.time + p.penalty(now, e.a)*assumedServiceTime
		} else {
			e.cost = p.cost(now, e.a) * assumedServiceTime
			e.time = assumedServiceTime
		}
		if e.cost < p.estimates[best].cost {
			best = i
		}
	}
	limit := p.estimates[best].cost + tieShare*p.estimates[best].time
	ties := 0
	for _, e := range p.estimates {
		if e.cost <= limit {
			ties++
		}
	}
	chosen := int(p.random() * float64(ties))
	for _, e := range p.estimates {
		if e.cost > limit {
			continue
		}
		if chosen == 0 {
			return e.addr, e.a
		}
		chosen--
	}
	return p.estimates[best].addr, p.estimates[best].a
}

// serviceTime returns the agent's service time in seconds.
func (a *agent) serviceTime() float64 {
	if load := a.status.Load; load.ReportsWait() {
		return float64(load.ServiceTime) * serviceTimeUnit
	}
	return assumedServiceTime
}

// utilizationWeight returns how much the agent's utilization counts, by the age of its report.
func (a *agent) utilizationWeight(now time.Time) float64 {
	return max(0, 1-now.Sub(a.loadAt).Seconds()/utilizationTTL.Seconds())
}

// expectedTime returns the time in seconds that a request is expected to take at the agent. mean is the mean utilization
// of the candidates.
//
// The counts of requests describe the moment of the report, and are outdated after about a service time. Then the wait
// that is usual at the agent's utilization takes their place.
func (a *agent) expectedTime(now time.Time, mean float64) float64 {
	load, serviceTime := a.status.Load, a.serviceTime()
	slots := float64(max(load.Slots, 1))
	utilization := mean
	if load.ReportsWait() {
		utilization += (float64(load.Utilization)*loadUnit - mean) * a.utilizationWeight(now)
	}
	waiting := float64(load.Waiting)
	if !load.ReportsWait() {
		waiting = max(0, float64(load.InFlight)-slots)
	}
	if load.InFlight >= load.Slots {
		// The next request waits until the first of the slots is free.
		waiting++
	}
	current := math.Exp(-now.Sub(a.loadAt).Seconds() / serviceTime)
	wait := current*waiting*serviceTime/slots + (1-current)*usualWait(utilization, slots, serviceTime)
	return wait + serviceTime + a.workAfter(now)*serviceTime/slots
}

// usualWait returns the mean wait for a slot at a copy with exponential service times, by Sakasegawa's approximation for
// the queue M/M/c.
func usualWait(utilization, slots, serviceTime float64) float64 {
	u := min(utilization, maxUtilization)
	exponent := math.Sqrt(2*(slots+1)) - 1
	wait := serviceTime / slots * math.Pow(u, exponent) / (1 - u)
	if utilization > maxUtilization {
		wait += serviceTime / slots * (utilization - maxUtilization) / ((1 - u) * (1 - u))
	}
	return wait
}

// workAfter returns how much of the work of the flows sent to the agent is expected to be left.
func (a *agent) workAfter(now time.Time) float64 {
	if a.work == 0 {
		return 0
	}
	return a.work * math.Exp(-now.Sub(a.workAt).Seconds()/(a.serviceTime()+openingTime))
}

// recordSent records that a new flow was sent to the agent. Reports don't clear it: the agent's answer that it takes the
// flow comes before the flow's request, and the utilization shows the request only some time later.
func (a *agent) recordSent(now time.Time) { a.work, a.workAt = a.workAfter(now)+1, now }

// recordReturned records that the agent has refused a flow.
func (a *agent) recordReturned(now time.Time) { a.work, a.workAt = max(0, a.workAfter(now)-1), now }
