package lentilconntrack

import (
	"testing"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestConfiguredBalancer checks that agents name balancers with a configuration only to those that lack one.
func TestConfiguredBalancer(t *testing.T) {
	h := newHarness(t)
	none := lentilflow.Endpoint{}
	h.HandleHello(peer1, lentilflow.Hello{Relays: true}, nil)
	if got := h.ConfiguredBalancer(peer1); got != none {
		t.Errorf("without another balancer: %s", got)
	}
	h.HandleHello(peer2, lentilflow.Hello{Configured: true}, nil)
	if got := h.ConfiguredBalancer(peer1); got != none {
		t.Errorf("with a balancer that doesn't accept relayed packets: %s", got)
	}
	h.HandleHello(peer2, lentilflow.Hello{Relays: true, Configured: true}, nil)
	if got := h.ConfiguredBalancer(peer1); got != peer2 {
		t.Errorf("with a balancer that has a configuration: %s, want %s", got, peer2)
	}
	if got := h.ConfiguredBalancer(peer2); got != none {
		t.Errorf("for a balancer that has a configuration: %s", got)
	}
	h.clock.Advance(maxHelloGap + 1)
	if got := h.ConfiguredBalancer(peer1); got != none {
		t.Errorf("with a balancer that is silent: %s", got)
	}
}
