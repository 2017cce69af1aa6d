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
	service lentilid.Service = 1
	away    lentilid.Domain  = 9
)

// at returns the place of a numbered agent; self is number 5.
func at(number byte) lentilid.Place {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 7000)
	return lentilid.NewPlace(address, lentilid.Domain(number), service, lentilid.Incarnation(number))
}

var (
	self   = at(5)
	lower  = at(2)
	higher = at(8)
	third  = at(6)
	key    = lentilroute.NewKey([]byte("some flow"))
)

// keeper returns the keeper of self, whose Owners returns owners.
func keeper(protocol lentilroute.Protocol, owners ...lentilid.Place) (k *Keeper, clock *lentilclock.Fake) {
	clock = &lentilclock.Fake{}
	k = &Keeper{
		Self: self, Protocol: protocol, Clock: clock,
		Owners: func(_ uint64, dst []lentilid.Place) []lentilid.Place { return append(dst, owners...) },
		Out:    func(domain lentilid.Domain) bool { return domain == away },
	}
	return k, clock
}

// first returns a packet that may open the flow.
func first(purpose Purpose, token uint8, from lentilid.Place) *Arrival {
	flow := lentilroute.Flow{Key: key, Opens: true, Verdict: lentilroute.ToBucket}
	hop := Hop(0)
	if purpose != Deliver {
		hop = newHop(purpose, 1, token)
	}
	return &Arrival{Service: service, Hop: hop, From: from, Flow: flow}
}

// placed returns a packet that carries a place.
func placed(place lentilid.Place) *Arrival {
	return &Arrival{Service: service, Flow: lentilroute.Flow{Place: place, Verdict: lentilroute.ToPlace}}
}

// want is what a test expects of an action.
type want struct {
	Verdict Verdict
	Purpose Purpose
	// Token is that of an Ask or a Return.
	Token  uint8
	Place  lentilid.Place
	Notice lentilid.Place
}

func seen(a Action) want {
	w := want{Verdict: a.Verdict, Purpose: a.Hop.Purpose(), Place: a.Place, Notice: a.NoticeTo}
	if w.Purpose == Ask || w.Purpose == Return {
		w.Token = a.Hop.Token()
	}
	return w
}

func TestDecide(t *testing.T) {
	old := lentilid.NewPlace(self.Agent(), self.Domain(), service, 99)
	other := lentilid.NewPlace(self.Agent(), self.Domain(), service+1, 5)
	strange := first(Deliver, 0, lentilid.Place{})
	strange.Service++
	middle := first(Deliver, 0, lentilid.Place{})
	middle.Flow.Opens = false
	worn := first(Owned, 0, lower)
	worn.Hop = newHop(Owned, MaxHops, 0)
	ask := func(token uint8, place lentilid.Place) want {
		return want{Verdict: Forward, Purpose: Ask, Token: token, Place: place}
	}
	tests := []struct {
		name    string
		owners  []lentilid.Place
		before  func(k *Keeper)
		arrival *Arrival
		want    want
	}{
		{"place is mine", nil, nil, placed(self), want{Verdict: Local}},
		{"place of an earlier incarnation", nil, nil, placed(old), want{Verdict: DropStale}},
		{"place of another service", nil, nil, placed(other), want{Verdict: DropWrongService}},
		{"place of a peer", nil, nil, placed(lower), want{Verdict: Forward, Purpose: Owned, Place: lower}},
		{"place in a domain that is out", nil, nil, placed(at(byte(away))), want{Verdict: DropDomainOut}},
		{"header of another service", nil, nil, strange, want{Verdict: DropWrongService}},
		{"malformed", nil, nil, &Arrival{Service: service, Flow: lentilroute.Flow{Verdict: lentilroute.DropMalformed}}, want{Verdict: DropMalformed}},
		{"unknown and not a first packet", nil, nil, middle, want{Verdict: DropUnknown}},
		{"nobody to ask", []lentilid.Place{self}, nil, first(Deliver, 0, lentilid.Place{}), want{Verdict: Local}},
		{"former owner to ask", []lentilid.Place{self, lower}, nil, first(Deliver, 0, lentilid.Place{}), ask(1, lower)},
		{"denied by the one asked", []lentilid.Place{self, lower}, deliver, first(Return, 1, lower), want{Verdict: Local}},
		{"denied, another to ask", []lentilid.Place{lower, higher}, deliver, first(Return, 1, lower), ask(3, higher)},
		{"denial of an earlier question", []lentilid.Place{lower}, deliver, first(Return, 0, lower), ask(1, lower)},
		{"asked, unknown here", nil, nil, first(Ask, 3, lower), want{Verdict: Forward, Purpose: Return, Token: 3, Place: lower}},
		{"asked, another is likely", []lentilid.Place{higher}, nil, first(Ask, 3, lower), ask(3, higher)},
		{"asked, mine", nil, opened, first(Ask, 3, lower), want{Verdict: Local, Notice: lower}},
		{"asked twice by the same", nil, asked(lower), first(Ask, 4, lower), want{Verdict: Forward, Purpose: Return, Token: 4, Place: lower}},
		{"asked by two", nil, asked(lower), first(Ask, 4, higher), ask(4, lower)},
		{"asking, asked by a lower one", []lentilid.Place{lower}, deliver, first(Ask, 7, lower), want{Verdict: Forward, Purpose: Return, Token: 7, Place: lower}},
		{"asking, asked by a higher one", []lentilid.Place{lower}, deliver, first(Ask, 7, higher), ask(1, lower)},
		{"asking, asked by a higher one that may hold it", []lentilid.Place{higher}, deliver, first(Ask, 7, higher), ask(1, higher)},
		{"asked from a domain that is out", nil, nil, first(Ask, 7, at(byte(away))), want{Verdict: DropDomainOut}},
		{"denied before, now a caller's packet", nil, asked(lower), first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Owned, Place: lower}},
		{"each believes the other", nil, asked(lower), first(Owned, 0, lower), want{Verdict: Local}},
		{"told where it lives", []lentilid.Place{lower}, notified(higher), first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Owned, Place: higher}},
		{"told, but mine", nil, func(k *Keeper) { opened(k); k.Notify(Notice{key, higher}) }, first(Deliver, 0, lentilid.Place{}), want{Verdict: Local}},
		{"told of a flow not asked for", nil, func(k *Keeper) { k.Notify(Notice{key, higher}) }, first(Deliver, 0, lentilid.Place{}), want{Verdict: Local}},
		{"handed off to me", []lentilid.Place{lower}, nil, first(HandOff, 1, lower), want{Verdict: Local}},
		{"pinned to a peer", nil, func(k *Keeper) { k.HandedOff(key, higher) }, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Owned, Place: higher}},
		{"pinned to a peer in a domain that is out", nil, func(k *Keeper) { k.HandedOff(key, at(byte(away))) }, first(Deliver, 0, lentilid.Place{}), want{Verdict: Local}},
		{"closed", []lentilid.Place{lower}, func(k *Keeper) { opened(k); k.Closed(key) }, first(Deliver, 0, lentilid.Place{}), ask(1, lower)},
		{"cleared", []lentilid.Place{lower}, func(k *Keeper) { opened(k); k.Clear() }, first(Deliver, 0, lentilid.Place{}), ask(1, lower)},
		{"leaving", []lentilid.Place{self, lower}, refuse, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Owned, Place: lower}},
		{"leaving and nobody else", nil, refuse, first(Deliver, 0, lentilid.Place{}), want{Verdict: DropNoRoom}},
		{"too many hops", nil, asked(higher), worn, want{Verdict: DropHops}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, _ := keeper(lentilroute.Datagram, test.owners...)
			if test.before != nil {
				test.before(k)
			}
			if diff := cmp.Diff(test.want, seen(k.Decide(test.arrival))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func deliver(k *Keeper) { k.Decide(first(Deliver, 0, lentilid.Place{})) }
func opened(k *Keeper)  { k.Opened(key) }
func refuse(k *Keeper)  { k.Refuse = func() bool { return true } }

func asked(by lentilid.Place) func(k *Keeper) {
	return func(k *Keeper) { k.Decide(first(Ask, 3, by)) }
}

func notified(place lentilid.Place) func(k *Keeper) {
	return func(k *Keeper) { deliver(k); k.Notify(Notice{key, place}) }
}

func TestTimes(t *testing.T) {
	both := []lentilid.Place{lower, higher}
	tests := []struct {
		name     string
		protocol lentilroute.Protocol
		before   func(k *Keeper, clock *lentilclock.Fake)
		arrival  *Arrival
		want     want
	}{
		{"the one asked is silent, 5-tuple", lentilroute.Datagram, func(k *Keeper, clock *lentilclock.Fake) {
			deliver(k)
			clock.Advance(DefaultAskTimeout + 1)
		}, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Ask, Token: 2, Place: higher}},
		{"the one asked is silent, QUIC", lentilroute.QUIC, func(k *Keeper, clock *lentilclock.Fake) {
			deliver(k)
			clock.Advance(DefaultAskTimeout + 1)
		}, first(Deliver, 0, lentilid.Place{}), want{Verdict: Local}},
		{"a denial is too old", lentilroute.Datagram, func(k *Keeper, clock *lentilclock.Fake) {
			deliver(k)
			k.Decide(first(Return, 1, lower))
			clock.Advance(1100 * time.Millisecond)
		}, first(Return, 2, higher), want{Verdict: Forward, Purpose: Ask, Token: 5, Place: lower}},
		{"pinned to one whose lease is over", lentilroute.Datagram, func(k *Keeper, _ *lentilclock.Fake) {
			k.HandedOff(key, third)
			k.Gone = func(place lentilid.Place) bool { return place == third }
		}, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Ask, Token: 1, Place: lower}},
		{"pinned to one whose lease is over, but that has asked", lentilroute.Datagram, func(k *Keeper, clock *lentilclock.Fake) {
			k.Gone = func(place lentilid.Place) bool { return place == third }
			k.Decide(first(Ask, 3, third))
			clock.Advance(4 * time.Second)
		}, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Owned, Place: third}},
		{"idle for too long", lentilroute.Datagram, func(k *Keeper, clock *lentilclock.Fake) {
			k.HandedOff(key, third)
			clock.Advance(DefaultIdleDatagram)
		}, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Ask, Token: 1, Place: lower}},
		{"kept by its packets", lentilroute.Datagram, func(k *Keeper, clock *lentilclock.Fake) {
			k.HandedOff(key, third)
			clock.Advance(DefaultIdleDatagram - 1)
			deliver(k)
			clock.Advance(DefaultIdleDatagram - 1)
		}, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: Owned, Place: third}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, clock := keeper(test.protocol, both...)
			test.before(k, clock)
			if diff := cmp.Diff(test.want, seen(k.Decide(test.arrival))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestHandOffs(t *testing.T) {
	peer := func(int) (lentilid.Place, bool) { return higher, true }
	tests := []struct {
		name     string
		protocol lentilroute.Protocol
		arrival  *Arrival
		want     want
	}{
		{"new flow", lentilroute.QUIC, first(Deliver, 0, lentilid.Place{}), want{Verdict: Forward, Purpose: HandOff, Place: higher}},
		{"second hand-off", lentilroute.QUIC, first(HandOff, 1, lower), want{Verdict: Forward, Purpose: HandOff, Place: higher}},
		{"third hand-off", lentilroute.QUIC, first(HandOff, maxHandOffs, lower), want{Verdict: Local}},
		{"back to the sender", lentilroute.QUIC, first(HandOff, 1, higher), want{Verdict: Local}},
		{"5-tuple", lentilroute.Datagram, first(Deliver, 0, lentilid.Place{}), want{Verdict: Local}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, _ := keeper(test.protocol)
			k.HandOff = peer
			if diff := cmp.Diff(test.want, seen(k.Decide(test.arrival))); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestRoomIsBounded(t *testing.T) {
	const room = 3
	tests := []struct {
		protocol lentilroute.Protocol
		verdict  Verdict
		oldest   bool
	}{{lentilroute.QUIC, Local, false}, {lentilroute.Datagram, DropFull, true}}
	for _, test := range tests {
		t.Run(test.protocol.String(), func(t *testing.T) {
			k, _ := keeper(test.protocol)
			k.MaxFlows = room
			var action Action
			for i := range byte(room + 1) {
				a := first(Deliver, 0, lentilid.Place{})
				a.Flow.Key = lentilroute.NewKey([]byte{i})
				action = k.Decide(a)
			}
			oldest := k.pins.byKey[lentilroute.NewKey([]byte{0})] != nil
			if action.Verdict != test.verdict || k.Flows() != room || oldest != test.oldest {
				t.Errorf("verdict %v, %d flows, oldest kept: %v", action.Verdict, k.Flows(), oldest)
			}
		})
	}
}

func TestZeroKeeper(t *testing.T) {
	k := &Keeper{Self: self}
	if action := k.Decide(first(Deliver, 0, lentilid.Place{})); action.Verdict != Local {
		t.Errorf("%v", action.Verdict)
	}
	if counts := k.Counts(); counts.Packets != 1 || counts.Opened != 1 {
		t.Errorf("%+v", counts)
	}
}

func TestNoticeTravels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := Notice{Key: lentilroute.NewKey(rapid.SliceOfN(rapid.Byte(), 1, 30).Draw(t, "key")), Place: at(rapid.Byte().Draw(t, "place"))}
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
	k, clock := keeper(lentilroute.Datagram)
	k.Clock = clock
	cases := map[string]*Arrival{"placed": placed(self), "pinned": first(Deliver, 0, lentilid.Place{})}
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
