package lentilplacement

import (
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestRelay checks to which balancer a balancer without a configuration relays packets.
func TestRelay(t *testing.T) {
	naming := func(n int) func(*lentilflow.Status) {
		return func(m *lentilflow.Status) { m.ConfiguredBalancer = agentAddress(n) }
	}
	relayed := func(h *harness) string {
		actions, err := h.HandleRelayed(lentilflow.Relay{Packet: firstPacket(testFlow)}, nil)
		if err != nil {
			t.Error(err)
		}
		return describe(actions)
	}
	for _, c := range []struct {
		name  string
		steps func(h *harness) string
		want  string
	}{
		{"to one that an agent names", func(h *harness) string {
			h.sendStatus(1, naming(100))
			return h.sendPacket(firstPacket(testFlow)) + "; " + h.sendPacket(laterPacket(testFlow))
		}, "relay to 100; relay to 100"},
		{"also packets that it holds", func(h *harness) string {
			got := h.sendPacket(firstPacket(testFlow))
			h.sendStatus(1, naming(100))
			return got + "; " + describe(h.Tick(nil)) + "; " + describe(h.Tick(nil))
		}, "hold NoConfiguration; relay to 100; "},
		{"not to one that hasn't been named for a while", func(h *harness) string {
			h.sendStatus(1, naming(100))
			h.clock.Advance(relayTimeout + time.Millisecond)
			return h.sendPacket(firstPacket(testFlow))
		}, "hold NoConfiguration"},
		{"not once it has a configuration", func(h *harness) string {
			h.sendStatus(1, naming(100))
			h.configure(1, "a")
			h.SetAgentsComplete()
			return h.sendPacket(firstPacket(testFlow))
		}, "place to 1"},
		{"a relayed packet is placed", func(h *harness) string {
			h.sendStatus(1)
			h.configure(1, "a")
			return relayed(h)
		}, "place to 1"},
		{"a relayed packet isn't relayed again", func(h *harness) string {
			h.sendStatus(1, naming(100))
			return relayed(h)
		}, "drop NoConfiguration"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.steps(newStartingHarness(t)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestRelaysAreBounded checks that a balancer uses a bounded number of others, and all of them.
func TestRelaysAreBounded(t *testing.T) {
	h := newStartingHarness(t)
	for n := range 2 * maxRelays {
		h.sendStatus(1, func(m *lentilflow.Status) { m.ConfiguredBalancer = agentAddress(100 + n) })
	}
	used := make(map[string]bool)
	for n := range 200 {
		used[h.sendPacket(firstPacket(n))] = true
	}
	if len(used) != maxRelays {
		t.Errorf("%d balancers are used, want %d", len(used), maxRelays)
	}
}
