package lentilplacement

import (
	"math"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// waitLoad returns the load of an upstream with two slots.
func waitLoad(utilization, serviceTime, waiting uint16) lentilflow.Load {
	return lentilflow.Load{Slots: 2, Utilization: utilization, ServiceTime: serviceTime, Waiting: waiting}
}

// newWaitHarness returns a harness that chooses by expected wait among agents 1 to 3 with the given loads.
func newWaitHarness(t testing.TB, loads [3]lentilflow.Load) *harness {
	h := newHarness(t)
	h.ChooseBy = ByExpectedWait
	for i, load := range loads {
		h.reportLoad(i+1, load)
	}
	return h
}

func (h *harness) reportLoad(n int, load lentilflow.Load) {
	h.sendStatus(n, func(m *lentilflow.Status) { m.Service, m.Domain, m.Phase, m.Load = "a", "near", lentilflow.Ready, load })
}

// choose returns the number of the agent that gets a new flow.
func (h *harness) choose() (n int) {
	h.t.Helper()
	addr, a := h.cheapestAgent(h.clock.Now(), flowKey(testFlow), "a", nil)
	if a == nil {
		h.t.Fatal("no agent was chosen")
	}
	return int(addr.Address()[3])
}

// TestChooseByExpectedWait checks which agent is expected to serve a request first. Without Random, the best one is taken.
func TestChooseByExpectedWait(t *testing.T) {
	for _, c := range []struct {
		name  string
		loads [3]lentilflow.Load
		age   time.Duration
		want  int
	}{
		{"the least used of equal ones", [3]lentilflow.Load{waitLoad(60, 300, 0), waitLoad(20, 300, 0), waitLoad(80, 300, 0)}, 500 * time.Millisecond, 2},
		{"the fastest of equally used ones", [3]lentilflow.Load{waitLoad(50, 300, 0), waitLoad(50, 500, 0), waitLoad(50, 180, 0)}, 500 * time.Millisecond, 3},
		{"a slower one instead of one that is overloaded", [3]lentilflow.Load{waitLoad(40, 500, 0), waitLoad(130, 200, 9), waitLoad(130, 200, 9)}, 500 * time.Millisecond, 1},
		{"waiting requests in a fresh report", [3]lentilflow.Load{waitLoad(30, 300, 6), waitLoad(40, 300, 0), waitLoad(60, 300, 0)}, 0, 2},
		{"not the waiting requests of a second ago", [3]lentilflow.Load{waitLoad(30, 300, 6), waitLoad(60, 300, 0), waitLoad(60, 300, 0)}, time.Second, 1},
		{"only the service times of old reports", [3]lentilflow.Load{waitLoad(20, 300, 0), waitLoad(90, 290, 0), waitLoad(20, 300, 0)}, utilizationTTL, 2},
		{
			"an agent of an earlier release by its counts", [3]lentilflow.Load{{Slots: 2, InFlight: 5}, waitLoad(60, 300, 1), {Slots: 2, InFlight: 1}},
			0, 3,
		},
		{
			"the least loaded by counts if all are full", [3]lentilflow.Load{
				{Slots: 2, InFlight: 6, Utilization: 100, ServiceTime: 200, Waiting: 4}, {Slots: 2, InFlight: 4, Utilization: 200, ServiceTime: 400, Waiting: 2},
				{Slots: 2, InFlight: 5, Utilization: 100, ServiceTime: 200, Waiting: 3},
			}, 100 * time.Millisecond, 2,
		},
		{"only agents of an earlier release", [3]lentilflow.Load{{Slots: 2, Flows: 2}, {Slots: 2, Flows: 4, InFlight: 1}, {Slots: 2, Flows: 1}}, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newWaitHarness(t, c.loads)
			h.clock.Advance(c.age)
			if got := h.choose(); got != c.want {
				t.Errorf("agent %d gets the flow, want %d", got, c.want)
			}
		})
	}
}

// TestLoadsAreComparedAsBefore checks that the utilization has no effect without the setting.
func TestLoadsAreComparedAsBefore(t *testing.T) {
	h := newWaitHarness(t, [3]lentilflow.Load{waitLoad(90, 900, 50), waitLoad(10, 100, 0), waitLoad(10, 100, 0)})
	h.ChooseBy = ByLoad
	if got := h.choose(); got != 1 {
		t.Errorf("agent %d gets the flow, want the first of those without flows", got)
	}
}

// TestOwnFlowsCount checks that flows sent since the report count until their requests are expected to be done, so that a
// balancer doesn't send all its flows to the agent that looked best in a report.
func TestOwnFlowsCount(t *testing.T) {
	h := newWaitHarness(t, [3]lentilflow.Load{waitLoad(30, 300, 0), waitLoad(40, 300, 0), waitLoad(50, 300, 0)})
	h.clock.Advance(500 * time.Millisecond)
	now := h.clock.Now()
	first := h.agents[agentAddress(1)]
	for range 2 {
		first.recordSent(now)
	}
	if got := h.choose(); got != 2 {
		t.Errorf("agent %d gets the flow, want the one without flows on their way", got)
	}
	first.recordReturned(now)
	first.recordReturned(now)
	if got := h.choose(); got != 1 {
		t.Errorf("agent %d gets the flow, want the one that returned its flows", got)
	}
	first.recordSent(now)
	first.recordSent(now)
	h.clock.Advance(300 * time.Millisecond)
	if got := h.choose(); got != 1 {
		t.Errorf("agent %d gets the flow, want the one whose flows are done", got)
	}
}

// TestRefusalCountsForAMoment checks that an agent that refused a flow for want of a free slot is avoided, and no longer
// than its slots are expected to stay occupied.
func TestRefusalCountsForAMoment(t *testing.T) {
	h := newWaitHarness(t, [3]lentilflow.Load{waitLoad(40, 300, 0), waitLoad(40, 300, 0), waitLoad(40, 300, 0)})
	h.applyRefusal(h.clock.Now(), agentAddress(1), lentilflow.Refused{Reason: lentilflow.UpstreamBusy, Load: waitLoad(39, 300, 0)})
	if got := h.choose(); got == 1 {
		t.Error("the agent that has just refused a flow gets the next one")
	}
	h.clock.Advance(200 * time.Millisecond)
	if got := h.choose(); got != 1 {
		t.Errorf("agent %d gets the flow, want the one that refused another one 200 ms ago and is used least", got)
	}
}

// TestDrawsSpreadFlows checks that about equal agents get about as many flows, and a much slower one hardly any. If the
// best agent got all of them, all balancers with the same report would choose it.
func TestDrawsSpreadFlows(t *testing.T) {
	h := newWaitHarness(t, [3]lentilflow.Load{waitLoad(44, 300, 0), waitLoad(46, 300, 0), waitLoad(45, 900, 0)})
	h.clock.Advance(500 * time.Millisecond)
	const draws = 1000
	drawn := 0
	h.Random = func() float64 { drawn++; return float64(drawn%draws) / draws }
	var got [4]int
	for range draws {
		_, a := h.drawAgent(h.clock.Now(), h.agentsOfService("a"), nil)
		for n := 1; n <= 3; n++ {
			if h.agents[agentAddress(n)] == a {
				got[n]++
			}
		}
	}
	if math.Abs(float64(got[1]-got[2])) > draws/10 || got[3] > draws/20 {
		t.Errorf("got %v flows, want about as many for the first two and hardly any for the third", got[1:])
	}
}

// TestDrawDoesNotAllocate guards the time of a choice on balancers with a twentieth of a core.
func TestDrawDoesNotAllocate(t *testing.T) {
	h := newWaitHarness(t, [3]lentilflow.Load{waitLoad(30, 300, 0), waitLoad(40, 300, 0), waitLoad(50, 300, 0)})
	h.Random = func() float64 { return 0.5 }
	now, addresses := h.clock.Now(), h.agentsOfService("a")
	if allocations := testing.AllocsPerRun(100, func() { h.drawAgent(now, addresses, nil) }); allocations > 0 {
		t.Errorf("a choice allocates %.0f times", allocations)
	}
}

// TestUsualWait compares the approximation with the exact waits of the queue M/M/c, in service times. They differ by up to
// 13 % at moderate utilizations.
func TestUsualWait(t *testing.T) {
	for _, c := range []struct{ slots, utilization, want float64 }{
		{1, 0.5, 1}, {1, 0.8, 4}, {2, 0.45, 0.254}, {2, 0.8, 1.778}, {4, 0.8, 0.746},
	} {
		if got := usualWait(c.utilization, c.slots, 1); math.Abs(got-c.want) > 0.13*c.want {
			t.Errorf("%g slots used to %g: the wait is %.3f, want %.3f", c.slots, c.utilization, got, c.want)
		}
	}
	if usualWait(1.5, 2, 1) <= usualWait(1.2, 2, 1) || usualWait(1, 2, 1) <= usualWait(maxUtilization, 2, 1) {
		t.Error("the wait doesn't grow beyond the highest utilization of the formula")
	}
}
