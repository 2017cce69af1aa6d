package lentilpacketmodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestHedgedOpenings plays seeded runs in which balancers offer new flows to second agents and datagrams
// are lost or late. It guards against a request that runs at two upstreams, since both have accepted its
// flow, and against all other violations that the model checks.
func TestHedgedOpenings(t *testing.T) {
	seeds := uint64(300)
	if *everything {
		seeds = 4000
	}
	var sent, won, overBudget uint64
	answered := 0
	for seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 2))
		sim := New(Setup{
			Seed: seed, Domains: 3, BalancersPerDomain: 1, UpstreamsPerDomain: 2, Slots: 4, QueueLimit: 8, ServiceTime: 10 * time.Millisecond,
			ExponentialServiceTime: true, ArrivalRate: 150, Retries: 2, Target: 250 * time.Millisecond, Deadline: time.Second, HedgePercent: 20,
			DeliveryOutcome: func(int) (extraDelay time.Duration, lost bool) {
				switch random.IntN(50) {
				case 0:
					return 0, true
				case 1, 2:
					return time.Duration(random.IntN(150)) * time.Millisecond, false
				}
				return 0, false
			},
		})
		sim.After(1500*time.Millisecond, sim.ApplyDeliveryOutcomes)
		sim.After(3500*time.Millisecond, sim.StopArrivals)
		sim.Run(5 * time.Second)
		reportViolations(t, sim, fmt.Sprintf("seed %d", seed))
		counts := sim.HedgeCounts()
		sent += counts.Sent
		won += counts.Won
		overBudget += counts.OverBudget
		answered += sim.Stats.Answered
		if t.Failed() {
			return
		}
	}
	t.Logf("%d runs: %d requests answered, %d extra offers, %d won, %d over the budget", seeds, answered, sent, won, overBudget)
	if sent == 0 || won == 0 {
		t.Error("the runs show nothing")
	}
}
