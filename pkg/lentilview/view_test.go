package lentilview

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilid"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
	"lentilstair.example/lentilstair/pkg/lentilroute"
)

var (
	address1          = netip.MustParseAddrPort("10.0.0.1:7000")
	address2          = netip.MustParseAddrPort("10.0.0.2:7000")
	ownerOne          = lentilrecord.Owner{Copy: "one", Incarnation: 1}
	ownerOneRestarted = lentilrecord.Owner{Copy: "one", Incarnation: 2}
	ownerTwo          = lentilrecord.Owner{Copy: "two", Incarnation: 3}
	ownerAlien        = lentilrecord.Owner{Copy: "alien", Incarnation: 4}
)

// testDocument returns a configuration with the copies one and two of service 1, and the
// copy alien of service 2.
func testDocument() lentilconfig.Document {
	address := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, 1}), port)
	}
	return lentilconfig.Document{
		Version: 1,
		Services: []lentilconfig.ServiceDoc{
			{Name: "web", Number: 1, Address: address(8443), Slots: 2, Connections: 10},
			{Name: "other", Number: 2, Address: address(8444), Slots: 2, Connections: 10},
		},
		Domains: []lentilconfig.DomainDoc{{Name: "east", Number: 1, Region: "r"}, {Name: "west", Number: 2, Region: "r"}},
		Copies: []lentilconfig.CopyDoc{
			{Name: "one", Service: "web", Domain: "east"},
			{Name: "two", Service: "web", Domain: "west"},
			{Name: "alien", Service: "other", Domain: "east"},
		},
	}
}

// testConfiguration returns testDocument as a configuration. If edit isn't nil it changes
// the document, which then has a later version.
func testConfiguration(t testing.TB, edit func(d *lentilconfig.Document)) lentilconfig.Configuration {
	t.Helper()
	document := testDocument()
	if edit != nil {
		document.Version = 2
		edit(&document)
	}
	configuration, err := lentilconfig.New(document)
	if err != nil {
		t.Fatal(err)
	}
	return configuration
}

// testRecord returns a version of an owner's record. If edit isn't nil it changes the record.
func testRecord(owner lentilrecord.Owner, version uint64, edit func(d *lentilrecord.Doc)) lentilrecord.Record {
	doc := lentilrecord.Doc{Owner: owner, Version: version, Service: 1, Domain: 1, Tunnel: address1, Phase: lentilrecord.Ready, Weight: 200}
	switch owner.Copy {
	case "two":
		doc.Domain, doc.Tunnel = 2, address2
	case "alien":
		doc.Service = 2
	}
	if edit != nil {
		edit(&doc)
	}
	return lentilrecord.New(doc)
}

// newTestView returns a view with testConfiguration and the given records.
func newTestView(t testing.TB, records ...lentilrecord.Record) (v *View) {
	t.Helper()
	v = &View{Clock: &lentilclock.Fake{}}
	v.ApplyConfiguration(testConfiguration(t, nil))
	for _, record := range records {
		v.ApplyRecord(record)
	}
	return v
}

// memberOwners returns the owners that get new work of a service.
func memberOwners(v *View, service lentilid.Service) (owners map[lentilrecord.Owner]bool) {
	places := make(map[lentilid.Place]bool)
	for _, member := range v.Router().Table(service).Members() {
		places[member.Place] = true
	}
	owners = make(map[lentilrecord.Owner]bool)
	for owner, record := range v.records {
		if places[record.Place()] {
			owners[owner] = true
		}
	}
	return owners
}

func TestTableMembers(t *testing.T) {
	type ownerSet = map[lentilrecord.Owner]bool
	one, two := testRecord(ownerOne, 1, nil), testRecord(ownerTwo, 1, nil)
	withPhase := func(phase lentilrecord.Phase) lentilrecord.Record {
		return testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Phase = phase })
	}
	tests := []struct {
		name   string
		update func(v *View)
		want   ownerSet
	}{
		{"both", func(*View) {}, ownerSet{ownerOne: true, ownerTwo: true}},
		{"warming", func(v *View) { v.ApplyRecord(withPhase(lentilrecord.Warming)) }, ownerSet{ownerOne: true, ownerTwo: true}},
		{"record is draining", func(v *View) { v.ApplyRecord(withPhase(lentilrecord.Draining)) }, ownerSet{ownerTwo: true}},
		{"gone", func(v *View) { v.ApplyRecord(withPhase(lentilrecord.Gone)) }, ownerSet{ownerTwo: true}},
		{"weight zero", func(v *View) { v.ApplyRecord(testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Weight = 0 })) }, ownerSet{ownerTwo: true}},
		{"older version of a record", func(v *View) {
			v.ApplyRecord(withPhase(lentilrecord.Draining))
			v.ApplyRecord(one)
		}, ownerSet{ownerTwo: true}},
		{"lease has ended", func(v *View) { v.RemoveRecord(ownerOne) }, ownerSet{ownerTwo: true}},
		{"drained", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Copies[0].Draining = true }))
		}, ownerSet{ownerTwo: true}},
		{"withdrawn", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Copies = d.Copies[1:] }))
		}, ownerSet{ownerTwo: true}},
		{"domain out of service", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Domains[0].Out = true }))
		}, ownerSet{ownerTwo: true}},
		{"domain out of service, then an older configuration", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Domains[0].Out = true }))
			v.ApplyConfiguration(testConfiguration(t, nil))
		}, ownerSet{ownerTwo: true}},
		{"record has another domain than the configuration", func(v *View) {
			v.ApplyRecord(testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Domain = 2 }))
		}, ownerSet{ownerTwo: true}},
		{"record has another service than the configuration", func(v *View) {
			v.ApplyRecord(testRecord(ownerAlien, 1, func(d *lentilrecord.Doc) { d.Service, d.Tunnel = 1, netip.MustParseAddrPort("10.0.0.9:1") }))
		}, ownerSet{ownerOne: true, ownerTwo: true}},
		{"restarted at the same address", func(v *View) { v.ApplyRecord(testRecord(ownerOneRestarted, 1, nil)) }, ownerSet{ownerOneRestarted: true, ownerTwo: true}},
		{"late record of an earlier incarnation", func(v *View) {
			v.RemoveRecord(ownerOne)
			v.ApplyRecord(testRecord(ownerOneRestarted, 1, nil))
			v.ApplyRecord(one)
			v.ApplyRecord(testRecord(ownerOneRestarted, 2, nil))
			v.ApplyRecord(testRecord(ownerOneRestarted, 3, nil))
		}, ownerSet{ownerOneRestarted: true, ownerTwo: true}},
		{"two incarnations that both renew", func(v *View) {
			for version := range uint64(9) {
				v.ApplyRecord(testRecord(ownerOneRestarted, version+1, func(d *lentilrecord.Doc) { d.Tunnel = netip.MustParseAddrPort("10.0.0.9:1") }))
				v.ApplyRecord(testRecord(ownerOne, version+2, nil))
			}
		}, ownerSet{ownerOneRestarted: true, ownerTwo: true}},
		{"address taken over by another service", func(v *View) { v.ApplyRecord(testRecord(ownerAlien, 1, nil)) }, ownerSet{ownerTwo: true}},
		{"address taken over, then returned", func(v *View) {
			v.ApplyRecord(testRecord(ownerAlien, 1, nil))
			v.RemoveRecord(ownerAlien)
		}, ownerSet{ownerOne: true, ownerTwo: true}},
		{"moved to another address", func(v *View) {
			v.ApplyRecord(testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Tunnel = netip.MustParseAddrPort("10.0.0.9:1") }))
			v.ApplyRecord(testRecord(ownerAlien, 1, nil))
		}, ownerSet{ownerOne: true, ownerTwo: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := newTestView(t, one, two)
			v.Router()
			test.update(v)
			if diff := cmp.Diff(test.want, memberOwners(v, 1)); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestRouterRebuildsChangedServicesOnly(t *testing.T) {
	v := newTestView(t, testRecord(ownerOne, 1, nil), testRecord(ownerTwo, 1, nil), testRecord(ownerAlien, 1, func(d *lentilrecord.Doc) {
		d.Tunnel = netip.MustParseAddrPort("10.0.0.9:1")
	}))
	first := v.Router()
	v.ApplyRecord(testRecord(ownerOne, 2, nil))
	if v.Router() != first {
		t.Error("renewal without changes has produced a new router")
	}
	v.ApplyRecord(testRecord(ownerOne, 3, func(d *lentilrecord.Doc) { d.Weight = 100 }))
	second := v.Router()
	if second.Table(1) == first.Table(1) || second.Table(2) != first.Table(2) {
		t.Error("want a new table for service 1 and none for service 2")
	}
}

func TestGoneAndFallbackCandidates(t *testing.T) {
	clock := &lentilclock.Fake{}
	v := newTestView(t, testRecord(ownerOne, 1, nil), testRecord(ownerTwo, 1, nil))
	v.Clock = clock
	place := testRecord(ownerOne, 1, nil).Place()
	if v.Router().Gone(place) {
		t.Error("place is gone although its agent is alive")
	}
	if candidates := v.Router().FallbackCandidates(1, clock.Now()); len(candidates) != 2 {
		t.Errorf("fallback candidates after a change are %v, want both copies", candidates)
	}
	v.RemoveRecord(ownerOne)
	if !v.Router().Gone(place) {
		t.Error("place is not gone although its lease has ended")
	}
	v.ApplyRecord(testRecord(ownerOne, 2, nil))
	if v.Router().Gone(place) {
		t.Error("place is gone although its agent is back")
	}
	clock.Advance(DefaultOwnerRetentionDatagram)
	if v.Router().Table(1).HasExpiredOwners(clock.Now()) {
		t.Error("expired previous owners are kept")
	}
	if candidates := v.Router().FallbackCandidates(1, clock.Now()); len(candidates) != 0 {
		t.Errorf("fallback candidates are %v after the owner retention, want none", candidates)
	}
}

// TestTableIndependentOfEventOrder applies the same updates to two nodes in different orders.
func TestTableIndependentOfEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := testDocument()
		later := testDocument()
		later.Version = 2
		later.Domains[rapid.IntRange(0, 1).Draw(t, "domain")].Out = rapid.Bool().Draw(t, "out")
		later.Copies[rapid.IntRange(0, 1).Draw(t, "copy")].Draining = rapid.Bool().Draw(t, "draining")
		var updates []func(v *View)
		for _, document := range []lentilconfig.Document{first, later} {
			configuration, err := lentilconfig.New(document)
			if err != nil {
				t.Fatal(err)
			}
			updates = append(updates, func(v *View) { v.ApplyConfiguration(configuration) })
		}
		for version := range uint64(3) {
			for _, owner := range []lentilrecord.Owner{ownerOne, ownerTwo} {
				weight := rapid.Uint16Max(3).Draw(t, "weight")
				record := testRecord(owner, version+1, func(d *lentilrecord.Doc) { d.Weight = weight })
				updates = append(updates, func(v *View) { v.ApplyRecord(record) })
			}
		}
		var tables []*lentilroute.Table
		for range 2 {
			v := &View{Clock: &lentilclock.Fake{}}
			for _, update := range rapid.Permutation(updates).Draw(t, "order") {
				update(v)
				v.Router()
			}
			tables = append(tables, v.Router().Table(1))
		}
		if diff := cmp.Diff(tables[0].Members(), tables[1].Members()); diff != "" {
			t.Fatalf("the tables of the nodes differ:\n%s", diff)
		}
	})
}

func BenchmarkRouterAfterOneChange(b *testing.B) {
	v := newTestView(b, testRecord(ownerOne, 1, nil), testRecord(ownerTwo, 1, nil))
	v.Clock = lentilclock.System{}
	version := uint64(1)
	for b.Loop() {
		version++
		v.ApplyRecord(testRecord(ownerOne, version, func(d *lentilrecord.Doc) { d.Weight = 100 + uint16(version%2) }))
		v.Router()
	}
}
