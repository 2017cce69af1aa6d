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

// TestIncrementalBuildMatchesNew compares the validation and indexes of an incremental
// build with those of New for the full document. It covers random valid and invalid changes.
func TestIncrementalBuildMatchesNew(t *testing.T) {
	incremental, invalid, fallbacks := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		configuration, err := New(sampleDocument(6, 18))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			document, delta, supported := randomNextVersion(t, configuration)
			full, err := New(document)
			next, ok := configuration.buildIncrementally(document, delta)
			switch {
			case ok && err != nil:
				t.Fatalf("the incremental build accepted an invalid document: %v", err)
			case !ok && err == nil && supported:
				t.Fatal("the incremental build rejected a valid and supported change")
			case err != nil:
				invalid++
				return
			case !ok:
				fallbacks++
				next = full
			default:
				incremental++
			}
			if !reflect.DeepEqual(full, next) {
				t.Fatalf("New and the incremental build differ:\n%+v\n%+v", full, next)
			}
			if want := diffCanonical(configuration.document, document, delta.FromDigest, delta.ToDigest); !reflect.DeepEqual(want, delta) {
				t.Fatal(cmp.Diff(want, delta, cmp.Comparer(sameString)))
			}
			configuration = next
		}
	})
	t.Logf("%d changes were built incrementally, %d were invalid, %d were valid but needed New", incremental, invalid, fallbacks)
	if incremental == 0 || invalid == 0 || fallbacks == 0 {
		t.Error("no change of one of these three groups occurred")
	}
}

// TestStoreMatchesSplit offers random deltas and documents to a store. It compares the
// head, shards and assembly of the store with the result of Split for the full document.
func TestStoreMatchesSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		if err := store.Offer(sampleDocument(6, 600)); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			document, delta, _ := randomNextVersion(t, store.configuration)
			asDocument := rapid.Bool().Draw(t, "whole")
			if asDocument {
				document = document.Canonical() // as in Offer; raises NextService and NextDomain
			}
			version, digest := store.Version(), store.Digest()
			head, shards, err := Split(document)
			if err != nil {
				t.Fatal(err)
			}
			delta.FromDigest, delta.ToDigest = digest, head.Digest()
			_, invalid := New(document)
			fork := reassignsNumber(store.configuration.document, document)
			if asDocument {
				err = store.Offer(document)
			} else {
				err = store.OfferDelta(delta)
			}
			if (err == nil) != (invalid == nil && !fork) {
				t.Fatalf("the offer returned error %v; New returned error %v; fork: %v", err, invalid, fork)
			}
			if err != nil {
				if store.Version() != version || store.Digest() != digest {
					t.Fatal("a rejected offer changed the configuration in force")
				}
				continue
			}
			if diff := cmp.Diff(head, store.Head()); diff != "" || store.Digest() != head.Digest() {
				t.Fatal(diff)
			}
			for _, shard := range shards {
				if body, found := store.Shard(shard.Name()); !found || string(body) != string(shard.Body()) {
					t.Fatalf("the store's shard %s is missing or differs from the shard of Split", shard.Name())
				}
			}
			assembly, err := store.NewAssembly(head)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := assembly.Document(); err != nil || !cmp.Equal(document, got, cmp.Comparer(sameString)) {
				t.Fatalf("the assembled document differs from the offered one, or assembling failed: %v", err)
			}
		}
	})
}

// randomNextVersion returns a document with random edits to the configuration, and the
// delta to it. The delta is either the difference between the documents or the normalized
// form of a delta with redundant and duplicate entries. The supported result is true if
// an incremental build has to accept the change, provided the document is valid.
func randomNextVersion(t *rapid.T, c Configuration) (document Document, delta DeltaDoc, supported bool) {
	document = c.document.Canonical().NextVersion(AcceptedNoteDoc{NoteID: "edit", Digest: "0"})
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		applyRandomEdit(t, &document)
	}
	nextService := document.NextService
	document = document.Canonical()
	if rapid.IntRange(0, 9).Draw(t, "lower next number") == 0 {
		document.NextService = nextService - 1
	}
	delta = diffCanonical(c.document, document, "", "")
	if rapid.Bool().Draw(t, "as a delta") {
		redundant := delta
		redundant.PutCopies = append(maybeOne(t, document.Copies), redundant.PutCopies...)
		redundant.PutServices = append(maybeOne(t, document.Services), redundant.PutServices...)
		redundant.DropCopies = append([]string{"service-00001-1", "no-such"}, redundant.DropCopies...)
		document = c.document.applyUnchecked(redundant)
		delta = c.normalizeDelta(document, redundant)
	}
	return document, delta, supportsIncremental(c.document, document)
}

// reassignsNumber reports whether a service's number was given to another name.
func reassignsNumber(from, to Document) bool {
	for _, doc := range from.Services {
		reassigned := func(other ServiceDoc) bool { return other.Number == doc.Number && other.Name != doc.Name }
		if slices.ContainsFunc(to.Services, reassigned) {
			return true
		}
	}
	return false
}

// supportsIncremental reports whether all failure domains and numbers are kept, as
// Configuration.buildIncrementally requires.
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

// maybeOne returns one random entry or nothing.
func maybeOne[T any](t *rapid.T, entries []T) []T {
	if len(entries) == 0 || rapid.Bool().Draw(t, "none") {
		return nil
	}
	return []T{rapid.SampledFrom(entries).Draw(t, "entry")}
}

// applyRandomEdit adds, changes or removes an entry. The result may be invalid.
func applyRandomEdit(t *rapid.T, d *Document) {
	number := rapid.IntRange(0, 9).Draw(t, "number")
	service := fmt.Sprintf("service-%05d", number)
	domain := fmt.Sprintf("domain-%02d", rapid.IntRange(0, 15).Draw(t, "domain"))
	copyName := fmt.Sprintf("%s-%d", service, rapid.IntRange(1, 4).Draw(t, "copy"))
	switch rapid.IntRange(0, 12).Draw(t, "edit") {
	case 0:
		d.Copies = append(d.Copies, CopyDoc{Name: copyName, Service: service, Domain: domain})
	case 1:
		d.Copies = slices.DeleteFunc(d.Copies, func(doc CopyDoc) bool { return doc.Name == copyName })
	case 2:
		d.Copies = slices.DeleteFunc(d.Copies, func(doc CopyDoc) bool { return doc.Name == copyName })
		d.Copies = append(d.Copies, CopyDoc{Name: copyName, Service: "service-00002", Domain: domain, Draining: true})
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

// BenchmarkOffer offers a full document of the next version, as a reader of the platform does.
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
