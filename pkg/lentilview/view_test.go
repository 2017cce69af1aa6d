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

// testDocument lists copies one and two of service 1 and alien of service 2.
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

// testConfiguration returns the document after edit, as a later version.
func testConfiguration(t testing.TB, edit func(d *lentilconfig.Document)) lentilconfig.Configuration {
	t.Helper()
	d := testDocument()
	if edit != nil {
		d.Version = 2
		edit(&d)
	}
	c, err := lentilconfig.New(d)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// testRecord returns a version of an owner's testRecord, changed by edit.
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

// newTestView returns a newTestView with the document in force and the given records.
func newTestView(t testing.TB, records ...lentilrecord.Record) (v *View) {
	t.Helper()
	v = &View{Clock: &lentilclock.Fake{}}
	v.ApplyConfiguration(testConfiguration(t, nil))
	for _, r := range records {
		v.ApplyRecord(r)
	}
	return v
}

// memberOwners returns the owners that get new work of a service.
func memberOwners(v *View, service lentilid.Service) (names map[lentilrecord.Owner]bool) {
	places := make(map[lentilid.Place]bool)
	for _, m := range v.Router().Table(service).Members() {
		places[m.Place] = true
	}
	names = make(map[lentilrecord.Owner]bool)
	for owner, r := range v.records {
		if places[r.Place()] {
			names[owner] = true
		}
	}
	return names
}

func TestTableMembers(t *testing.T) {
	type set = map[lentilrecord.Owner]bool
	one, two := testRecord(ownerOne, 1, nil), testRecord(ownerTwo, 1, nil)
	phase := func(p lentilrecord.Phase) lentilrecord.Record {
		return testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Phase = p })
	}
	tests := []struct {
		name string
		do   func(v *View)
		want set
	}{
		{"both", func(*View) {}, set{ownerOne: true, ownerTwo: true}},
		{"warming", func(v *View) { v.ApplyRecord(phase(lentilrecord.Warming)) }, set{ownerOne: true, ownerTwo: true}},
		{"announces that it drains", func(v *View) { v.ApplyRecord(phase(lentilrecord.Draining)) }, set{ownerTwo: true}},
		{"gone", func(v *View) { v.ApplyRecord(phase(lentilrecord.Gone)) }, set{ownerTwo: true}},
		{"weight zero", func(v *View) { v.ApplyRecord(testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Weight = 0 })) }, set{ownerTwo: true}},
		{"older version", func(v *View) {
			v.ApplyRecord(phase(lentilrecord.Draining))
			v.ApplyRecord(one)
		}, set{ownerTwo: true}},
		{"lease over", func(v *View) { v.RemoveRecord(ownerOne) }, set{ownerTwo: true}},
		{"drained", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Copies[0].Draining = true }))
		}, set{ownerTwo: true}},
		{"withdrawn", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Copies = d.Copies[1:] }))
		}, set{ownerTwo: true}},
		{"domain out", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Domains[0].Out = true }))
		}, set{ownerTwo: true}},
		{"domain out, then an older configuration", func(v *View) {
			v.ApplyConfiguration(testConfiguration(t, func(d *lentilconfig.Document) { d.Domains[0].Out = true }))
			v.ApplyConfiguration(testConfiguration(t, nil))
		}, set{ownerTwo: true}},
		{"announces another domain than listed", func(v *View) {
			v.ApplyRecord(testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Domain = 2 }))
		}, set{ownerTwo: true}},
		{"announces another service than listed", func(v *View) {
			v.ApplyRecord(testRecord(ownerAlien, 1, func(d *lentilrecord.Doc) { d.Service, d.Tunnel = 1, netip.MustParseAddrPort("10.0.0.9:1") }))
		}, set{ownerOne: true, ownerTwo: true}},
		{"started anew at its address", func(v *View) { v.ApplyRecord(testRecord(ownerOneRestarted, 1, nil)) }, set{ownerOneRestarted: true, ownerTwo: true}},
		{"late record of an earlier run", func(v *View) {
			v.RemoveRecord(ownerOne)
			v.ApplyRecord(testRecord(ownerOneRestarted, 1, nil))
			v.ApplyRecord(one)
			v.ApplyRecord(testRecord(ownerOneRestarted, 2, nil))
			v.ApplyRecord(testRecord(ownerOneRestarted, 3, nil))
		}, set{ownerOneRestarted: true, ownerTwo: true}},
		{"two runs that both live", func(v *View) {
			for version := range uint64(9) {
				v.ApplyRecord(testRecord(ownerOneRestarted, version+1, func(d *lentilrecord.Doc) { d.Tunnel = netip.MustParseAddrPort("10.0.0.9:1") }))
				v.ApplyRecord(testRecord(ownerOne, version+2, nil))
			}
		}, set{ownerOneRestarted: true, ownerTwo: true}},
		{"address taken over by another service", func(v *View) { v.ApplyRecord(testRecord(ownerAlien, 1, nil)) }, set{ownerTwo: true}},
		{"address taken over and given back", func(v *View) {
			v.ApplyRecord(testRecord(ownerAlien, 1, nil))
			v.RemoveRecord(ownerAlien)
		}, set{ownerOne: true, ownerTwo: true}},
		{"moved to another address", func(v *View) {
			v.ApplyRecord(testRecord(ownerOne, 2, func(d *lentilrecord.Doc) { d.Tunnel = netip.MustParseAddrPort("10.0.0.9:1") }))
			v.ApplyRecord(testRecord(ownerAlien, 1, nil))
		}, set{ownerOne: true, ownerTwo: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := newTestView(t, one, two)
			v.Router()
			test.do(v)
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
		t.Error("a renewal that changes nothing has made a new router")
	}
	v.ApplyRecord(testRecord(ownerOne, 3, func(d *lentilrecord.Doc) { d.Weight = 100 }))
	second := v.Router()
	if second.Table(1) == first.Table(1) || second.Table(2) != first.Table(2) {
		t.Error("want a new table for service 1 only")
	}
}

func TestGoneAndFallbackCandidates(t *testing.T) {
	clock := &lentilclock.Fake{}
	v := newTestView(t, testRecord(ownerOne, 1, nil), testRecord(ownerTwo, 1, nil))
	v.Clock = clock
	place := testRecord(ownerOne, 1, nil).Place()
	if v.Router().Gone(place) {
		t.Error("gone while it lives")
	}
	if others := v.Router().FallbackCandidates(1, clock.Now()); len(others) != 2 {
		t.Errorf("others %v", others)
	}
	v.RemoveRecord(ownerOne)
	if !v.Router().Gone(place) {
		t.Error("not gone though its lease is over")
	}
	v.ApplyRecord(testRecord(ownerOne, 2, nil))
	if v.Router().Gone(place) {
		t.Error("gone though it is back")
	}
	clock.Advance(DefaultOwnerRetentionDatagram)
	if v.Router().Table(1).HasExpiredOwners(clock.Now()) {
		t.Error("former owners are kept though their time is over")
	}
	if others := v.Router().FallbackCandidates(1, clock.Now()); len(others) != 0 {
		t.Errorf("others long after the last change: %v", others)
	}
}

// TestTableIndependentOfEventOrder gives two nodes the same facts in different orders.
func TestTableIndependentOfEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := testDocument()
		later := testDocument()
		later.Version = 2
		later.Domains[rapid.IntRange(0, 1).Draw(t, "domain")].Out = rapid.Bool().Draw(t, "out")
		later.Copies[rapid.IntRange(0, 1).Draw(t, "copy")].Draining = rapid.Bool().Draw(t, "draining")
		var facts []func(v *View)
		for _, doc := range []lentilconfig.Document{d, later} {
			c, err := lentilconfig.New(doc)
			if err != nil {
				t.Fatal(err)
			}
			facts = append(facts, func(v *View) { v.ApplyConfiguration(c) })
		}
		for version := range uint64(3) {
			for _, owner := range []lentilrecord.Owner{ownerOne, ownerTwo} {
				weight := rapid.Uint16Max(3).Draw(t, "weight")
				r := testRecord(owner, version+1, func(d *lentilrecord.Doc) { d.Weight = weight })
				facts = append(facts, func(v *View) { v.ApplyRecord(r) })
			}
		}
		var tables []*lentilroute.Table
		for range 2 {
			v := &View{Clock: &lentilclock.Fake{}}
			for _, fact := range rapid.Permutation(facts).Draw(t, "order") {
				fact(v)
				v.Router()
			}
			tables = append(tables, v.Router().Table(1))
		}
		if diff := cmp.Diff(tables[0].Members(), tables[1].Members()); diff != "" {
			t.Fatalf("the nodes disagree:\n%s", diff)
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
