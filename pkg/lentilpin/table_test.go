package lentilpin

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

const (
	service   lentilid.Service = 1
	domainOut lentilid.Domain  = 9
)

// testPlace returns the place of a numbered agent; self is number 5. The failure domain
// and the incarnation have the same number.
func testPlace(number byte) lentilid.Place {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7000)
	return lentilid.NewPlace(address, lentilid.Domain(number), service, lentilid.Incarnation(number))
}

var (
	self       = testPlace(5)
	lowerPeer  = testPlace(2)
	higherPeer = testPlace(8)
	otherPeer  = testPlace(6)
	flowKey    = lentilroute.NewKey([]byte("some flow"))
)

// newTestTable returns the table of self, with the given preferred candidates.
func newTestTable(protocol lentilroute.Protocol, candidates ...lentilid.Place) (table *Table, clock *lentilclock.Fake) {
	clock = &lentilclock.Fake{}
	table = &Table{
		Self: self, Protocol: protocol, Clock: clock,
		PreferredCandidates: func(_ uint64, dst []lentilid.Place) []lentilid.Place { return append(dst, candidates...) },
		Out:                 func(domain lentilid.Domain) bool { return domain == domainOut },
	}
	return table, clock
}

// firstPacket returns a packet that carries no place and may open the flow.
func firstPacket(purpose Purpose, token uint8, from lentilid.Place) *Packet {
	flow := lentilroute.Flow{Key: flowKey, MayOpen: true, Verdict: lentilroute.ToBucket}
	hop := Hop(0)
	if purpose != Deliver {
		hop = newHop(purpose, 1, token)
	}
	return &Packet{Service: service, Hop: hop, From: from, Flow: flow}
}

// placedPacket returns a packet that carries a place.
func placedPacket(place lentilid.Place) *Packet {
	return &Packet{Service: service, Flow: lentilroute.Flow{Place: place, Verdict: lentilroute.ToPlace}}
}

// wantAction holds the parts of an Action that the tests compare.
type wantAction struct {
	Verdict Verdict
	Purpose Purpose
	// Token is the token of an Ask or a Return, zero for other purposes.
	Token    uint8
	Place    lentilid.Place
	NoticeTo lentilid.Place
}

func summarize(action Action) wantAction {
	got := wantAction{Verdict: action.Verdict, Purpose: action.Hop.Purpose(), Place: action.Place, NoticeTo: action.NoticeTo}
	if got.Purpose == Ask || got.Purpose == Return {
		got.Token = action.Hop.Token()
	}
	return got
}

func TestDecide(t *testing.T) {
	earlierIncarnation := lentilid.NewPlace(self.Agent(), self.Domain(), service, 99)
	otherServicePlace := lentilid.NewPlace(self.Agent(), self.Domain(), service+1, 5)
	otherServiceHeader := firstPacket(Deliver, 0, lentilid.Place{})
	otherServiceHeader.Service++
	laterPacket := firstPacket(Deliver, 0, lentilid.Place{})
	laterPacket.Flow.MayOpen = false
	forwardedTooOften := firstPacket(Owned, 0, lowerPeer)
	forwardedTooOften.Hop = newHop(Owned, MaxHops, 0)
	ask := func(token uint8, place lentilid.Place) wantAction {
		return wantAction{Verdict: Forward, Purpose: Ask, Token: token, Place: place}
	}
	tests := []struct {
		name       string
		candidates []lentilid.Place
		setUp      func(table *Table)
		packet     *Packet
		want       wantAction
	}{
		{"place of this agent", nil, nil, placedPacket(self), wantAction{Verdict: Local}},
		{"place of an earlier incarnation", nil, nil, placedPacket(earlierIncarnation), wantAction{Verdict: DropStale}},
		{"place of another service", nil, nil, placedPacket(otherServicePlace), wantAction{Verdict: DropWrongService}},
		{"place of a peer", nil, nil, placedPacket(lowerPeer), wantAction{Verdict: Forward, Purpose: Owned, Place: lowerPeer}},
		{"place in a domain that is out of service", nil, nil, placedPacket(testPlace(byte(domainOut))), wantAction{Verdict: DropDomainOut}},
		{"tunnel header of another service", nil, nil, otherServiceHeader, wantAction{Verdict: DropWrongService}},
		{"malformed", nil, nil, &Packet{Service: service, Flow: lentilroute.Flow{Verdict: lentilroute.DropMalformed}}, wantAction{Verdict: DropMalformed}},
		{"unknown flow, packet can't open a flow", nil, nil, laterPacket, wantAction{Verdict: DropUnknown}},
		{"no other agent to ask", []lentilid.Place{self}, nil, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"asks the previous owner", []lentilid.Place{self, lowerPeer}, nil, firstPacket(Deliver, 0, lentilid.Place{}), ask(1, lowerPeer)},
		{"denied by the only candidate", []lentilid.Place{self, lowerPeer}, receiveFirstPacket, firstPacket(Return, 1, lowerPeer), wantAction{Verdict: Local}},
		{"denied, asks the next candidate", []lentilid.Place{lowerPeer, higherPeer}, receiveFirstPacket, firstPacket(Return, 1, lowerPeer), ask(3, higherPeer)},
		{"denial of an earlier Ask", []lentilid.Place{lowerPeer}, receiveFirstPacket, firstPacket(Return, 0, lowerPeer), ask(1, lowerPeer)},
		{"Ask for an unknown flow", nil, nil, firstPacket(Ask, 3, lowerPeer), wantAction{Verdict: Forward, Purpose: Return, Token: 3, Place: lowerPeer}},
		{"Ask for an unknown flow, another preferred candidate", []lentilid.Place{higherPeer}, nil, firstPacket(Ask, 3, lowerPeer), ask(3, higherPeer)},
		{"Ask for a flow that lives here", nil, recordOpen, firstPacket(Ask, 3, lowerPeer), wantAction{Verdict: Local, NoticeTo: lowerPeer}},
		{"second Ask by the same agent", nil, askedBy(lowerPeer), firstPacket(Ask, 4, lowerPeer), wantAction{Verdict: Forward, Purpose: Return, Token: 4, Place: lowerPeer}},
		{"Ask by a second agent", nil, askedBy(lowerPeer), firstPacket(Ask, 4, higherPeer), ask(4, lowerPeer)},
		{"Ask during a lookup, lower address", []lentilid.Place{lowerPeer}, receiveFirstPacket, firstPacket(Ask, 7, lowerPeer), wantAction{Verdict: Forward, Purpose: Return, Token: 7, Place: lowerPeer}},
		{"Ask during a lookup, higher address", []lentilid.Place{lowerPeer}, receiveFirstPacket, firstPacket(Ask, 7, higherPeer), ask(1, lowerPeer)},
		{"Ask during a lookup, higher address of a candidate", []lentilid.Place{higherPeer}, receiveFirstPacket, firstPacket(Ask, 7, higherPeer), ask(1, higherPeer)},
		{"Ask from a domain that is out of service", nil, nil, firstPacket(Ask, 7, testPlace(byte(domainOut))), wantAction{Verdict: DropDomainOut}},
		{"denied before, packet from a balancer", nil, askedBy(lowerPeer), firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: lowerPeer}},
		{"two agents pin the flow to each other", nil, askedBy(lowerPeer), firstPacket(Owned, 0, lowerPeer), wantAction{Verdict: Local}},
		{"notice during a lookup", []lentilid.Place{lowerPeer}, noticeOf(higherPeer), firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: higherPeer}},
		{"notice about a flow that lives here", nil, func(table *Table) { recordOpen(table); table.HandleNotice(Notice{flowKey, higherPeer}) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"notice about a flow that was not asked for", nil, func(table *Table) { table.HandleNotice(Notice{flowKey, higherPeer}) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"handed off to this agent", []lentilid.Place{lowerPeer}, nil, firstPacket(HandOff, 1, lowerPeer), wantAction{Verdict: Local}},
		{"pinned to a peer", nil, func(table *Table) { table.RecordHandOff(flowKey, higherPeer) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: higherPeer}},
		{"pinned to a peer in a domain that is out of service", nil, func(table *Table) { table.RecordHandOff(flowKey, testPlace(byte(domainOut))) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"closed", []lentilid.Place{lowerPeer}, func(table *Table) { recordOpen(table); table.RecordClose(flowKey) }, firstPacket(Deliver, 0, lentilid.Place{}), ask(1, lowerPeer)},
		{"cleared", []lentilid.Place{lowerPeer}, func(table *Table) { recordOpen(table); table.Clear() }, firstPacket(Deliver, 0, lentilid.Place{}), ask(1, lowerPeer)},
		{"leaving", []lentilid.Place{self, lowerPeer}, refuseNewFlows, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: lowerPeer}},
		{"leaving, no other agent", nil, refuseNewFlows, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: DropNoRoom}},
		{"too many hops", nil, askedBy(higherPeer), forwardedTooOften, wantAction{Verdict: DropHops}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, _ := newTestTable(lentilroute.Datagram, test.candidates...)
			if test.setUp != nil {
				test.setUp(table)
			}
			if diff := cmp.Diff(test.want, summarize(table.Decide(test.packet))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func receiveFirstPacket(table *Table) { table.Decide(firstPacket(Deliver, 0, lentilid.Place{})) }
func recordOpen(table *Table)         { table.RecordOpen(flowKey) }
func refuseNewFlows(table *Table)     { table.RefusesNewFlows = func() bool { return true } }

func askedBy(asker lentilid.Place) func(table *Table) {
	return func(table *Table) { table.Decide(firstPacket(Ask, 3, asker)) }
}

func noticeOf(place lentilid.Place) func(table *Table) {
	return func(table *Table) { receiveFirstPacket(table); table.HandleNotice(Notice{flowKey, place}) }
}

func TestTimeouts(t *testing.T) {
	candidates := []lentilid.Place{lowerPeer, higherPeer}
	tests := []struct {
		name     string
		protocol lentilroute.Protocol
		setUp    func(table *Table, clock *lentilclock.Fake)
		packet   *Packet
		want     wantAction
	}{
		{"no answer to an Ask, datagram", lentilroute.Datagram, func(table *Table, clock *lentilclock.Fake) {
			receiveFirstPacket(table)
			clock.Advance(DefaultAskTimeout + 1)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Ask, Token: 2, Place: higherPeer}},
		{"no answer to an Ask, QUIC", lentilroute.QUIC, func(table *Table, clock *lentilclock.Fake) {
			receiveFirstPacket(table)
			clock.Advance(DefaultAskTimeout + 1)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"denial has expired", lentilroute.Datagram, func(table *Table, clock *lentilclock.Fake) {
			receiveFirstPacket(table)
			table.Decide(firstPacket(Return, 1, lowerPeer))
			clock.Advance(1100 * time.Millisecond)
		}, firstPacket(Return, 2, higherPeer), wantAction{Verdict: Forward, Purpose: Ask, Token: 5, Place: lowerPeer}},
		{"pinned to an agent with an expired lease", lentilroute.Datagram, func(table *Table, _ *lentilclock.Fake) {
			table.RecordHandOff(flowKey, otherPeer)
			table.Gone = func(place lentilid.Place) bool { return place == otherPeer }
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Ask, Token: 1, Place: lowerPeer}},
		{"pinned to an agent with an expired lease that asked lately", lentilroute.Datagram, func(table *Table, clock *lentilclock.Fake) {
			table.Gone = func(place lentilid.Place) bool { return place == otherPeer }
			table.Decide(firstPacket(Ask, 3, otherPeer))
			clock.Advance(4 * time.Second)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: otherPeer}},
		{"idle timeout has passed", lentilroute.Datagram, func(table *Table, clock *lentilclock.Fake) {
			table.RecordHandOff(flowKey, otherPeer)
			clock.Advance(DefaultIdleTimeoutDatagram)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Ask, Token: 1, Place: lowerPeer}},
		{"kept alive by its packets", lentilroute.Datagram, func(table *Table, clock *lentilclock.Fake) {
			table.RecordHandOff(flowKey, otherPeer)
			clock.Advance(DefaultIdleTimeoutDatagram - 1)
			receiveFirstPacket(table)
			clock.Advance(DefaultIdleTimeoutDatagram - 1)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: otherPeer}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, clock := newTestTable(test.protocol, candidates...)
			test.setUp(table, clock)
			if diff := cmp.Diff(test.want, summarize(table.Decide(test.packet))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestHandOffs(t *testing.T) {
	peer := func(int) (lentilid.Place, bool) { return higherPeer, true }
	tests := []struct {
		name     string
		protocol lentilroute.Protocol
		packet   *Packet
		want     wantAction
	}{
		{"new flow", lentilroute.QUIC, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: HandOff, Place: higherPeer}},
		{"second hand-off", lentilroute.QUIC, firstPacket(HandOff, 1, lowerPeer), wantAction{Verdict: Forward, Purpose: HandOff, Place: higherPeer}},
		{"third hand-off", lentilroute.QUIC, firstPacket(HandOff, maxHandOffs, lowerPeer), wantAction{Verdict: Local}},
		{"chosen peer is the sender", lentilroute.QUIC, firstPacket(HandOff, 1, higherPeer), wantAction{Verdict: Local}},
		{"5-tuple", lentilroute.Datagram, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, _ := newTestTable(test.protocol)
			table.HandOffPeer = peer
			if diff := cmp.Diff(test.want, summarize(table.Decide(test.packet))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestMaxFlows(t *testing.T) {
	const maxFlows = 3
	tests := []struct {
		protocol   lentilroute.Protocol
		verdict    Verdict
		oldestKept bool
	}{{lentilroute.QUIC, Local, false}, {lentilroute.Datagram, DropFull, true}}
	for _, test := range tests {
		t.Run(test.protocol.String(), func(t *testing.T) {
			table, _ := newTestTable(test.protocol)
			table.MaxFlows = maxFlows
			var action Action
			for i := range byte(maxFlows + 1) {
				packet := firstPacket(Deliver, 0, lentilid.Place{})
				packet.Flow.Key = lentilroute.NewKey([]byte{i})
				action = table.Decide(packet)
			}
			oldestKept := table.pins.byKey[lentilroute.NewKey([]byte{0})] != nil
			if action.Verdict != test.verdict || table.FlowCount() != maxFlows || oldestKept != test.oldestKept {
				t.Errorf("verdict %v, %d flows, oldest kept: %v", action.Verdict, table.FlowCount(), oldestKept)
			}
		})
	}
}

func TestZeroTable(t *testing.T) {
	table := &Table{Self: self}
	if action := table.Decide(firstPacket(Deliver, 0, lentilid.Place{})); action.Verdict != Local {
		t.Errorf("%v", action.Verdict)
	}
	if counts := table.Counts(); counts.Packets != 1 || counts.Opened != 1 {
		t.Errorf("%+v", counts)
	}
}

func TestNoticeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := Notice{Key: lentilroute.NewKey(rapid.SliceOfN(rapid.Byte(), 1, 30).Draw(t, "key")), Place: testPlace(rapid.Byte().Draw(t, "place"))}
		data, err := n.AppendBinary(nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ParseNotice(data)
		if err != nil || got != n {
			t.Fatalf("error %v, notice %+v decoded as %+v", err, n, got)
		}
	})
}

func FuzzParseNotice(f *testing.F) {
	f.Add([]byte("0123456789abkey"))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := ParseNotice(data)
		if err != nil {
			return
		}
		if encoded, _ := n.AppendBinary(nil); !slices.Equal(encoded, data) {
			t.Errorf("notice %x encoded again as %x", data, encoded)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	table, clock := newTestTable(lentilroute.Datagram)
	table.Clock = clock
	packets := map[string]*Packet{"placed": placedPacket(self), "pinned": firstPacket(Deliver, 0, lentilid.Place{})}
	for name, packet := range packets {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Decide(packet)
			}
		})
	}
	clock.Advance(time.Second)
}
