package lentilplacement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// permutations returns all orders of the numbers.
func permutations(numbers ...int) (all [][]int) {
	if len(numbers) <= 1 {
		return [][]int{numbers}
	}
	for i, n := range numbers {
		for _, rest := range permutations(slices.Concat(numbers[:i], numbers[i+1:])...) {
			all = append(all, append([]int{n}, rest...))
		}
	}
	return all
}

// TestEarlierFlowOfPort guards against the reset of an open flow at agent 2, since the balancer remembers that agent 1 held an earlier flow
// from the client's port. The agents answer in any order.
func TestEarlierFlowOfPort(t *testing.T) {
	open := func(h *harness) {
		h.sendPacket(firstPacket(testFlow))
		h.answerTaken(1, false)
		h.sendPacket(laterPacket(testFlow))
		h.answerTaken(1, true)
	}
	for _, c := range []struct {
		name string
		// prepare lets agent 1 hold the earlier flow, and packet is of the flow at agent 2.
		prepare func(h *harness)
		packet  []byte
	}{
		{"of other numbers", open, nextPacket()},
		{"found by a lookup", func(h *harness) {
			h.sendPacket(laterPacket(testFlow))
			h.answerTaken(1, true)
		}, nextPacket()},
		{"of unknown numbers", func(h *harness) { h.answerTaken(1, true) }, nextPacket()},
		{"opened without a later packet", func(h *harness) {
			h.sendPacket(firstPacket(testFlow))
			h.answerTaken(1, true)
		}, nextPacket()},
		{"of the same numbers by chance", open, laterPacket(testFlow)},
		{"whose agent has ended with its upstream", func(h *harness) {
			open(h)
			h.sendStatus(1, func(m *lentilflow.Status) { m.Stopping, m.UpstreamEnded = true, true })
		}, laterPacket(testFlow)},
		{"whose agent is gone", func(h *harness) {
			open(h)
			h.advance(5*time.Second, 2, 3, 4)
		}, laterPacket(testFlow)},
		{"whose agent is at another service's address", func(h *harness) {
			open(h)
			h.sendStatus(1, ofNextAgent("b"))
		}, laterPacket(testFlow)},
		{"whose agent has expired", func(h *harness) {
			open(h)
			h.advance(expireAfter+goneAfter+time.Second, 2, 3, 4)
			h.ExpireAgents()
		}, laterPacket(testFlow)},
	} {
		for _, order := range permutations(1, 2, 3, 4) {
			t.Run(fmt.Sprint(c.name, " ", order), func(t *testing.T) {
				h := newHarness(t)
				c.prepare(h)
				got := []string{h.sendPacket(c.packet)}
				// What agents were asked before they answer a second time is answered by then.
				for _, n := range slices.Concat(order, order) {
					if n == 2 {
						got = append(got, h.answerTaken(n, true))
					} else {
						got = append(got, h.answerDenied(n))
					}
				}
				got = append(got, h.advance(200*time.Millisecond, 2, 3, 4), h.sendPacket(c.packet), h.answerTaken(2, true))
				if strings.Contains(strings.Join(got, ";"), "reset") {
					t.Fatalf("the flow is reset: %q", got)
				}
				if got := h.sendPacket(c.packet); got != "owned to 2" {
					t.Errorf("after the lookup: got %q, want the packet at agent 2", got)
				}
			})
		}
	}
}

// TestDenialUnderWay guards against the reset of a flow that opens at agent 1, since that agent's denial of an earlier flow from the port
// arrives after the client has begun to use the port again.
func TestDenialUnderWay(t *testing.T) {
	for _, c := range []struct {
		name   string
		events func(h *harness) string
	}{
		{"and the earlier flow was known", func(h *harness) string {
			h.sendPacket(laterPacket(testFlow))
			h.answerTaken(1, true)
			return h.sendPacket(firstPacket(testFlow))
		}},
		{"and the earlier flow was looked up", func(h *harness) string {
			h.sendPacket(laterPacket(testFlow))
			return h.sendPacket(firstPacket(testFlow))
		}},
		{"and another balancer has opened the flow", func(h *harness) string {
			h.sendPacket(laterPacket(testFlow))
			return h.sendPacket(nextPacket())
		}},
		{"and the agent had the earlier flow, and refuses a copy of the next one's first packet", func(h *harness) string {
			h.sendPacket(laterPacket(testFlow))
			h.answerTaken(1, true)
			h.sendPacket(firstPacket(testFlow))
			return h.answerRefused(1, lentilflow.UpstreamCold)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			got := []string{c.events(h), h.answerDenied(1), h.sendPacket(nextPacket())}
			for _, n := range []int{2, 3, 4} {
				got = append(got, h.answerDenied(n))
			}
			got = append(got, h.advance(200*time.Millisecond, 1, 2, 3, 4), h.sendPacket(nextPacket()))
			if strings.Contains(strings.Join(got, ";"), "reset") {
				t.Errorf("the flow is reset: %q", got)
			}
			h.answerTaken(1, true)
			if got := h.sendPacket(nextPacket()); got != "owned to 1" {
				t.Errorf("got %q, want the packet at agent 1", got)
			}
		})
	}
}

// TestLostFlowOfReusedPort guards against a client that waits for long on a flow which nobody holds, since its port had an earlier one.
func TestLostFlowOfReusedPort(t *testing.T) {
	const limit = lateDenialLimit + 200*time.Millisecond
	h := newHarness(t)
	h.sendPacket(laterPacket(testFlow))
	h.answerTaken(1, true)
	began := h.clock.Now()
	actions, err := h.HandlePacket(nextPacket(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for h.clock.Now().Sub(began) <= limit {
		for ; len(actions) > 0; actions = actions[1:] {
			switch actions[0].Kind {
			case SendCarry, SendAsk:
				actions = h.HandleDenied(actions[0].To, lentilflow.Denied{Keys: []lentilflow.Key{flowKey(testFlow)}}, actions)
			case ResetClient:
				t.Logf("reset after %s", h.clock.Now().Sub(began))
				return
			}
		}
		h.clock.Advance(50 * time.Millisecond)
		for n := 1; n <= 4; n++ {
			h.sendStatus(n)
		}
		actions = h.Tick(nil)
	}
	t.Errorf("the flow isn't reset within %s", limit)
}

// TestLostKnownFlowsAreResetInTime guards against clients that wait for long, as each agent is asked before a flow is reset whose agent
// doesn't hold it any more.
func TestLostKnownFlowsAreResetInTime(t *testing.T) {
	const (
		// limit is the clients' first retransmission timeout.
		limit     = 200 * time.Millisecond
		step      = time.Millisecond
		roundTrip = 2 * time.Millisecond
	)
	for _, flows := range []int{1, 100, 1000} {
		t.Run(fmt.Sprint(flows, " flows"), func(t *testing.T) {
			h := newCluster(t)
			var actions []Action
			send := func(n int) {
				var err error
				if actions, err = h.HandlePacket(laterPacket(n), actions); err != nil {
					t.Fatal(err)
				}
			}
			for n := range flows {
				send(n)
				h.HandleTaken(agentAddress(1+n%4), lentilflow.Taken{Key: flowKey(n), Open: true}, nil)
			}
			h.advance(100 * time.Millisecond)
			actions = nil
			for n := range flows {
				send(n)
			}
			type answer struct {
				at   time.Duration
				from lentilflow.Endpoint
				keys []lentilflow.Key
			}
			var answers []answer
			var last time.Duration
			reset, asks := 0, 0
			for now := time.Duration(0); now <= limit && reset < flows; now += step {
				for len(answers) > 0 && answers[0].at <= now {
					actions = h.HandleDenied(answers[0].from, lentilflow.Denied{Keys: answers[0].keys}, actions)
					answers = answers[1:]
				}
				for _, a := range actions {
					switch a.Kind {
					case SendCarry:
						answers = append(answers, answer{now + roundTrip, a.To, []lentilflow.Key{a.Key}})
					case SendAsk:
						asks++
						answers = append(answers, answer{now + roundTrip, a.To, a.Keys})
					case ResetClient:
						reset, last = reset+1, now
					}
				}
				h.clock.Advance(step)
				actions = h.Tick(nil)
			}
			t.Logf("%d flows reset, the last one after %s, %d Asks", reset, last, asks)
			if reset < flows {
				t.Errorf("%d of %d flows are reset within %s", reset, flows, limit)
			}
		})
	}
}
