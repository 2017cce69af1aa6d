package lentilconntrack

import (
	"math"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// routeWindow is the time constant with which the requests and the ends of a route's flows are smoothed. Long flows
	// carry a request every few seconds, so it has to cover many of them.
	routeWindow = 30 * time.Second
	// minFlowTime is the time, in seconds, that flows of a route must have been open before their rate of requests counts.
	minFlowTime = 2
	// maxRoutes bounds the routes that are measured: 64 bytes each. An agent serves few addresses.
	maxRoutes = 64
)

// route measures how many requests the flows of a route bring. New flows that will bring many requests count as load at
// once: the utilization shows their requests only after some seconds, in which balancers would place further flows.
type route struct {
	// flows is the number of open and half-open flows, and idle how many of them were unused for idleFlowAge at the last
	// sweep.
	flows, idle int
	// mean is the number of flows that aren't idle, smoothed like the utilization, as of updatedAt.
	mean      float64
	updatedAt time.Time
	// requests, ends and flowTime are decaying sums of the requests, the ends of flows and the seconds that flows were
	// open.
	requests, ends, flowTime float64
}

// route returns the route of an address, or nil if there are too many.
func (t *Tracker) route(address lentilflow.Endpoint) *route {
	if r := t.routes[address]; r != nil || len(t.routes) >= maxRoutes {
		return r
	}
	if t.routes == nil {
		t.routes = make(map[lentilflow.Endpoint]*route)
	}
	r := &route{}
	t.routes[address] = r
	return r
}

func (r *route) active() float64 { return float64(max(0, r.flows-r.idle)) }

// advance updates the sums for the time since the last event.
func (r *route) advance(now time.Time) {
	if !r.updatedAt.IsZero() {
		elapsed := now.Sub(r.updatedAt)
		r.mean += (r.active() - r.mean) * smoothingShare(elapsed)
		kept := math.Exp(-elapsed.Seconds() / routeWindow.Seconds())
		r.requests, r.ends = r.requests*kept, r.ends*kept
		r.flowTime = r.flowTime*kept + r.active()*routeWindow.Seconds()*(1-kept)
	}
	r.updatedAt = now
}

// occupancy returns by how many occupied slots the flows that are open now will differ from the smoothed number of
// requests, with the given service time. Flows that end soon count little.
func (r *route) occupancy(serviceTime time.Duration) float64 {
	if r.flowTime < minFlowTime {
		return 0
	}
	lifetime := r.flowTime / max(r.ends, 1)
	lasting := lifetime / (lifetime + utilizationWindow.Seconds())
	return (r.active() - r.mean) * r.requests / r.flowTime * serviceTime.Seconds() * lasting
}

// countFlow adds a flow to its route, or removes it.
func (t *Tracker) countFlow(f *flow, change int) {
	if f.route == nil {
		return
	}
	f.route.advance(t.now())
	f.route.flows += change
	if change < 0 {
		f.route.ends++
	}
}

// countRequest counts a request of a flow.
func (f *flow) countRequest(now time.Time) {
	if f.route != nil {
		f.route.advance(now)
		f.route.requests++
	}
}

// routesOccupancy returns the occupancy of all routes.
func (t *Tracker) routesOccupancy(now time.Time) (slots float64) {
	for _, r := range t.routes {
		r.advance(now)
		slots += r.occupancy(t.meter.serviceTime)
	}
	return slots
}
