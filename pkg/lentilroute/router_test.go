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

// sealedID returns a connection ID that holds place.
func sealedID(key lentilid.Key, place lentilid.Place) (id []byte) {
	sealer, err := lentilid.NewSealer([]lentilid.Key{key})
	if err != nil {
		panic(err)
	}
	return sealer.AppendID(nil, place, 1)
}

// testRouter returns a router for three services, with failure domain 9 out of service.
func testRouter(memberCount int) (router *Router) {
	sealer, err := lentilid.NewSealer([]lentilid.Key{keyOne})
	if err != nil {
		panic(err)
	}
	members := make([]Member, memberCount)
	for i := range members {
		members[i] = Member{testPlace(i), 200}
	}
	builder := &Builder{}
	builder.SetSealer(sealer)
	builder.SetOut(9, true)
	builder.SetService(servedService, ServiceRouting{Table: NewTable(members)})
	builder.SetService(emptyService, ServiceRouting{})
	builder.SetService(datagramService, ServiceRouting{Protocol: Datagram, Table: NewTable(members)})
	return builder.Build()
}

func TestRoute(t *testing.T) {
	router := testRouter(1)
	placeIn := func(domain lentilid.Domain, service lentilid.Service) lentilid.Place {
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
		{"place, short header", servedService, shortPacket(sealedID(keyOne, unlistedPlace)), ToPlace, unlistedPlace},
		{"place, long header", servedService, longPacket(1, sealedID(keyOne, unlistedPlace), nil), ToPlace, unlistedPlace},
		{"place, but no copy takes new work", emptyService, shortPacket(sealedID(keyOne, placeIn(1, emptyService))), ToPlace, placeIn(1, emptyService)},
		{"place of another service", emptyService, shortPacket(sealedID(keyOne, unlistedPlace)), DropWrongService, lentilid.Place{}},
		{"place in a domain that is out of service", servedService, shortPacket(sealedID(keyOne, placeIn(9, servedService))), DropDomainOut, lentilid.Place{}},
		{"forged place, short header", servedService, shortPacket(forged), DropForged, lentilid.Place{}},
		{"caller's own ID with a known key, long header", servedService, longPacket(1, forged, nil), ToBucket, testPlace(0)},
		{"key that only agents have so far", servedService, shortPacket(sealedID(keyTwo, unlistedPlace)), ToBucket, testPlace(0)},
		{"no copy", emptyService, initialPacket, DropNoCopy, lentilid.Place{}},
		{"unknown service", unknownService, initialPacket, DropNoService, lentilid.Place{}},
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
		t.Errorf("verdict of the zero router is %v, want DropNoService", got.Verdict)
	}
}

func TestBuilderKeepsEarlierRouter(t *testing.T) {
	router := testRouter(1)
	builder := NewBuilder(router)
	builder.RemoveService(servedService)
	builder.SetOut(1, true)
	later := builder.Build()
	if router.Table(servedService) == nil || router.Out(1) {
		t.Error("the earlier router has changed")
	}
	if later.Table(servedService) != nil || !later.Out(1) || later.Table(datagramService) == nil {
		t.Error("the later router lacks the changes")
	}
}

// routeCases returns the kinds of packets that are the most expensive to route.
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
		if allocations := testing.AllocsPerRun(1000, func() { router.Route(servedService, packet, client) }); allocations != 0 {
			t.Errorf("%s: %v allocations", name, allocations)
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
