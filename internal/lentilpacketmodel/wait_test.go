package lentilpacketmodel

import (
	"fmt"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// waitSetup returns a site of three failure domains at a load of .45 that chooses agents by expected wait.
func waitSetup(seed uint64, slots, balancersPerDomain, upstreamsPerDomain int) Setup {
	const load = 0.45
	setup := arrivalSetup(seed, slots, 4*slots, load)
	setup.ArrivalRate *= float64(upstreamsPerDomain) / float64(setup.UpstreamsPerDomain)
	setup.BalancersPerDomain, setup.UpstreamsPerDomain, setup.ChooseBy = balancersPerDomain, upstreamsPerDomain, lentilplacement.ByExpectedWait
	return setup
}

// runArrivals runs a simulation with requests that arrive for the given time, until all are answered.
func runArrivals(setup Setup, duration time.Duration) (sim *Simulation) {
	sim = New(setup)
	sim.Run(duration)
	sim.StopArrivals()
	sim.Run(duration + 4*time.Second)
	return sim
}

// maxShareOfCapacity is how many times its share of the site's capacity a copy may get of the requests. More of them
// would mean that balancers choose the same copies by the same reports.
const maxShareOfCapacity = 1.3

// peakShareOfCapacity returns the highest share of the requests of a copy, divided by its share of the capacity. It takes
// several simulations of the same site together.
func peakShareOfCapacity(sims ...*Simulation) (peak float64) {
	total, capacity := 0.0, 0.0
	arrivals := make(map[string]float64)
	for _, sim := range sims {
		for id, n := range sim.Stats.Arrivals {
			arrivals[id] += float64(n)
			total += float64(n)
		}
	}
	for _, a := range sims[0].agents {
		capacity += a.upstream.speed()
	}
	for _, a := range sims[0].agents {
		peak = max(peak, arrivals[a.upstream.id]/total*capacity/a.upstream.speed())
	}
	return peak
}

// TestFewAdditionalOffers checks that a new flow is hardly ever offered to a second agent at a load of .45, with 60
// balancers whose reports are up to 3 s old, also if half of the agents are of an earlier release. Each further offer costs
// small balancers a part of their core and their link.
func TestFewAdditionalOffers(t *testing.T) {
	for _, earlierAgents := range []int{0, 27} {
		t.Run(fmt.Sprintf("%d agents of an earlier release", earlierAgents), func(t *testing.T) {
			t.Parallel()
			const maxAdditional, minInTarget, balancersPerDomain, upstreamsPerDomain = 0.3, 0.998, 20, 18
			setup := waitSetup(1, 2, balancersPerDomain, upstreamsPerDomain)
			setup.EarlierAgents = earlierAgents
			sim := runArrivals(setup, 15*time.Second)
			s := sim.Stats
			if additional := float64(s.Offers)/float64(s.Due) - 1; additional > maxAdditional {
				t.Errorf("%.2f additional offers a flow, want at most %.1f", additional, maxAdditional)
			}
			if share := float64(s.InTarget) / float64(s.Due); share < minInTarget {
				t.Errorf("%.4f of %d requests are answered in time, want %.3f", share, s.Due, minInTarget)
			}
			if peak := peakShareOfCapacity(sim); peak > maxShareOfCapacity {
				t.Errorf("a copy got %.2f times its share", peak)
			}
		})
	}
}

// TestCopiesOfThreeSpeeds compares the choice by expected wait with the one by counts, which don't show that a copy is slow.
// At most half as many requests may be late, and no copy may get much more than its share of the capacity.
func TestCopiesOfThreeSpeeds(t *testing.T) {
	t.Parallel()
	const seeds, slots, balancersPerDomain, upstreamsPerDomain = 3, 4, 8, 12
	late := make(map[lentilplacement.Criterion]float64)
	var sims []*Simulation
	for seed := range uint64(seeds) {
		for _, by := range []lentilplacement.Criterion{lentilplacement.ByLoad, lentilplacement.ByExpectedWait} {
			setup := waitSetup(seed, slots, balancersPerDomain, upstreamsPerDomain)
			setup.ChooseBy, setup.Speeds = by, []float64{0.6, 1, 1.6}
			setup.ArrivalRate *= (0.6 + 1 + 1.6) / 3
			sim := runArrivals(setup, 10*time.Second)
			late[by] += float64(sim.Stats.Late) / float64(sim.Stats.Due) / seeds
			if by == lentilplacement.ByExpectedWait {
				sims = append(sims, sim)
			}
		}
	}
	if byWait, byLoad := late[lentilplacement.ByExpectedWait], late[lentilplacement.ByLoad]; byWait > byLoad/2 {
		t.Errorf("%.5f of the requests are late, %.5f if agents are chosen by counts", byWait, byLoad)
	}
	if peak := peakShareOfCapacity(sims...); peak > maxShareOfCapacity {
		t.Errorf("a copy got %.2f times its share of the capacity", peak)
	}
}

// TestLongFlowsByExpectedWait places flows that carry many requests. A flow stays where it was placed, so choosing by the
// use of the last seconds alone would leave copies unequally loaded.
func TestLongFlowsByExpectedWait(t *testing.T) {
	t.Parallel()
	const load, bound = 0.75, 1.15
	for seed := range uint64(2) {
		setup := heavySetup(seed, load)
		setup.ChooseBy = lentilplacement.ByExpectedWait
		sim := New(setup)
		sim.Run(20 * time.Second)
		if answered := sim.Stats.AnsweredShare(); answered < 0.99 {
			t.Errorf("seed %d: %.4f of the requests were answered", seed, answered)
		}
		if peak := sim.Stats.PeakToMean(); peak > bound {
			t.Errorf("seed %d: the busiest copy received %.2f times the mean, bound %.2f", seed, peak, bound)
		}
	}
}

// TestOverloadByExpectedWait applies twice the capacity and lets copies fail at half of it: agents that refuse or fail must
// be avoided as they are with the choice by counts.
func TestOverloadByExpectedWait(t *testing.T) {
	t.Run("overload", func(t *testing.T) {
		t.Parallel()
		const load, minInTarget, minServed = 2, 0.85, 0.95
		setup := arrivalSetup(1, 2, 8, load)
		setup.ChooseBy = lentilplacement.ByExpectedWait
		setup.UpstreamsPerDomain, setup.ArrivalRate = setup.UpstreamsPerDomain/2, setup.ArrivalRate/2
		s := runArrivals(setup, 12*time.Second).Stats
		answered := s.InTarget + s.Late
		if share := float64(s.InTarget) / float64(answered); share < minInTarget {
			t.Errorf("%.4f of %d answers are in time, want %.2f", share, answered, minInTarget)
		}
		if share := load * float64(answered) / float64(s.Due); share < minServed {
			t.Errorf("requests for %.4f of the capacity are answered, want %.2f", share, minServed)
		}
	})
	t.Run("failing copies", func(t *testing.T) {
		t.Parallel()
		setup := arrivalSetup(1, 2, 8, 0.5)
		setup.ChooseBy = lentilplacement.ByExpectedWait
		sim := New(setup)
		schedule(sim, 4*time.Second, func() {
			for i := range 3 {
				sim.Fail(8*i, 5*time.Second)
			}
		})
		sim.Run(12 * time.Second)
		sim.StopArrivals()
		sim.Run(16 * time.Second)
		s := sim.Stats
		if share := float64(s.InTarget) / float64(s.Due); share < 0.98 {
			t.Errorf("%.4f of %d requests are answered in time, want 0.98", share, s.Due)
		}
	})
}
