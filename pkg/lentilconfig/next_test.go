package lentilconfig

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// TestIncrementalBuildMatchesNew compares the check and the index of a change with those
// of the whole document, over random changes with and without faults.
func TestIncrementalBuildMatchesNew(t *testing.T) {
	taken, faulty, short := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		configuration, err := New(sampleDocument(6, 18))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			document, change, usual := randomNextVersion(t, configuration)
			whole, err := New(document)
			next, ok := configuration.buildIncrementally(document, change)
			switch {
			case ok && err != nil:
				t.Fatalf("taken in spite of its faults: %v", err)
			case !ok && err == nil && usual:
				t.Fatal("not taken, though it is free of faults and nothing unusual")
			case err != nil:
				faulty++
				return
			case !ok:
				short++
				next = whole
			default:
				taken++
			}
			if !reflect.DeepEqual(whole, next) {
				t.Fatalf("differs from the whole:\n%+v\n%+v", whole, next)
			}
			if want := diffCanonical(configuration.document, document, change.FromDigest, change.ToDigest); !reflect.DeepEqual(want, change) {
				t.Fatal(cmp.Diff(want, change, cmp.Comparer(sameString)))
			}
			configuration = next
		}
	})
	t.Logf("%d changes were taken by themselves, %d had faults, %d were left to the whole check", taken, faulty, short)
	if taken == 0 || faulty == 0 || short == 0 {
		t.Error("a kind of change doesn't occur")
	}
}

// TestStoreMatchesSplit compares the head, the shards and the assembly of
// a store that took deltas and documents with what splitting the whole gives.
func TestStoreMatchesSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		if err := store.Offer(sampleDocument(6, 600)); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			document, change, _ := randomNextVersion(t, store.configuration)
			asDocument := rapid.Bool().Draw(t, "whole")
			if asDocument {
				document = document.Canonical() // as Offer does, which raises the marks
			}
			before, digest := store.Version(), store.Digest()
			head, shards, err := Split(document)
			if err != nil {
				t.Fatal(err)
			}
			change.FromDigest, change.ToDigest = digest, head.Digest()
			_, faults := New(document)
			fork := reassignsNumber(store.configuration.document, document)
			if asDocument {
				err = store.Offer(document)
			} else {
				err = store.OfferDelta(change)
			}
			if (err == nil) != (faults == nil && !fork) {
				t.Fatalf("offered: %v; whole: %v; fork: %v", err, faults, fork)
			}
			if err != nil {
				if store.Version() != before || store.Digest() != digest {
					t.Fatal("a refused change moved the store")
				}
				continue
			}
			if diff := cmp.Diff(head, store.Head()); diff != "" || store.Digest() != head.Digest() {
				t.Fatal(diff)
			}
			for _, shard := range shards {
				if body, found := store.Shard(shard.Name()); !found || string(body) != string(shard.Body()) {
					t.Fatalf("shard %s is not as the whole says", shard.Name())
				}
			}
			assembly, err := store.NewAssembly(head)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := assembly.Document(); err != nil || !cmp.Equal(document, got, cmp.Comparer(sameString)) {
				t.Fatalf("assembled otherwise: %v", err)
			}
		}
	})
}

// randomNextVersion returns a random successor of the configuration and what leads to it, by
// a comparison or as a delta with entries that change nothing or are doubled.
// Usual changes leave former numbers and the failure domains' names alone.
func randomNextVersion(t *rapid.T, c Configuration) (document Document, change DeltaDoc, usual bool) {
	document = c.document.Canonical().NextVersion(AcceptedNoteDoc{NoteID: "edit", Digest: "0"})
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		applyRandomEdit(t, &document)
	}
	mark := document.NextService
	document = document.Canonical()
	if rapid.IntRange(0, 9).Draw(t, "lower mark") == 0 {
		document.NextService = mark - 1
	}
	change = diffCanonical(c.document, document, "", "")
	if rapid.Bool().Draw(t, "as a delta") {
		delta := change
		delta.PutCopies = append(maybeOne(t, document.Copies), delta.PutCopies...)
		delta.PutServices = append(maybeOne(t, document.Services), delta.PutServices...)
		delta.DropCopies = append([]string{"service-00001-1", "no-such"}, delta.DropCopies...)
		document = c.document.applyUnchecked(delta)
		change = c.normalizeDelta(document, delta)
	}
	return document, change, supportsIncremental(c.document, document)
}

// reassignsNumber reports whether a service's number went to another name.
func reassignsNumber(from, to Document) bool {
	for _, doc := range from.Services {
		moved := func(other ServiceDoc) bool { return other.Number == doc.Number && other.Name != doc.Name }
		if slices.ContainsFunc(to.Services, moved) {
			return true
		}
	}
	return false
}

func supportsIncremental(from, to Document) bool {
	for _, doc := range from.Domains {
		same := func(other DomainDoc) bool { return other.Name == doc.Name && other.Number == doc.Number }
		if !slices.ContainsFunc(to.Domains, same) {
			return false
		}
	}
	for _, doc := range from.Services {
		renumbered := func(other ServiceDoc) bool { return other.Name == doc.Name && other.Number != doc.Number }
		if slices.ContainsFunc(to.Services, renumbered) {
			return false
		}
	}
	return to.NextService >= from.NextService
}

// maybeOne returns an entry or none.
func maybeOne[T any](t *rapid.T, entries []T) []T {
	if len(entries) == 0 || rapid.Bool().Draw(t, "none") {
		return nil
	}
	return []T{rapid.SampledFrom(entries).Draw(t, "entry")}
}

func applyRandomEdit(t *rapid.T, d *Document) {
	number := rapid.IntRange(0, 9).Draw(t, "number")
	service := fmt.Sprintf("service-%05d", number)
	domain := fmt.Sprintf("domain-%02d", rapid.IntRange(0, 15).Draw(t, "domain"))
	copied := fmt.Sprintf("%s-%d", service, rapid.IntRange(1, 4).Draw(t, "copy"))
	switch rapid.IntRange(0, 12).Draw(t, "edit") {
	case 0:
		d.Copies = append(d.Copies, CopyDoc{Name: copied, Service: service, Domain: domain})
	case 1:
		d.Copies = slices.DeleteFunc(d.Copies, func(doc CopyDoc) bool { return doc.Name == copied })
	case 2:
		d.Copies = slices.DeleteFunc(d.Copies, func(doc CopyDoc) bool { return doc.Name == copied })
		d.Copies = append(d.Copies, CopyDoc{Name: copied, Service: "service-00002", Domain: domain, Draining: true})
	case 3:
		d.Services = slices.DeleteFunc(d.Services, func(doc ServiceDoc) bool { return doc.Name == service })
	case 4:
		d.Services = slices.DeleteFunc(d.Services, func(doc ServiceDoc) bool { return doc.Name == service })
		d.Copies = slices.DeleteFunc(d.Copies, func(doc CopyDoc) bool { return doc.Service == service })
	case 5, 6:
		doc := ServiceDoc{
			Name: service, Number: lentilid.Service(number + 1), Slots: rapid.IntRange(0, 3).Draw(t, "slots"), Connections: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(8000+rapid.IntRange(0, 9).Draw(t, "port"))),
			Rules:   []RuleDoc{{Prefix: "/a", Kind: rapid.SampledFrom([]string{"once", "twice"}).Draw(t, "kind")}},
		}
		d.Services = append(slices.DeleteFunc(d.Services, func(doc ServiceDoc) bool { return doc.Name == service }), doc)
	case 7:
		d.Services = append(d.Services, ServiceDoc{
			Name: fmt.Sprintf("new-%d", number), Number: lentilid.Service(rapid.IntRange(0, 9).Draw(t, "any number")), Slots: 1, Connections: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 2}), uint16(9000+number)),
		})
	case 8:
		if len(d.Services) > 0 {
			d.Services[number%len(d.Services)].Number = lentilid.Service(rapid.IntRange(1, 30).Draw(t, "new number"))
		}
	case 9:
		d.Domains[number%len(d.Domains)].Out = true
	case 10:
		d.Domains = append(d.Domains, DomainDoc{Name: domain, Number: lentilid.Domain(rapid.IntRange(0, 20).Draw(t, "domain's number")), Region: "r"})
	case 11:
		d.Domains = slices.DeleteFunc(d.Domains, func(doc DomainDoc) bool { return doc.Name == domain })
	case 12:
		d.Domains[number%len(d.Domains)].Number = lentilid.Domain(rapid.IntRange(1, 20).Draw(t, "domain's new number"))
	}
}

// BenchmarkOffer offers the next whole document, as a reader of the platform does.
func BenchmarkOffer(b *testing.B) {
	document := sampleDocument(fullSizeServices, fullSizeCopies)
	var store Store
	if err := store.Offer(document); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		b.StopTimer()
		document = toggleDraining(document, 5)
		b.StartTimer()
		if err := store.Offer(document); err != nil {
			b.Fatal(err)
		}
	}
}
