// Package lentilrecoverymeasure measures what clients get after all machines of a simulated site have lost power, and
// compares it with two ideal sites of the same capacity that have a single queue.
package lentilrecoverymeasure

import (
	"context"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilpacketmodel"
)

// Experiment is the entry in the list of experiments.
var Experiment = lentilfigure.Experiment{
	Name:        "recovery",
	Description: "requests in time, late and unserved after a loss of power, against a single queue that knows the age of flows, and one that knows that of requests",
	Run:         run,
}

const (
	// domains, balancersPerDomain, upstreamsPerDomain and slots are the size of the site, 102 slots.
	domains, balancersPerDomain, upstreamsPerDomain, slots = 3, 8, 17, 2
	// queueLimit is how many requests an upstream queues.
	queueLimit = 8
	// serviceTime is the mean time of a request, and coldSlowness how much longer it takes for coldFor after the return.
	serviceTime  = 32 * time.Millisecond
	coldSlowness = 1.6
	coldFor      = 2 * time.Second
	// deadline, target and tries are those of clients.
	deadline = 3 * time.Second
	target   = 250 * time.Millisecond
	tries    = 3
	// receiveTime is how long a balancer takes for a datagram: 40 us on a fifth of a core.
	receiveTime = 200 * time.Microsecond
	// lostAt is when the power is lost, and restartTime how long processes take to serve again after its return.
	lostAt      = 6 * time.Second
	restartTime = 150 * time.Millisecond
	// after is the time after the return for which requests are counted.
	after = 2 * time.Second
	seeds = 3
)

// cases are the loads, as shares of the capacity, and the times without power.
var cases = []struct {
	load float64
	down time.Duration
}{{0.45, 1300 * time.Millisecond}, {0.45, 1600 * time.Millisecond}, {0.6, 1600 * time.Millisecond}}

// counts are the requests of a period, by their outcome.
type counts struct{ due, inTime, late int }

func (c *counts) add(other counts) {
	c.due, c.inTime, c.late = c.due+other.due, c.inTime+other.inTime, c.late+other.late
}

func (c counts) share(n int) float64 { return float64(n) / float64(max(c.due, 1)) }

func run(ctx context.Context, setup lentilfigure.Setup) (figures []lentilfigure.Figure, err error) {
	for _, c := range cases {
		var product, byFlow, byRequest [2]counts
		for i := range uint64(seeds) {
			if err = ctx.Err(); err != nil {
				return nil, err
			}
			add := func(sum *[2]counts, outage, afterwards counts) {
				sum[0].add(outage)
				sum[1].add(afterwards)
			}
			outage, afterwards := simulateProduct(setup.Seed+i, c.load, c.down)
			add(&product, outage, afterwards)
			for _, ideal := range []struct {
				sum       *[2]counts
				knowsTrue bool
			}{{&byFlow, false}, {&byRequest, true}} {
				outage, afterwards = newIdealSite(setup.Seed+i, c.load, c.down, ideal.knowsTrue).run()
				add(ideal.sum, outage, afterwards)
			}
		}
		for period, name := range []string{"outage", "after"} {
			prefix := fmt.Sprintf("recovery.%.0f.%d.%s", 100*c.load, c.down.Milliseconds(), name)
			p, f, q := product[period], byFlow[period], byRequest[period]
			unserved := func(c counts) float64 { return c.share(c.due - c.inTime - c.late) }
			figures = append(figures,
				lentilfigure.New(prefix+".inTime", p.share(p.inTime), "share").WithBaseline("flowAge", f.share(f.inTime)),
				lentilfigure.New(prefix+".inTime", p.share(p.inTime), "share").WithBaseline("requestAge", q.share(q.inTime)),
				lentilfigure.New(prefix+".unserved", unserved(p), "share").WithBaseline("flowAge", unserved(f)),
				lentilfigure.New(prefix+".unserved", unserved(p), "share").WithBaseline("requestAge", unserved(q)),
			)
		}
	}
	return figures, nil
}

// simulateProduct returns the requests that arrived during the outage, and those of the time after it.
func simulateProduct(seed uint64, load float64, down time.Duration) (outage, afterwards counts) {
	simulation := lentilpacketmodel.New(lentilpacketmodel.Setup{
		Seed: seed, Domains: domains, BalancersPerDomain: balancersPerDomain, UpstreamsPerDomain: upstreamsPerDomain, Slots: slots, QueueLimit: queueLimit,
		ServiceTime: serviceTime, ExponentialServiceTime: true, Deadline: deadline, Target: target, Retries: tries - 1,
		ColdFor: coldFor, ReceiveTime: receiveTime, ArrivalRate: arrivalRate(load),
	})
	simulation.After(lostAt, func() { simulation.PowerOff(down) })
	returnAt := lostAt + down
	simulation.Run(returnAt + after)
	simulation.StopArrivals()
	simulation.Run(returnAt + after + tries*deadline)
	for i, p := range simulation.Stats.Periods {
		at := time.Duration(i) * lentilpacketmodel.Period
		switch found := (counts{p.Due, p.InTarget, p.Late}); {
		case at >= lostAt && at < returnAt:
			outage.add(found)
		case at >= returnAt && at < returnAt+after:
			afterwards.add(found)
		}
	}
	return outage, afterwards
}

func arrivalRate(load float64) float64 {
	return load * domains * upstreamsPerDomain * slots / serviceTime.Seconds()
}
