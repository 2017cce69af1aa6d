package lentilroute

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

var (
	client   = netip.MustParseAddrPort("198.51.100.7:4433")
	keyOne   = lentilid.Key{ID: 1, Secret: bytes.Repeat([]byte{1}, 16)}
	keyTwo   = lentilid.Key{ID: 2, Secret: bytes.Repeat([]byte{2}, 16)}
	initial  = longPacket(1, []byte("12345678"), nil)
	unlisted = place(99)
)

const (
	served    lentilid.Service = 1
	empty     lentilid.Service = 2
	datagrams lentilid.Service = 3
	unknown   lentilid.Service = 4
)

// sealed returns a connection ID that holds p.
func sealed(key lentilid.Key, p lentilid.Place) (id []byte) {
	sealer, err := lentilid.NewSealer([]lentilid.Key{key})
	if err != nil {
		panic(err)
	}
	return sealer.AppendID(nil, p, 1)
}

// testRouter returns a router for three services, with failure domain 9 out.
func testRouter(members int) (router *Router) {
	sealer, err := lentilid.NewSealer([]lentilid.Key{keyOne})
	if err != nil {
		panic(err)
	}
	list := make([]Member, members)
	for i := range list {
		list[i] = Member{place(i), 200}
	}
	b := &Builder{}
	b.SetSealer(sealer)
	b.SetOut(9, true)
	b.SetService(served, Service{Table: NewTable(list)})
	b.SetService(empty, Service{})
	b.SetService(datagrams, Service{Protocol: Datagram, Table: NewTable(list)})
	return b.Router()
}

func TestRoute(t *testing.T) {
	router := testRouter(1)
	at := func(domain lentilid.Domain, service lentilid.Service) lentilid.Place {
		return lentilid.NewPlace(unlisted.Agent(), domain, service, 5)
	}
	forged := sealed(keyOne, unlisted)
	forged[4]++
	tests := []struct {
		name    string
		service lentilid.Service
		packet  []byte
		want    Verdict
		place   lentilid.Place
	}{
		{"new flow", served, initial, ToBucket, place(0)},
		{"place, short", served, shortPacket(sealed(keyOne, unlisted)), ToPlace, unlisted},
		{"place, long", served, longPacket(1, sealed(keyOne, unlisted), nil), ToPlace, unlisted},
		{"place, but no copy takes new work", empty, shortPacket(sealed(keyOne, at(1, empty))), ToPlace, at(1, empty)},
		{"place of another service", empty, shortPacket(sealed(keyOne, unlisted)), DropWrongService, lentilid.Place{}},
		{"place in a domain that is out", served, shortPacket(sealed(keyOne, at(9, served))), DropDomainOut, lentilid.Place{}},
		{"forged place, short", served, shortPacket(forged), DropForged, lentilid.Place{}},
		{"caller's own ID that looks like ours", served, longPacket(1, forged, nil), ToBucket, place(0)},
		{"key that only agents have yet", served, shortPacket(sealed(keyTwo, unlisted)), ToBucket, place(0)},
		{"no copy", empty, initial, DropNoCopy, lentilid.Place{}},
		{"no service", unknown, initial, DropNoService, lentilid.Place{}},
		{"malformed", served, initial[:7], DropMalformed, lentilid.Place{}},
		{"no connection ID", served, longPacket(1, nil, nil), DropMalformed, lentilid.Place{}},
		{"opaque datagram", datagrams, []byte{0}, ToBucket, place(0)},
		{"empty datagram", datagrams, nil, ToBucket, place(0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := router.Route(test.service, test.packet, client)
			if diff := cmp.Diff([]any{test.want, test.place}, []any{got.Verdict, got.Place}); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
	var zero Router
	if got := zero.Route(served, initial, client); got.Verdict != DropNoService {
		t.Errorf("the zero router says %v", got.Verdict)
	}
}

func TestBuilderLeavesEarlierRouter(t *testing.T) {
	router := testRouter(1)
	b := From(router)
	b.RemoveService(served)
	b.SetOut(1, true)
	later := b.Router()
	if router.Table(served) == nil || router.Out(1) {
		t.Error("the earlier router has changed")
	}
	if later.Table(served) != nil || !later.Out(1) || later.Table(datagrams) == nil {
		t.Error("the later router doesn't show the changes")
	}
}

// routeCases are the kinds of packets that cost most.
func routeCases() map[string][]byte {
	return map[string][]byte{
		"established": shortPacket(sealed(keyOne, unlisted)),
		"new":         longPacket(1, bytes.Repeat([]byte{3}, 18), bytes.Repeat([]byte{4}, 8)),
		"forged":      shortPacket(append(sealed(keyOne, unlisted)[:19], 0)),
	}
}

func TestRouteAllocatesNothing(t *testing.T) {
	router := testRouter(7)
	for name, packet := range routeCases() {
		if allocated := testing.AllocsPerRun(1000, func() { router.Route(served, packet, client) }); allocated != 0 {
			t.Errorf("%s: %v allocations", name, allocated)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	router := testRouter(7)
	for name, packet := range routeCases() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				router.Route(served, packet, client)
			}
		})
	}
	b.Run("datagram", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			router.Route(datagrams, nil, client)
		}
	})
}

func BenchmarkPick(b *testing.B) {
	table := testRouter(7).Table(served)
	for hash := uint64(0); b.Loop(); hash += 1 << 50 {
		table.Pick(hash)
	}
}
