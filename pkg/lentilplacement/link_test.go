package lentilplacement

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

const (
	// testLink is a link of 10 Mbit/s.
	testLink = 1_250_000
	// windowPacket is the payload of a full packet.
	windowPacket = 1200
	sizedHeader  = 8
)

// sizedCodec parses packets of a flow's number, flags, a sequence number, and payload.
func sizedCodec() lentilflow.Codec {
	parse := func(data []byte) (p lentilflow.Packet, err error) {
		if len(data) < sizedHeader {
			return p, errors.New("not a packet")
		}
		return lentilflow.Packet{
			Key: flowKey(int(binary.BigEndian.Uint16(data))), Flags: lentilflow.Flags(data[2]),
			Sequence: binary.BigEndian.Uint32(data[4:]), Acknowledged: 77, Length: len(data) - sizedHeader,
		}, nil
	}
	return lentilflow.Codec{ParseClientPacket: parse, ParseUpstreamPacket: parse}
}

func sizedPacket(flow int, flags lentilflow.Flags, sequence uint32, length int) []byte {
	data := make([]byte, sizedHeader+length)
	binary.BigEndian.PutUint16(data, uint16(flow))
	data[2] = byte(flags)
	binary.BigEndian.PutUint32(data[4:], sequence)
	return data
}

func dataPacket(flow int, sequence uint32) []byte {
	return sizedPacket(flow, lentilflow.Acknowledge, sequence, windowPacket)
}

// newLinkHarness returns a harness whose placer has a link of 10 Mbit/s and no budget for copies left.
func newLinkHarness(t testing.TB) *harness {
	h := newHarness(t)
	h.Codec, h.LinkBytesPerSecond = sizedCodec(), testLink
	h.spendCopies()
	return h
}

// spendCopies spends the budget for copies of some seconds.
func (h *harness) spendCopies() {
	for range 20 {
		h.copyTokens().Spend(h.clock.Now(), testLink)
	}
}

func (h *harness) answerUnsure(n int) string {
	return describe(h.HandleDenied(agentAddress(n), lentilflow.Denied{Keys: []lentilflow.Key{flowKey(testFlow)}, Unsure: true}, nil))
}

// sequences returns the sequence numbers of the packets that actions carry.
func sequences(actions []Action) (numbers []string) {
	for _, a := range actions {
		if a.Kind == SendCarry {
			numbers = append(numbers, fmt.Sprint(binary.BigEndian.Uint32(a.Carry.Packet[4:])))
		}
	}
	return numbers
}

// TestLinkDecisions checks the decisions on a small link step by step. It guards against copies beyond the budget, and against
// packets that wait although an answer says where they belong.
func TestLinkDecisions(t *testing.T) {
	type step struct {
		run  func(h *harness) string
		want string
	}
	packet := func(data []byte) func(h *harness) string {
		return func(h *harness) string { return h.sendPacket(data) }
	}
	taken := func(n int, open bool) func(h *harness) string {
		return func(h *harness) string { return h.answerTaken(n, open) }
	}
	denied := func(n int) func(h *harness) string {
		return func(h *harness) string { return h.answerDenied(n) }
	}
	unsure := func(n int) func(h *harness) string {
		return func(h *harness) string { return h.answerUnsure(n) }
	}
	wait := func(d time.Duration) func(h *harness) string {
		return func(h *harness) string { return h.advance(d, 1, 2, 3, 4) }
	}
	first := packet(sizedPacket(testFlow, lentilflow.Open, 0, 0))
	acknowledgement := packet(sizedPacket(testFlow, lentilflow.Acknowledge, 1, 0))
	refill := func(h *harness) string {
		h.copyBudget = lentilbudget.Bucket{}
		return ""
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the holder gets the buffered packets in order", []step{
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3"},
			{packet(dataPacket(testFlow, 2)), ""},
			{denied(1), ""},
			{taken(2, true), "owned to 2, owned to 2"},
			{packet(dataPacket(testFlow, 3)), "owned to 2"},
		}},
		{"copies within the budget", []step{
			{refill, ""},
			{packet(dataPacket(testFlow, 1)), "lookup to 1, lookup to 2, lookup to 3"},
			{packet(dataPacket(testFlow, 2)), ""},
			{taken(2, true), "owned to 2"},
		}},
		{"the holder gets a packet again that it was sent long before it was found", []step{
			{refill, ""},
			{packet(dataPacket(testFlow, 1)), "lookup to 1, lookup to 2, lookup to 3"},
			{wait(200 * time.Millisecond), "ask 1, ask 2, ask 3, ask 4"},
			{taken(2, true), "owned to 2"},
		}},
		{"an unsure agent gets the first packet at once, and the next one when it has denied the flow", []step{
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3"},
			{unsure(1), "lookup to 1"},
			{unsure(2), ""},
			{denied(1), "lookup to 2"},
			{packet(dataPacket(testFlow, 2)), ""},
			{taken(2, true), "owned to 2"},
		}},
		{"an unsure agent that doesn't answer doesn't keep the next one waiting", []step{
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3"},
			{unsure(1), "lookup to 1"},
			{unsure(2), ""},
			{wait(200 * time.Millisecond), "lookup to 2, ask 1, ask 2, ask 3, ask 4"},
		}},
		{"a lost probe is repeated after the client's retransmission", []step{
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3"},
			{unsure(1), "lookup to 1"},
			{unsure(1), ""},
			{wait(200 * time.Millisecond), "ask 1, ask 2, ask 3, ask 4"},
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3, lookup to 1"},
		}},
		{"a flow that all agents deny is reset", []step{
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3"},
			{denied(1), ""},
			{denied(2), ""},
			{denied(3), "ask 4"},
			{denied(4), "reset AllDenied 77"},
		}},
		{"lost Asks are repeated with the client's next packet", []step{
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3"},
			{wait(100 * time.Millisecond), ""},
			{packet(dataPacket(testFlow, 2)), ""},
			{wait(100 * time.Millisecond), "ask 1, ask 2, ask 3, ask 4"},
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2, ask 3"},
		}},
		{"data waits until one of two agents says that the flow is open", []step{
			{first, "place to 1"},
			{wait(500 * time.Millisecond), "place to 2"},
			{taken(1, false), ""},
			{acknowledgement, "lookup to 1, lookup to 2"},
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2"},
			{packet(dataPacket(testFlow, 1+windowPacket)), ""},
			{taken(2, true), "owned to 2, owned to 2"},
		}},
		{"data goes to the last of two agents when the other has denied the flow", []step{
			{first, "place to 1"},
			{wait(500 * time.Millisecond), "place to 2"},
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2"},
			{denied(1), "lookup to 2"},
		}},
		{"an agent that misses the acknowledgement gets a packet with it", []step{
			{first, "place to 1"},
			{wait(500 * time.Millisecond), "place to 2"},
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2"},
			{unsure(2), "lookup to 2"},
			{packet(dataPacket(testFlow, 1+windowPacket)), ""},
			{taken(2, true), "owned to 2"},
		}},
		{"a flow that both agents deny is looked up", []step{
			{first, "place to 1"},
			{wait(500 * time.Millisecond), "place to 2"},
			{packet(dataPacket(testFlow, 1)), "ask 1, ask 2"},
			{denied(1), "lookup to 2"},
			{denied(2), ""},
			{packet(dataPacket(testFlow, 1)), "lookup to 3"},
			{packet(dataPacket(testFlow, 1+windowPacket)), ""},
			{taken(3, true), "owned to 3"},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newLinkHarness(t)
			for i, s := range c.steps {
				if got := s.run(h); got != s.want {
					t.Fatalf("step %d: got %q, want %q", i+1, got, s.want)
				}
			}
		})
	}
}

// TestBufferedPacketsKeepOrder buffers a window of packets with retransmissions among them, and expects each once and in order.
func TestBufferedPacketsKeepOrder(t *testing.T) {
	h := newLinkHarness(t)
	for n := range maxBufferedOfFlow + 2 {
		h.sendPacket(dataPacket(testFlow, uint32(n)))
		if n%3 == 0 {
			h.sendPacket(dataPacket(testFlow, uint32(max(n-1, 0))))
		}
	}
	actions := h.HandleTaken(agentAddress(3), lentilflow.Taken{Key: flowKey(testFlow), Open: true}, nil)
	const want = "2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17"
	if got := strings.Join(sequences(actions), " "); got != want {
		t.Errorf("packets that the holder gets: %s, want %s", got, want)
	}
}

// TestBufferedPacketsEndWithFlow checks that the packets of a flow leave the buffer when the flow is evicted from the table, opened
// anew, or looked up in vain.
func TestBufferedPacketsEndWithFlow(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *harness)
	}{
		{"evicted", func(h *harness) {
			for n := 100; n < 120; n++ {
				h.sendPacket(sizedPacket(n, lentilflow.Open, 0, 0))
			}
		}},
		{"opened anew", func(h *harness) { h.sendPacket(sizedPacket(testFlow, lentilflow.Open, 0, 0)) }},
		{"looked up in vain", func(h *harness) { h.advance(bufferTimeout, 1, 2, 3, 4) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newLinkHarness(t)
			h.MaxFlows = 8
			h.sendPacket(dataPacket(testFlow, 1))
			if h.BufferedBytes() == 0 {
				t.Fatal("the packet isn't buffered")
			}
			c.end(h)
			h.advance(100*time.Millisecond, 1, 2, 3, 4)
			if h.BufferedBytes() != 0 || h.buffer.packets.Len() != 0 {
				t.Errorf("%d bytes in %d packets stay buffered", h.BufferedBytes(), h.buffer.packets.Len())
			}
		})
	}
}

// TestBufferIsBounded sends packets of flows in random order, with random answers, and checks the bounds of the buffer, that it
// contains the packets of its flows only, and that each flow's packets reach its holder in order.
func TestBufferIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newLinkHarness(t)
		h.MaxFlows = rapid.SampledFrom([]int{0, 60}).Draw(rt, "flows in the table")
		next := make(map[int]uint32)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			n := rapid.IntRange(1, 40).Draw(rt, "flow")
			key := flowKey(n)
			agent := agentAddress(rapid.IntRange(1, 4).Draw(rt, "agent"))
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				h.HandleDenied(agent, lentilflow.Denied{Keys: []lentilflow.Key{key}, Unsure: rapid.Bool().Draw(rt, "unsure")}, nil)
			case 1:
				previous := -1
				for _, a := range h.HandleTaken(agent, lentilflow.Taken{Key: key, Open: rapid.Bool().Draw(rt, "open")}, nil) {
					if a.Kind != SendCarry {
						continue
					}
					if sequence := int(binary.BigEndian.Uint32(a.Carry.Packet[4:])); sequence <= previous {
						rt.Fatalf("flow %d: packet %d follows %d", n, sequence, previous)
					} else {
						previous = sequence
					}
				}
			case 2:
				h.clock.Advance(time.Duration(rapid.IntRange(1, 600).Draw(rt, "milliseconds")) * time.Millisecond)
				h.Tick(nil)
			case 3:
				if _, err := h.HandlePacket(sizedPacket(n, lentilflow.Open, 0, 0), nil); err != nil {
					rt.Fatal(err)
				}
			default:
				for range rapid.IntRange(1, 20).Draw(rt, "packets") {
					next[n]++
					if _, err := h.HandlePacket(dataPacket(n, next[n]), nil); err != nil {
						rt.Fatal(err)
					}
				}
			}
			h.checkBuffer(rt)
		}
		h.clock.Advance(bufferTimeout + time.Second)
		h.Tick(nil)
		if h.BufferedBytes() != 0 {
			rt.Fatalf("%d bytes stay buffered", h.BufferedBytes())
		}
	})
}

// checkBuffer checks the bounds of the buffer, and that its counts are right.
func (h *harness) checkBuffer(rt *rapid.T) {
	packets, bytes := 0, 0
	for e := h.buffer.packets.Front(); e != nil; e = e.Next() {
		b := e.Value.(*bufferedPacket)
		if !slices.Contains(b.flow.buffered, e) || len(b.flow.buffered) > maxBufferedOfFlow {
			rt.Fatalf("%d packets of a flow are buffered", len(b.flow.buffered))
		}
		packets++
		bytes += b.size()
	}
	if packets != h.buffer.packets.Len() || bytes != h.BufferedBytes() || bytes > maxBufferedBytes {
		rt.Fatalf("%d packets of %d bytes, in all %d of %d", packets, bytes, h.buffer.packets.Len(), h.BufferedBytes())
	}
}

// TestCopiesKeepBudget looks up many flows of large packets on a site of 80 agents and checks that the copies keep to a tenth of
// the link, and that no packet goes to more than two agents when little of the budget is left.
func TestCopiesKeepBudget(t *testing.T) {
	h := newCluster(t)
	h.Codec, h.LinkBytesPerSecond = sizedCodec(), testLink
	const seconds, perSecond = 4, 200
	copied := 0
	for n := range seconds * perSecond {
		h.clock.Advance(time.Second / perSecond)
		low := h.copyTokens().Tokens(h.clock.Now()) < testLink/copyShare/4
		actions, err := h.HandlePacket(dataPacket(n, 1), nil)
		if err != nil {
			t.Fatal(err)
		}
		sent := len(sequences(actions))
		if low && sent > 2 {
			t.Fatalf("flow %d: its packet goes to %d agents while little of the budget is left", n, sent)
		}
		copied += max(0, sent-1) * (sizedHeader + windowPacket + datagramOverhead)
	}
	if limit := testLink / copyShare * (2*seconds + 1) / 2; copied == 0 || copied > limit {
		t.Errorf("%d bytes of copies in %d s, limit %d", copied, seconds, limit)
	}
}

// TestOfferTimeoutFollowsRoundTrips checks that a second agent is offered a flow after four round-trip times, between 120 and 400 ms.
// It guards against second offers that a slow link alone causes.
func TestOfferTimeoutFollowsRoundTrips(t *testing.T) {
	for _, c := range []struct {
		link      int
		rtt, want time.Duration
	}{
		{0, 80 * time.Millisecond, placeTimeout},
		{testLink, 5 * time.Millisecond, placeTimeout},
		{testLink, 80 * time.Millisecond, 320 * time.Millisecond},
		{testLink, 300 * time.Millisecond, maxOfferTimeout},
	} {
		h := newHarness(t)
		h.Codec, h.LinkBytesPerSecond = sizedCodec(), c.link
		for n := range 40 {
			actions, err := h.HandlePacket(sizedPacket(n, lentilflow.Open, 0, 0), nil)
			if err != nil {
				t.Fatal(err)
			}
			h.clock.Advance(c.rtt)
			h.HandleTaken(actions[0].To, lentilflow.Taken{Key: flowKey(n)}, nil)
		}
		if got := h.offerTimeout(); got != c.want {
			t.Errorf("link %d, round trip %s: offer timeout %s, want %s", c.link, c.rtt, got, c.want)
		}
	}
}
