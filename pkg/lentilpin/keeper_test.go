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

// testPlace returns the place of a numbered agent; self is number 5.
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

// newTestTable returns the newTestTable of self, whose Owners returns owners.
func newTestTable(protocol lentilroute.Protocol, owners ...lentilid.Place) (k *Table, clock *lentilclock.Fake) {
	clock = &lentilclock.Fake{}
	k = &Table{
		Self: self, Protocol: protocol, Clock: clock,
		PreferredCandidates: func(_ uint64, dst []lentilid.Place) []lentilid.Place { return append(dst, owners...) },
		Out:                 func(domain lentilid.Domain) bool { return domain == domainOut },
	}
	return k, clock
}

// firstPacket returns a packet that may open the flow.
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

// wantAction is what a test expects of an action.
type wantAction struct {
	Verdict Verdict
	Purpose Purpose
	// Token is that of an Ask or a Return.
	Token    uint8
	Place    lentilid.Place
	NoticeTo lentilid.Place
}

func summarize(a Action) wantAction {
	w := wantAction{Verdict: a.Verdict, Purpose: a.Hop.Purpose(), Place: a.Place, NoticeTo: a.NoticeTo}
	if w.Purpose == Ask || w.Purpose == Return {
		w.Token = a.Hop.Token()
	}
	return w
}

func TestDecide(t *testing.T) {
	old := lentilid.NewPlace(self.Agent(), self.Domain(), service, 99)
	other := lentilid.NewPlace(self.Agent(), self.Domain(), service+1, 5)
	strange := firstPacket(Deliver, 0, lentilid.Place{})
	strange.Service++
	middle := firstPacket(Deliver, 0, lentilid.Place{})
	middle.Flow.MayOpen = false
	worn := firstPacket(Owned, 0, lowerPeer)
	worn.Hop = newHop(Owned, MaxHops, 0)
	ask := func(token uint8, place lentilid.Place) wantAction {
		return wantAction{Verdict: Forward, Purpose: Ask, Token: token, Place: place}
	}
	tests := []struct {
		name    string
		owners  []lentilid.Place
		before  func(k *Table)
		arrival *Packet
		want    wantAction
	}{
		{"place is mine", nil, nil, placedPacket(self), wantAction{Verdict: Local}},
		{"place of an earlier incarnation", nil, nil, placedPacket(old), wantAction{Verdict: DropStale}},
		{"place of another service", nil, nil, placedPacket(other), wantAction{Verdict: DropWrongService}},
		{"place of a peer", nil, nil, placedPacket(lowerPeer), wantAction{Verdict: Forward, Purpose: Owned, Place: lowerPeer}},
		{"place in a domain that is out", nil, nil, placedPacket(testPlace(byte(domainOut))), wantAction{Verdict: DropDomainOut}},
		{"header of another service", nil, nil, strange, wantAction{Verdict: DropWrongService}},
		{"malformed", nil, nil, &Packet{Service: service, Flow: lentilroute.Flow{Verdict: lentilroute.DropMalformed}}, wantAction{Verdict: DropMalformed}},
		{"unknown and not a first packet", nil, nil, middle, wantAction{Verdict: DropUnknown}},
		{"nobody to ask", []lentilid.Place{self}, nil, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"former owner to ask", []lentilid.Place{self, lowerPeer}, nil, firstPacket(Deliver, 0, lentilid.Place{}), ask(1, lowerPeer)},
		{"denied by the one asked", []lentilid.Place{self, lowerPeer}, receiveFirstPacket, firstPacket(Return, 1, lowerPeer), wantAction{Verdict: Local}},
		{"denied, another to ask", []lentilid.Place{lowerPeer, higherPeer}, receiveFirstPacket, firstPacket(Return, 1, lowerPeer), ask(3, higherPeer)},
		{"denial of an earlier question", []lentilid.Place{lowerPeer}, receiveFirstPacket, firstPacket(Return, 0, lowerPeer), ask(1, lowerPeer)},
		{"asked, unknown here", nil, nil, firstPacket(Ask, 3, lowerPeer), wantAction{Verdict: Forward, Purpose: Return, Token: 3, Place: lowerPeer}},
		{"asked, another is likely", []lentilid.Place{higherPeer}, nil, firstPacket(Ask, 3, lowerPeer), ask(3, higherPeer)},
		{"asked, mine", nil, recordOpen, firstPacket(Ask, 3, lowerPeer), wantAction{Verdict: Local, NoticeTo: lowerPeer}},
		{"asked twice by the same", nil, askedBy(lowerPeer), firstPacket(Ask, 4, lowerPeer), wantAction{Verdict: Forward, Purpose: Return, Token: 4, Place: lowerPeer}},
		{"asked by two", nil, askedBy(lowerPeer), firstPacket(Ask, 4, higherPeer), ask(4, lowerPeer)},
		{"asking, asked by a lower one", []lentilid.Place{lowerPeer}, receiveFirstPacket, firstPacket(Ask, 7, lowerPeer), wantAction{Verdict: Forward, Purpose: Return, Token: 7, Place: lowerPeer}},
		{"asking, asked by a higher one", []lentilid.Place{lowerPeer}, receiveFirstPacket, firstPacket(Ask, 7, higherPeer), ask(1, lowerPeer)},
		{"asking, asked by a higher one that may hold it", []lentilid.Place{higherPeer}, receiveFirstPacket, firstPacket(Ask, 7, higherPeer), ask(1, higherPeer)},
		{"asked from a domain that is out", nil, nil, firstPacket(Ask, 7, testPlace(byte(domainOut))), wantAction{Verdict: DropDomainOut}},
		{"denied before, now a caller's packet", nil, askedBy(lowerPeer), firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: lowerPeer}},
		{"each believes the other", nil, askedBy(lowerPeer), firstPacket(Owned, 0, lowerPeer), wantAction{Verdict: Local}},
		{"told where it lives", []lentilid.Place{lowerPeer}, noticeOf(higherPeer), firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: higherPeer}},
		{"told, but mine", nil, func(k *Table) { recordOpen(k); k.HandleNotice(Notice{flowKey, higherPeer}) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"told of a flow not asked for", nil, func(k *Table) { k.HandleNotice(Notice{flowKey, higherPeer}) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"handed off to me", []lentilid.Place{lowerPeer}, nil, firstPacket(HandOff, 1, lowerPeer), wantAction{Verdict: Local}},
		{"pinned to a peer", nil, func(k *Table) { k.RecordHandOff(flowKey, higherPeer) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: higherPeer}},
		{"pinned to a peer in a domain that is out", nil, func(k *Table) { k.RecordHandOff(flowKey, testPlace(byte(domainOut))) }, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"closed", []lentilid.Place{lowerPeer}, func(k *Table) { recordOpen(k); k.RecordClose(flowKey) }, firstPacket(Deliver, 0, lentilid.Place{}), ask(1, lowerPeer)},
		{"cleared", []lentilid.Place{lowerPeer}, func(k *Table) { recordOpen(k); k.Clear() }, firstPacket(Deliver, 0, lentilid.Place{}), ask(1, lowerPeer)},
		{"leaving", []lentilid.Place{self, lowerPeer}, refuseNewFlows, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: lowerPeer}},
		{"leaving and nobody else", nil, refuseNewFlows, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: DropNoRoom}},
		{"too many hops", nil, askedBy(higherPeer), worn, wantAction{Verdict: DropHops}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, _ := newTestTable(lentilroute.Datagram, test.owners...)
			if test.before != nil {
				test.before(k)
			}
			if diff := cmp.Diff(test.want, summarize(k.Decide(test.arrival))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func receiveFirstPacket(k *Table) { k.Decide(firstPacket(Deliver, 0, lentilid.Place{})) }
func recordOpen(k *Table)         { k.RecordOpen(flowKey) }
func refuseNewFlows(k *Table)     { k.RefusesNewFlows = func() bool { return true } }

func askedBy(by lentilid.Place) func(k *Table) {
	return func(k *Table) { k.Decide(firstPacket(Ask, 3, by)) }
}

func noticeOf(place lentilid.Place) func(k *Table) {
	return func(k *Table) { receiveFirstPacket(k); k.HandleNotice(Notice{flowKey, place}) }
}

func TestTimeouts(t *testing.T) {
	both := []lentilid.Place{lowerPeer, higherPeer}
	tests := []struct {
		name     string
		protocol lentilroute.Protocol
		before   func(k *Table, clock *lentilclock.Fake)
		arrival  *Packet
		want     wantAction
	}{
		{"the one asked is silent, 5-tuple", lentilroute.Datagram, func(k *Table, clock *lentilclock.Fake) {
			receiveFirstPacket(k)
			clock.Advance(DefaultAskTimeout + 1)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Ask, Token: 2, Place: higherPeer}},
		{"the one asked is silent, QUIC", lentilroute.QUIC, func(k *Table, clock *lentilclock.Fake) {
			receiveFirstPacket(k)
			clock.Advance(DefaultAskTimeout + 1)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
		{"a denial is too old", lentilroute.Datagram, func(k *Table, clock *lentilclock.Fake) {
			receiveFirstPacket(k)
			k.Decide(firstPacket(Return, 1, lowerPeer))
			clock.Advance(1100 * time.Millisecond)
		}, firstPacket(Return, 2, higherPeer), wantAction{Verdict: Forward, Purpose: Ask, Token: 5, Place: lowerPeer}},
		{"pinned to one whose lease is over", lentilroute.Datagram, func(k *Table, _ *lentilclock.Fake) {
			k.RecordHandOff(flowKey, otherPeer)
			k.Gone = func(place lentilid.Place) bool { return place == otherPeer }
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Ask, Token: 1, Place: lowerPeer}},
		{"pinned to one whose lease is over, but that has asked", lentilroute.Datagram, func(k *Table, clock *lentilclock.Fake) {
			k.Gone = func(place lentilid.Place) bool { return place == otherPeer }
			k.Decide(firstPacket(Ask, 3, otherPeer))
			clock.Advance(4 * time.Second)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: otherPeer}},
		{"idle for too long", lentilroute.Datagram, func(k *Table, clock *lentilclock.Fake) {
			k.RecordHandOff(flowKey, otherPeer)
			clock.Advance(DefaultIdleTimeoutDatagram)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Ask, Token: 1, Place: lowerPeer}},
		{"kept by its packets", lentilroute.Datagram, func(k *Table, clock *lentilclock.Fake) {
			k.RecordHandOff(flowKey, otherPeer)
			clock.Advance(DefaultIdleTimeoutDatagram - 1)
			receiveFirstPacket(k)
			clock.Advance(DefaultIdleTimeoutDatagram - 1)
		}, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: Owned, Place: otherPeer}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, clock := newTestTable(test.protocol, both...)
			test.before(k, clock)
			if diff := cmp.Diff(test.want, summarize(k.Decide(test.arrival))); diff != "" {
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
		arrival  *Packet
		want     wantAction
	}{
		{"new flow", lentilroute.QUIC, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Forward, Purpose: HandOff, Place: higherPeer}},
		{"second hand-off", lentilroute.QUIC, firstPacket(HandOff, 1, lowerPeer), wantAction{Verdict: Forward, Purpose: HandOff, Place: higherPeer}},
		{"third hand-off", lentilroute.QUIC, firstPacket(HandOff, maxHandOffs, lowerPeer), wantAction{Verdict: Local}},
		{"back to the sender", lentilroute.QUIC, firstPacket(HandOff, 1, higherPeer), wantAction{Verdict: Local}},
		{"5-tuple", lentilroute.Datagram, firstPacket(Deliver, 0, lentilid.Place{}), wantAction{Verdict: Local}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, _ := newTestTable(test.protocol)
			k.HandOffPeer = peer
			if diff := cmp.Diff(test.want, summarize(k.Decide(test.arrival))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestMaxFlows(t *testing.T) {
	const room = 3
	tests := []struct {
		protocol lentilroute.Protocol
		verdict  Verdict
		oldest   bool
	}{{lentilroute.QUIC, Local, false}, {lentilroute.Datagram, DropFull, true}}
	for _, test := range tests {
		t.Run(test.protocol.String(), func(t *testing.T) {
			k, _ := newTestTable(test.protocol)
			k.MaxFlows = room
			var action Action
			for i := range byte(room + 1) {
				a := firstPacket(Deliver, 0, lentilid.Place{})
				a.Flow.Key = lentilroute.NewKey([]byte{i})
				action = k.Decide(a)
			}
			oldest := k.pins.byKey[lentilroute.NewKey([]byte{0})] != nil
			if action.Verdict != test.verdict || k.FlowCount() != room || oldest != test.oldest {
				t.Errorf("verdict %v, %d flows, oldest kept: %v", action.Verdict, k.FlowCount(), oldest)
			}
		})
	}
}

func TestZeroTable(t *testing.T) {
	k := &Table{Self: self}
	if action := k.Decide(firstPacket(Deliver, 0, lentilid.Place{})); action.Verdict != Local {
		t.Errorf("%v", action.Verdict)
	}
	if counts := k.Counts(); counts.Packets != 1 || counts.Opened != 1 {
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
			t.Fatalf("%v, %+v became %+v", err, n, got)
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
		if again, _ := n.AppendBinary(nil); !slices.Equal(again, data) {
			t.Errorf("%x became %x", data, again)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	k, clock := newTestTable(lentilroute.Datagram)
	k.Clock = clock
	cases := map[string]*Packet{"placed": placedPacket(self), "pinned": firstPacket(Deliver, 0, lentilid.Place{})}
	for name, arrival := range cases {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				k.Decide(arrival)
			}
		})
	}
	clock.Advance(time.Second)
}
