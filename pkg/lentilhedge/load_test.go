package lentilhedge_test

import (
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilhedgemodel"
)

// TestLoads plays one slow copy in ten, pauses and lognormal durations at four loads. It prints
// the 99th percentile and the share in time with and without extra attempts, and guards against
// extra attempts above the percentage, any in an overload that has lasted a second, and harm by them.
func TestLoads(t *testing.T) {
	for _, scenario := range lentilhedgemodel.Scenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			for _, load := range lentilhedgemodel.Loads() {
				compareLoads(t, scenario, load)
			}
		})
	}
}

func compareLoads(t *testing.T, scenario lentilhedgemodel.Scenario, load float64) {
	t.Helper()
	// An overload takes long to simulate and shows itself soon.
	duration := 5 * time.Second
	if load > 1 {
		duration = 2 * time.Second
	}
	var without lentilhedgemodel.Result
	for _, percent := range lentilhedgemodel.Percents() {
		r := lentilhedgemodel.Run(lentilhedgemodel.Options{
			Seed: 1, Load: load, Percent: percent, SlowCopies: scenario.SlowCopies, Pauses: scenario.Pauses, Duration: duration,
		})
		t.Logf("load %.1f, %d %%: p99 %4d ms, in time %.4f, extra %.4f, won %4d, cancelled %4d, over budget %4d", load, percent,
			r.P99.Milliseconds(), r.InTimeShare(), r.ExtraShare(), r.Won, r.Cancelled, r.OverBudget)
		if r.ExtraShare() > float64(percent)/100 {
			t.Errorf("load %.1f: extra attempts of %.4f with %d %%", load, r.ExtraShare(), percent)
		}
		if load > 1 && r.LateExtras > 0 {
			t.Errorf("load %.1f, %d %%: %d extra attempts in the overload", load, percent, r.LateExtras)
		}
		if percent == 0 {
			without = r
			continue
		}
		// Runs differ in their random numbers once one extra attempt is made.
		const noise = 0.005
		if load < 1 && r.InTimeShare() < without.InTimeShare()-noise {
			t.Errorf("load %.1f, %d %%: %.4f in time, %.4f without extra attempts", load, percent, r.InTimeShare(), without.InTimeShare())
		}
	}
}
