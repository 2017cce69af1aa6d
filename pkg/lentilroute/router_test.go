package lentilroute

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

var (
	client        = netip.MustParseAddrPort("198.51.100.7:4433")
	keyOne        = lentilid.Key{ID: 1, Secret: bytes.Repeat([]byte{1}, 16)}
	keyTwo        = lentilid.Key{ID: 2, Secret: bytes.Repeat([]byte{2}, 16)}
	initialPacket = longPacket(1, []byte("12345678"), nil)
	unlistedPlace = testPlace(99)
)

const (
	servedService   lentilid.Service = 1
	emptyService    lentilid.Service = 2
	datagramService lentilid.Service = 3
	unknownService  lentilid.Service = 4
)

// sealedID returns a connection ID that holds p.
func sealedID(key lentilid.Key, p lentilid.Place) (id []byte) {
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
		list[i] = Member{testPlace(i), 200}
	}
	b := &Builder{}
	b.SetSealer(sealer)
	b.SetOut(9, true)
	b.SetService(servedService, ServiceRouting{Table: NewTable(list)})
	b.SetService(emptyService, ServiceRouting{})
	b.SetService(datagramService, ServiceRouting{Protocol: Datagram, Table: NewTable(list)})
	return b.Build()
}

func TestRoute(t *testing.T) {
	router := testRouter(1)
	at := func(domain lentilid.Domain, service lentilid.Service) lentilid.Place {
		return lentilid.NewPlace(unlistedPlace.Agent(), domain, service, 5)
	}
	forged := sealedID(keyOne, unlistedPlace)
	forged[4]++
	tests := []struct {
		name    string
		service lentilid.Service
		packet  []byte
		want    Verdict
		place   lentilid.Place
	}{
		{"new flow", servedService, initialPacket, ToBucket, testPlace(0)},
		{"place, short", servedService, shortPacket(sealedID(keyOne, unlistedPlace)), ToPlace, unlistedPlace},
		{"place, long", servedService, longPacket(1, sealedID(keyOne, unlistedPlace), nil), ToPlace, unlistedPlace},
		{"place, but no copy takes new work", emptyService, shortPacket(sealedID(keyOne, at(1, emptyService))), ToPlace, at(1, emptyService)},
		{"place of another service", emptyService, shortPacket(sealedID(keyOne, unlistedPlace)), DropWrongService, lentilid.Place{}},
		{"place in a domain that is out", servedService, shortPacket(sealedID(keyOne, at(9, servedService))), DropDomainOut, lentilid.Place{}},
		{"forged place, short", servedService, shortPacket(forged), DropForged, lentilid.Place{}},
		{"caller's own ID that looks like ours", servedService, longPacket(1, forged, nil), ToBucket, testPlace(0)},
		{"key that only agents have yet", servedService, shortPacket(sealedID(keyTwo, unlistedPlace)), ToBucket, testPlace(0)},
		{"no copy", emptyService, initialPacket, DropNoCopy, lentilid.Place{}},
		{"no service", unknownService, initialPacket, DropNoService, lentilid.Place{}},
		{"malformed", servedService, initialPacket[:7], DropMalformed, lentilid.Place{}},
		{"no connection ID", servedService, longPacket(1, nil, nil), DropMalformed, lentilid.Place{}},
		{"opaque datagram", datagramService, []byte{0}, ToBucket, testPlace(0)},
		{"empty datagram", datagramService, nil, ToBucket, testPlace(0)},
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
	if got := zero.Route(servedService, initialPacket, client); got.Verdict != DropNoService {
		t.Errorf("the zero router says %v", got.Verdict)
	}
}

func TestBuilderKeepsEarlierRouter(t *testing.T) {
	router := testRouter(1)
	b := NewBuilder(router)
	b.RemoveService(servedService)
	b.SetOut(1, true)
	later := b.Build()
	if router.Table(servedService) == nil || router.Out(1) {
		t.Error("the earlier router has changed")
	}
	if later.Table(servedService) != nil || !later.Out(1) || later.Table(datagramService) == nil {
		t.Error("the later router doesn't show the changes")
	}
}

// routeCases are the kinds of packets that cost most.
func routeCases() map[string][]byte {
	return map[string][]byte{
		"established": shortPacket(sealedID(keyOne, unlistedPlace)),
		"new":         longPacket(1, bytes.Repeat([]byte{3}, 18), bytes.Repeat([]byte{4}, 8)),
		"forged":      shortPacket(append(sealedID(keyOne, unlistedPlace)[:19], 0)),
	}
}

func TestRouteAllocatesNothing(t *testing.T) {
	router := testRouter(7)
	for name, packet := range routeCases() {
		if allocated := testing.AllocsPerRun(1000, func() { router.Route(servedService, packet, client) }); allocated != 0 {
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
				router.Route(servedService, packet, client)
			}
		})
	}
	b.Run("datagram", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			router.Route(datagramService, nil, client)
		}
	})
}

func BenchmarkPick(b *testing.B) {
	table := testRouter(7).Table(servedService)
	for hash := uint64(0); b.Loop(); hash += 1 << 50 {
		table.Pick(hash)
	}
}
