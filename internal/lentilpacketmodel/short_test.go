package lentilpacketmodel

import (
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplacement"
)

// TestShortPlays plays each load of the tests that CI runs without the race detector for a short time, so that the detector
// sees the same code under the same loads. A play is too short for their bounds; no flow may break, and requests must be
// answered.
func TestShortPlays(t *testing.T) {
	const faultAt, duration, end = time.Second, 2 * time.Second, 4 * time.Second
	byWait := func(setup Setup) Setup {
		setup.ChooseBy = lentilplacement.ByExpectedWait
		return setup
	}
	manyBalancers := arrivalSetup(1, 2, 8, 2)
	manyBalancers.BalancersPerDomain = 20
	cold := arrivalSetup(1, 2, 8, 0.5)
	cold.ColdFor = 500 * time.Millisecond
	slowBalancers := cold
	slowBalancers.ReceiveTime = 200 * time.Microsecond
	earlier := waitSetup(1, 2, 4, 6)
	earlier.EarlierAgents = 9
	speeds := waitSetup(1, 4, 2, 6)
	speeds.Speeds = []float64{0.6, 1, 1.6}
	linksUnset := uploadSetup(1)
	linksUnset.LinksUnset = true
	oneSmallLink := uploadSetup(2)
	oneSmallLink.BalancerLinkRates = func(domain, number int) int {
		if domain == 0 && number == 0 {
			return smallLink
		}
		return 10 * smallLink
	}
	powerOff := func(sim *Simulation) { sim.PowerOff(300 * time.Millisecond) }
	failCopies := func(sim *Simulation) { sim.Fail(0, time.Second) }
	killBalancer := func(sim *Simulation) { sim.KillBalancerFor(0, 300*time.Millisecond) }
	for _, c := range []struct {
		name  string
		setup Setup
		// fault is injected after faultAt; nil injects none.
		fault func(sim *Simulation)
	}{
		{"heavy load", heavySetup(1, 0.95), nil},
		{"near capacity", arrivalSetup(1, 2, 8, 1.05), nil},
		{"far above capacity", manyBalancers, nil},
		{"power loss", cold, powerOff},
		{"power loss with slow balancers", slowBalancers, powerOff},
		{"agents of an earlier release", earlier, nil},
		{"copies of three speeds", speeds, nil},
		{"long flows by expected wait", byWait(heavySetup(1, 0.75)), nil},
		{"overload by expected wait", byWait(arrivalSetup(1, 2, 8, 2)), nil},
		{"failing copies by expected wait", byWait(arrivalSetup(1, 2, 8, 0.5)), failCopies},
		{"uploads after a balancer was killed", uploadSetup(1), killBalancer},
		{"uploads without a limit of copies", linksUnset, killBalancer},
		{"one small link", oneSmallLink, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sim := New(c.setup)
			if c.fault != nil {
				schedule(sim, faultAt, func() { c.fault(sim) })
			}
			sim.Run(duration)
			sim.StopArrivals()
			sim.Run(end)
			reportViolations(t, sim, c.name)
			if s := sim.Stats; s.Answered+s.InTarget+s.Late == 0 {
				t.Errorf("no request was answered: %+v", s)
			}
		})
	}
}
