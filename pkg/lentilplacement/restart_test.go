package lentilplacement

import (
	"fmt"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestLookupDuringRestartOfHolder guards against a flow that isn't found for seconds, since the packets of it that agent 2 was sent came while
// that agent was away, or were lost. Agent 2 then needs a packet to decide.
func TestLookupDuringRestartOfHolder(t *testing.T) {
	const (
		step = 10 * time.Millisecond
		// findTime is how long after its return the agent is found, and again for each lost packet: its next Ask, the answer, and the packet.
		findTime = askRetryInterval + 2*step
	)
	type sent struct {
		at     time.Duration
		packet []byte
	}
	segment := func(sequence uint32, length int) []byte {
		return sizedPacket(testFlow, lentilflow.Acknowledge, sequence, length)
	}
	ms := time.Millisecond
	for _, c := range []struct {
		name    string
		packets []sent
	}{
		{"one packet, retransmitted", []sent{{0, segment(1, 300)}, {200 * ms, segment(1, 300)}, {600 * ms, segment(1, 300)}, {1400 * ms, segment(1, 300)}}},
		{"one packet only", []sent{{0, segment(1, 300)}}},
		{"two packets, retransmitted as one", []sent{
			{0, segment(1, 300)}, {ms, segment(301, 300)}, {200 * ms, segment(1, 600)}, {600 * ms, segment(1, 600)}, {1400 * ms, segment(1, 600)},
		}},
		{"the second packet comes first", []sent{
			{0, segment(301, 300)}, {10 * ms, segment(1, 300)}, {200 * ms, segment(1, 600)}, {600 * ms, segment(1, 600)}, {1400 * ms, segment(1, 600)},
		}},
		{"retransmitted with its end", []sent{
			{0, segment(1, 300)}, {200 * ms, sizedPacket(testFlow, lentilflow.Acknowledge|lentilflow.Close, 1, 300)},
			{600 * ms, sizedPacket(testFlow, lentilflow.Acknowledge|lentilflow.Close, 1, 300)},
		}},
	} {
		for _, link := range []int{0, testLink} {
			for i := range 50 {
				away, lost := time.Duration(i/2)*50*ms, i%2
				if away+time.Duration(1+lost)*findTime > askAgainFor {
					// Agents are asked again only after the client's next packet.
					continue
				}
				t.Run(fmt.Sprintf("%s, link %d, away for %s, %d lost", c.name, link, away, lost), func(t *testing.T) {
					h := newHarness(t)
					limit, lost := away+time.Duration(1+lost)*findTime, lost
					h.Codec, h.LinkBytesPerSecond = sizedCodec(), link
					key := lentilflow.Denied{Keys: []lentilflow.Key{flowKey(testFlow)}}
					unsure := lentilflow.Denied{Keys: key.Keys, Unsure: true}
					packets, found := c.packets, time.Duration(-1)
					for now := time.Duration(0); now <= askAgainFor+step && found < 0; now += step {
						actions := h.Tick(nil)
						for len(packets) > 0 && packets[0].at <= now {
							var err error
							if actions, err = h.HandlePacket(packets[0].packet, actions); err != nil {
								t.Fatal(err)
							}
							packets = packets[1:]
						}
						for ; len(actions) > 0; actions = actions[1:] {
							a := actions[0]
							isHolder := a.To == agentAddress(2)
							switch {
							case a.Kind == ResetClient:
								t.Fatal("the flow is reset")
							case a.Kind != SendCarry && a.Kind != SendAsk, isHolder && now < away:
							case !isHolder:
								actions = h.HandleDenied(a.To, key, actions)
							case a.Kind == SendAsk:
								actions = h.HandleDenied(a.To, unsure, actions)
							case lost > 0:
								lost--
							case found < 0:
								found = now
							}
						}
						h.clock.Advance(step)
						for n := 1; n <= 4; n++ {
							if n != 2 || now >= away {
								h.sendStatus(n, func(m *lentilflow.Status) {
									if n == 2 && away > 0 {
										m.RunID = 2
									}
								})
							}
						}
					}
					if found < 0 || found > limit {
						t.Errorf("agent 2 gets a packet after %s, want it after %s at most", found, limit)
					}
				})
			}
		}
	}
}
