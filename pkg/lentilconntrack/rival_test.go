package lentilconntrack

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestRivalOfLivingUpstream guards against another writer that takes an upstream's place: its flows are reset, and its own registrations
// are ignored, also those that say that it drains.
func TestRivalOfLivingUpstream(t *testing.T) {
	const interval = 1200 * time.Millisecond
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	own := Registration{ID: "u", Incarnation: h.createdAt.UnixMilli(), Service: "a", Slots: 2}
	rival := Registration{ID: "w", Incarnation: own.Incarnation + 500, Service: "a", Slots: 2}
	resets := func(actions []Action) {
		t.Helper()
		if got := formatActions(actions); strings.Contains(got, "ResetClient") {
			t.Errorf("%s after the start: %s", h.clock.Now().Sub(h.createdAt), got)
		}
	}
	register := func(r *Registration) (acknowledged bool) {
		t.Helper()
		r.Sequence++
		resets(h.Register(*r, nil))
		return h.Acknowledges(*r)
	}
	run := func(d time.Duration) {
		t.Helper()
		for ; d > 0; d -= 50 * time.Millisecond {
			h.clock.Advance(50 * time.Millisecond)
			resets(h.Tick(nil))
		}
	}
	register(&own)
	h.openFlow(flowKey(1))
	run(500 * time.Millisecond)
	for i := range 8 {
		if acknowledged := register(&rival); i >= 2 && acknowledged {
			t.Errorf("registration %d of the other writer is acknowledged", i)
		}
		run(interval - 500*time.Millisecond)
		own.Draining = i >= 3
		if acknowledged := register(&own); i >= 2 && !acknowledged {
			t.Errorf("registration %d of the upstream isn't acknowledged", i)
		}
		if own.Draining {
			if got := h.fromBalancer(peer1, lentilflow.Place, firstPacket(flowKey(10+i))); got != "SendRefused UpstreamDraining" {
				t.Errorf("registration %d says that the upstream drains, and a new flow gets %q", i, got)
			}
		}
		run(500 * time.Millisecond)
	}
	if got := h.fromBalancer(peer1, lentilflow.Owned, dataPacket(flowKey(1), 501)); got != "ToUpstream" {
		t.Errorf("a packet of the open flow: %q", got)
	}
}

// TestRivalsOfManyNames guards against flows of a living upstream that are reset, since another writer registers under a new ID each time.
func TestRivalsOfManyNames(t *testing.T) {
	h := newHarness(t)
	h.AddressReuse = 2 * time.Second
	h.register("u")
	h.openFlow(flowKey(1))
	own := Registration{ID: "u", Incarnation: h.createdAt.UnixMilli() + 1, Service: "a", Sequence: h.lastSequence}
	for n := range 20 {
		h.clock.Advance(50 * time.Millisecond)
		other := Registration{ID: fmt.Sprint("w-", n), Incarnation: h.clock.Now().UnixMilli(), Sequence: 1, Service: "a"}
		got := formatActions(h.Register(other, nil))
		for range 23 {
			h.clock.Advance(50 * time.Millisecond)
			got += formatActions(h.Tick(nil))
		}
		own.Sequence++
		if got += formatActions(h.Register(own, nil)); strings.Contains(got, "ResetClient") {
			t.Fatalf("other writer %d: %s", n, got)
		}
	}
}

// TestNextRunResetsFlows guards against flows of an upstream that has ended which are never reset, since the run before may go on.
func TestNextRunResetsFlows(t *testing.T) {
	const replaced, interval = "ResetClient UpstreamReplaced 501", 1200 * time.Millisecond
	for _, c := range []struct {
		name string
		// downtime is the time between the last registration of a run and the first one of the next.
		downtime time.Duration
		id       string
		// late is set if one more registration of the run before comes after that.
		late bool
		// atOnce is set if the flow is reset when the next run registers, and not when that of the one before is overdue.
		atOnce bool
	}{
		{"long after the last registration", 3100 * time.Millisecond, "v", false, true},
		{"soon after the last registration", 500 * time.Millisecond, "v", false, false},
		{"soon, under the same ID", 500 * time.Millisecond, "u", false, true},
		{"soon, and one registration was on its way", 500 * time.Millisecond, "v", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.AddressReuse = 2 * time.Second
			h.register("u")
			h.openFlow(flowKey(1))
			h.run(c.downtime)
			next := Registration{ID: c.id, Incarnation: h.clock.Now().UnixMilli() - 50, Sequence: 1, Service: "a"}
			got := formatActions(h.Register(next, nil))
			if strings.Contains(got, replaced) != c.atOnce {
				t.Errorf("at the registration: %q", got)
			}
			if c.late {
				h.run(interval - c.downtime)
				h.register("u")
			}
			for range 100 {
				h.clock.Advance(50 * time.Millisecond)
				got += formatActions(h.Tick(nil))
				if h.clock.Now().Sub(h.createdAt)%interval == 0 {
					next.Sequence++
					got += formatActions(h.Register(next, nil))
				}
			}
			if strings.Count(got, replaced) != 1 {
				t.Errorf("the flow is reset %d times, want once: %s", strings.Count(got, replaced), got)
			}
			if id, _ := h.LastRegistration(); id != c.id {
				t.Errorf("%s is registered, want %s", id, c.id)
			}
		})
	}
}
