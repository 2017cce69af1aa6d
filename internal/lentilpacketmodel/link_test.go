package lentilpacketmodel

import (
	"fmt"
	"testing"
	"time"
)

// smallLink is the rate of a link of 10 Mbit/s in bytes a second.
const smallLink = 1_250_000

// uploadSetup returns a site with uploads of 40,000 bytes, a part of them on flows that carry many requests, and other requests
// of 900 bytes. Uploads take 45 % of the balancers' links of 10 Mbit/s.
func uploadSetup(seed uint64) Setup {
	setup := arrivalSetup(seed, 2, 8, 0.22)
	setup.BalancersPerDomain = 3
	setup.Deadline, setup.UploadBytes, setup.UploadTarget = 4*time.Second, 40_000, 800*time.Millisecond
	setup.Clients, setup.ThinkTime, setup.RequestBytes = 400, 1600*time.Millisecond, 900
	setup.BalancerLinkRates = func(int, int) int { return smallLink }
	return setup
}

// shareAfterBalancerKill kills a third of a failure domain's balancers for two seconds while uploads run. It returns the share
// of the requests in time that arrive from three seconds after the balancer is back.
func shareAfterBalancerKill(t *testing.T, setup Setup) (share float64) {
	const killedAt, down, recovery, measured = 3 * time.Second, 2 * time.Second, 3 * time.Second, 2 * time.Second
	sim := New(setup)
	schedule(sim, killedAt, func() { sim.KillBalancerFor(0, down) })
	sim.Run(killedAt + down + recovery + measured)
	sim.StopArrivals()
	sim.Run(killedAt + down + recovery + measured + setup.UploadTarget)
	reportViolations(t, sim, "a balancer was killed")
	total := KindStats{}
	for _, p := range sim.Stats.Periods[(killedAt+down+recovery)/Period:] {
		total.Due, total.InTarget = total.Due+p.Due, total.InTarget+p.InTarget
	}
	return total.InTargetShare()
}

// TestUploadsAfterBalancerKill guards against lookups and second offers that fill the links of the balancers with copies of clients'
// packets, so that agents' answers are late and lead to more copies: a balancer that comes back gets flows that it doesn't know, and
// without a limit of copies its link then usually stays full. The last case checks that the scenario still leads to this in
// one of five runs. It did so in 12 of 15, with at most 0.87 of the requests in time; with the limit, the least of 15 was 0.98.
func TestUploadsAfterBalancerKill(t *testing.T) {
	const seeds, controls, recovered, collapsed = 2, 5, 0.93, 0.9
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			if share := shareAfterBalancerKill(t, uploadSetup(seed)); share < recovered {
				t.Errorf("%.4f of the requests are in time, want %.2f", share, recovered)
			}
		})
	}
	t.Run("without limit", func(t *testing.T) {
		t.Parallel()
		worst := 1.0
		for seed := range uint64(controls) {
			setup := uploadSetup(seed)
			setup.LinksUnset = true
			worst = min(worst, shareAfterBalancerKill(t, setup))
			if worst < collapsed {
				return
			}
		}
		t.Errorf("%.4f of the requests are in time, want the links to stay full", worst)
	})
}

// TestFaultsOnSmallLinks injects faults while the budget for copies hardly covers any, so that flows are looked up by key and their
// packets are buffered. No flow that its upstream serves may be reset or reach another one. It runs a third of the faults, or all of them with
// the flag everything.
func TestFaultsOnSmallLinks(t *testing.T) {
	const stride = 3
	for i, fault := range faultCases {
		if !*everything && i%stride != 1 {
			continue
		}
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			setup := smallSetup(uint64(i))
			setup.UploadBytes, setup.RequestBytes, setup.Deadline = 6_000, 900, 3*time.Second
			setup.BalancerLinkRates = func(int, int) int { return smallLink / 4 }
			sim := New(setup)
			schedule(sim, 6*time.Second, func() { fault.apply(sim) })
			sim.Run(13 * time.Second)
			reportViolations(t, sim, fmt.Sprintf("seed %d", i))
			t.Logf("%.4f of the requests were answered, %d lookups by key", sim.Stats.AnsweredShare(), sim.Stats.LookupsByKey)
		})
	}
}

// TestBalancerWithSmallLink gives one balancer a tenth of the others' link. No kind of request may suffer, however many balancers
// there are. It guards against copies of packets that fill the small link.
func TestBalancerWithSmallLink(t *testing.T) {
	for _, perDomain := range []int{2, 15} {
		t.Run(fmt.Sprintf("%d balancers", 4*perDomain), func(t *testing.T) {
			t.Parallel()
			const load, longFlowLoad, minInTarget = 0.5, 0.1, 0.98
			setup := arrivalSetup(1, 2, 8, load-longFlowLoad)
			setup.Domains, setup.BalancersPerDomain, setup.UpstreamsPerDomain = 4, perDomain, perDomain
			capacity := float64(setup.Domains*perDomain*setup.Slots) / setup.ServiceTime.Seconds()
			setup.ArrivalRate = (load - longFlowLoad) * capacity
			setup.Deadline, setup.UploadBytes, setup.UploadTarget = 4*time.Second, 40_000, 800*time.Millisecond
			setup.ThinkTime, setup.RequestBytes = time.Second, 900
			setup.Clients = int(longFlowLoad * capacity * setup.ThinkTime.Seconds())
			setup.BalancerLinkRates = func(domain, number int) int {
				if domain == 0 && number == 0 {
					return smallLink
				}
				return 10 * smallLink
			}
			sim := New(setup)
			sim.Run(4 * time.Second)
			sim.StopArrivals()
			sim.Run(4*time.Second + setup.UploadTarget)
			for kind, stats := range sim.Stats.Kinds {
				t.Logf("%s: %.4f of %d", RequestKind(kind), stats.InTargetShare(), stats.Due)
				if share := stats.InTargetShare(); share < minInTarget {
					t.Errorf("%s: %.4f of %d requests are in time, want %.2f", RequestKind(kind), share, stats.Due, minInTarget)
				}
			}
			reportViolations(t, sim, "small link")
		})
	}
}
